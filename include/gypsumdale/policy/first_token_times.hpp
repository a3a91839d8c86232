#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <unordered_map> // unordered_map

namespace gypsumdale {

/// The smoothed time from dispatch to first token for each profile, since prompts differ by
/// profile.
class FirstTokenTimes
{
public:
    /// Notes one measured time. Constant.
    void note(const ProfileId &profile, Duration taken, TimePoint now);

    /// Returns what a request dispatched now is likely to take; zero while unknown. Without new
    /// measurements the estimate fades: a bad spell could otherwise refuse every request, and so
    /// never learn that it is over. Constant.
    Duration estimate(const ProfileId &profile, TimePoint now) const;

private:
    struct Entry
    {
        double m_seconds = 0.0;
        TimePoint m_notedAt{};
    };

    std::unordered_map<ProfileId, Entry> m_entries;
};

} // namespace gypsumdale
