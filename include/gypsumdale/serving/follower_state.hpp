#pragma once

#include <gypsumdale/serving/upstream_feed.hpp>

#include <cstdint> // int64_t

namespace gypsumdale {

/// What a reader of the list of upstreams knows one follower to have been told.
class FollowerState
{
public:
    /// Returns what the follower lacks of the list, or the whole list where that can't be told.
    /// Linear.
    UpstreamListUpdate updateFor(const UpstreamFeed &list, TimePoint now) const;

    /// The follower took what it was told. Without an answer the same is told again: taking it
    /// twice changes nothing.
    void onApplied(const UpstreamListUpdate &news);
    /// The follower lacks more than it was told.
    void onMissingChanges() { m_isKnown = false; }

    /// Tells whether what the follower holds is known, so that the whole list isn't needed.
    bool isKnown() const { return m_isKnown; }

private:
    std::int64_t m_change = 0;
    std::int64_t m_revision = 0;
    bool m_isKnown = false;
};

} // namespace gypsumdale
