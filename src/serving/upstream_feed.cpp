#include <gypsumdale/serving/upstream_feed.hpp>

#include <algorithm> // max
#include <utility> // move

namespace gypsumdale {

namespace {

/// Time in which entries that lapsed while the store was away come back after its return, from the
/// platform's promise of about two seconds.
constexpr Duration returnTime = std::chrono::milliseconds(2000);

} // namespace

void UpstreamFeed::storeAnswered(TimePoint now)
{
    if (m_isStoreAway)
        m_returnedAt = now;
    m_isStoreAway = false;
    m_confirmedAt = now;
}

bool UpstreamFeed::keepsVanished(const UpstreamRecord &record, TimePoint now) const
{
    if (record.m_isDraining || m_returnedAt == TimePoint{})
        return false;
    return now < m_returnedAt + returnTime;
}

void UpstreamFeed::put(const UpstreamRecord &record)
{
    const auto known = m_list.m_upstreams.find(record.m_id);
    if (known == m_list.m_upstreams.end() || !isSameForRouting(known->second, record))
        m_history.noteChanged(record.m_id);
    m_list.m_upstreams[record.m_id] = record;
    m_vanished.erase(record.m_id);
}

void UpstreamFeed::drop(const UpstreamId &id)
{
    m_history.noteGone(id);
    m_list.m_upstreams.erase(id);
    m_vanished.erase(id);
}

bool UpstreamFeed::replaceAll(UpstreamList list, TimePoint now)
{
    if (list.m_revision < m_list.m_revision)
        return false;
    storeAnswered(now);
    for (const auto &[id, record] : m_list.m_upstreams) {
        if (list.m_upstreams.contains(id) || !keepsVanished(record, now))
            continue;
        list.m_upstreams.emplace(id, record);
        m_vanished.try_emplace(id, m_returnedAt + returnTime);
    }
    std::erase_if(m_vanished,
                  [&list](const auto &entry) { return !list.m_upstreams.contains(entry.first); });
    m_list = std::move(list);
    m_history.noteReplaced();
    return true;
}

void UpstreamFeed::apply(const std::vector<UpstreamChange> &changes, std::int64_t revision,
                         TimePoint now)
{
    storeAnswered(now);
    for (const UpstreamChange &change : changes) {
        const UpstreamId &id = change.m_record.m_id;
        if (!change.m_isRemoved) {
            put(change.m_record);
            continue;
        }
        const auto known = m_list.m_upstreams.find(id);
        if (known == m_list.m_upstreams.end())
            continue;
        if (keepsVanished(known->second, now))
            m_vanished.try_emplace(id, m_returnedAt + returnTime);
        else
            drop(id);
    }
    if (revision > m_list.m_revision)
        m_list.m_revision = revision;
}

UpstreamFeed::Taking UpstreamFeed::take(const UpstreamNews &news, TimePoint confirmedAt)
{
    const bool isWhole = !news.m_sinceRevision;
    if (!isWhole && (!isKnown() || m_list.m_revision < *news.m_sinceRevision))
        return Taking::Lacking;
    // Changes up to an older revision are part of what this list was read or told with.
    if (news.m_revision < m_list.m_revision)
        return Taking::Older;
    if (isWhole) {
        m_list.m_upstreams.clear();
        m_vanished.clear();
        m_history.noteReplaced();
    }
    for (const UpstreamChange &change : news.m_changes) {
        if (change.m_isRemoved)
            drop(change.m_record.m_id);
        else
            put(change.m_record);
    }
    m_list.m_revision = news.m_revision;
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    return Taking::Taken;
}

bool UpstreamFeed::expire(TimePoint now)
{
    bool hasDropped = false;
    for (auto entry = m_vanished.begin(); entry != m_vanished.end();) {
        if (now < entry->second) {
            ++entry;
            continue;
        }
        m_history.noteGone(entry->first);
        m_list.m_upstreams.erase(entry->first);
        entry = m_vanished.erase(entry);
        hasDropped = true;
    }
    return hasDropped;
}

} // namespace gypsumdale
