#include <gypsumdale/serving/upstream_feed.hpp>

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
    return true;
}

void UpstreamFeed::apply(const std::vector<UpstreamChange> &changes, std::int64_t revision,
                         TimePoint now)
{
    storeAnswered(now);
    for (const UpstreamChange &change : changes) {
        const UpstreamId &id = change.m_record.m_id;
        if (!change.m_isRemoved) {
            m_list.m_upstreams[id] = change.m_record;
            m_vanished.erase(id);
            continue;
        }
        const auto known = m_list.m_upstreams.find(id);
        if (known == m_list.m_upstreams.end())
            continue;
        if (keepsVanished(known->second, now))
            m_vanished.try_emplace(id, m_returnedAt + returnTime);
        else
            m_list.m_upstreams.erase(known);
    }
    if (revision > m_list.m_revision)
        m_list.m_revision = revision;
}

bool UpstreamFeed::expire(TimePoint now)
{
    bool hasDropped = false;
    for (auto entry = m_vanished.begin(); entry != m_vanished.end();) {
        if (now < entry->second) {
            ++entry;
            continue;
        }
        m_list.m_upstreams.erase(entry->first);
        entry = m_vanished.erase(entry);
        hasDropped = true;
    }
    return hasDropped;
}

} // namespace gypsumdale
