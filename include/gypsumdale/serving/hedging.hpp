#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>

namespace gypsumdale {

/// Whether a second run of a request is sent beside a silent one, and otherwise why not. The silent
/// run is kept in any case until another one delivers.
enum class HedgeVerdict {
    Sent,
    /// The request may not run twice, or has no attempt left.
    NotAllowed,
    NoTime,
    /// Its runs may have crashed their upstreams.
    Suspected,
    /// Upstreams are left to try, but they are as silent as the first one.
    AllSilent,
    NoUpstream,
    NoConnection,
    /// The retry budget is used up.
    NoRetry,
    /// The list of upstreams is too old for placements.
    ListTooOld,
};

inline constexpr NameTable<HedgeVerdict, 9> hedgeVerdictNames = {{
        {HedgeVerdict::Sent, "sent"},
        {HedgeVerdict::NotAllowed, "not-allowed"},
        {HedgeVerdict::NoTime, "no-time"},
        {HedgeVerdict::Suspected, "suspected"},
        {HedgeVerdict::AllSilent, "all-silent"},
        {HedgeVerdict::NoUpstream, "no-upstream"},
        {HedgeVerdict::NoConnection, "no-connection"},
        {HedgeVerdict::NoRetry, "no-retry"},
        {HedgeVerdict::ListTooOld, "list-too-old"},
}};

/// How far the answer of a silent run has come.
struct SilentRun
{
    bool m_hasHeader = false;
    /// Events of the stream were delivered, by this run or an earlier one.
    bool m_hasDelivered = false;
    /// Time within which the route's answers should begin.
    Duration m_latencyTarget{};
};

/// Returns after which silence a second run is sent beside a run.
Duration hedgeDelay(const SilentRun &run);

/// Returns for how long an upstream with runs of this VM may be silent and still be sent a second
/// run. It is shorter than the delay itself: of upstreams that fall silent together, none has been
/// silent for exactly the same time.
Duration quietLimit(Duration hedgeDelay);

/// State of a request that a silent run belongs to.
struct HedgeView
{
    /// The request may run more than once.
    bool m_isRepeatable = false;
    /// Runs that have ended, and those that have not.
    int m_possibleRuns = 0;
    int m_outstandingRuns = 0;
    int m_maxAttempts = 1;
    /// Connections have failed so often that no further one is tried.
    bool m_hasFailedToConnect = false;
    /// The request is suspected or known to crash its upstreams.
    bool m_isSuspected = false;
    Duration m_timeLeft{};
    Duration m_minTimeLeft{};
};

/// Returns Sent if the request itself allows a second run; whether there is a place for it is
/// decided where it is placed.
HedgeVerdict decideHedge(const HedgeView &view);

/// Returns whether a verdict stays as it is, whatever happens.
constexpr bool isFinal(HedgeVerdict verdict)
{
    return verdict == HedgeVerdict::NotAllowed || verdict == HedgeVerdict::NoTime;
}

} // namespace gypsumdale
