#pragma once

#include <cstddef> // size_t
#include <string_view> // string_view

namespace gypsumdale {

/// Latencies recorded as a histogram per member and per class. A request's class is its profile.
enum class Latency {
    /// From the arrival of a request to the first token sent to its caller.
    FirstToken,
    /// Between two consecutive tokens sent to a caller.
    BetweenTokens,
    /// From admission to the selection of an upstream.
    Queueing,
    /// From the arrival of a request to the end of its answer.
    Total,
};
constexpr std::size_t latencyCount = 4;

/// Counters per member and per class.
enum class RequestCounter {
    Received,
    Done,
    Refused,
    Failed,
    NotRun,
    OutcomeUnknown,
    Cancelled,
    WithinTarget,
    BeyondTarget,
    PromptTokens,
    GeneratedTokens,
    RecomputedTokens,
};
constexpr std::size_t requestCounterCount = 12;

/// Counters of the process.
enum class Counter {
    Retries,
    RetriesDenied,
    StrayEvents,
    TruncatedAnswers,
    ClaimsWritten,
    ClaimConflicts,
    JobsAccepted,
    JobsFinished,
    JobTakeovers,
    JobsOverruled,
    Checkpoints,
    CheckpointBytes,
    PlatformCalls,
    PlatformFailures,
    PlatformConflicts,
    PlatformLimited,
    PeerFramesSent,
    PeerFramesReceived,
    PeerBytesSent,
    PeerBytesReceived,
    PeerFramesRefused,
    ReclaimNotices,
    UpstreamsJoined,
    UpstreamsLeft,
    UpstreamsSuspected,
    OrdersSent,
    OrdersRefused,
    VmsRented,
    VmsRefused,
    VmsReleased,
    SettingsAdopted,
    SettingsRefused,
    OperatorCalls,
    OperatorCallsRefused,
    LogLinesSuppressed,
    LogLinesLost,
    ControlProcessorMillis,
    TrafficProcessorMillis,
    NoCapacityInTime,
    CallerBytesReceived,
    CallerBytesSent,
    UpstreamBytesSent,
    UpstreamConnectsTimedOut,
    UpstreamConnectsRefused,
    PlatformBytesReceived,
    MetricsBytesSent,
    ListTooOld,
    TermOverUnsent,
    RequestsTakenBack,
    ServicesCutOff,
    RequestsRelayed,
    RelaysFailed,
    RequestsTakenForPeers,
    StreamsTakenUp,
    StreamOriginsUnknown,
    StreamOriginsDropped,
    NoUpstreamOfVersion,
    UpstreamsEnded,
    UpstreamEndsUnjudged,
    QuarantineRejections,
    CanaryPlacements,
    CanaryErrors,
    AnswersTooLarge,
    ErrorsRetried,
    ErrorsNotRetried,
    NoConnection,
    TurnsRejected,
    BackpressureRejections,
    RequestsWithoutMemory,
};
constexpr std::size_t counterCount = 69;

/// Current measurements of the process. A gauge that was never set is omitted, so that a missing
/// measurement is not mistaken for zero.
enum class Gauge {
    Ready,
    Draining,
    PlatformUp,
    ConfigVersion,
    RequestsInFlight,
    RequestsWaiting,
    CallerConnections,
    PeersLive,
    PeersSuspected,
    UpstreamsLive,
    UpstreamsSuspected,
    UpstreamsLeaving,
    UpstreamSlots,
    UpstreamSlotsUsed,
    JobsOwned,
    ClaimShards,
    VmsLive,
    CostPerHourMicros,
    ResidentBytes,
    UpstreamListAgeMillis,
    PlacementListAgeMillis,
    QuarantinedRequests,
    RolloutsUnderWay,
    UnevenUpstreams,
    LimitedUpstreams,
};
constexpr std::size_t gaugeCount = 25;

/// Return the names used in the exposition, such as "gypsumdale_retries_total". Complexity: linear
/// in the number of names of that kind.
std::string_view latencyName(Latency latency);
std::string_view requestCounterName(RequestCounter counter);
std::string_view counterName(Counter counter);
std::string_view gaugeName(Gauge gauge);

} // namespace gypsumdale
