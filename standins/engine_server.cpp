#include "standins/engine_server.hpp"

#include <boost/fiber/operations.hpp>

#include <fmt/format.h>

#include <mutex> // unique_lock
#include <optional> // optional
#include <utility> // move

namespace gypsumdale::standins {

namespace {

constexpr std::string_view completionsPath = "/v1/chat/completions";
constexpr std::string_view sessionPrefix = "/kv/";
constexpr std::string_view endMarker = "data: [DONE]\n\n";
constexpr std::string_view foreignAttempt = "attempt-of-another-caller";

std::string requestLine(const HttpRequest &request)
{
    return request.m_method + " " + request.m_target;
}

Json describeUsage(const Usage &usage)
{
    return {{"prompt_tokens", usage.m_promptTokens},
            {"completion_tokens", usage.m_completionTokens},
            {"total_tokens", usage.m_promptTokens + usage.m_completionTokens},
            {"prompt_tokens_details", {{"cached_tokens", usage.m_cachedTokens}}}};
}

Json describeEvent(std::string_view id, const Token &token)
{
    Json reason;
    if (!token.m_finishReason.empty())
        reason = token.m_finishReason;
    Json choice = {{"index", 0},
                   {"delta", {{"content", token.m_text}}},
                   {"finish_reason", std::move(reason)}};
    return {{"id", id},
            {"object", "chat.completion.chunk"},
            {"token_index", token.m_index},
            {"choices", Json::array({std::move(choice)})}};
}

std::string eventText(const Json &event)
{
    return fmt::format("data: {}\n\n", event.dump());
}

HttpHeaders streamHeaders(const std::string &attempt)
{
    HttpHeaders headers;
    headers.add("Content-Type", "text/event-stream");
    headers.add("X-Attempt-Id", attempt);
    return headers;
}

} // namespace

/// One unfinished answer and the faults to inject into it.
struct EngineServer::Stream
{
    SequenceId m_sequence = 0;
    std::string m_attempt;
    std::string m_model;
    int m_firstIndex = 0;
    int m_sent = 0;
    std::optional<Fault> m_cutStream;
    std::optional<Fault> m_endEarly;
    std::optional<Fault> m_silentStream;
    std::optional<Fault> m_duplicate;
    std::optional<Fault> m_crossed;
    Duration m_extraTokenTime = {};
};

EngineServer::EngineServer(EngineSettings settings, const Clock &clock)
    : m_clock(clock)
    , m_engine(std::move(settings))
{}

void EngineServer::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path() == "/admin/faults") {
        responder.send(answerFaultCall(m_faults, request));
        return;
    }
    if (m_lifetime.state() == LifeState::Silent)
        m_lifetime.waitUntilGone(responder);
    if (!m_lifetime.isAlive()) {
        responder.abandon();
        return;
    }
    if (request.path() == completionsPath && request.m_method == "POST") {
        complete(request, responder);
        return;
    }
    responder.send(answerAuxiliaryCall(request));
}

void EngineServer::complete(const HttpRequest &request, HttpResponder &responder)
{
    const std::string line = requestLine(request);
    if (!passesFaults(line, responder))
        return;
    auto generation = readGenerationRequest(parseJson(request.m_body));
    if (!generation) {
        responder.send(errorReply(400, "no messages"));
        return;
    }
    generation->m_attempt = request.m_headers.value("X-Attempt-Id");
    const bool streamed = generation->m_stream;
    Stream stream;
    stream.m_attempt = generation->m_attempt;
    stream.m_model = m_engine.settings().m_model;
    stream.m_firstIndex = generation->m_resumeTokens;
    stream.m_cutStream = m_faults.take(FaultKind::CutStream, line);
    // Only one fault ends a stream; the others are kept for later requests.
    if (!stream.m_cutStream)
        stream.m_endEarly = m_faults.take(FaultKind::EndEarly, line);
    if (!stream.m_cutStream && !stream.m_endEarly)
        stream.m_silentStream = m_faults.take(FaultKind::SilentStream, line);
    stream.m_duplicate = m_faults.take(FaultKind::DuplicateEvent, line);
    stream.m_crossed = m_faults.take(FaultKind::CrossedAnswer, line);
    if (const auto slow = m_faults.take(FaultKind::Slow, line))
        stream.m_extraTokenTime = slow->m_delay;
    stream.m_sequence = m_engine.submit(std::move(*generation), m_clock.now());
    if (!waitForSlot(stream.m_sequence, responder)) {
        m_engine.cancel(stream.m_sequence, m_clock.now());
        m_slotFreed.notify_all();
        return;
    }
    const Duration prefill = m_engine.prefill(stream.m_sequence, m_clock.now());
    if (!m_lifetime.wait(prefill, responder))
        m_engine.cancel(stream.m_sequence, m_clock.now());
    else if (streamed)
        this->stream(stream, responder);
    else
        sendCompleteAnswer(stream, responder);
    m_slotFreed.notify_all();
    if (m_lifetime.state() == LifeState::Silent)
        m_lifetime.waitUntilGone(responder);
    if (!m_lifetime.isAlive())
        responder.abandon();
}

bool EngineServer::passesFaults(const std::string &line, HttpResponder &responder)
{
    if (m_faults.take(FaultKind::NotRun, line)) {
        HttpReply reply = errorReply(503, "not run");
        reply.m_headers.add("X-Not-Run", "1");
        responder.send(reply);
        return false;
    }
    if (m_faults.take(FaultKind::HangBefore, line)) {
        m_lifetime.waitUntilGone(responder);
        return false;
    }
    if (!m_faults.take(FaultKind::CloseBefore, line))
        return true;
    responder.abandon();
    return false;
}

bool EngineServer::waitForSlot(SequenceId id, HttpResponder &responder)
{
    responder.onCallerGone([this] { m_slotFreed.notify_all(); });
    std::unique_lock lock(m_mutex);
    m_slotFreed.wait(lock, [&] {
        return m_engine.isAdmitted(id) || responder.isCallerGone() || !m_lifetime.isAlive();
    });
    responder.onCallerGone(nullptr);
    return m_engine.isAdmitted(id) && m_lifetime.isAlive() && !responder.isCallerGone();
}

void EngineServer::stream(Stream &stream, HttpResponder &responder)
{
    bool whole = responder.begin(200, streamHeaders(stream.m_attempt));
    TimePoint due = m_clock.now();
    while (whole) {
        due += m_engine.tokenTime() + stream.m_extraTokenTime;
        whole = !applyStreamFault(stream, responder)
                && m_lifetime.wait(due - m_clock.now(), responder);
        if (!whole)
            break;
        const auto token = m_engine.generate(stream.m_sequence);
        if (!token)
            break;
        whole = writeToken(stream, *token, responder);
        boost::this_fiber::yield();
        if (!token->m_finishReason.empty())
            break;
    }
    if (!whole) {
        m_engine.cancel(stream.m_sequence, m_clock.now());
        return;
    }
    if (stream.m_sent == 0) {
        Token nothing;
        nothing.m_index = stream.m_firstIndex;
        nothing.m_finishReason = m_engine.finishReason(stream.m_sequence);
        writeToken(stream, nothing, responder);
    }
    m_engine.finish(stream.m_sequence, m_clock.now());
    responder.write(endMarker);
    responder.finish();
}

bool EngineServer::writeToken(Stream &stream, const Token &token, HttpResponder &responder)
{
    Json event = describeEvent(stream.m_attempt, token);
    event["model"] = stream.m_model;
    if (!token.m_finishReason.empty())
        event["usage"] = describeUsage(m_engine.usage(stream.m_sequence));
    std::string text = eventText(event);
    if (stream.m_crossed && stream.m_crossed->m_afterTokens == stream.m_sent) {
        Token foreign = token;
        foreign.m_text = " foreign";
        foreign.m_finishReason = {};
        text = eventText(describeEvent(foreignAttempt, foreign)) + text;
    }
    if (stream.m_duplicate && stream.m_duplicate->m_afterTokens == stream.m_sent)
        text += text;
    ++stream.m_sent;
    return responder.write(text);
}

void EngineServer::sendCompleteAnswer(Stream &stream, HttpResponder &responder)
{
    std::string content;
    TimePoint due = m_clock.now();
    while (const auto token = m_engine.generate(stream.m_sequence)) {
        content += token->m_text;
        due += m_engine.tokenTime() + stream.m_extraTokenTime;
        if (!m_lifetime.wait(due - m_clock.now(), responder)) {
            m_engine.cancel(stream.m_sequence, m_clock.now());
            return;
        }
        boost::this_fiber::yield();
    }
    const std::string id = stream.m_crossed ? std::string(foreignAttempt) : stream.m_attempt;
    Json choice = {{"index", 0},
                   {"message", {{"role", "assistant"}, {"content", std::move(content)}}},
                   {"finish_reason", m_engine.finishReason(stream.m_sequence)}};
    HttpReply reply = jsonReply(200, {{"id", id},
                                      {"object", "chat.completion"},
                                      {"model", stream.m_model},
                                      {"choices", Json::array({std::move(choice)})},
                                      {"usage", describeUsage(m_engine.usage(stream.m_sequence))}});
    reply.m_headers.add("X-Attempt-Id", id);
    m_engine.finish(stream.m_sequence, m_clock.now());
    responder.send(reply);
}

bool EngineServer::applyStreamFault(const Stream &stream, HttpResponder &responder)
{
    const auto isDue = [&](const std::optional<Fault> &fault) {
        return fault && stream.m_sent >= fault->m_afterTokens;
    };
    if (isDue(stream.m_silentStream)) {
        m_lifetime.waitUntilGone(responder);
        return true;
    }
    if (isDue(stream.m_endEarly)) {
        responder.finish();
        return true;
    }
    return isDue(stream.m_cutStream);
}

HttpReply EngineServer::answerAuxiliaryCall(const HttpRequest &request)
{
    const std::string_view path = request.path();
    if (path == "/load")
        return answerLoad(requestLine(request));
    if (path == "/cache-events") {
        const auto after = request.parameter("after").value_or("0");
        return jsonReply(200, m_engine.cacheEvents(std::strtoull(after.c_str(), nullptr, 10),
                                                   m_clock.now()));
    }
    if (path.substr(0, sessionPrefix.size()) == sessionPrefix)
        return answerSession(request);
    if (path == "/orders" && request.m_method == "POST")
        return answerOrder(request);
    if (path == "/admin/orders")
        return jsonReply(200, {{"orders", m_engine.orders()}});
    if (path == "/admin/counters")
        return answerCounters();
    return errorReply(404, "no such call");
}

HttpReply EngineServer::answerLoad(const std::string &line)
{
    const TimePoint now = m_clock.now();
    const LoadReport report = m_engine.load(now);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - report.m_at);
    const EngineSettings &settings = m_engine.settings();
    std::int64_t incarnation = settings.m_incarnation;
    if (m_faults.take(FaultKind::WrongIncarnation, line))
        ++incarnation;
    return jsonReply(200, {{"slots", settings.m_slots},
                           {"running", report.m_running},
                           {"queued", report.m_queued},
                           {"cached_tokens", report.m_cachedTokens},
                           {"incarnation", incarnation},
                           {"model", settings.m_model},
                           {"at_millis", m_clock.wallNow() - age.count()}});
}

HttpReply EngineServer::answerSession(const HttpRequest &request)
{
    const std::string session(request.path().substr(sessionPrefix.size()));
    if (request.m_method == "PUT") {
        const bool imported = m_engine.importSession(session, parseJson(request.m_body));
        return imported ? jsonReply(200, Json::object()) : errorReply(400, "not an export");
    }
    const auto document = m_engine.exportSession(session);
    return document ? jsonReply(200, *document) : errorReply(404, "no such session");
}

HttpReply EngineServer::answerOrder(const HttpRequest &request)
{
    const Json body = parseJson(request.m_body);
    if (!body.is_object() || !body.contains("order") || !numberField(body, "fence"))
        return errorReply(400, "an order needs \"fence\" and \"order\"");
    const auto fence = static_cast<std::int64_t>(*numberField(body, "fence"));
    const OrderOutcome outcome = m_engine.order(fence, body["order"]);
    return jsonReply(outcome == OrderOutcome::Applied ? 200 : 409,
                     {{"fence", m_engine.highestFence()}});
}

HttpReply EngineServer::answerCounters() const
{
    const EngineCounters &counters = m_engine.counters();
    return jsonReply(200, {{"started", counters.m_started},
                           {"finished", counters.m_finished},
                           {"cancelled", counters.m_cancelled},
                           {"generated_tokens", counters.m_generatedTokens},
                           {"prefilled_tokens", counters.m_prefilledTokens},
                           {"cached_tokens", counters.m_cachedTokens},
                           {"resume_mismatches", counters.m_resumeMismatches}});
}

} // namespace gypsumdale::standins
