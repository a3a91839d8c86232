#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <unordered_map> // unordered_map

namespace gypsumdale {

/// Smoothed time from dispatch to first token, per profile, as prompts differ by profile.
class FirstTokenTimes
{
public:
    /// Records a measured time. Complexity: constant.
    void note(const ProfileId &profile, Duration taken, TimePoint now);

    /// Returns the expected time for a request dispatched now; zero if unknown. The estimate decays
    /// without new measurements, as otherwise a temporary slowdown could lead to every request
    /// being refused, and no measurement would ever show that it has ended. Complexity: constant.
    Duration estimate(const ProfileId &profile, TimePoint now) const;

private:
    struct Entry
    {
        double m_seconds = 0.0;
        TimePoint m_measuredAt{};
    };

    std::unordered_map<ProfileId, Entry> m_entries;
};

} // namespace gypsumdale
