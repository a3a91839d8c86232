#pragma once

#include <gypsumdale/serving/upstream_feed.hpp>

#include <cstdint> // int64_t

namespace gypsumdale {

/// A reader's knowledge of which list of upstreams one follower holds.
class FollowerState
{
public:
    /// Returns the follower's missing changes, or the full list where they can't be determined.
    /// Complexity: linear.
    UpstreamListUpdate updateFor(const UpstreamFeed &list, TimePoint now) const;

    /// Records that the follower applied an update. Without its answer, the same update is sent
    /// again: applying it twice changes nothing.
    void onApplied(const UpstreamListUpdate &update);
    /// Records that the follower misses more than the update contained.
    void onMissingChanges() { m_isKnown = false; }

    /// Returns whether the follower's state is known, so that it doesn't need the full list.
    bool isKnown() const { return m_isKnown; }

private:
    std::int64_t m_changeNumber = 0;
    std::int64_t m_revision = 0;
    bool m_isKnown = false;
};

} // namespace gypsumdale
