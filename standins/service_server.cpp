#include "standins/service_server.hpp"

#include <utility> // move

namespace gypsumdale::standins {

namespace {

constexpr std::string_view foreignAttempt = "attempt-of-another-caller";
/// Not a valid status code.
constexpr int noStatus = 999;

std::string businessKey(const HttpRequest &request)
{
    const std::string_view header = request.m_headers.value("X-Business-Key");
    if (!header.empty())
        return std::string(header);
    const Json body = parseJson(request.m_body);
    return body.is_object() ? textField(body, "key") : std::string();
}

} // namespace

ServiceServer::ServiceServer(ServiceSettings settings)
    : m_settings(std::move(settings))
{}

void ServiceServer::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path() == "/admin/faults") {
        responder.send(answerFaultCall(m_faults, request));
        return;
    }
    if (request.path() == "/admin/runs") {
        responder.send(jsonReply(200, m_runs.describe(request.parameter("key").value_or(""))));
        return;
    }
    if (m_lifetime.state() == LifeState::Silent)
        m_lifetime.waitUntilGone(responder);
    if (!m_lifetime.isAlive()) {
        responder.abandon();
        return;
    }
    if (request.path() == "/load" && request.m_method == "GET") {
        responder.send(answerLoad(request.m_method + " " + request.m_target));
        return;
    }
    run(request, responder);
}

void ServiceServer::run(const HttpRequest &request, HttpResponder &responder)
{
    const std::string line = request.m_method + " " + request.m_target;
    if (!passesFaults(line, responder))
        return;
    std::string attempt(request.m_headers.value("X-Attempt-Id"));
    const RunCount count =
            m_runs.record(attempt, std::string(request.path()), businessKey(request));
    Duration delay = m_settings.m_delay;
    if (const auto slow = m_faults.take(FaultKind::Slow, line))
        delay += slow->m_delay;
    ++m_running;
    m_lifetime.wait(delay, responder);
    --m_running;
    if (m_faults.take(FaultKind::HangAfter, line) || m_lifetime.state() == LifeState::Silent) {
        m_lifetime.waitUntilGone(responder);
        return;
    }
    if (m_faults.take(FaultKind::CloseAfter, line) || !m_lifetime.isAlive()) {
        responder.abandon();
        return;
    }
    if (m_faults.take(FaultKind::CrossedAnswer, line))
        attempt = foreignAttempt;
    HttpReply reply = jsonReply(200, {{"service", m_settings.m_name},
                                      {"run", count.m_total},
                                      {"attempt_runs", count.m_ofAttempt},
                                      {"key_runs", count.m_ofKey},
                                      {"attempt", attempt}});
    reply.m_headers.add("X-Attempt-Id", attempt);
    if (m_faults.take(FaultKind::CodedAnswer, line))
        reply.m_headers.add("Content-Encoding", "gzip");
    if (m_faults.take(FaultKind::BadStatus, line))
        reply.m_status = noStatus;
    responder.send(reply);
}

bool ServiceServer::passesFaults(const std::string &line, HttpResponder &responder)
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

HttpReply ServiceServer::answerLoad(const std::string &line)
{
    std::int64_t incarnation = m_settings.m_incarnation;
    if (m_faults.take(FaultKind::WrongIncarnation, line))
        ++incarnation;
    return jsonReply(200, {{"slots", m_settings.m_slots},
                           {"running", m_running},
                           {"queued", 0},
                           {"incarnation", incarnation}});
}

} // namespace gypsumdale::standins
