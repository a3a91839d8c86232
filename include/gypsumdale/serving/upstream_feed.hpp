#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/upstream_history.hpp>
#include <gypsumdale/serving/upstream_record.hpp>

#include <cstdint> // int64_t
#include <map> // map
#include <optional> // optional
#include <set> // set
#include <vector> // vector

namespace gypsumdale {

/// State of an upstream's entry after a change.
enum class UpstreamChangeKind {
    /// The entry exists with the record's content.
    Present,
    /// The entry vanished, and may return after an outage of the store.
    Removed,
    /// The entry exists but can't be read: the upstream must not be used.
    Unusable,
};

/// One change of the list of upstreams, in the store's order. Only the record's id is meaningful
/// where the entry is not present.
struct UpstreamChange
{
    UpstreamRecord m_record;
    UpstreamChangeKind m_kind = UpstreamChangeKind::Present;
};

/// An update from a VM that reads the list to one that doesn't.
struct UpstreamListUpdate
{
    /// The store's revision of the list after the changes.
    std::int64_t m_revision = 0;
    /// The revision after which the changes are complete; empty if they are the full list.
    std::optional<std::int64_t> m_sinceRevision;
    std::vector<UpstreamChange> m_changes;
    /// Time since the store became available again, as observed by the sender; empty if it was
    /// never unavailable.
    std::optional<Duration> m_storeReturnedAgo;
    /// Number of the newest change of the sender's history in this update.
    std::int64_t m_newestChange = 0;
};

/// Maintains the list of upstreams from updates of the store or a peer. Only newer revisions are
/// adopted.
///
/// An upstream's entry expires while the store is unavailable, even though the upstream is alive.
/// Without retention, routing would lose all upstreams at once when the store returns. Such entries
/// reappear within about two seconds of its return, so a vanished entry is retained until then; one
/// that is still missing afterwards is gone. A draining upstream is never retained, nor one whose
/// entry was overwritten with unreadable content.
///
/// A failed read alone is no outage: entries removed meanwhile were removed by a store that works.
/// If retained for two seconds, such an upstream would receive requests beyond the time after which
/// a leaving upstream must receive none. No entry of a living upstream expires before two of its
/// heartbeats failed, so entries are retained only if nobody confirmed the list for that long.
///
/// An entry with an earlier start than the known one, or without a start where one is known,
/// doesn't describe the upstream's current process: the first is ignored, the second makes the
/// upstream unusable.
class UpstreamFeed
{
public:
    /// `heartbeat` is the interval at which an upstream writes its entry.
    explicit UpstreamFeed(Duration heartbeat = std::chrono::milliseconds(1200))
        : m_heartbeat(heartbeat)
    {}

    /// Replaces the list by a newer one read in full. Returns false if it is older. Complexity:
    /// linear.
    bool replaceAll(UpstreamList list, TimePoint now);

    /// Applies changes that lead to a revision. Complexity: linear in the changes.
    void apply(const std::vector<UpstreamChange> &changes, std::int64_t revision, TimePoint now);

    /// Result of applying an update.
    enum class ApplyResult {
        Taken,
        /// The update is older than the list, and there is no gap.
        Older,
        /// The list misses more changes than the update contains.
        ChangesMissing,
    };
    /// Applies an update from a VM that reads the store, as if it had been read here. Complexity:
    /// linear in the changes, or in the list if the update is a full list.
    ApplyResult take(const UpstreamListUpdate &update, TimePoint confirmedAt, TimePoint now);

    /// Records that the store did not answer.
    void onStoreUnavailable() { m_isStoreUnavailable = true; }

    /// Removes entries whose retention expired. Returns whether any was removed. Complexity:
    /// linear.
    bool expire(TimePoint now);

    /// Returns the usable upstreams, including retained ones.
    const std::map<UpstreamId, UpstreamRecord> &upstreams() const { return m_list.m_upstreams; }
    /// Returns the upstreams for another VM, without retained ones. The receiver couldn't tell them
    /// from others, and would use them permanently: if it continues reading from this list's
    /// revision, it never sees their removal. Complexity: linear.
    std::map<UpstreamId, UpstreamRecord> present() const;
    std::int64_t revision() const { return m_list.m_revision; }
    /// Returns when the store, or a peer that had received its state, last confirmed the list.
    TimePoint confirmedAt() const { return m_confirmedAt; }
    bool isKnown() const { return m_list.m_revision > 0; }
    /// Returns whether an entry vanished and is only retained. Complexity: logarithmic.
    bool isRetained(const UpstreamId &id) const { return m_retainedUntil.contains(id); }
    /// Returns the upstreams whose entries are known to be unreadable.
    const std::set<UpstreamId> &unusable() const { return m_list.m_unusable; }
    /// Returns when the store last became available again; the clock's epoch if it was never
    /// unavailable.
    TimePoint storeReturnedAt() const { return m_returnedAt; }
    /// Returns the changes relevant to routing, for followers that receive deltas.
    const UpstreamHistory &history() const { return m_history; }

private:
    bool mayHaveExpired(TimePoint confirmedAt) const;
    bool shouldRetain(const UpstreamRecord &record, TimePoint now) const;
    void onStoreAvailable(TimePoint now);
    void put(const UpstreamRecord &record);
    void remove(const UpstreamId &id, TimePoint now);
    void drop(const UpstreamId &id);
    void keepLaterStarts(UpstreamList &list) const;
    void replaceList(UpstreamList list, TimePoint now);
    void applyEach(const std::vector<UpstreamChange> &changes, TimePoint now);

    Duration m_heartbeat;
    UpstreamList m_list;
    /// Entries that vanished around an outage, with the end of their retention.
    std::map<UpstreamId, TimePoint> m_retainedUntil;
    TimePoint m_confirmedAt{};
    TimePoint m_returnedAt{};
    bool m_isStoreUnavailable = false;
    UpstreamHistory m_history;
};

} // namespace gypsumdale
