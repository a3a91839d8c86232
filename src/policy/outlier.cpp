#include <gypsumdale/policy/outlier.hpp>

#include <algorithm> // count_if, min

namespace gypsumdale {

namespace {

/// Prevents an overflow when ejection times are doubled.
constexpr std::uint32_t maxDoublings = 16;

} // namespace

OutlierDetector::OutlierDetector(OutlierSettings settings)
    : m_settings(settings)
{}

void OutlierDetector::dispatched(const UpstreamId &upstream, TimePoint now)
{
    Entry &entry = m_entries[upstream];
    if (entry.m_outstanding == 0)
        entry.m_lastDataAt = now;
    ++entry.m_outstanding;
    if (entry.m_isEjected)
        entry.m_isProbing = true;
}

void OutlierDetector::heard(const UpstreamId &upstream, TimePoint now)
{
    m_entries[upstream].m_lastDataAt = now;
}

void OutlierDetector::onSuccess(const UpstreamId &upstream, TimePoint now)
{
    Entry &entry = m_entries[upstream];
    const std::uint32_t left = entry.m_outstanding - std::min(entry.m_outstanding, 1U);
    entry = Entry{};
    entry.m_outstanding = left;
    entry.m_lastDataAt = now;
}

void OutlierDetector::onFailure(const UpstreamId &upstream, TimePoint now)
{
    Entry &entry = m_entries[upstream];
    entry.m_outstanding -= std::min(entry.m_outstanding, 1U);
    entry.m_lastDataAt = now;
    ++entry.m_failures;
    if (entry.m_isEjected) {
        // Failures of attempts that began before the ejection don't count again.
        if (entry.m_isProbing)
            eject(entry, now);
        return;
    }
    if (entry.m_failures >= m_settings.m_failuresToEject && canEjectOne())
        eject(entry, now);
}

void OutlierDetector::onAbandoned(const UpstreamId &upstream)
{
    Entry &entry = m_entries[upstream];
    entry.m_outstanding -= std::min(entry.m_outstanding, 1U);
    entry.m_isProbing = false;
}

void OutlierDetector::checkSilence(TimePoint now)
{
    if (m_settings.m_silenceLimit == Duration{})
        return;
    for (auto &[upstream, entry] : m_entries) {
        const bool isSilent =
                entry.m_outstanding > 0 && now - entry.m_lastDataAt >= m_settings.m_silenceLimit;
        if (!isSilent || (entry.m_isEjected && !entry.m_isProbing))
            continue;
        if (entry.m_isEjected || canEjectOne())
            eject(entry, now);
    }
}

void OutlierDetector::forget(const UpstreamId &upstream)
{
    m_entries.erase(upstream);
}

bool OutlierDetector::canUse(const UpstreamId &upstream, TimePoint now) const
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end() || !found->second.m_isEjected)
        return true;
    return found->second.m_ejectedUntil <= now && !found->second.m_isProbing;
}

bool OutlierDetector::isEjected(const UpstreamId &upstream) const
{
    const auto found = m_entries.find(upstream);
    return found != m_entries.end() && found->second.m_isEjected;
}

std::size_t OutlierDetector::ejectedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_entries.begin(), m_entries.end(),
                          [](const auto &entry) { return entry.second.m_isEjected; }));
}

bool OutlierDetector::canEjectOne() const
{
    const std::size_t ejected = ejectedCount() + 1;
    const double limit = m_settings.m_maxEjectedShare * static_cast<double>(m_fleetSize);
    return ejected < m_fleetSize && static_cast<double>(ejected) <= limit;
}

void OutlierDetector::eject(Entry &entry, TimePoint now)
{
    const Duration length =
            m_settings.m_firstEjection * (1U << std::min(entry.m_ejections, maxDoublings));
    entry.m_ejectedUntil = now + std::min(length, m_settings.m_maxEjection);
    ++entry.m_ejections;
    entry.m_isEjected = true;
    entry.m_isProbing = false;
}

} // namespace gypsumdale
