#include <gypsumdale/serving/follower_state.hpp>

namespace gypsumdale {

namespace {

UpstreamChange absentEntry(const UpstreamId &id, UpstreamChangeKind kind)
{
    UpstreamChange change;
    change.m_record.m_id = id;
    change.m_kind = kind;
    return change;
}

} // namespace

UpstreamListUpdate FollowerState::updateFor(const UpstreamFeed &list, TimePoint now) const
{
    const auto &upstreams = list.upstreams();
    UpstreamListUpdate news;
    news.m_revision = list.revision();
    news.m_newestChange = list.history().newest();
    if (list.storeReturnedAt() != TimePoint{})
        news.m_storeReturnedAgo = now - list.storeReturnedAt();
    const auto differences = m_isKnown ? list.history().since(m_changeNumber) : std::nullopt;
    if (!differences) {
        for (const auto &[id, record] : upstreams) {
            if (!list.isRetained(id))
                news.m_changes.push_back({record, UpstreamChangeKind::Present});
        }
        for (const UpstreamId &id : list.unusable())
            news.m_changes.push_back(absentEntry(id, UpstreamChangeKind::Unusable));
        return news;
    }
    news.m_sinceRevision = m_revision;
    for (const UpstreamId &id : differences->m_changed)
        news.m_changes.push_back({upstreams.at(id), UpstreamChangeKind::Present});
    for (const UpstreamId &id : differences->m_gone) {
        const bool isUnusable = list.unusable().contains(id);
        news.m_changes.push_back(absentEntry(id, isUnusable ? UpstreamChangeKind::Unusable
                                                            : UpstreamChangeKind::Removed));
    }
    return news;
}

void FollowerState::onApplied(const UpstreamListUpdate &news)
{
    m_changeNumber = news.m_newestChange;
    m_revision = news.m_revision;
    m_isKnown = true;
}

} // namespace gypsumdale
