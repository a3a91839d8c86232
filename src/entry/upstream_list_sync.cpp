#include <gypsumdale/entry/upstream_list_sync.hpp>

#include <algorithm> // clamp, max
#include <utility> // move

namespace gypsumdale {

namespace {

/// A reader that has nothing new says so more often than its followers lose patience.
constexpr Duration readerWatchWait = std::chrono::milliseconds(500);
/// Of a follower, which reads when its list has used up its patience, and of any VM whose list has.
constexpr Duration urgentWatchWait = std::chrono::milliseconds(50);
/// Pauses, or watches of a VM that reads alone, in the time in which a leaving upstream must be
/// left alone: a pause, a watch that is lost and the next one fit in with room for the placement.
constexpr int pausesPerBound = 5;
/// A reader's pause is shorter: its word goes a step further.
constexpr int readerPausesPerBound = 6;
/// A list may be so old, as a part of the bound, before it is read at once; the rest is for that.
constexpr int patiencesPerBound = 2;
constexpr Duration toldTick = std::chrono::milliseconds(100);
constexpr Duration failurePause = std::chrono::milliseconds(150);
/// Between the tries of a follower whom the store turns away, but who is told: each is paid for.
constexpr Duration failurePauseIfTold = std::chrono::milliseconds(1000);

} // namespace

UpstreamListSync::UpstreamListSync(const EntryBounds &bounds)
    : m_bounds(bounds)
    , m_feed(bounds.m_upstreamHeartbeat)
{}

SyncStep UpstreamListSync::next(TimePoint now) const
{
    if (isTold(now) && !m_isStoreLost)
        return IdleStep{toldTick};
    if (mustList())
        return ListStep{};
    return WatchStep{m_feed.revision(), watchWait(now)};
}

bool UpstreamListSync::mustList() const
{
    const bool isHistoryGone = m_refusedRevision && m_feed.revision() <= *m_refusedRevision;
    return !m_feed.isKnown() || isHistoryGone;
}

Duration UpstreamListSync::patience() const
{
    return m_bounds.m_leavingApply / patiencesPerBound;
}

/// Returns how old a list may be that a follower doesn't read for itself; nothing for others, who
/// read always.
Duration UpstreamListSync::toldLimit() const
{
    if (m_role != StoreRole::Follower || !m_feed.isKnown())
        return Duration::zero();
    return patience();
}

/// Tells whether a reader has confirmed the list lately enough for this VM not to read it.
bool UpstreamListSync::isTold(TimePoint now) const
{
    return age(now) < toldLimit();
}

Duration UpstreamListSync::delayAfterRead(TimePoint now) const
{
    if (m_isHistoryGone)
        return Duration::zero();
    // Not beyond the moment at which the list counts as untold: a failed reading just before it
    // would add the whole pause to the half of the bound that was waited.
    if (m_isStoreLost)
        return std::clamp(toldLimit() - age(now), failurePause, failurePauseIfTold);
    if (m_role != StoreRole::Reader)
        return m_bounds.m_leavingApply / pausesPerBound;
    // A watch that waited has let changes collect already.
    const Duration pause = m_bounds.m_leavingApply / readerPausesPerBound;
    return std::max(m_readAt + pause - now, Duration::zero());
}

/// Returns how long a watch may wait: by role, but not beyond the moment at which the list has used
/// up its patience, as the answer may be lost.
Duration UpstreamListSync::watchWait(TimePoint now) const
{
    if (m_role == StoreRole::Follower)
        return urgentWatchWait;
    const Duration wait = m_role == StoreRole::Reader ? readerWatchWait
                                                      : m_bounds.m_leavingApply / pausesPerBound;
    return std::clamp(patience() - age(now), urgentWatchWait, wait);
}

bool UpstreamListSync::applyListing(UpstreamList list, TimePoint sentAt, TimePoint now)
{
    noteAnswered(sentAt);
    m_confirmation.take(sentAt);
    if (isOvertaken(list.m_revision))
        return false;
    m_refusedRevision.reset();
    m_feed.replaceAll(std::move(list), now);
    return true;
}

bool UpstreamListSync::applyChanges(const std::vector<UpstreamChange> &changes,
                                    std::int64_t revision, const WatchTimes &times)
{
    noteAnswered(times.m_sentAt);
    m_confirmation.take(times, changes.empty() ? WatchResult::Nothing : WatchResult::Changes);
    if (isOvertaken(revision))
        return false;
    m_feed.apply(changes, revision, times.m_answeredAt);
    return true;
}

void UpstreamListSync::noteAnswered(TimePoint sentAt)
{
    m_readAt = sentAt;
    m_isStoreLost = false;
    m_isHistoryGone = false;
}

void UpstreamListSync::noteFailed(ReadFailure failure)
{
    m_feed.onStoreUnavailable();
    m_isStoreLost = true;
    m_isHistoryGone = failure == ReadFailure::HistoryGone;
    if (m_isHistoryGone)
        m_refusedRevision = m_feed.revision();
}

bool UpstreamListSync::applyFromPeer(UpstreamList list, const ReportedAge &age, TimePoint now)
{
    if (!isStale(now) || list.m_revision <= m_feed.revision())
        return false;
    m_feed.replaceAll(std::move(list), now - age.m_ageWhenSent);
    m_confirmation.take(age);
    return true;
}

UpstreamFeed::ApplyResult UpstreamListSync::receiveUpdate(const UpstreamListUpdate &news,
                                                          const ReportedAge &age, TimePoint now)
{
    const UpstreamFeed::ApplyResult taking = m_feed.take(news, now - age.m_ageWhenSent, now);
    // An own list that is later holds all that the reader's was confirmed to hold.
    if (taking != UpstreamFeed::ApplyResult::ChangesMissing)
        m_confirmation.take(age);
    return taking;
}

Duration UpstreamListSync::age(TimePoint now) const
{
    return m_feed.isKnown() ? now - m_confirmation.at() : Duration::max();
}

} // namespace gypsumdale
