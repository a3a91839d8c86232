#include <gypsumdale/serving/hedging.hpp>

#include <algorithm> // max

namespace gypsumdale {

namespace {

/// Longest silence within a stream before it is tried elsewhere. Callers abandon a stream after two
/// seconds or more without an event.
constexpr Duration streamHedgeDelay = std::chrono::milliseconds(1200);
/// The same before an answer begins, as a multiple of the latency target.
constexpr int firstAnswerTargets = 3;
constexpr int quietDivisor = 2;

} // namespace

Duration hedgeDelay(const SilentRun &run)
{
    const Duration firstAnswer = firstAnswerTargets * run.m_latencyTarget;
    if (!run.m_hasHeader)
        return firstAnswer;
    return run.m_hasDelivered ? streamHedgeDelay : std::max(streamHedgeDelay, firstAnswer);
}

Duration quietLimit(Duration hedgeDelay)
{
    return hedgeDelay / quietDivisor;
}

HedgeVerdict decideHedge(const HedgeView &view)
{
    const int runs = view.m_possibleRuns + view.m_outstandingRuns;
    if (!view.m_isRepeatable || runs >= view.m_maxAttempts || view.m_hasFailedToConnect)
        return HedgeVerdict::NotAllowed;
    if (view.m_timeLeft < view.m_minTimeLeft)
        return HedgeVerdict::NoTime;
    return view.m_isSuspected ? HedgeVerdict::Suspected : HedgeVerdict::Sent;
}

} // namespace gypsumdale
