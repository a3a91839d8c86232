#include <gypsumdale/kernel/draining_run.hpp>

namespace gypsumdale {

namespace {

/// A plain request of unknown length is assumed to take this multiple of its latency target.
constexpr int assumedTargets = 2;

bool isAtMostOnce(const RequestContext &context)
{
    return context.m_profile->m_repeatSafety == RepeatSafety::Once;
}

/// An answer of a model may be a stream, which breaks off.
CutLoss cutLossOf(const RequestContext &context)
{
    const bool mayBreakOff = context.m_kind == ServiceKind::Model;
    return mayBreakOff || isAtMostOnce(context) ? CutLoss::Answer : CutLoss::Time;
}

Duration assumedDuration(const RequestContext &context, const DrainingRun &run)
{
    const LatencyTargets &latency = context.m_profile->m_latency;
    if (isAtMostOnce(context))
        return latency.m_deadline;
    if (context.m_kind == ServiceKind::Plain)
        return assumedTargets * latency.m_firstToken;
    return latency.m_firstToken + run.m_answerTokens * latency.m_betweenTokens;
}

} // namespace

ServingRoute lengthsOf(const RequestContext &context)
{
    ServingRoute route;
    route.m_name = context.m_profile->m_id.text() + "/" + context.m_service.text();
    route.m_timeout = context.m_profile->m_latency.m_deadline;
    return route;
}

ExpectedEnd expectedEndOf(const RequestContext &context, const DrainingRun &run,
                          const std::optional<DurationForecast> &recent)
{
    const Duration assumed = assumedDuration(context, run);
    DurationForecast forecast = recent.value_or(DurationForecast{assumed, assumed});
    if (isAtMostOnce(context))
        forecast.m_percentile90 = forecast.m_longest;
    return {context.m_deadline, forecast, cutLossOf(context)};
}

} // namespace gypsumdale
