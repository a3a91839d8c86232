#include <gypsumdale/policy/first_token_times.hpp>

#include <cmath> // exp2

namespace gypsumdale {

namespace {

constexpr double smoothingFactor = 0.1;
constexpr double halfLifeSeconds = 2.0;

} // namespace

void FirstTokenTimes::note(const ProfileId &profile, Duration taken, TimePoint now)
{
    const auto [found, isNew] = m_entries.try_emplace(profile);
    Entry &entry = found->second;
    const double seconds = toSeconds(taken);
    entry.m_seconds =
            isNew ? seconds : entry.m_seconds + smoothingFactor * (seconds - entry.m_seconds);
    entry.m_measuredAt = now;
}

Duration FirstTokenTimes::estimate(const ProfileId &profile, TimePoint now) const
{
    const auto found = m_entries.find(profile);
    if (found == m_entries.end())
        return Duration{};
    const double age = toSeconds(now - found->second.m_measuredAt);
    const double seconds = found->second.m_seconds * std::exp2(-age / halfLifeSeconds);
    return fromSeconds(seconds);
}

} // namespace gypsumdale
