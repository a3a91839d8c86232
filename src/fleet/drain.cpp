#include <gypsumdale/fleet/drain.hpp>

#include <fmt/format.h>

#include <algorithm> // max, min

namespace gypsumdale {

namespace {

/// Maximum part of the time budget, as a divisor, that is spent on waiting for the load balancer.
constexpr int balancerWaitDivisor = 3;

} // namespace

DrainCommands Drain::begin(DrainCause cause, std::optional<TimePoint> deadline, TimePoint now)
{
    DrainCommands commands;
    const TimePoint wanted = deadline.value_or(now + m_settings.m_budget);
    if (m_phase != DrainPhase::Serving) {
        if (wanted < *m_deadline) {
            m_deadline = wanted;
            m_reason = enumName(drainCauseNames, cause);
        }
        return commands;
    }
    m_phase = DrainPhase::NotReady;
    m_startedAt = now;
    m_deadline = wanted;
    m_reason = enumName(drainCauseNames, cause);
    const double left = toMillis(wanted - now);
    commands.push_back(FailReadiness{fmt::format("{}: {:.0f} ms left", m_reason, left)});
    return commands;
}

TimePoint Drain::closeAt() const
{
    const Duration budget = *m_deadline - m_startedAt;
    const Duration reserve = std::min(m_settings.m_closeReserve, budget / 2);
    return *m_deadline - std::max(reserve, Duration::zero());
}

TimePoint Drain::handOverAt() const
{
    return closeAt() - m_settings.m_handOverReserve;
}

TimePoint Drain::stopAcceptingAt() const
{
    const Duration budget = std::max(*m_deadline - m_startedAt, Duration::zero());
    return m_startedAt + std::min(m_settings.m_balancerWait, budget / balancerWaitDivisor);
}

std::optional<StopSchedule> Drain::schedule() const
{
    if (m_phase == DrainPhase::Serving)
        return std::nullopt;
    return StopSchedule{m_startedAt, stopAcceptingAt(), closeAt()};
}

DrainCommands Drain::tick(TimePoint now)
{
    DrainCommands commands;
    if (m_phase == DrainPhase::NotReady)
        stepNotReady(now, commands);
    if (m_phase == DrainPhase::Draining)
        stepDraining(now, commands);
    else if (m_phase == DrainPhase::Closing)
        stepClosing(now, commands);
    return commands;
}

void Drain::stepNotReady(TimePoint now, DrainCommands &commands)
{
    if (now < stopAcceptingAt())
        return;
    m_phase = DrainPhase::Draining;
    commands.push_back(StopAccepting{fmt::format("{}: {} requests and {} jobs in flight", m_reason,
                                                 m_work.m_requests, m_work.m_jobs)});
}

void Drain::stepDraining(TimePoint now, DrainCommands &commands)
{
    const bool isDone = m_work.isEmpty() && !m_work.m_hasCallers;
    if (isDone || now >= closeAt()) {
        close(now, commands);
        return;
    }
    // A job that can finish here costs nothing; one that cannot is handed over while its new owner
    // still has time to acknowledge.
    if (m_handOverAsked || m_work.m_jobs == 0 || now < handOverAt())
        return;
    m_handOverAsked = true;
    const double left = toMillis(*m_deadline - now);
    const std::string reason = fmt::format("{}: {} jobs unfinished with {:.0f} ms left", m_reason,
                                           m_work.m_jobs, left);
    commands.push_back(HandOverJobs{closeAt(), reason});
}

void Drain::close(TimePoint now, DrainCommands &commands)
{
    m_phase = DrainPhase::Closing;
    m_closingAt = now;
    if (!m_work.isEmpty()) {
        m_cut = m_work;
        commands.push_back(CutRemaining{
                m_work, fmt::format("{}: deadline reached with {} requests and {} jobs unfinished",
                                    m_reason, m_work.m_requests, m_work.m_jobs)});
    }
    commands.push_back(CloseConnections{m_reason});
}

void Drain::stepClosing(TimePoint now, DrainCommands &commands)
{
    if (now < m_closingAt + m_settings.m_closeReserve && now < *m_deadline)
        return;
    m_phase = DrainPhase::Done;
    commands.push_back(ExitProcess{m_cut, m_reason + ": closing did not finish in time"});
}

DrainCommands Drain::closed(TimePoint)
{
    DrainCommands commands;
    if (m_phase != DrainPhase::Closing)
        return commands;
    m_phase = DrainPhase::Done;
    commands.push_back(ExitProcess{m_cut, m_reason + ": all connections closed"});
    return commands;
}

} // namespace gypsumdale
