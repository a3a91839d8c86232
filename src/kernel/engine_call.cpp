#include <gypsumdale/kernel/engine_call.hpp>
#include <gypsumdale/runtime/http_status.hpp>

#include <fmt/format.h>

namespace gypsumdale {

namespace {

constexpr int firstClientError = 400;
constexpr int firstServerError = 500;

} // namespace

void countDroppedEvents(Metrics &metrics, const AnswerAssembler &assembler)
{
    const AssemblerCounters &counters = assembler.counters();
    metrics.add(Counter::StrayEvents,
                counters.m_otherAttempt + counters.m_duplicates + counters.m_afterFinish);
}

EngineCall::EngineCall(HttpClient &client, AnswerAssembler &assembler)
    : m_client(client)
    , m_assembler(assembler)
{}

EngineResult<Done> EngineCall::open(const EngineAttempt &attempt)
{
    m_name = attempt.m_name;
    m_assembler.beginAttempt(m_name);
    HttpCall call;
    call.m_endpoint = attempt.m_endpoint;
    call.m_method = "POST";
    call.m_target = "/v1/chat/completions";
    call.m_headers.add("Content-Type", "application/json");
    call.m_headers.add("X-Attempt-Id", m_name);
    call.m_body = attempt.m_body;
    call.m_headerTimeout = attempt.m_headerTimeout;
    call.m_silenceTimeout = attempt.m_silenceTimeout;
    auto result = m_client.open(call);
    if (auto *failure = std::get_if<CallFailure>(&result)) {
        // An idle connection may have been dropped by a device between the two ends, which shows as
        // silence after the request was sent. The other pooled connections are then as dead, and
        // each retry would wait as long.
        if (failure->m_phase != SendPhase::NothingSent)
            m_client.forget(attempt.m_endpoint);
        return EngineFailure{failure->m_error, failure->m_phase};
    }
    if (m_isCancelled)
        return EngineFailure{{ErrorId::Cancelled, "cancelled"}, SendPhase::MayHaveBeenRead};
    m_exchange.emplace(std::get<HttpExchange>(std::move(result)));
    if (m_exchange->status() != statusOk)
        return refused(*m_exchange);
    return Done{};
}

EngineResult<Done> EngineCall::refused(const HttpExchange &exchange) const
{
    const int status = exchange.status();
    EngineFailure failure;
    failure.m_phase = SendPhase::AnswerStarted;
    failure.m_isRefusedBeforeStart =
            status == statusUnavailable && exchange.headers().value("X-Not-Run") == "1";
    failure.m_isPermanent = status >= firstClientError && status < firstServerError
                            && status != statusTooManyRequests;
    failure.m_error = {failure.m_isPermanent ? ErrorId::UpstreamRefused : ErrorId::UpstreamFailed,
                       fmt::format("the engine answered with status {}", status)};
    return failure;
}

EngineResult<EngineProgress> EngineCall::read()
{
    EngineProgress progress;
    progress.m_firstNewToken = m_assembler.answer().tokens();
    auto piece = m_exchange->read();
    if (const auto *failure = std::get_if<CallFailure>(&piece))
        return EngineFailure{failure->m_error, failure->m_phase};
    const auto &bytes = std::get<std::optional<std::string>>(piece);
    if (!bytes)
        return endOfBody();
    const auto fed =
            m_parser.feed(*bytes, [this](std::string_view data) { return processEvent(data); });
    if (!succeeded(fed))
        return failed(errorOf(fed));
    progress.m_tokenCount = m_assembler.answer().tokens();
    progress.m_isComplete = m_assembler.hasCompleteAnswer();
    if (!progress.m_isComplete)
        return progress;
    // The end marker was the last event; reading the end of the body returns the connection to the
    // pool.
    const auto rest = m_exchange->read();
    (void)rest;
    m_exchange.reset();
    return progress;
}

Result<Done> EngineCall::processEvent(std::string_view data)
{
    const auto event = m_reader.read(data);
    if (!succeeded(event))
        return errorOf(event);
    if (const auto *token = std::get_if<TokenEvent>(&valueOf(event))) {
        // The assembler drops and counts events of other attempts, which may be late or
        // misdirected.
        const EventVerdict verdict = m_assembler.addEvent(*token);
        if (verdict == EventVerdict::Gap)
            return Error{ErrorId::AnswerTruncated, "tokens are missing from the stream"};
    } else {
        m_assembler.receiveEndMarker(m_name);
    }
    return Done{};
}

EngineResult<EngineProgress> EngineCall::endOfBody()
{
    const auto ended = m_assembler.attemptResult();
    if (!succeeded(ended))
        return failed(errorOf(ended));
    return failed({ErrorId::AnswerTruncated, "the stream ended without its end marker"});
}

EngineFailure EngineCall::failed(Error error) const
{
    return {std::move(error), SendPhase::AnswerStarted};
}

void EngineCall::cancel()
{
    m_isCancelled = true;
    if (m_exchange)
        m_exchange->cancel();
}

} // namespace gypsumdale
