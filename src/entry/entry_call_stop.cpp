#include <gypsumdale/serving/stop_schedule.hpp>

#include <entry/entry_call.hpp>

/// Which requests are begun while the process stops, and what is logged of those that are cut.
namespace gypsumdale {

/// Returns how long a run that is begun now is expected to take, or nothing if that isn't known.
std::optional<DurationForecast> EntryCall::forecastDuration() const
{
    const TimePoint now = m_traffic.now();
    const auto forecast = m_traffic.forecastCompletion(*m_route);
    if (!forecast)
        return assumedDuration(*m_route);
    // A stream goes on behind what its caller has.
    const Duration served = m_hasStreamStarted ? now - m_arrivedAt : Duration::zero();
    return forecast->without(served);
}

/// Returns what a cut costs the caller of a run that is begun now. A stream breaks off; any other
/// request still gets a whole answer, which says whether it may have run. A stream that has begun
/// breaks off in any case unless it goes on, so that a chance of its end is a gain.
CutLoss EntryCall::cutLoss() const
{
    if (m_hasStreamStarted)
        return CutLoss::Time;
    return m_route->m_kind == RouteRepeatSafety::Stream ? CutLoss::Answer : CutLoss::Time;
}

/// Returns the schedule of a stop as it applies to this request. No load balancer sends what a peer
/// relays, and the peer passes on elsewhere what is refused: for it the stop is late from its
/// signal on.
std::optional<StopSchedule> EntryCall::stopSchedule() const
{
    std::optional<StopSchedule> stop = m_traffic.stopSchedule();
    if (stop && m_source == CallSource::Peer)
        stop->m_acceptUntil = stop->m_signalAt;
    return stop;
}

BeginDecision EntryCall::decideBeginDuring(const StopSchedule &stop) const
{
    const TimePoint now = m_traffic.now();
    const BeginDecision decision = decideBegin(stop, {m_deadline, std::nullopt, cutLoss()}, now);
    if (decision.m_basis != BeginBasis::Unknown)
        return decision;
    // A forecast looks at all active calls, so it is made only where it decides.
    return decideBegin(stop, {m_deadline, forecastDuration(), cutLoss()}, now);
}

/// Returns whether a run that is begun now will have ended, as far as is known, before the process
/// stops.
bool EntryCall::endsBeforeStop() const
{
    const auto stop = stopSchedule();
    return !stop || decideBeginDuring(*stop).m_mayBegin;
}

/// Returns whether the stop leaves too little time for a run, and logs that.
bool EntryCall::refusesForStop()
{
    const auto stop = stopSchedule();
    if (!stop)
        return false;
    const TimePoint now = m_traffic.now();
    const BeginDecision decision = decideBeginDuring(*stop);
    if (decision.m_mayBegin)
        return false;
    m_traffic.log().info(
            "not-begun-while-stopping",
            {m_caller.m_id,
             m_service,
             {LogField::Route, m_route->m_name},
             {LogField::State, enumName(beginBasisNames, decision.m_basis)},
             {LogField::ForecastMillis, toMillis(decision.m_needed)},
             {LogField::TermMillis, toMillis(stop->m_cancelAt - now)},
             {LogField::ReadSinceSignalMillis, toMillis(m_arrivedAt - stop->m_signalAt)},
             {LogField::Attempt, m_attempts.arrived()},
             {LogField::HeldMillis, toMillis(now - m_arrivedAt)},
             {LogField::Source, enumName(callSourceNames, m_source)}});
    return true;
}

/// Rejects a request that would be cut by the stop, before it waits for anything.
bool EntryCall::rejectIfStopping()
{
    if (!refusesForStop())
        return false;
    finishUnserved(AttemptStop::Stopping);
    return true;
}

bool EntryCall::countsFor(const ServingRoute &route) const
{
    return !m_caller.m_isTakeUp && m_route && m_route->m_name == route.m_name;
}

/// Records how long the request took, which was answered whole and with success.
void EntryCall::recordCompletion() const
{
    if (!countsFor(*m_route))
        return;
    m_traffic.completions().record(m_route->m_name, m_traffic.now() - m_arrivedAt, m_traffic.now());
}

void EntryCall::cancelForShutdown()
{
    m_isShuttingDown = true;
    cancelAttempt();
}

void EntryCall::logCutByStop(const StopSchedule &stop) const
{
    const TimePoint placedAt = m_lastPlacedAt.value_or(stop.m_cancelAt);
    // A configuration that came during a wait may have no route for the request.
    const std::string_view route = m_route ? std::string_view(m_route->m_name) : "none";
    m_traffic.log().warning(
            "request-cut-by-stop",
            {m_caller.m_id,
             m_service,
             {LogField::Route, route},
             {LogField::State, m_lastPlacedAt ? "placed" : "waiting"},
             {LogField::ReadSinceSignalMillis, toMillis(m_arrivedAt - stop.m_signalAt)},
             {LogField::PlacedSinceSignalMillis, toMillis(placedAt - stop.m_signalAt)},
             {LogField::Events, m_events},
             {LogField::HeldMillis, toMillis(m_traffic.now() - m_arrivedAt)},
             {LogField::Source, enumName(callSourceNames, m_source)}});
}

} // namespace gypsumdale
