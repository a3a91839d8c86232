#pragma once

#include <gypsumdale/entry/confirmation.hpp>
#include <gypsumdale/entry/store_role.hpp>
#include <gypsumdale/serving/placement_deadline.hpp>
#include <gypsumdale/serving/upstream_feed.hpp>
#include <gypsumdale/settings/entry_settings.hpp>

#include <cstdint> // int64_t
#include <optional> // optional
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// Nothing is to be read for this time.
struct IdleStep
{
    Duration m_time{};
};

/// The full list is to be read from the store.
struct ListStep
{};

/// Changes after a revision are to be read from the store, which may wait this long for one.
struct WatchStep
{
    std::int64_t m_revision = 0;
    Duration m_wait{};
};

using SyncStep = std::variant<IdleStep, ListStep, WatchStep>;

/// Why a read failed.
enum class ReadFailure {
    Unanswered,
    /// The store has dropped its history of changes since the revision.
    HistoryDropped,
};

/// Decides how a VM follows the upstreams' entries: when it reads the store itself, how long such a
/// read waits, and what it applies from the store, from a reader of its data centre or from a peer.
///
/// This limits two kinds of load. In a large fleet every VM that reads would be charged for every
/// change; a follower therefore uses the updates of readers, and reads only if it received none for
/// half of the age limit. And upstreams write all the time, so that a watch returns at once: delays
/// between watches let changes collect.
///
/// Has no network or clock of its own. Used by one thread.
class UpstreamListSync
{
public:
    /// Keeps a reference to the bounds, which a reload may change.
    explicit UpstreamListSync(const EntryBounds &bounds);

    /// Sets how this VM learns the list from now on.
    void setRole(StoreRole role) { m_role = role; }

    /// Returns the next step. After a read, delayAfterRead() is to be waited first. Complexity:
    /// constant.
    SyncStep next(TimePoint now) const;
    Duration delayAfterRead(TimePoint now) const;

    /// Apply the result of a read. Return false if a later revision was received from a peer
    /// meanwhile, which the result would revert. Complexity: linear in the number of entries.
    bool applyListing(UpstreamList list, TimePoint sentAt, TimePoint now);
    bool applyChanges(const std::vector<UpstreamChange> &changes, std::int64_t revision,
                      const WatchTimes &times);
    void noteFailed(ReadFailure failure);

    /// Replaces the list with one that a peer read, if the own list is stale. Returns whether it
    /// was replaced. Complexity: linear in the number of entries.
    bool applyFromPeer(UpstreamList list, const ReportedAge &age, TimePoint now);
    /// Applies an update of a reader of this data centre. Complexity: linear in the number of
    /// changes.
    UpstreamFeed::ApplyResult receiveUpdate(const UpstreamListUpdate &news, const ReportedAge &age,
                                            TimePoint now);

    /// Removes retained entries whose retention is over. Returns whether any was removed.
    /// Complexity: linear in the number of entries.
    bool expire(TimePoint now) { return m_feed.expire(now); }

    const UpstreamFeed &feed() const { return m_feed; }
    /// Returns the latest time at which the store is known to have had no changes that the list is
    /// missing.
    TimePoint confirmedAt() const { return m_confirmation.at(); }
    /// Returns what is known of the list's age, for placements.
    ListConfirmation standing() const
    {
        // A store that dropped its history has answered, so a newer list is available from it.
        return {m_confirmation.at(), m_isStoreLost && !m_isHistoryGone};
    }
    /// Returns when the last read that was answered had been sent.
    TimePoint readAt() const { return m_readAt; }
    Duration age(TimePoint now) const;
    /// Returns whether the store's last confirmation of the list is so old that a peer's list is
    /// preferred.
    bool isStale(TimePoint now) const { return age(now) > staleAfter; }

private:
    /// Longer than a watch and the delay after it take.
    static constexpr Duration staleAfter = std::chrono::milliseconds(1600);

    /// Half of the age limit: an older list is to be read at once.
    Duration readAgeLimit() const;
    Duration updateAgeLimit() const;
    bool hasRecentUpdate(TimePoint now) const;
    Duration watchWait(TimePoint now) const;
    void recordAnswered(TimePoint sentAt);
    bool mustReadFullList() const;
    bool isSuperseded(std::int64_t revision) const { return revision < m_feed.revision(); }

    const EntryBounds &m_bounds;
    UpstreamFeed m_feed;
    Confirmation m_confirmation;
    TimePoint m_readAt{};
    StoreRole m_role = StoreRole::Alone;
    /// Revision since which the store refused to return changes. No report of this or an earlier
    /// revision clears it, only a later list or a full read.
    std::optional<std::int64_t> m_refusedRevision;
    bool m_isStoreLost = false;
    /// The last read was a watch that the store refused because of dropped history: the store is
    /// known to have later changes.
    bool m_isHistoryGone = false;
};

} // namespace gypsumdale
