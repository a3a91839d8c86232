#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // max
#include <chrono> // milliseconds
#include <cstdint> // int64_t
#include <optional> // optional

namespace gypsumdale {

/// Selects where a VM gets a newer configuration that a reader reported: from that reader, or from
/// the store.
///
/// Without this choice, a quick succession of versions in a large fleet makes every VM of a data
/// centre read each version from the store.
class ConfigSourceSelector
{
public:
    /// Minimum interval between requests to readers. Versions may follow each other ten times as
    /// fast.
    static constexpr Duration minRequestInterval = std::chrono::milliseconds(500);
    /// Time that a reader has to send a newer version before the store is read.
    static constexpr Duration readerTimeout = std::chrono::milliseconds(800);

    /// Records which version a reader holds, and whether it sends the text on request. Returns
    /// whether to request it. Complexity: constant.
    bool take(std::int64_t reported, std::int64_t own, bool isSent, TimePoint now)
    {
        if (reported <= own)
            return false;
        if (m_reportedVersion <= own)
            m_behindSince = now;
        m_reportedVersion = std::max(m_reportedVersion, reported);
        m_isSentOnRequest = isSent;
        const bool isTooSoon = m_requestedAt && now - *m_requestedAt < minRequestInterval;
        if (!isSent || isTooSoon)
            return false;
        m_requestedAt = now;
        return true;
    }

    /// Records that a version was adopted, which restarts the time that a reader has for the next
    /// one. Complexity: constant.
    void onAdopted(TimePoint now) { m_behindSince = now; }

    /// Returns whether the own version is known to be outdated and no reader is expected to send a
    /// newer one. Complexity: constant.
    bool mustRead(std::int64_t own, TimePoint now) const
    {
        if (m_reportedVersion <= own)
            return false;
        return !m_isSentOnRequest || now - m_behindSince >= readerTimeout;
    }

private:
    std::int64_t m_reportedVersion = 0;
    bool m_isSentOnRequest = false;
    TimePoint m_behindSince{};
    std::optional<TimePoint> m_requestedAt;
};

} // namespace gypsumdale
