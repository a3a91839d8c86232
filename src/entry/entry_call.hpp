#pragma once

#include <gypsumdale/entry/entry_traffic.hpp>
#include <gypsumdale/serving/event_splitter.hpp>

#include <entry/in_flight_guard.hpp>
#include <entry/placement_call_deadline.hpp>
#include <entry/stream_run.hpp>
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
};

inline constexpr NameTable<AttemptStop, 6> attemptStopNames = {{
        {AttemptStop::NoUpstream, "no-upstream"},
        {AttemptStop::NotAllowed, "not-allowed"},
        {AttemptStop::DeadlinePassed, "deadline-passed"},
        {AttemptStop::CallerGone, "caller-gone"},
        {AttemptStop::Stopping, "stopping"},
        {AttemptStop::ListTooOld, "list-too-old"},
}};

/// An upstream's answer whose header was received.
struct UpstreamAnswer
{
    HttpExchange m_exchange;
    InFlightGuard m_guard;
    /// When the request was sent, if its prompt was the only one for the upstream to read.
    std::optional<TimePoint> m_readAloneSince;
};

/// One request of a caller, from its arrival to the last byte of its answer.
///
/// One counter keeps refusals truthful: once an attempt may have run, the request is never answered
/// with a status that says it has not.
class EntryCall
{
public:
    EntryCall(EntryTraffic &traffic, const HttpRequest &request, HttpResponder &responder);

    void run();

    /// Cancels the current attempt because the process is shutting down. The request is answered as
    /// not run, as one that may have run, or ends as a stream that is visibly cut off.
    void cancelForShutdown();

private:
    /// Least time before the deadline in which an upstream can start an answer.
    static constexpr Duration minTimeLeft = std::chrono::milliseconds(10);

    using AttemptOutcome = std::variant<UpstreamAnswer, AttemptStop>;
    using AnswerReadResult = std::variant<HttpReply, CallFailure>;

    void awaitStartupData();
    bool resolve();
    bool admitByQuota();
    void selectService();
    bool canMeetDeadline();
    int priority() const;
    void serve();
    void serveBuffered();
    void serveStream();

    AttemptOutcome awaitAnswer();
    CallResult<HttpExchange> send(InFlightGuard &guard,
                                  const std::shared_ptr<PlacementCallDeadline> &deadline);
    std::optional<AttemptStop> attemptStopReason(bool isFirst);
    PlacementRequest placement() const;
    bool readsAlone(const PooledUpstream &upstream) const;
    /// Returns the number of prompt tokens that no other request shares.
    std::int64_t ownTokens() const { return m_caller.m_promptTokens - m_caller.m_sharedTokens; }
    bool acceptsAnswer(const HttpExchange &exchange, PooledUpstream &upstream);
    HttpCall buildCall(const PooledUpstream &upstream) const;
    Duration firstAnswerTimeout() const;
    AnswerReadResult readFullAnswer(UpstreamAnswer &answer);

    /// Forwards a stream until it ends or breaks off. Returns whether it is complete.
    bool forwardStream(UpstreamAnswer &answer);
    bool forwardRun(UpstreamAnswer &answer);
    /// Continues a run that was moved. Returns nothing if it was not moved, or if its new upstream
    /// refuses it.
    std::optional<UpstreamAnswer> resumeMovedRun();
    std::shared_ptr<PlacementCallDeadline> deadlineAt(const PooledUpstream &upstream) const;
    bool splitsEvents() const;
    void recordFirstEvent(UpstreamAnswer &answer);
    bool processBytes(const std::string &piece, UpstreamAnswer &answer);
    bool forwardEvents(const std::string &piece, UpstreamAnswer &answer);
    bool beginStream(UpstreamAnswer &answer);
    bool forward(std::string_view bytes);

    std::string_view exceededLimit(const CallFailure &failure) const;
    void recordAttemptFailure(InFlightGuard &guard, const CallFailure &failure);
    bool recordDeadlinePassed(const PooledUpstream &upstream, const CallFailure &failure);
    bool isCancelledByShutdown(const CallFailure &failure) const;
    void recordUsage();
    void finishUnserved(AttemptStop stop);
    void sendOwnAnswer(int status, std::string_view reason, Duration retryAfter = Duration::zero());
    void forwardAnswer(const HttpReply &reply);
    Duration retryAfter();
    Duration timeLeft() const { return m_deadline - m_traffic.now(); }
    void logPlaced(const PooledUpstream &upstream, TimePoint until);
    void logEnd(std::string_view outcome, int status);

    EntryTraffic &m_traffic;
    const HttpRequest &m_request;
    HttpResponder &m_responder;
    platform::CallerRequest m_caller;
    ServingViewPointer m_view;
    const ServingRoute *m_route = nullptr;
    const ClientAccount *m_account = nullptr;
    RequestSeries *m_series = nullptr;
    ServiceId m_service;
    /// Cancels the current attempt.
    std::shared_ptr<CallCancellation> m_cancellation = std::make_shared<CallCancellation>();
    TimePoint m_arrivedAt;
    TimePoint m_deadline{};
    TimePoint m_streamStartedAt{};
    TimePoint m_lastEventAt{};
    Duration m_longestPause{};
    std::set<UpstreamId> m_triedUpstreams;
    /// An upstream's error answer, forwarded if no further attempt succeeds.
    std::optional<HttpReply> m_fallback;
    /// The current run, if it can be moved.
    std::shared_ptr<StreamRun> m_run;
    std::optional<std::string> m_memory;
    EventSplitter m_splitter;
    std::optional<std::string> m_lastEventId;
    std::size_t m_events = 0;
    int m_deliveredAttempts = 0;
    int m_connectFailures = 0;
    int m_possibleRuns = 0;
    bool m_isUsageCounted = false;
    bool m_hasStreamStarted = false;
    bool m_isCallerGone = false;
    bool m_isShuttingDown = false;
    bool m_timedOut = false;
};

} // namespace gypsumdale
