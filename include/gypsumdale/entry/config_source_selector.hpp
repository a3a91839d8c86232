#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // max
#include <chrono> // milliseconds
#include <cstdint> // int64_t
#include <optional> // optional

namespace gypsumdale {

/// Decides where a VM that is told of a newer configuration gets it: from the reader that told it,
/// or from the store.
///
/// It answers the load of quick successions of versions in a large fleet, each of which all VMs of
/// a data centre would read from the store.
class ConfigSourceSelector
{
public:
    /// How often readers are asked at most: versions may follow each other within a tenth of that.
    static constexpr Duration minRequestInterval = std::chrono::milliseconds(500);
    /// Time that a reader has to bring a newer version before the store is read.
    static constexpr Duration readerTimeout = std::chrono::milliseconds(800);

    /// Takes in which version a reader holds, and whether it sends it to who asks. Returns whether
    /// to ask it. Constant.
    bool take(std::int64_t told, std::int64_t own, bool isSent, TimePoint now)
    {
        if (told <= own)
            return false;
        if (m_told <= own)
            m_behindSince = now;
        m_told = std::max(m_told, told);
        m_isSent = isSent;
        const bool isTooSoon = m_askedAt && now - *m_askedAt < minRequestInterval;
        if (!isSent || isTooSoon)
            return false;
        m_askedAt = now;
        return true;
    }

    /// Takes in that a version was adopted: whoever brought it may bring the next. Constant.
    void onAdopted(TimePoint now) { m_behindSince = now; }

    /// Tells whether the own version is known to be old and nobody is about to bring a newer one.
    /// Constant.
    bool mustRead(std::int64_t own, TimePoint now) const
    {
        if (m_told <= own)
            return false;
        return !m_isSent || now - m_behindSince >= readerTimeout;
    }

private:
    std::int64_t m_told = 0;
    bool m_isSent = false;
    TimePoint m_behindSince{};
    std::optional<TimePoint> m_askedAt;
};

} // namespace gypsumdale
