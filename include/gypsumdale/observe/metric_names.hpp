#pragma once

#include <cstddef> // size_t
#include <string_view> // string_view

namespace gypsumdale {

/// Times kept as a histogram for each member and for each class, which is a request's profile.
enum class Latency {
    /// From the arrival of a request to the first token handed to its caller.
    FirstToken,
    /// Between two tokens handed to a caller.
    BetweenTokens,
    /// From admission to the choice of an upstream.
    Queueing,
    /// From the arrival of a request to the end of its answer.
    Total,
};
constexpr std::size_t latencyCount = 4;

/// What is counted for each member and for each class.
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

/// What is counted for the process.
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
    NoRoomInTime,
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
};
constexpr std::size_t counterCount = 49;

/// What is measured of the process at the moment. A gauge that was never set is not shown, so that
/// no reader takes a missing measurement for a zero.
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
};
constexpr std::size_t gaugeCount = 21;

/// Return the names that the exposition carries, such as "gypsumdale_retries_total". Linear in
/// the names of that kind.
std::string_view latencyName(Latency latency);
std::string_view requestCounterName(RequestCounter counter);
std::string_view counterName(Counter counter);
std::string_view gaugeName(Gauge gauge);

} // namespace gypsumdale
