#include <gypsumdale/entry/upstream_list_sync.hpp>

#include <algorithm> // clamp, max
#include <utility> // move

namespace gypsumdale {

namespace {

/// Shorter than the time after which followers read for themselves, so that a reader without
/// changes still sends updates in time.
constexpr Duration readerWatchWait = std::chrono::milliseconds(500);
/// Wait of a follower's watch, which it sends only when its list has reached half of the age limit,
/// and of any VM's watch from then on.
constexpr Duration urgentWatchWait = std::chrono::milliseconds(50);
/// Divisor for the delay after a read, and for the watch of a VM that reads alone: part of the time
/// within which a leaving upstream must receive no more requests. A delay, a lost watch and the
/// next watch fit into it, with time left for the placement.
constexpr int delayDivisor = 5;
/// Shorter for a reader, as its updates still have to reach the followers.
constexpr int readerDelayDivisor = 6;
/// Divisor for the age, as part of the limit, at which a list is read at once; the remaining part
/// is for that read.
constexpr int readAgeDivisor = 2;
constexpr Duration idleInterval = std::chrono::milliseconds(100);
constexpr Duration failureDelay = std::chrono::milliseconds(150);
/// Delay between the reads of a follower that the store refuses but that receives updates: each
/// read is charged.
constexpr Duration failureDelayWithUpdates = std::chrono::milliseconds(1000);

} // namespace

UpstreamListSync::UpstreamListSync(const EntryBounds &bounds)
    : m_bounds(bounds)
    , m_feed(bounds.m_upstreamHeartbeat)
{}

SyncStep UpstreamListSync::next(TimePoint now) const
{
    if (hasRecentUpdate(now) && !m_isStoreLost)
        return IdleStep{idleInterval};
    if (mustReadFullList())
        return ListStep{};
    return WatchStep{m_feed.revision(), watchWait(now)};
}

bool UpstreamListSync::mustReadFullList() const
{
    const bool isHistoryGone = m_refusedRevision && m_feed.revision() <= *m_refusedRevision;
    return !m_feed.isKnown() || isHistoryGone;
}

Duration UpstreamListSync::readAgeLimit() const
{
    return m_bounds.m_leavingApply / readAgeDivisor;
}

/// Returns the age up to which a follower with a known list doesn't read for itself; zero for all
/// others, which always read.
Duration UpstreamListSync::updateAgeLimit() const
{
    if (m_role != StoreRole::Follower || !m_feed.isKnown())
        return Duration::zero();
    return readAgeLimit();
}

/// Returns whether a reader has confirmed the list so recently that this VM need not read it.
bool UpstreamListSync::hasRecentUpdate(TimePoint now) const
{
    return age(now) < updateAgeLimit();
}

Duration UpstreamListSync::delayAfterRead(TimePoint now) const
{
    if (m_isHistoryGone)
        return Duration::zero();
    // The delay ends at the time at which the list becomes too old: after a failed read just before
    // that, a full delay would add to the half of the limit that has already passed.
    if (m_isStoreLost)
        return std::clamp(updateAgeLimit() - age(now), failureDelay, failureDelayWithUpdates);
    if (m_role != StoreRole::Reader)
        return m_bounds.m_leavingApply / delayDivisor;
    // A watch that waited has already let changes collect.
    const Duration delay = m_bounds.m_leavingApply / readerDelayDivisor;
    return std::max(m_readAt + delay - now, Duration::zero());
}

/// Returns how long a watch may wait: by role, but not beyond the time at which the list reaches
/// half of the age limit, as the answer may be lost.
Duration UpstreamListSync::watchWait(TimePoint now) const
{
    if (m_role == StoreRole::Follower)
        return urgentWatchWait;
    const Duration wait =
            m_role == StoreRole::Reader ? readerWatchWait : m_bounds.m_leavingApply / delayDivisor;
    return std::clamp(readAgeLimit() - age(now), urgentWatchWait, wait);
}

bool UpstreamListSync::applyListing(UpstreamList list, TimePoint sentAt, TimePoint now)
{
    recordAnswered(sentAt);
    m_confirmation.record(sentAt);
    if (isSuperseded(list.m_revision))
        return false;
    m_refusedRevision.reset();
    m_feed.replaceAll(std::move(list), now);
    return true;
}

bool UpstreamListSync::applyChanges(const std::vector<UpstreamChange> &changes,
                                    std::int64_t revision, const WatchTimes &times)
{
    recordAnswered(times.m_sentAt);
    m_confirmation.record(times, changes.empty() ? WatchResult::Nothing : WatchResult::Changes);
    if (isSuperseded(revision))
        return false;
    m_feed.apply(changes, revision, times.m_answeredAt);
    return true;
}

void UpstreamListSync::recordAnswered(TimePoint sentAt)
{
    m_readAt = sentAt;
    m_isStoreLost = false;
    m_isHistoryGone = false;
}

void UpstreamListSync::noteFailed(ReadFailure failure)
{
    m_feed.onStoreUnavailable();
    m_isStoreLost = true;
    m_isHistoryGone = failure == ReadFailure::HistoryDropped;
    if (m_isHistoryGone)
        m_refusedRevision = m_feed.revision();
}

bool UpstreamListSync::applyFromPeer(UpstreamList list, const ReportedAge &age, TimePoint now)
{
    if (!isStale(now) || list.m_revision <= m_feed.revision())
        return false;
    m_feed.replaceAll(std::move(list), now - age.m_ageWhenSent);
    m_confirmation.record(age);
    return true;
}

UpstreamFeed::ApplyResult UpstreamListSync::receiveUpdate(const UpstreamListUpdate &news,
                                                          const ReportedAge &age, TimePoint now)
{
    const UpstreamFeed::ApplyResult result = m_feed.take(news, now - age.m_ageWhenSent, now);
    // An own list that is later contains everything that was confirmed for the reader's list.
    if (result != UpstreamFeed::ApplyResult::ChangesMissing)
        m_confirmation.record(age);
    return result;
}

Duration UpstreamListSync::age(TimePoint now) const
{
    return m_feed.isKnown() ? now - m_confirmation.at() : Duration::max();
}

} // namespace gypsumdale
