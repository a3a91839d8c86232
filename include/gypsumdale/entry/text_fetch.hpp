#pragma once

#include <gypsumdale/core/clock.hpp>

#include <pcg_random.hpp>

#include <cstdint> // int64_t, uint64_t
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// A peer that reports which version of a text it holds.
struct TextSource
{
    std::string m_address;
    std::int64_t m_version = 0;
};

/// What a VM's decision to request a full text from a peer is based on.
struct TextFetchState
{
    /// The version that the VM holds; 0 if it has none.
    std::int64_t m_ownVersion = 0;
    /// Whether the last read of the store failed.
    bool m_isStoreLost = false;
    /// Time that the store, while it isn't known to be lost, has to provide a version that a peer
    /// reported; nothing to wait for the store without limit.
    std::optional<Duration> m_storeHeadStart;
};

/// Decides when a VM requests a full text, a configuration or a list of upstreams, from a peer, and
/// from which one.
///
/// A text of half a megabyte occupies a link of 10 Mbit/s for 400 ms. Two at once take twice as
/// long each, and retrying after a timeout keeps the link full permanently. So the store comes
/// first, only one peer is asked at a time, and after a failure a different one is asked, with a
/// backoff.
///
/// Has no network or clock of its own. Used by one thread.
class TextFetch
{
public:
    /// Backoff after the first failure, before jitter.
    static constexpr Duration initialBackoff = std::chrono::milliseconds(100);
    static constexpr Duration maxBackoff = std::chrono::milliseconds(1000);

    /// The seed should differ between VMs, so that they don't ask the same peer at the same time.
    explicit TextFetch(std::uint64_t seed)
        : m_random(seed)
    {}

    /// Returns the address of the peer to ask now, if any, and records the request. The sources are
    /// peers that have reported recently; those that hold no later version than this VM are
    /// ignored. Complexity: linear in the number of sources.
    std::optional<std::string> begin(const TextFetchState &state,
                                     const std::vector<TextSource> &sources, TimePoint now);

    /// Records that the peer sent the text. Complexity: constant.
    void onFetched();
    /// Records that the peer did not send the text, or was busy. Complexity: constant.
    void onFailed(TimePoint now);

    bool isUnderWay() const { return m_isUnderWay; }

private:
    bool waitsForStore(const TextFetchState &state, TimePoint now);
    Duration nextBackoff();

    pcg32 m_random;
    bool m_isUnderWay = false;
    /// Address of the peer asked last, which is asked again only if it is the only one.
    std::string m_lastAsked;
    int m_failures = 0;
    TimePoint m_backoffUntil{};
    /// Time since which a peer is known to hold a later version.
    std::optional<TimePoint> m_behindSince;
    /// The own version at that time.
    std::int64_t m_behindVersion = 0;
};

/// Limits the number of full texts that a VM sends at the same time. Further requests are answered
/// with the advice to ask another peer.
class TextSendLimiter
{
public:
    /// A second text halves the speed of each; more than two would only slow all of them further.
    static constexpr int maxConcurrentSends = 2;

    /// Returns whether one more text may be sent, and counts it. Complexity: constant.
    bool tryBegin()
    {
        if (m_activeSends >= maxConcurrentSends)
            return false;
        ++m_activeSends;
        return true;
    }
    void end() { --m_activeSends; }

private:
    int m_activeSends = 0;
};

} // namespace gypsumdale
