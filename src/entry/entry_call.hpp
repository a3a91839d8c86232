#pragma once

#include <gypsumdale/entry/connection_waiting.hpp>
#include <gypsumdale/entry/entry_traffic.hpp>
#include <gypsumdale/serving/event_splitter.hpp>
#include <gypsumdale/serving/hedging.hpp>

#include <entry/call_attempts.hpp>
#include <entry/call_binding.hpp>
#include <entry/hedged_runs.hpp>
#include <entry/stream_run.hpp>
#include <entry/upstream_answer.hpp>
#include <platform/request_codec.hpp>

#include <memory> // shared_ptr
#include <optional> // optional
#include <set> // set
#include <string> // string
#include <string_view> // string_view
#include <variant> // variant

namespace gypsumdale {

/// Why a request has no further attempt.
enum class AttemptStop {
    /// No upstream is left to try.
    NoUpstream,
    /// No upstream of the software version that began the stream is left to try.
    NoSameVersion,
    /// A further attempt is not allowed: the request may have run, or its attempts or the retry
    /// budget are used up.
    NotAllowed,
    /// The caller's or the route's timeout has passed.
    DeadlinePassed,
    CallerGone,
    /// The process is shutting down and cancels its requests.
    Stopping,
    /// The list of upstreams is too old for placements, and a newer one can be expected.
    ListTooOld,
    /// This VM is cut off from the service, and no peer takes the request.
    CutOff,
    /// A peer answered that the request has not run.
    AnsweredByPeer,
    /// The request is known to crash its upstreams.
    Quarantined,
    /// No upstream left to try has a free connection for this VM.
    NoConnection,
    /// All upstreams left to try have asked for fewer requests.
    Backpressure,
};

inline constexpr NameTable<AttemptStop, 12> attemptStopNames = {{
        {AttemptStop::NoUpstream, "no-upstream"},
        {AttemptStop::NoSameVersion, "no-upstream-of-version"},
        {AttemptStop::NotAllowed, "not-allowed"},
        {AttemptStop::DeadlinePassed, "deadline-passed"},
        {AttemptStop::CallerGone, "caller-gone"},
        {AttemptStop::Stopping, "stopping"},
        {AttemptStop::ListTooOld, "list-too-old"},
        {AttemptStop::CutOff, "cut-off"},
        {AttemptStop::AnsweredByPeer, "answered-by-peer"},
        {AttemptStop::Quarantined, "quarantined"},
        {AttemptStop::NoConnection, "no-connection"},
        {AttemptStop::Backpressure, "upstream-backpressure"},
}};

/// Who has sent a request to this VM.
enum class CallSource {
    Caller,
    /// A peer that is cut off from the service. It has charged the account's quota, counts the
    /// attempts, and may send the request elsewhere.
    Peer,
};

inline constexpr NameTable<CallSource, 2> callSourceNames = {{
        {CallSource::Caller, "caller"},
        {CallSource::Peer, "peer"},
}};

/// A part of an answer that is awaited.
enum class AnswerPart {
    Header,
    /// The next piece of the body, or its end.
    Body,
};

/// One request of a caller, from its arrival to the last byte of its answer.
///
/// Refusals are truthful: once an attempt may have run, the request is never answered with a status
/// that says it has not.
class EntryCall
{
public:
    EntryCall(EntryTraffic &traffic, const HttpRequest &request, HttpResponder &responder,
              CallSource source);

    void run();

    /// Cancels the current attempt because the process is shutting down. The request is answered as
    /// not run, as one that may have run, or ends as a stream that is visibly cut off.
    void cancelForShutdown();

    /// Returns when the request had been read.
    TimePoint arrivedAt() const { return m_arrivedAt; }

    /// Returns whether the time that the request takes tells how long others of the route take. Of
    /// a stream that was taken up, it is only a rest.
    bool countsFor(const ServingRoute &route) const;

    /// Logs that the process stops before the request has ended, and when it was read and placed.
    void logCutByStop(const StopSchedule &stop) const;

private:
    /// Least time before the deadline in which an upstream can start an answer.
    static constexpr Duration minTimeLeft = std::chrono::milliseconds(10);

    using AttemptOutcome = std::variant<UpstreamAnswer, AttemptStop>;
    using AnswerReadResult = std::variant<HttpReply, CallFailure>;

    void awaitStartupData();
    bool resolve();
    bool admitByQuota();
    bool findRouteAndAccount();
    bool awaitTurn();
    bool judgeAgain();
    TurnRequest turnRequest();
    std::int64_t servedTokens() const;
    bool bindStream();
    void selectService();
    bool hasUpstreamToGoOn();
    bool canMeetDeadline();
    bool isQuarantined();
    bool rejectIfQuarantined();
    void awaitJudgement();
    void reportBroken(const PooledUpstream &upstream, const CallFailure &failure, RunStage stage);
    void recordDelivery(UpstreamAnswer &answer);
    int priority() const;
    /// Returns the request's digest, which is computed when it is needed for the first time.
    const RequestDigest &digest();
    /// Returns what of the request may be the cause of an upstream's end.
    const CrashElements &crashElements();
    void serve();
    void serveBuffered();
    void serveStream();

    AttemptOutcome awaitAnswer();
    bool hasConnection();
    std::optional<AttemptStop> awaitConnection();
    Duration connectionWaitLeft() const;
    AttemptStop rejectForConnection(const ConnectionDecision &shortage,
                                    const ConnectionWaitDecision &wait);
    std::optional<AttemptOutcome> relayOnce();
    std::optional<AttemptOutcome> takeRelayedHeader(UpstreamAnswer &answer);
    std::optional<AttemptOutcome> takePeerAnswer(UpstreamAnswer &answer);
    const std::shared_ptr<CallCancellation> &beginAttempt();
    void cancelAttempt();
    HttpCall callTo(const PooledUpstream &target,
                    const std::shared_ptr<CallCancellation> &cancellation) const;
    HttpCall buildRelayCall(const PooledUpstream &peer,
                            const std::shared_ptr<CallCancellation> &cancellation) const;
    bool isFromLaterConfiguration() const;
    bool refuseRelay(AttemptStop stop);
    void refuseRelay(std::string_view reason);
    /// A peer that relays a request makes one attempt, as the VM of its caller counts the attempts.
    int maxAttempts() const { return m_source == CallSource::Peer ? 1 : m_route->m_maxAttempts; }
    PlacedRun place(const PooledUpstreamPointer &upstream, const PlacementRequest &request,
                    TimePoint until);
    HttpCall watchedCall(InFlightGuard &guard,
                         const std::shared_ptr<PlacementCallDeadline> &deadline,
                         const std::shared_ptr<CallCancellation> &cancellation);
    CallResult<UpstreamAnswer> send(PlacedRun &run,
                                    const std::shared_ptr<CallCancellation> &cancellation);
    PlacedRun placeAtPeer(const PooledUpstreamPointer &peer);
    CallResult<UpstreamAnswer> sendToPeer(PlacedRun &run,
                                          const std::shared_ptr<CallCancellation> &cancellation);
    PooledUpstreamPointer choosePeer();
    bool awaitHeader(UpstreamAnswer &answer);
    bool takeHeader(UpstreamAnswer &answer);
    std::optional<AttemptStop> attemptStopReason();
    bool allowsFurtherAttempt() const;
    std::optional<DurationForecast> forecastDuration() const;
    CutLoss cutLoss() const;
    std::optional<StopSchedule> stopSchedule() const;
    BeginDecision decideBeginDuring(const StopSchedule &stop) const;
    bool endsBeforeStop() const;
    bool refusesForStop();
    bool rejectIfStopping();
    void recordCompletion() const;

    /// Waits until a part of a run's answer has arrived, the run has failed, or no time is left.
    /// While the run is silent, others are sent beside it where that is allowed, and the first one
    /// that delivers takes its place. A silent run is never given up before.
    void awaitPart(UpstreamAnswer &run, AnswerPart part);
    bool arrives(UpstreamAnswer &run, AnswerPart part, Duration limit);
    std::optional<UpstreamAnswer> awaitHedged();
    SilentRun silentRun(AnswerPart part) const;
    int outstandingRuns() const;
    /// Returns the number of the next attempt, from 1 on.
    int nextAttempt() const { return m_attempts.next() + outstandingRuns(); }
    HedgeVerdict hedge(Duration delay);
    HedgeVerdict hedgeAtUpstream(Duration delay);
    HedgeVerdict hedgeAtPeer();
    void startHedge(PlacedRun placed, bool isRelayed);
    void runHedge(HedgedRun &hedged);
    bool delivers(HedgedRun &hedged);
    bool beginsWell(HedgedRun &hedged);
    void recordFailedHedge(HedgedRun &hedged, InFlightGuard &guard, const CallFailure &failure);
    bool takeOver(UpstreamAnswer &run);
    void recordGivenUp(UpstreamAnswer &run);
    void logSilence(const UpstreamAnswer &run, HedgeVerdict verdict);
    void logSilenceEnd(const UpstreamAnswer &run, Duration silence);
    bool hasFailedToConnect() const;
    PlacementRequest placement() const;
    PooledUpstreamPointer chooseUpstream(PlacementRequest &request);
    bool readsAlone(const PooledUpstream &upstream) const;
    /// Returns the number of prompt tokens that no other request shares.
    std::int64_t ownTokens() const { return m_caller.m_promptTokens - m_caller.m_sharedTokens; }
    void recordBackpressure(const HttpExchange &exchange, const PooledUpstream &upstream);
    void recordRelayedBackpressure(const HttpExchange &exchange);
    HttpHeaders forwardedHeaders(const UpstreamAnswer &answer) const;
    AttemptStop stopWithoutUpstream();
    bool acceptsAnswer(const HttpExchange &exchange, PooledUpstream &upstream);
    StreamOrigin originAt(const PooledUpstream &upstream) const;
    bool mayFollow(UpstreamAnswer &answer);
    void recordOrigin(const UpstreamAnswer &answer);
    HttpCall buildCall(const PooledUpstream &upstream,
                       const std::shared_ptr<CallCancellation> &cancellation) const;
    Duration writeTimeout() const;
    AnswerReadResult readFullAnswer(UpstreamAnswer &answer);

    /// Forwards a stream until it ends or breaks off. Returns whether it is complete.
    bool forwardStream(UpstreamAnswer &answer);
    bool forwardRun(UpstreamAnswer &answer);
    /// Continues a run that was stopped to be moved, at the first upstream that takes it. Returns
    /// nothing if it was not stopped, or if none does.
    std::optional<UpstreamAnswer> resumeMovedRun();
    /// Why a run doesn't go on at an upstream: it didn't take the run, or took it and failed.
    enum class ResumeFailure { NotTaken, Taken };
    using Resumption = std::variant<UpstreamAnswer, ResumeFailure>;
    Resumption resumeAt(const RunContinuation &continuation);
    std::shared_ptr<PlacementCallDeadline> deadlineOf(const RunContinuation &continuation);
    std::shared_ptr<PlacementCallDeadline> deadlineAt(const PooledUpstream &upstream) const;
    bool splitsEvents() const;
    std::optional<CallFailure> exceededEventLimit();
    bool isTruncated(const UpstreamAnswer &answer) const;
    void recordFirstEvent(UpstreamAnswer &answer);
    bool processBytes(const std::string &piece, UpstreamAnswer &answer);
    bool forwardEvents(const std::string &piece, UpstreamAnswer &answer);
    bool beginStream(UpstreamAnswer &answer);
    bool forward(std::string_view bytes);
    void recordTooLargeToBuffer();

    std::string_view exceededLimit(const CallFailure &failure) const;
    void recordAttemptFailure(InFlightGuard &guard, const CallFailure &failure);
    void recordUpstreamFailure(PooledUpstream &upstream, const CallFailure &failure);
    void recordBrokenAnswer(UpstreamAnswer &answer, const CallFailure &failure);
    void logAttemptFailure(const PooledUpstream &upstream, const CallFailure &failure);
    void recordConnectFailure(const PooledUpstream &upstream, const CallFailure &failure);
    void recordRelayFailure(PooledUpstream &peer, const CallFailure &failure);
    void recordBrokenRelay(PooledUpstream &peer, const CallFailure &failure);
    void logRelayFailure(const PooledUpstream &peer, const CallFailure &failure);
    void recordRelayRefusal(PooledUpstream &peer, std::string_view reason, int arrived);
    void countFailedAttempt(const CallFailure &failure);
    void countTooLarge(const CallFailure &failure);
    void recordTimeout(const CallFailure &failure);
    static std::string_view outcomeName(const CallFailure &failure);
    bool recordDeadlinePassed(const PooledUpstream &upstream, const CallFailure &failure);
    bool isCancelledByShutdown(const CallFailure &failure) const;
    bool isCancelledByCaller(const CallFailure &failure) const;
    void recordUsage();
    void recordRunResult(UpstreamAnswer &answer, int status);
    bool isWorthSecondRun(UpstreamAnswer &answer, int status);
    void recordVersionAnswer(UpstreamAnswer &answer, bool isError);
    void recordVersionFailure(UpstreamAnswer &answer, const CallFailure &failure);
    void recordVersionError(UpstreamAnswer &answer);
    void countVersionError();
    void finishUnserved(AttemptStop stop);
    void sendOwnAnswer(int status, std::string_view reason, Duration retryAfter = Duration::zero());
    void forwardAnswer(const HttpReply &reply);
    Duration retryAfter();
    Duration timeLeft() const { return m_deadline - m_traffic.now(); }
    void sendReply(const HttpReply &reply, std::string_view reason);
    void logRelayed(const PooledUpstream &peer);
    void logPlaced(const PooledUpstream &upstream, TimePoint until);
    void logEnd(std::string_view outcome, int status);

    EntryTraffic &m_traffic;
    const HttpRequest &m_request;
    HttpResponder &m_responder;
    CallSource m_source;
    platform::CallerRequest m_caller;
    ServingViewPointer m_view;
    ServingRoutePointer m_route;
    ClientAccountPointer m_account;
    RequestSeries *m_series = nullptr;
    ServiceId m_service;
    /// Set while the request has its turn at the service or waits for it.
    std::optional<EntryWaiting::Turn> m_turn;
    CallBinding m_binding;
    std::optional<RequestDigest> m_digest;
    std::optional<CrashElements> m_crashElements;
    /// Cancels the current attempt.
    std::shared_ptr<CallCancellation> m_cancellation = std::make_shared<CallCancellation>();
    TimePoint m_arrivedAt;
    TimePoint m_deadline{};
    /// When the last attempt was placed, if there was one.
    std::optional<TimePoint> m_lastPlacedAt;
    TimePoint m_streamStartedAt{};
    TimePoint m_lastEventAt{};
    Duration m_longestPause{};
    std::set<UpstreamId> m_triedUpstreams;
    std::set<UpstreamId> m_triedPeers;
    /// A peer's own answer that the request has not run.
    std::optional<HttpReply> m_peerReply;
    /// An upstream's error answer, forwarded if no further attempt succeeds.
    std::optional<HttpReply> m_fallback;
    /// An upstream that answered with an error, and the time it took. Whether the fault is its own
    /// shows when the request is sent to another one.
    struct DoubtfulError
    {
        UpstreamRecord m_upstream;
        Duration m_time{};
    };
    std::optional<DoubtfulError> m_doubtfulError;
    /// The error answer after which the request is run again.
    std::optional<ErrorKind> m_errorKind;
    /// The request's place among those that wait for a connection, until it was placed.
    std::optional<ConnectionWaiting::Place> m_connectionPlace;
    Duration m_waitedForConnection{};
    /// Time after which the caller may return, for stops that know it.
    Duration m_stopRetryAfter{};
    /// The current run, if it can be moved.
    std::shared_ptr<StreamRun> m_run;
    /// Runs beside the current one, while that is silent.
    HedgedRuns m_hedges;
    /// The run that is awaited.
    UpstreamAnswer *m_awaited = nullptr;
    std::optional<std::string> m_memory;
    EventSplitter m_splitter;
    /// Of the event that has begun and is held until its end.
    BodyShare m_eventShare;
    /// Of a stream that isn't split.
    EventBoundary m_eventBoundary;
    std::optional<std::string> m_lastEventId;
    std::size_t m_events = 0;
    CallAttempts m_attempts;
    /// The request is sent although it crashed its upstreams, to see whether it still does.
    bool m_isCrashTrial = false;
    bool m_isUsageCounted = false;
    bool m_hasStreamStarted = false;
    bool m_isCallerGone = false;
    bool m_isShuttingDown = false;
    bool m_timedOut = false;
    /// The current attempt had the full time to connect.
    bool m_hasFullConnectTime = true;
};

} // namespace gypsumdale
