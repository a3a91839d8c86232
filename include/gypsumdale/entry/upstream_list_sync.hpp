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

/// The list needs no reading for this long.
struct IdleStep
{
    Duration m_time{};
};

/// All upstreams are to be read from the store.
struct ListStep
{};

/// The store is to be asked for changes after a revision, and may wait so long for one.
struct WatchStep
{
    std::int64_t m_revision = 0;
    Duration m_wait{};
};

using SyncStep = std::variant<IdleStep, ListStep, WatchStep>;

/// Why a reading brought nothing.
enum class ReadFailure {
    Unanswered,
    /// The store has dropped the history behind the revision.
    HistoryGone,
};

/// Decides how a VM follows the upstreams' entries: when it reads the store itself, how long that
/// waits, and what it takes from the store, from a reader of its data centre or from a peer.
///
/// It answers two loads. In a large fleet each VM that reads would pay for every change, so that a
/// follower goes by what readers tell and reads only once it was not told for half of the bound.
/// And upstreams write all the time, so that a watch answers at once: pauses let changes collect.
///
/// Knows no network and no clock of its own; called from one thread.
class UpstreamListSync
{
public:
    /// Keeps a reference to the bounds, which a reload may change.
    explicit UpstreamListSync(const EntryBounds &bounds);

    /// Says how this VM learns the list from now on.
    void setRole(StoreRole role) { m_role = role; }

    /// Returns what to do next. After a reading, delayAfterRead comes first. Constant.
    SyncStep next(TimePoint now) const;
    Duration delayAfterRead(TimePoint now) const;

    /// Take in what a reading brought. Return false if a peer told of a later revision meanwhile,
    /// which the answer would undo. Linear.
    bool applyListing(UpstreamList list, TimePoint sentAt, TimePoint now);
    bool applyChanges(const std::vector<UpstreamChange> &changes, std::int64_t revision,
                      const WatchTimes &times);
    void noteFailed(ReadFailure failure);

    /// Takes the list that a peer read, if the own one has gone stale. Returns whether it was
    /// taken. Linear.
    bool applyFromPeer(UpstreamList list, const ReportedAge &age, TimePoint now);
    /// Takes what a reader of this data centre tells. Linear.
    UpstreamFeed::ApplyResult receiveUpdate(const UpstreamListUpdate &news, const ReportedAge &age,
                                            TimePoint now);

    /// Drops entries whose time to come back is over. Returns true if any was. Linear.
    bool expire(TimePoint now) { return m_feed.expire(now); }

    const UpstreamFeed &feed() const { return m_feed; }
    /// A moment at which the store surely had nothing that the list lacks.
    TimePoint confirmedAt() const { return m_confirmation.at(); }
    /// What a placement may go by.
    ListConfirmation standing() const
    {
        // A store that has dropped the history has answered: there is a newer list to be had.
        return {m_confirmation.at(), m_isStoreLost && !m_isHistoryGone};
    }
    /// When the last reading that was answered had been sent.
    TimePoint readAt() const { return m_readAt; }
    Duration age(TimePoint now) const;
    /// Tells whether the store has not confirmed the list for so long that a peer's is better.
    bool isStale(TimePoint now) const { return age(now) > staleAfter; }

private:
    /// Longer than a watch and the pause after it take.
    static constexpr Duration staleAfter = std::chrono::milliseconds(1600);

    /// Half of the bound: a list that is older is to be read at once.
    Duration patience() const;
    Duration toldLimit() const;
    bool isTold(TimePoint now) const;
    Duration watchWait(TimePoint now) const;
    void noteAnswered(TimePoint sentAt);
    bool mustList() const;
    bool isOvertaken(std::int64_t revision) const { return revision < m_feed.revision(); }

    const EntryBounds &m_bounds;
    UpstreamFeed m_feed;
    Confirmation m_confirmation;
    TimePoint m_readAt{};
    StoreRole m_role = StoreRole::Alone;
    /// The store refused to tell what changed after this revision. Nobody's word of it, or of an
    /// earlier one, ends that: only a later list does, or the listing.
    std::optional<std::int64_t> m_refusedRevision;
    bool m_isStoreLost = false;
    /// The last reading was a watch that the store refused: it is known to have more to tell.
    bool m_isHistoryGone = false;
};

} // namespace gypsumdale
