#include <gypsumdale/runtime/http_status.hpp>
#include <gypsumdale/serving/relay_headers.hpp>

#include <entry/entry_call.hpp>

#include <utility> // move

/// How a request is served through a peer while this VM is cut off from its service, and how a
/// request of such a peer is refused.
namespace gypsumdale {

namespace {

/// Returns whether a peer's own answer leaves open whether the request has run.
bool isOutcomeUnknown(int status)
{
    return status >= 500 && status != statusUnavailable;
}

/// Reason of a relay that did not reach the upstreams that it tried for one request.
constexpr std::string_view notPlaced = "not-placed";

} // namespace

PooledUpstreamPointer EntryCall::choosePeer()
{
    const RelayRequest request{m_service, m_traffic.dataCentre(), m_triedPeers, m_traffic.draw()};
    return m_traffic.relay().peers().choose(request, m_traffic.now());
}

/// Records that the request is about to be sent to a peer.
PlacedRun EntryCall::placeAtPeer(const PooledUpstreamPointer &peer)
{
    m_lastPlacedAt = m_traffic.now();
    m_triedPeers.insert(peer->m_record.m_id);
    logRelayed(*peer);
    return {InFlightGuard(peer, 0), nullptr, *m_lastPlacedAt};
}

/// Sends the request to the peer that was selected. Returns once it was sent.
CallResult<UpstreamAnswer>
EntryCall::sendToPeer(PlacedRun &run, const std::shared_ptr<CallCancellation> &cancellation)
{
    CallResult<HttpExchange> sent =
            m_traffic.client().send(buildRelayCall(run.m_guard.upstream(), cancellation));
    if (auto *failure = std::get_if<CallFailure>(&sent))
        return std::move(*failure);
    return UpstreamAnswer{std::get<HttpExchange>(std::move(sent)),
                          std::move(run.m_guard),
                          run.m_placedAt,
                          std::nullopt,
                          {m_service, SoftwareVersion()},
                          true};
}

/// Sends the request to one peer. Returns the answer, or why there is no further attempt, or
/// nothing where another one may be made.
std::optional<EntryCall::AttemptOutcome> EntryCall::relayOnce()
{
    const PooledUpstreamPointer peer = choosePeer();
    if (!peer)
        return AttemptStop::CutOff;
    if (m_attempts.hasArrived() && !m_traffic.takeRetry(m_service))
        return AttemptStop::NotAllowed;
    PlacedRun run = placeAtPeer(peer);
    CallResult<UpstreamAnswer> sent = sendToPeer(run, beginAttempt());
    if (const auto *failure = std::get_if<CallFailure>(&sent)) {
        recordRelayFailure(run.m_guard.upstream(), *failure);
        return std::nullopt;
    }
    auto &answer = std::get<UpstreamAnswer>(sent);
    awaitPart(answer, AnswerPart::Header);
    // The answer of a run that took its place was checked.
    if (answer.m_stage != RunStage::Waiting)
        return std::move(answer);
    if (answer.m_exchange.hasHeader())
        return takeRelayedHeader(answer);
    recordRelayFailure(answer.m_guard.upstream(), answer.m_exchange.giveUp());
    return std::nullopt;
}

/// Handles the header of an answer that came from a peer. Returns the same as relayOnce().
std::optional<EntryCall::AttemptOutcome> EntryCall::takeRelayedHeader(UpstreamAnswer &answer)
{
    answer.m_stage = RunStage::Begun;
    const HttpExchange &exchange = answer.m_exchange;
    PooledUpstream &peer = answer.m_guard.upstream();
    if (const auto reason = exchange.headers().find(relay_headers::refused)) {
        // A peer of an earlier release doesn't say how many attempts of its own arrived.
        const int unknown = *reason == notPlaced ? 1 : 0;
        recordRelayRefusal(peer, *reason,
                           platform::relayedArrivals(exchange.headers()).value_or(unknown));
        return std::nullopt;
    }
    m_attempts.recordAnswer();
    recordRelayedBackpressure(exchange);
    const platform::AnswerTraits traits =
            platform::decodeAnswer(exchange.status(), exchange.headers(), m_caller.m_id);
    if (exchange.status() / 100 != 2 && !traits.m_isSigned)
        return takePeerAnswer(answer);
    // A peer of an earlier release doesn't say where the events come from.
    if (const auto origin = platform::relayedOrigin(exchange.headers()))
        answer.m_origin = *origin;
    if (!acceptsAnswer(exchange, peer))
        return std::nullopt;
    // The peer counts the request, as it knows better when it began to run.
    m_isUsageCounted = true;
    m_traffic.metrics().add(Counter::RequestsRelayed);
    return std::move(answer);
}

/// Handles an answer that the peer itself has given.
std::optional<EntryCall::AttemptOutcome> EntryCall::takePeerAnswer(UpstreamAnswer &answer)
{
    if (isOutcomeUnknown(answer.m_exchange.status())) {
        m_attempts.recordPossibleRun();
        m_timedOut = answer.m_exchange.status() == statusGatewayTimeout;
        return std::nullopt;
    }
    AnswerReadResult reading = readFullAnswer(answer);
    if (const auto *failure = std::get_if<CallFailure>(&reading)) {
        m_attempts.recordPossibleRun();
        recordTimeout(*failure);
        recordBrokenRelay(answer.m_guard.upstream(), *failure);
        return std::nullopt;
    }
    m_peerReply = std::move(std::get<HttpReply>(reading));
    return AttemptStop::AnsweredByPeer;
}

HttpCall EntryCall::buildRelayCall(const PooledUpstream &peer,
                                   const std::shared_ptr<CallCancellation> &cancellation) const
{
    HttpCall call = callTo(peer, cancellation);
    call.m_headers = platform::relayHeaders(m_request.m_headers, timeLeft(), m_lastEventId,
                                            m_view->config().m_version, m_binding.origin());
    return call;
}

/// Records an attempt at a peer that failed before its answer began.
void EntryCall::recordRelayFailure(PooledUpstream &peer, const CallFailure &failure)
{
    if (isCancelledByCaller(failure))
        return;
    countFailedAttempt(failure);
    recordBrokenRelay(peer, failure);
}

/// Records what the failure of an attempt says of the peer that relays.
void EntryCall::recordBrokenRelay(PooledUpstream &peer, const CallFailure &failure)
{
    if (isCancelledByCaller(failure))
        return;
    countTooLarge(failure);
    if (!isCancelledByShutdown(failure) && !failure.m_isMemoryUsedUp)
        RelayPeers::avoid(peer, m_traffic.now());
    m_traffic.metrics().add(Counter::RelaysFailed);
    logRelayFailure(peer, failure);
}

/// A stream is cut when the VM that relays it stops, though this VM may have longer. Its last
/// report, with no place for further requests, tells that from a break.
void EntryCall::logRelayFailure(const PooledUpstream &peer, const CallFailure &failure)
{
    const bool isTaking = m_traffic.relay().peers().isTaking(peer.m_record.m_id);
    m_traffic.log().warning("relay-failed",
                            {m_caller.m_id,
                             {LogField::Peer, peer.m_record.m_id.text()},
                             {LogField::ErrorName, errorName(failure.m_error.m_id)},
                             {LogField::Text, failure.m_error.m_text},
                             {LogField::Reason, isTaking ? "broken" : "takes-no-more"},
                             {LogField::Events, m_events},
                             {LogField::Outcome, outcomeName(failure)}});
}

/// Records that a peer passed the request back, after attempts of its own that arrived.
void EntryCall::recordRelayRefusal(PooledUpstream &peer, std::string_view reason, int arrived)
{
    m_attempts.recordRelayed(arrived);
    if (reason != notPlaced)
        RelayPeers::avoid(peer, m_traffic.now());
    m_traffic.log().info("relay-refused", {m_caller.m_id,
                                           {LogField::Peer, peer.m_record.m_id.text()},
                                           {LogField::Reason, reason},
                                           {LogField::Attempt, arrived}});
}

void EntryCall::logRelayed(const PooledUpstream &peer)
{
    m_traffic.log().info("request-relayed",
                         {m_caller.m_id,
                          digest(),
                          {LogField::Route, m_route->m_name},
                          {LogField::ConfigVersion, m_view->config().m_version},
                          {LogField::Peer, peer.m_record.m_id.text()},
                          peer.m_record.m_dataCentre,
                          {LogField::Running, peer.m_own.m_running},
                          {LogField::Attempt, nextAttempt()},
                          {LogField::HeldMillis, toMillis(m_traffic.now() - m_arrivedAt)}});
}

/// Returns whether a peer that relays this request matched it by a later configuration. Its route
/// or key may not be known here.
bool EntryCall::isFromLaterConfiguration() const
{
    if (m_source != CallSource::Peer)
        return false;
    const std::int64_t version = m_view ? m_view->config().m_version : 0;
    return platform::relayedConfigVersion(m_request.m_headers) > version;
}

/// Tells the peer that relays this request that another peer may take it. Returns false if no other
/// one could do better.
bool EntryCall::refuseRelay(AttemptStop stop)
{
    if (m_source != CallSource::Peer)
        return false;
    const bool isOwnState = stop == AttemptStop::CutOff || stop == AttemptStop::Stopping
                            || stop == AttemptStop::ListTooOld || stop == AttemptStop::NoConnection
                            || stop == AttemptStop::Backpressure;
    if (isOwnState)
        refuseRelay(enumName(attemptStopNames, stop));
    else if (m_attempts.connectFailures() > 0)
        refuseRelay(notPlaced);
    else
        return false;
    return true;
}

void EntryCall::refuseRelay(std::string_view reason)
{
    m_responder.send(platform::relayRefusal(m_caller.m_id, reason, m_attempts.arrived()));
    if (m_series)
        m_series->add(RequestCounter::Refused);
    logEnd(reason, statusUnavailable);
}

} // namespace gypsumdale
