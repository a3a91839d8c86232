#pragma once

#include <gypsumdale/core/ids.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <optional> // optional
#include <vector> // vector

namespace gypsumdale {

/// What changed in a list of upstreams since a point in time.
struct UpstreamDifferences
{
    std::vector<UpstreamId> m_changed;
    std::vector<UpstreamId> m_gone;
};

/// Remembers when each upstream last changed, so that who follows the list is told differences and
/// not all of it. Points in time are numbers of this process, counted from 1: the store's revision
/// doesn't serve, as an entry that was kept after it vanished is dropped without one.
///
/// Every change counts, also one that is undone before anybody is told: a follower may have read
/// the store in between.
class UpstreamHistory
{
public:
    /// Notes that an upstream joined or changed. Logarithmic.
    void recordChange(const UpstreamId &upstream) { note(upstream, false); }
    /// Notes that an upstream left. Logarithmic; linear when old ones are forgotten.
    void noteGone(const UpstreamId &upstream) { note(upstream, true); }

    /// Notes that the list was replaced: what came and went unseen can't be told as differences.
    void recordReplacement();

    /// The number of the newest change; 0 before the first.
    std::int64_t newest() const { return m_newest; }

    /// Returns what changed after a number, or nothing if that lies too far back to tell. Linear.
    std::optional<UpstreamDifferences> since(std::int64_t number) const;

private:
    struct Entry
    {
        std::int64_t m_number = 0;
        bool m_isGone = false;
    };

    void note(const UpstreamId &upstream, bool isGone);
    void forgetOldest();

    std::map<UpstreamId, Entry> m_entries;
    std::int64_t m_newest = 0;
    /// Changes up to this number may have been forgotten.
    std::int64_t m_forgottenTo = 0;
    std::size_t m_goneCount = 0;
};

} // namespace gypsumdale
