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
    UpstreamListUpdate update;
    update.m_revision = list.revision();
    update.m_newestChange = list.history().newest();
    if (list.storeReturnedAt() != TimePoint{})
        update.m_storeReturnedAgo = now - list.storeReturnedAt();
    const auto differences = m_isKnown ? list.history().since(m_changeNumber) : std::nullopt;
    if (!differences) {
        for (const auto &[id, record] : upstreams) {
            if (!list.isRetained(id))
                update.m_changes.push_back({record, UpstreamChangeKind::Present});
        }
        for (const UpstreamId &id : list.unusable())
            update.m_changes.push_back(absentEntry(id, UpstreamChangeKind::Unusable));
        return update;
    }
    update.m_sinceRevision = m_revision;
    for (const UpstreamId &id : differences->m_changed)
        update.m_changes.push_back({upstreams.at(id), UpstreamChangeKind::Present});
    for (const UpstreamId &id : differences->m_gone) {
        const bool isUnusable = list.unusable().contains(id);
        update.m_changes.push_back(absentEntry(id, isUnusable ? UpstreamChangeKind::Unusable
                                                              : UpstreamChangeKind::Removed));
    }
    return update;
}

void FollowerState::onApplied(const UpstreamListUpdate &update)
{
    m_changeNumber = update.m_newestChange;
    m_revision = update.m_revision;
    m_isKnown = true;
}

} // namespace gypsumdale
