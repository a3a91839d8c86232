#include <gypsumdale/kernel/error_reply.hpp>
#include <gypsumdale/kernel/job_call.hpp>
#include <gypsumdale/runtime/http_status.hpp>

#include <fmt/format.h>

namespace gypsumdale {

namespace {

/// The request and its overhead must fit into one record of the job's log.
constexpr std::size_t maxJobBytes = std::size_t{512} * 1024;
constexpr Duration offerRetryAfter = std::chrono::seconds(2);
/// The same for all failed reattachments, so that it doesn't reveal whether the job exists and
/// belongs to another member.
constexpr Duration reattachRetryAfter = std::chrono::seconds(1);
/// Marks a request that was forwarded by another node and must not be forwarded again.
constexpr std::string_view forwardedHeader = "X-Gypsumdale-Forwarded";
constexpr Duration maxProxySilence = std::chrono::minutes(5);

} // namespace

JobCall::JobCall(Traffic &traffic, HttpResponder &responder)
    : m_traffic(traffic)
    , m_responder(responder)
{}

void JobCall::runNew(const RequestContext &context, const ChatRequest &request,
                     const std::string &body)
{
    m_member = context.m_member->m_id;
    m_series = context.m_series;
    m_arrivedAt = context.m_arrivedAt;
    m_promptTokens = request.promptTokens();
    if (body.size() > maxJobBytes) {
        m_series->add(RequestCounter::Refused);
        m_responder.send(
                errorReply({ErrorId::RequestTooLarge, "a durable request may have at most 512 KiB"},
                           Outcome::NotRun));
        return;
    }
    if (!request.isStreamed())
        m_collected.emplace();
    auto offered = m_traffic.callControl([&](Control &control) {
        JobRequest job;
        job.m_member = m_member;
        job.m_profile = context.m_profile->m_id;
        job.m_service = context.m_service;
        job.m_body = body;
        job.m_created = control.context().wallNow();
        job.m_deadline = job.m_created + toWholeMillis(context.m_profile->m_latency.m_deadline);
        return control.jobs().offer(job);
    });
    if (!succeeded(offered)) {
        m_series->add(RequestCounter::Refused);
        m_responder.send(errorReply(errorOf(offered), Outcome::NotRun, offerRetryAfter));
        return;
    }
    const std::shared_ptr<JobFeed> feed = valueOf(offered).second;
    m_job = valueOf(offered).first;
    m_writer.emplace(m_job.text(), context.m_service);
    if (!awaitAcceptance(*feed))
        return;
    for (const FeedTokens &tokens : m_earlyTokens) {
        if (!processTokens(tokens))
            return;
    }
    follow(*feed);
}

bool JobCall::awaitAcceptance(JobFeed &feed)
{
    while (const auto event = feed.next()) {
        if (std::holds_alternative<FeedAccepted>(*event))
            return m_collected || begin();
        if (const auto *tokens = std::get_if<FeedTokens>(&*event)) {
            m_earlyTokens.push_back(*tokens);
            continue;
        }
        const auto *refused = std::get_if<FeedRefused>(&*event);
        const Error error =
                refused ? refused->m_error
                        : Error{ErrorId::JobNotHeld, "the job ended before it was held"};
        m_series->add(RequestCounter::Refused);
        m_responder.send(errorReply(error, Outcome::NotRun, offerRetryAfter));
        return false;
    }
    m_responder.send(errorReply({ErrorId::JobNotHeld, "the job could not be held"}, Outcome::NotRun,
                                offerRetryAfter));
    return false;
}

bool JobCall::begin()
{
    if (m_hasStarted || m_collected)
        return true;
    m_hasStarted = true;
    HttpHeaders headers;
    headers.add("Content-Type", "text/event-stream");
    headers.add("Cache-Control", "no-store");
    headers.add("X-Job-Id", m_job.text());
    return m_responder.begin(statusOk, headers);
}

bool JobCall::write()
{
    if (m_buffer.empty())
        return true;
    const bool isWritten = m_responder.write(m_buffer);
    m_buffer.clear();
    return isWritten;
}

bool JobCall::processTokens(const FeedTokens &tokens)
{
    const std::int64_t end = tokens.m_firstToken + tokens.m_tokens.tokens();
    if (end <= m_position.m_offset)
        return true;
    const std::int64_t skipped = m_position.m_offset - tokens.m_firstToken;
    // Tokens are missing; the caller reattaches and gets them from the stored job.
    if (skipped < 0) {
        sendReattachHint();
        return false;
    }
    const TimePoint now = m_traffic.now();
    if (m_series && m_position.m_offset == 0)
        m_series->record(Latency::FirstToken, now - m_arrivedAt);
    else if (m_series)
        m_series->record(Latency::BetweenTokens, now - m_lastTokenAt);
    m_lastTokenAt = now;
    for (std::int64_t index = skipped; index < tokens.m_tokens.tokens(); ++index) {
        const std::int64_t offset = tokens.m_firstToken + index;
        m_position = {tokens.m_epoch, offset + 1};
        if (m_collected)
            m_collected->append(tokens.m_tokens.token(index));
        else
            m_writer->appendToken(m_buffer, offset, tokens.m_tokens.token(index), m_position);
    }
    return write();
}

void JobCall::follow(JobFeed &feed)
{
    while (const auto event = feed.next()) {
        if (const auto *tokens = std::get_if<FeedTokens>(&*event)) {
            if (!processTokens(*tokens)) {
                feed.close();
                return;
            }
        }
        if (std::holds_alternative<FeedEnded>(*event)) {
            sendRemainder();
            return;
        }
        if (std::holds_alternative<FeedMoved>(*event)
            || std::holds_alternative<FeedRefused>(*event)) {
            sendReattachHint();
            return;
        }
    }
    sendReattachHint();
}

void JobCall::sendRemainder()
{
    // Events that didn't fit into the feed, or came after its end, are read from the finished
    // answer.
    auto [answer, feed] = m_traffic.callControl([this](Control &control) {
        return control.jobs().reattach(m_job, m_member, m_position);
    });
    if (const auto *served = std::get_if<ServeFrom>(&answer))
        sendStored(*served, feed);
    else
        sendReattachHint();
}

void JobCall::sendStored(const ServeFrom &answer, const std::shared_ptr<JobFeed> &feed)
{
    if (!begin())
        return;
    for (std::int64_t index = 0; index < answer.m_tokens.tokens(); ++index) {
        const std::int64_t offset = answer.m_position.m_offset + index;
        m_position = {answer.m_epochs.epochAt(offset), offset + 1};
        if (m_collected)
            m_collected->append(answer.m_tokens.token(index));
        else
            m_writer->appendToken(m_buffer, offset, answer.m_tokens.token(index), m_position);
    }
    if (!write())
        return;
    if (answer.m_state == JobState::Finished) {
        sendEnd(answer.m_finishReason, Finality::Final);
        return;
    }
    if (answer.m_state == JobState::Provisional) {
        sendEnd(answer.m_finishReason, Finality::Provisional);
        return;
    }
    if (feed && !isOver(answer.m_state)) {
        follow(*feed);
        return;
    }
    const Error error{answer.m_state == JobState::Expired ? ErrorId::JobExpired
                                                          : ErrorId::UpstreamFailed,
                      answer.m_finishReason.empty() ? "the job failed" : answer.m_finishReason};
    if (m_collected || !m_hasStarted) {
        m_responder.send(errorReply(error));
        return;
    }
    appendNamedEvent(m_buffer, "error", errorBody(error));
    write();
}

void JobCall::sendEnd(std::string_view finishReason, Finality finality)
{
    if (m_series) {
        m_series->record(Latency::Total, m_traffic.now() - m_arrivedAt);
        m_series->add(RequestCounter::Done);
        m_series->add(RequestCounter::GeneratedTokens,
                      static_cast<std::uint64_t>(m_position.m_offset));
    }
    if (m_collected) {
        HttpReply reply;
        reply.m_headers.add("Content-Type", "application/json");
        reply.m_headers.add("X-Job-Id", m_job.text());
        reply.m_body = m_writer->whole(*m_collected, finishReason, m_promptTokens, finality);
        m_responder.send(reply);
        return;
    }
    m_writer->appendEnd(m_buffer, m_position.m_offset, finishReason, finality);
    if (write())
        m_responder.finish();
}

void JobCall::sendReattachHint()
{
    if (m_collected) {
        HttpReply reply = errorReply(
                {ErrorId::PeerUnreachable, "the job continues on another node: read it at /v1/jobs/"
                                                   + m_job.text() + "/events"},
                reattachRetryAfter);
        reply.m_headers.add("X-Job-Id", m_job.text());
        m_responder.send(reply);
        return;
    }
    if (!begin())
        return;
    // Ends the body properly but without the answer's end marker, so that the caller knows that the
    // answer is incomplete and where to continue.
    appendNamedEvent(
            m_buffer, "reattach",
            fmt::format(R"({{"job":"{}","position":"{}"}})", m_job.text(), toText(m_position)));
    if (write())
        m_responder.finish();
}

void JobCall::runReattached(const MemberId &member, const JobId &job, AnswerPosition position,
                            const HttpRequest &original)
{
    m_member = member;
    m_job = job;
    m_position = position;
    m_writer.emplace(job.text(), ServiceId());
    for (;;) {
        auto [answer, feed] = m_traffic.callControl([this](Control &control) {
            return control.jobs().reattach(m_job, m_member, m_position);
        });
        if (const auto *served = std::get_if<ServeFrom>(&answer)) {
            sendStored(*served, feed);
            return;
        }
        if (const auto *cut = std::get_if<DiscardTokens>(&answer)) {
            if (!begin())
                return;
            m_position = cut->m_position;
            appendNamedEvent(m_buffer, "cut-back",
                             fmt::format(R"({{"position":"{}"}})", toText(m_position)));
            continue;
        }
        const auto *elsewhere = std::get_if<RedirectToNode>(&answer);
        const bool isForwarded = original.m_headers.find(forwardedHeader).has_value();
        const auto located =
                isForwarded ? std::nullopt : m_traffic.callControl([&](Control &control) {
                    return control.jobs().locate(m_job, elsewhere ? std::optional(elsewhere->m_node)
                                                                  : std::nullopt);
                });
        if (located) {
            proxy(*located, original);
            return;
        }
        const Error error = std::holds_alternative<Error>(answer)
                                    ? std::get<Error>(answer)
                                    : Error{ErrorId::PeerUnreachable,
                                            "the node that has the job is unreachable"};
        if (!m_hasStarted)
            m_responder.send(errorReply(error, reattachRetryAfter));
        return;
    }
}

void JobCall::proxy(const wire::JobLocated &located, const HttpRequest &original)
{
    HttpCall call;
    call.m_endpoint = {located.callerAddress, static_cast<std::uint16_t>(located.callerPort)};
    call.m_target = fmt::format("/v1/jobs/{}/events", m_job.text());
    call.m_headers.add("Authorization", std::string(original.m_headers.value("Authorization")));
    call.m_headers.add("Last-Event-ID", toText(m_position));
    call.m_headers.add(std::string(forwardedHeader), "1");
    call.m_silenceTimeout = maxProxySilence;
    auto result = m_traffic.current().m_client.open(call);
    if (const auto *failure = std::get_if<CallFailure>(&result)) {
        if (!m_hasStarted)
            m_responder.send(errorReply(failure->m_error, reattachRetryAfter));
        return;
    }
    HttpExchange exchange = std::get<HttpExchange>(std::move(result));
    if (exchange.status() != statusOk) {
        if (!m_hasStarted)
            m_responder.send(errorReply({ErrorId::JobUnknown, "no such job"}, reattachRetryAfter));
        return;
    }
    if (!begin() || !write())
        return;
    for (;;) {
        auto piece = exchange.read();
        if (std::holds_alternative<CallFailure>(piece))
            return;
        const auto &bytes = std::get<std::optional<std::string>>(piece);
        if (!bytes) {
            m_responder.finish();
            return;
        }
        if (!m_responder.write(*bytes))
            return;
    }
}

} // namespace gypsumdale
