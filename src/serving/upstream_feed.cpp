#include <gypsumdale/serving/upstream_feed.hpp>

#include <algorithm> // max
#include <utility> // move

namespace gypsumdale {

namespace {

/// Time in which entries that expired during an outage of the store reappear after it, from the
/// platform's guarantee of about two seconds.
constexpr Duration retentionPeriod = std::chrono::milliseconds(2000);
/// Minimum number of an upstream's heartbeats that fail before its entry expires because of an
/// outage: it expires after three missed ones, and the last successful one may have preceded the
/// outage by almost one interval.
constexpr int minMissedHeartbeats = 2;

} // namespace

/// Returns whether the list was unconfirmed for so long before `confirmedAt` that entries of living
/// upstreams can have expired.
bool UpstreamFeed::mayHaveExpired(TimePoint confirmedAt) const
{
    return confirmedAt - m_confirmedAt >= m_heartbeat * minMissedHeartbeats;
}

void UpstreamFeed::onStoreAvailable(TimePoint now)
{
    if (m_isStoreUnavailable && mayHaveExpired(now))
        m_returnedAt = now;
    m_isStoreUnavailable = false;
    m_confirmedAt = now;
}

bool UpstreamFeed::shouldRetain(const UpstreamRecord &record, TimePoint now) const
{
    if (record.m_isDraining || m_returnedAt == TimePoint{})
        return false;
    return now < m_returnedAt + retentionPeriod;
}

void UpstreamFeed::put(const UpstreamRecord &record)
{
    const auto known = m_list.m_upstreams.find(record.m_id);
    if (known != m_list.m_upstreams.end() && record.m_startedAt < known->second.m_startedAt) {
        if (record.m_startedAt == 0)
            drop(record.m_id);
        return;
    }
    m_list.m_unusable.erase(record.m_id);
    const bool hasReturned = m_retainedUntil.erase(record.m_id) > 0;
    if (hasReturned || known == m_list.m_upstreams.end()
        || !isSameForRouting(known->second, record))
        m_history.recordChange(record.m_id);
    m_list.m_upstreams[record.m_id] = record;
}

/// Removes an entry or retains it. Followers are sent a removal in both cases and retain it by the
/// same rule: an entry sent as present would stay there permanently if its reader ended before the
/// retention expired.
void UpstreamFeed::remove(const UpstreamId &id, TimePoint now)
{
    m_history.noteGone(id);
    m_list.m_unusable.erase(id);
    const auto known = m_list.m_upstreams.find(id);
    if (known == m_list.m_upstreams.end())
        return;
    if (shouldRetain(known->second, now)) {
        known->second.m_isRetained = true;
        m_retainedUntil.try_emplace(id, m_returnedAt + retentionPeriod);
        return;
    }
    m_list.m_upstreams.erase(known);
    m_retainedUntil.erase(id);
}

/// Removes an upstream whose entry no longer identifies a usable upstream.
void UpstreamFeed::drop(const UpstreamId &id)
{
    m_history.noteGone(id);
    m_list.m_upstreams.erase(id);
    m_retainedUntil.erase(id);
    m_list.m_unusable.insert(id);
}

/// Keeps the known record of an upstream's current start where a list contains an earlier one.
void UpstreamFeed::keepLaterStarts(UpstreamList &list) const
{
    for (const auto &[id, known] : m_list.m_upstreams) {
        const auto listed = list.m_upstreams.find(id);
        if (listed == list.m_upstreams.end() || listed->second.m_startedAt >= known.m_startedAt)
            continue;
        if (listed->second.m_startedAt > 0) {
            listed->second = known;
            listed->second.m_isRetained = false;
            continue;
        }
        list.m_upstreams.erase(listed);
        list.m_unusable.insert(id);
    }
}

void UpstreamFeed::replaceList(UpstreamList list, TimePoint now)
{
    keepLaterStarts(list);
    std::erase_if(m_retainedUntil,
                  [&list](const auto &entry) { return list.m_upstreams.contains(entry.first); });
    for (const auto &[id, record] : m_list.m_upstreams) {
        if (list.m_upstreams.contains(id))
            continue;
        if (list.m_unusable.contains(id) || !shouldRetain(record, now)) {
            m_retainedUntil.erase(id);
            continue;
        }
        list.m_upstreams.emplace(id, record).first->second.m_isRetained = true;
        m_retainedUntil.try_emplace(id, m_returnedAt + retentionPeriod);
    }
    m_list = std::move(list);
    m_history.recordReplacement();
}

bool UpstreamFeed::replaceAll(UpstreamList list, TimePoint now)
{
    if (list.m_revision < m_list.m_revision)
        return false;
    onStoreAvailable(now);
    replaceList(std::move(list), now);
    return true;
}

void UpstreamFeed::apply(const std::vector<UpstreamChange> &changes, std::int64_t revision,
                         TimePoint now)
{
    onStoreAvailable(now);
    applyEach(changes, now);
    if (revision > m_list.m_revision)
        m_list.m_revision = revision;
}

void UpstreamFeed::applyEach(const std::vector<UpstreamChange> &changes, TimePoint now)
{
    for (const UpstreamChange &change : changes) {
        switch (change.m_kind) {
        case UpstreamChangeKind::Present:
            put(change.m_record);
            break;
        case UpstreamChangeKind::Removed:
            remove(change.m_record.m_id, now);
            break;
        case UpstreamChangeKind::Unusable:
            drop(change.m_record.m_id);
            break;
        }
    }
}

UpstreamFeed::ApplyResult UpstreamFeed::take(const UpstreamListUpdate &update,
                                             TimePoint confirmedAt, TimePoint now)
{
    const bool isFullList = !update.m_sinceRevision;
    if (!isFullList && (!isKnown() || m_list.m_revision < *update.m_sinceRevision))
        return ApplyResult::ChangesMissing;
    // Changes up to an older revision are already included in this list.
    if (update.m_revision < m_list.m_revision)
        return ApplyResult::Older;
    if (update.m_storeReturnedAgo && (!isKnown() || mayHaveExpired(confirmedAt)))
        m_returnedAt = std::max(m_returnedAt, now - *update.m_storeReturnedAgo);
    // Applying the same revision again would record it as an update for its own sender.
    const bool isAlreadyApplied = isKnown() && update.m_revision == m_list.m_revision;
    if (isAlreadyApplied) {
        m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
        return ApplyResult::Taken;
    }
    if (isFullList) {
        UpstreamList list;
        for (const UpstreamChange &change : update.m_changes) {
            if (change.m_kind == UpstreamChangeKind::Present)
                list.m_upstreams.emplace(change.m_record.m_id, change.m_record);
            else if (change.m_kind == UpstreamChangeKind::Unusable)
                list.m_unusable.insert(change.m_record.m_id);
        }
        replaceList(std::move(list), now);
    } else {
        applyEach(update.m_changes, now);
    }
    m_list.m_revision = update.m_revision;
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    return ApplyResult::Taken;
}

std::map<UpstreamId, UpstreamRecord> UpstreamFeed::present() const
{
    std::map<UpstreamId, UpstreamRecord> present = m_list.m_upstreams;
    std::erase_if(present, [this](const auto &entry) { return isRetained(entry.first); });
    return present;
}

bool UpstreamFeed::expire(TimePoint now)
{
    bool hasRemoved = false;
    for (auto entry = m_retainedUntil.begin(); entry != m_retainedUntil.end();) {
        if (now < entry->second) {
            ++entry;
            continue;
        }
        m_list.m_upstreams.erase(entry->first);
        entry = m_retainedUntil.erase(entry);
        hasRemoved = true;
    }
    return hasRemoved;
}

} // namespace gypsumdale
