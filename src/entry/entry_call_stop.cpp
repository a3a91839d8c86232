#include <gypsumdale/serving/stop_schedule.hpp>

#include <entry/entry_call.hpp>

#include <algorithm> // max

/// Which requests are begun while the process stops, and what is logged of those that are cut.
namespace gypsumdale {

/// Returns how long the request is expected to take from now on, or nothing if that isn't known.
std::optional<Duration> EntryCall::forecastDuration() const
{
    const auto delivered = static_cast<std::int64_t>(m_events);
    // An event is a token or more.
    const std::int64_t tokens = std::max<std::int64_t>(m_caller.m_outputTokens - delivered, 0);
    const auto forecast = m_traffic.completions().forecast(m_route->m_name, tokens);
    return forecast ? forecast : assumedDuration(*m_route);
}

/// Returns whether a run that is begun now will have ended, as far as is known, before the process
/// stops.
bool EntryCall::mayBegin() const
{
    const auto &stop = m_traffic.stopSchedule();
    return !stop || gypsumdale::mayBegin(*stop, {m_deadline, forecastDuration()}, m_traffic.now());
}

/// Returns whether the request may not be begun any more, and logs why.
bool EntryCall::isRefusedByStop() const
{
    if (mayBegin())
        return false;
    const StopSchedule &stop = *m_traffic.stopSchedule();
    const auto forecast = forecastDuration();
    m_traffic.log().info(
            "not-begun-while-stopping",
            {m_caller.m_id,
             m_service,
             {LogField::Route, m_route->m_name},
             {LogField::State, forecast ? "forecast" : "unknown"},
             {LogField::ForecastMillis, toMillis(forecast.value_or(Duration::zero()))},
             {LogField::OutputTokens, m_caller.m_outputTokens},
             {LogField::TermMillis, toMillis(stop.m_cancelAt - m_traffic.now())},
             {LogField::ReadSinceSignalMillis, toMillis(m_arrivedAt - stop.m_signalAt)},
             {LogField::Attempt, m_attempts.arrived()},
             {LogField::HeldMillis, toMillis(m_traffic.now() - m_arrivedAt)},
             {LogField::Source, enumName(callSourceNames, m_source)}});
    return true;
}

/// Rejects a request that would be cut by the stop, before it waits for anything.
bool EntryCall::rejectIfStopping()
{
    if (!isRefusedByStop())
        return false;
    finishUnserved(AttemptStop::Stopping);
    return true;
}

/// Records how long the request took, which was answered whole.
void EntryCall::recordCompletion() const
{
    const Duration total = m_traffic.now() - m_arrivedAt;
    const Duration firstEvent = m_hasStreamStarted ? m_streamStartedAt - m_arrivedAt : total;
    m_traffic.completions().record(m_route->m_name, {m_caller.m_outputTokens, firstEvent, total});
}

void EntryCall::cancelForShutdown()
{
    m_isShuttingDown = true;
    cancelAttempt();
}

void EntryCall::logCutByStop(const StopSchedule &stop) const
{
    const TimePoint placedAt = m_lastPlacedAt.value_or(stop.m_cancelAt);
    m_traffic.log().warning(
            "request-cut-by-stop",
            {m_caller.m_id,
             m_service,
             {LogField::Route, m_route->m_name},
             {LogField::State, m_lastPlacedAt ? "placed" : "waiting"},
             {LogField::ReadSinceSignalMillis, toMillis(m_arrivedAt - stop.m_signalAt)},
             {LogField::PlacedSinceSignalMillis, toMillis(placedAt - stop.m_signalAt)},
             {LogField::Events, m_events},
             {LogField::HeldMillis, toMillis(m_traffic.now() - m_arrivedAt)},
             {LogField::Source, enumName(callSourceNames, m_source)}});
}

} // namespace gypsumdale
