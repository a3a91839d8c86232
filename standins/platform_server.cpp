#include "standins/platform_server.hpp"

#include <boost/url/decode_view.hpp>
#include <boost/url/pct_string_view.hpp>

#include <fmt/format.h>

#include <algorithm> // min
#include <cstdlib> // strtoull
#include <mutex> // unique_lock
#include <utility> // move

namespace gypsumdale::standins {

namespace {

constexpr std::string_view objectsPrefix = "/v1/objects/";
constexpr std::string_view watchPrefix = "/v1/watch/";
constexpr Duration longestWatch = std::chrono::minutes(5);
constexpr double defaultWatchMillis = 30000;

std::string decode(std::string_view text)
{
    const auto encoded = boost::urls::make_pct_string_view({text.data(), text.size()});
    if (!encoded)
        return std::string(text);
    const boost::urls::decode_view decoded(*encoded);
    return std::string(decoded.begin(), decoded.end());
}

std::string quoted(Version version)
{
    return fmt::format("\"{}\"", version);
}

std::optional<Version> readTag(std::string_view tag)
{
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
        return std::nullopt;
    const std::string digits(tag.substr(1, tag.size() - 2));
    if (digits.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    return std::strtoull(digits.c_str(), nullptr, 10);
}

bool isUtf8(const std::string &text)
{
    Json probe = text;
    const std::string strict = probe.dump(-1, ' ', false, Json::error_handler_t::ignore);
    const std::string replaced = probe.dump(-1, ' ', false, Json::error_handler_t::replace);
    return strict == replaced;
}

void addBody(Json &entry, const Body &body)
{
    if (body && isUtf8(*body))
        entry["body"] = *body;
}

HttpReply taggedReply(int status, Version version)
{
    HttpReply reply;
    reply.m_status = status;
    reply.m_headers.add("ETag", quoted(version));
    return reply;
}

HttpReply describeOutcome(const WriteOutcome &outcome, int successStatus)
{
    const auto failed = [](const ConditionFailed &failure) {
        HttpReply reply = errorReply(412, "the condition does not hold");
        if (failure.m_current)
            reply.m_headers.add("ETag", quoted(*failure.m_current));
        return reply;
    };
    return std::visit(Overloaded{[&](const Written &written) {
                                     return taggedReply(successStatus, written.m_version);
                                 },
                                 failed,
                                 [](const ObjectMissing &) { return errorReply(404, "missing"); },
                                 [](const BodyTooLarge &) {
                                     return errorReply(413, "too large");
                                 }},
                      outcome);
}

} // namespace

/// The kind, the object and the type of a call.
struct PlatformServer::Target
{
    bool m_isWatch = false;
    bool m_isList = false;
    std::string m_kind;
    std::string m_name;
    std::string m_call;

    bool isWrite() const { return m_call == "PUT" || m_call == "DELETE"; }

    static std::optional<Target> read(const HttpRequest &request)
    {
        const std::string_view path = request.path();
        Target target;
        target.m_isWatch = path.starts_with(watchPrefix);
        if (!target.m_isWatch && !path.starts_with(objectsPrefix))
            return std::nullopt;
        const auto rest = path.substr(target.m_isWatch ? watchPrefix.size() : objectsPrefix.size());
        const auto slash = rest.find('/');
        target.m_kind = decode(rest.substr(0, slash));
        if (slash != std::string_view::npos)
            target.m_name = decode(rest.substr(slash + 1));
        target.m_isList = !target.m_isWatch && target.m_name.empty();
        target.m_call = request.m_method;
        if (target.m_isWatch)
            target.m_call = "WATCH";
        else if (target.m_isList)
            target.m_call = "LIST";
        const bool reads = request.m_method == "GET";
        if (target.m_kind.empty() || ((target.m_isWatch || target.m_isList) && !reads))
            return std::nullopt;
        return target;
    }
};

PlatformServer::PlatformServer(PlatformSettings settings, const Clock &clock)
    : m_clock(clock)
    , m_settings(settings)
    , m_store(settings.m_limits)
    , m_writes(settings.m_writesPerSecond)
    , m_reads(settings.m_readsPerSecond)
{}

void PlatformServer::handle(const HttpRequest &request, HttpResponder &responder)
{
    const std::string_view path = request.path();
    if (path == "/admin/faults") {
        responder.send(answerFaultCall(m_faults, request));
        return;
    }
    if (path == "/admin/counters") {
        responder.send(answerCounters());
        return;
    }
    if (m_lifetime.state() == LifeState::Silent)
        m_lifetime.waitUntilGone(responder);
    if (!m_lifetime.isAlive()) {
        responder.abandon();
        return;
    }
    const auto target = Target::read(request);
    if (!target) {
        responder.send(errorReply(404, "no such call"));
        return;
    }
    answer(request, *target, responder);
}

void PlatformServer::answer(const HttpRequest &request, const Target &target,
                            HttpResponder &responder)
{
    const std::string line = request.m_method + " " + request.m_target;
    ++m_calls[target.m_call + " " + target.m_kind];
    ++(target.isWrite() ? m_writeCount : m_readCount);
    if (!passesFaults(line, responder))
        return;
    if (!withinRate(target, line)) {
        ++m_limitedCount;
        HttpReply reply = errorReply(429, "the rate is spent");
        reply.m_headers.add("Retry-After", "1");
        responder.send(reply);
        return;
    }
    Duration latency = m_settings.m_latency;
    if (const auto slow = m_faults.take(FaultKind::Slow, line))
        latency += slow->m_delay;
    const bool present = m_lifetime.wait(latency, responder);
    if (!present && !m_lifetime.isAlive()) {
        responder.abandon();
        return;
    }
    const HttpReply reply =
            target.m_isWatch ? watch(request, target, responder) : perform(request, target);
    // Checks again after the wait: an outage that began meanwhile also drops the watch's answer.
    if (target.m_isWatch && !passesFaults(line, responder))
        return;
    if (m_faults.take(FaultKind::HangAfter, line) || m_lifetime.state() == LifeState::Silent) {
        m_lifetime.waitUntilGone(responder);
        return;
    }
    if (m_faults.take(FaultKind::CloseAfter, line) || !m_lifetime.isAlive()) {
        responder.abandon();
        return;
    }
    responder.send(reply);
}

bool PlatformServer::passesFaults(const std::string &line, HttpResponder &responder)
{
    if (m_faults.take(FaultKind::Outage, line)) {
        responder.send(errorReply(503, "outage"));
        return false;
    }
    if (m_faults.take(FaultKind::Silence, line) || m_faults.take(FaultKind::HangBefore, line)) {
        m_lifetime.waitUntilGone(responder);
        return false;
    }
    if (!m_faults.take(FaultKind::CloseBefore, line))
        return true;
    responder.abandon();
    return false;
}

bool PlatformServer::withinRate(const Target &target, const std::string &line)
{
    if (m_faults.take(FaultKind::RateLimit, line))
        return false;
    return (target.isWrite() ? m_writes : m_reads).take(m_clock.now());
}

HttpReply PlatformServer::perform(const HttpRequest &request, const Target &target)
{
    if (target.m_isList)
        return list(request, target);
    if (request.m_method == "PUT")
        return put(request, target);
    if (request.m_method == "DELETE")
        return remove(request, target);
    if (request.m_method != "GET")
        return errorReply(405, "GET, PUT or DELETE");
    const auto object = m_store.read(target.m_kind, target.m_name);
    if (!object)
        return errorReply(404, "missing");
    HttpReply reply = taggedReply(200, object->m_version);
    reply.m_headers.add("Content-Type", "application/octet-stream");
    reply.m_body = *object->m_body;
    return reply;
}

HttpReply PlatformServer::put(const HttpRequest &request, const Target &target)
{
    WriteOutcome outcome = ObjectMissing{};
    int successStatus = 200;
    if (request.m_headers.value("If-None-Match") == "*") {
        successStatus = 201;
        outcome = m_store.create(target.m_kind, target.m_name, request.m_body);
    } else {
        const auto expected = readTag(request.m_headers.value("If-Match"));
        if (!expected)
            return errorReply(428, "If-None-Match: * or If-Match is required");
        outcome = m_store.update(target.m_kind, target.m_name, *expected, request.m_body);
    }
    m_changed.notify_all();
    return describeOutcome(outcome, successStatus);
}

HttpReply PlatformServer::remove(const HttpRequest &request, const Target &target)
{
    std::optional<Version> expected;
    if (const auto tag = request.m_headers.find("If-Match")) {
        expected = readTag(*tag);
        if (!expected)
            return errorReply(400, "malformed If-Match");
    }
    const WriteOutcome outcome = m_store.remove(target.m_kind, target.m_name, expected);
    m_changed.notify_all();
    if (!std::holds_alternative<Written>(outcome))
        return describeOutcome(outcome, 204);
    HttpReply reply;
    reply.m_status = 204;
    return reply;
}

HttpReply PlatformServer::list(const HttpRequest &request, const Target &target) const
{
    const bool withBodies = request.parameter("bodies") == "1";
    Json objects = Json::array();
    for (const auto &[name, object] :
         m_store.list(target.m_kind, request.parameter("prefix").value_or(""))) {
        Json entry = {{"name", name}, {"version", object.m_version}};
        if (withBodies)
            addBody(entry, object.m_body);
        objects.push_back(std::move(entry));
    }
    return jsonReply(200, {{"version", m_store.version()}, {"objects", std::move(objects)}});
}

HttpReply PlatformServer::watch(const HttpRequest &request, const Target &target,
                                HttpResponder &responder)
{
    const Version after =
            std::strtoull(request.parameter("after").value_or("0").c_str(), nullptr, 10);
    const auto wanted = request.parameter("timeoutMs");
    const double millis = wanted ? std::strtod(wanted->c_str(), nullptr) : defaultWatchMillis;
    const Duration timeout = std::min(longestWatch, fromMillis(millis));
    const auto ready = [&] {
        const WatchOutcome outcome = m_store.changes(target.m_kind, after);
        const auto *events = std::get_if<std::vector<ObjectEvent>>(&outcome);
        return events == nullptr || !events->empty() || responder.isCallerGone()
               || !m_lifetime.isAlive();
    };
    responder.onCallerGone([this] { m_changed.notify_all(); });
    {
        ++m_waitingWatches;
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, timeout, ready);
        --m_waitingWatches;
    }
    responder.onCallerGone(nullptr);
    const WatchOutcome outcome = m_store.changes(target.m_kind, after);
    const auto *found = std::get_if<std::vector<ObjectEvent>>(&outcome);
    if (found == nullptr)
        return errorReply(410, "too old: list again");
    Json events = Json::array();
    for (const ObjectEvent &event : *found) {
        Json entry = {
                {"name", event.m_name}, {"version", event.m_version}, {"deleted", event.m_deleted}};
        addBody(entry, event.m_body);
        events.push_back(std::move(entry));
    }
    return jsonReply(200, {{"version", m_store.version()}, {"events", std::move(events)}});
}

HttpReply PlatformServer::answerCounters() const
{
    return jsonReply(200, {{"writes", m_writeCount},
                           {"reads", m_readCount},
                           {"limited", m_limitedCount},
                           {"waiting_watches", m_waitingWatches},
                           {"version", m_store.version()},
                           {"calls", m_calls}});
}

} // namespace gypsumdale::standins
