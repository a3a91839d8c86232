#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // max
#include <optional> // optional

namespace gypsumdale {

/// Times of a watch: when it was sent, how long it could wait at the store, and when its answer was
/// read.
struct WatchTimes
{
    TimePoint m_sentAt{};
    Duration m_wait{};
    TimePoint m_answeredAt{};
};

/// Age of data as reported by another VM.
struct ReportedAge
{
    /// Age when the other VM sent the report.
    Duration m_ageWhenSent{};
    /// A time after which the report was sent; nothing if that is unknown.
    std::optional<TimePoint> m_sentAfter;
};

/// Result of a watch.
enum class WatchResult { Changes, Nothing };

/// Records the latest time at which the store is known to have had nothing newer than what this VM
/// holds.
///
/// The time counts from when a request was sent, not from when its answer was read: the answer may
/// have been delayed on the network or have waited to be read.
class Confirmation
{
public:
    /// Records that a request sent at the given time was answered. Complexity: constant.
    void record(TimePoint sentAt) { m_at = std::max(m_at, sentAt); }

    /// Records an answered watch. One that waited its full time without changes confirms the state
    /// up to the end of its wait. Complexity: constant.
    void record(const WatchTimes &times, WatchResult result)
    {
        const TimePoint waitedUntil = times.m_sentAt + times.m_wait;
        const bool hasWaited = result == WatchResult::Nothing && times.m_answeredAt >= waitedUntil;
        record(hasWaited ? waitedUntil : times.m_sentAt);
    }

    /// Records a report of another VM that holds the same data or older data. A report of unknown
    /// age confirms nothing. Complexity: constant.
    void record(const ReportedAge &age)
    {
        if (age.m_sentAfter)
            record(*age.m_sentAfter - age.m_ageWhenSent);
    }

    TimePoint at() const { return m_at; }

private:
    TimePoint m_at{};
};

} // namespace gypsumdale
