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

/// Why no attempt is under way.
enum class AttemptStop {
    /// No upstream is left to try.
    NoUpstream,
    /// A further attempt is not allowed: it may have run, or the attempts or the budget are spent.
    NotAllowed,
    /// The caller's time or the route's is over.
    DeadlinePassed,
    CallerGone,
    /// The process ends, and with it what is under way.
    Stopping,
    /// The list of upstreams is too old to place by, and a newer one is to be had.
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

/// An upstream's answer whose header has come.
struct OpenAnswer
{
    HttpExchange m_exchange;
    InFlightGuard m_hold;
    /// When it was sent, if its prompt was the only one to be read there.
    std::optional<TimePoint> m_aloneSince;
};

/// One request of a caller, from its arrival to the last byte of its answer.
///
/// The truth of a refusal is kept by one flag: once an attempt may have run, the request is never
/// answered with a status that says it has not.
class EntryCall
{
public:
    EntryCall(EntryTraffic &traffic, const HttpRequest &request, HttpResponder &responder);

    void run();

    /// Gives the attempt under way up for the end of the process. The request ends as truth allows:
    /// as not run, as one that may have run, or as a stream that is visibly cut.
    void cancelForShutdown();

private:
    /// What is left at the deadline must be enough for an upstream to begin.
    static constexpr Duration leastTimeLeft = std::chrono::milliseconds(10);

    using Opening = std::variant<OpenAnswer, AttemptStop>;
    using Reading = std::variant<HttpReply, CallFailure>;

    void awaitKnowledge();
    bool resolve();
    bool admitByQuota();
    void drawService();
    bool hasRoomInTime();
    int priority() const;
    void serve();
    void serveWhole();
    void serveStream();

    Opening openAnswer();
    CallResult<HttpExchange> send(InFlightGuard &hold,
                                  const std::shared_ptr<PlacementCallDeadline> &term);
    std::optional<AttemptStop> whyNoFurtherAttempt(bool isFirst);
    PlacementRequest placement() const;
    bool readsAlone(const PooledUpstream &upstream) const;
    /// Prompt tokens that no other request shares.
    std::int64_t ownTokens() const { return m_caller.m_promptTokens - m_caller.m_sharedTokens; }
    bool takes(const HttpExchange &exchange, PooledUpstream &upstream);
    HttpCall callFor(const PooledUpstream &upstream) const;
    Duration firstAnswerLimit() const;
    Reading readWhole(OpenAnswer &answer);

    /// Passes a stream on until it ends or breaks. Returns true if it is whole.
    bool passStream(OpenAnswer &answer);
    bool passRun(OpenAnswer &answer);
    /// Goes on with a run that was moved. Returns nothing if it was not, or its new place refuses.
    std::optional<OpenAnswer> followMove();
    std::shared_ptr<PlacementCallDeadline> termAt(const PooledUpstream &upstream) const;
    bool cutsEvents() const;
    void noteFirstEvent(OpenAnswer &answer);
    bool passPiece(const std::string &piece, OpenAnswer &answer);
    bool passEvents(const std::string &piece, OpenAnswer &answer);
    bool beginStream(OpenAnswer &answer);
    bool forward(std::string_view bytes);

    std::string_view passedLimit(const CallFailure &failure) const;
    void noteFailure(InFlightGuard &hold, const CallFailure &failure);
    bool noteTermOver(const PooledUpstream &upstream, const CallFailure &failure);
    bool isGivenUpHere(const CallFailure &failure) const;
    void noteRan();
    void conclude(AttemptStop stop);
    void answerOwn(int status, std::string_view reason, Duration retryAfter = Duration::zero());
    void passOn(const HttpReply &reply);
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
    /// Gives up the attempt under way.
    std::shared_ptr<CallCancellation> m_cancellation = std::make_shared<CallCancellation>();
    TimePoint m_arrivedAt;
    TimePoint m_deadline{};
    TimePoint m_begunAt{};
    TimePoint m_lastEventAt{};
    Duration m_longestPause{};
    std::set<UpstreamId> m_tried;
    /// The upstream's own failure, passed on if no further attempt does better.
    std::optional<HttpReply> m_fallback;
    /// The run under way, where it can be moved.
    std::shared_ptr<StreamRun> m_run;
    std::optional<std::string> m_memory;
    EventSplitter m_splitter;
    std::optional<std::string> m_lastEventId;
    std::size_t m_events = 0;
    int m_arrivals = 0;
    int m_connectFailures = 0;
    int m_mayHaveRun = 0;
    bool m_isUsageCounted = false;
    bool m_hasBegun = false;
    bool m_isCallerGone = false;
    bool m_isStopping = false;
    bool m_timedOut = false;
};

} // namespace gypsumdale
