#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // max
#include <optional> // optional

namespace gypsumdale {

/// When a watch was sent, how long it might wait at the store, and when its answer was read.
struct WatchTimes
{
    TimePoint m_sentAt{};
    Duration m_wait{};
    TimePoint m_answeredAt{};
};

/// How old something was that another VM tells.
struct ReportedAge
{
    /// As the other VM sent it.
    Duration m_ageWhenSent{};
    /// A moment after which it was sent; nothing where that isn't known.
    std::optional<TimePoint> m_sentAfter;
};

/// Whether a watch brought anything.
enum class WatchResult { Changes, Nothing };

/// Keeps a moment at which the store surely had nothing newer than what this VM holds.
///
/// It is counted from when a question was sent, not from when its answer was read: that may have
/// been long under way, or have lain unread.
class Confirmation
{
public:
    /// Takes in that a question which was sent at a time is answered. Constant.
    void take(TimePoint sentAt) { m_at = std::max(m_at, sentAt); }

    /// Takes in an answered watch: one that waited in vain says what was true until then. Constant.
    void take(const WatchTimes &times, WatchResult result)
    {
        const TimePoint waitedUntil = times.m_sentAt + times.m_wait;
        const bool hasWaited = result == WatchResult::Nothing && times.m_answeredAt >= waitedUntil;
        take(hasWaited ? waitedUntil : times.m_sentAt);
    }

    /// Takes in the word of another VM that holds the same or less; one of unknown age says
    /// nothing. Constant.
    void take(const ReportedAge &age)
    {
        if (age.m_sentAfter)
            take(*age.m_sentAfter - age.m_ageWhenSent);
    }

    TimePoint at() const { return m_at; }

private:
    TimePoint m_at{};
};

} // namespace gypsumdale
