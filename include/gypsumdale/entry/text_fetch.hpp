#pragma once

#include <gypsumdale/core/clock.hpp>

#include <pcg_random.hpp>

#include <cstdint> // int64_t, uint64_t
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// A peer that says which version of a text it holds.
struct TextSource
{
    std::string m_address;
    std::int64_t m_version = 0;
};

/// What a VM knows when it decides whether to ask a peer for a whole text.
struct TextFetchState
{
    /// The version that it holds; 0 if it has none.
    std::int64_t m_ownVersion = 0;
    /// The store didn't answer the last reading.
    bool m_isStoreLost = false;
    /// How long the store, while it isn't known to be lost, has to bring what a peer tells of;
    /// nothing to leave it to the store alone.
    std::optional<Duration> m_storeHeadStart;
};

/// Decides when a VM asks a peer for a whole text, a configuration or a list of upstreams, and
/// whom.
///
/// A text of half a megabyte takes a link of 10 Mbit/s for 400 ms. Two at once take twice as long
/// each, and whoever gives up and begins anew keeps the link full for good. So the store comes
/// first, one peer is asked at a time, and after a failure another one, after a pause that grows.
///
/// Knows no network and no clock of its own; called from one thread.
class TextFetch
{
public:
    /// Pause after the first failure, before jitter.
    static constexpr Duration initialBackoff = std::chrono::milliseconds(100);
    static constexpr Duration maxBackoff = std::chrono::milliseconds(1000);

    /// The seed is to differ between VMs, so that they don't ask the same peer at one moment.
    explicit TextFetch(std::uint64_t seed)
        : m_random(seed)
    {}

    /// Returns whom to ask now, if anybody, and notes that it is asked. The sources are peers that
    /// were heard lately; those that hold no later version than this VM don't count. Linear.
    std::optional<std::string> begin(const TextFetchState &need,
                                     const std::vector<TextSource> &sources, TimePoint now);

    /// Notes that the peer asked brought the text. Constant.
    void onFetched();
    /// Notes that it didn't, or that it was busy. Constant.
    void onFailed(TimePoint now);

    bool isUnderWay() const { return m_isUnderWay; }

private:
    bool isLeftToStore(const TextFetchState &need, TimePoint now);
    Duration nextPause();

    pcg32 m_random;
    bool m_isUnderWay = false;
    /// Asked last; asked again only if there is nobody else.
    std::string m_lastAsked;
    int m_failures = 0;
    TimePoint m_pausedUntil{};
    /// Since when a peer is known to hold a later version.
    std::optional<TimePoint> m_behindSince;
    /// The own version as of then.
    std::int64_t m_behindAt = 0;
};

/// Lets a VM send only a few whole texts at a time; who asks beyond that is told to ask another.
class TextSendLimiter
{
public:
    /// Two links' worth of one VM's: more at once would only make each of them slower.
    static constexpr int maxConcurrentSends = 2;

    /// Returns whether one more may be sent, and counts it. Constant.
    bool tryBegin()
    {
        if (m_underWay >= maxConcurrentSends)
            return false;
        ++m_underWay;
        return true;
    }
    void end() { --m_underWay; }

private:
    int m_underWay = 0;
};

} // namespace gypsumdale
