#pragma once

#include <gypsumdale/core/ids.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <optional> // optional
#include <vector> // vector

namespace gypsumdale {

/// Changes of a list of upstreams since a point in its history.
struct UpstreamDifferences
{
    std::vector<UpstreamId> m_changed;
    std::vector<UpstreamId> m_gone;
};

/// Records when each upstream last changed, so that followers receive deltas instead of the full
/// list. Changes are numbered within this process, from 1: the store's revision is unsuitable, as
/// the removal of a retained entry has none.
///
/// Every change counts, even one that is reverted before any follower was sent it: a follower may
/// have read the store in between.
class UpstreamHistory
{
public:
    /// Records that an upstream joined or changed. Complexity: logarithmic.
    void recordChange(const UpstreamId &upstream) { record(upstream, false); }
    /// Records that an upstream left. Complexity: logarithmic; linear when old records are
    /// discarded.
    void noteGone(const UpstreamId &upstream) { record(upstream, true); }

    /// Records that the list was replaced. Unobserved changes can't be expressed as a delta.
    void recordReplacement();

    /// Returns the number of the newest change; 0 before the first.
    std::int64_t newest() const { return m_newest; }

    /// Returns the changes after a number, or nothing if the history doesn't reach back that far.
    /// Complexity: linear.
    std::optional<UpstreamDifferences> since(std::int64_t number) const;

private:
    struct Entry
    {
        std::int64_t m_number = 0;
        bool m_isGone = false;
    };

    void record(const UpstreamId &upstream, bool isGone);
    void discardOldest();

    std::map<UpstreamId, Entry> m_entries;
    std::int64_t m_newest = 0;
    /// Changes up to this number may have been discarded.
    std::int64_t m_discardedTo = 0;
    std::size_t m_goneCount = 0;
};

} // namespace gypsumdale
