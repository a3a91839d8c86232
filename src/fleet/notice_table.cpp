#include <gypsumdale/fleet/notice_table.hpp>

#include <xxhash.h>

#include <algorithm> // max
#include <chrono> // duration_cast, milliseconds

namespace gypsumdale {

namespace {

std::int64_t hashOf(const std::string &text)
{
    return static_cast<std::int64_t>(XXH3_64bits(text.data(), text.size()));
}

Duration untilDeadline(const LeavingNotice &notice, WallMillis wallNow)
{
    const WallMillis left = notice.m_deadline == 0 ? 0 : notice.m_deadline - wallNow;
    return std::chrono::milliseconds(std::max<WallMillis>(left, 0));
}

bool isNamedBy(const LeavingNotice &notice, const UpstreamDeclaration &declaration)
{
    const bool isByName =
            !notice.m_upstream.isEmpty() && notice.m_upstream == declaration.m_upstream;
    const bool isByVm = !notice.m_vm.isEmpty() && notice.m_vm == declaration.m_vm;
    return isByName || isByVm;
}

} // namespace

NoticeTable::NoticeTable(Duration listLag, Duration retention)
    : m_listLag(listLag)
    , m_retention(retention)
{}

NoticeStatus NoticeTable::take(const LeavingNotice &notice, TimePoint now, WallMillis wallNow)
{
    if (m_retained.contains(notice.m_id) || m_expired.contains(notice.m_id))
        return NoticeStatus::Known;
    const TimePoint deadline = now + untilDeadline(notice, wallNow);
    m_retained.emplace(notice.m_id,
                       RetainedNotice{notice, deadline + m_listLag, deadline + m_retention});
    m_digest ^= hashOf(notice.m_id);
    const auto lag = std::chrono::duration_cast<std::chrono::milliseconds>(m_listLag);
    const bool isLate = notice.m_deadline != 0 && wallNow - notice.m_deadline > lag.count();
    return isLate ? NoticeStatus::Late : NoticeStatus::Fresh;
}

void NoticeTable::expire(TimePoint now)
{
    for (auto entry = m_retained.begin(); entry != m_retained.end();) {
        if (now < entry->second.m_expiresAt) {
            ++entry;
            continue;
        }
        m_digest ^= hashOf(entry->first);
        m_expired.emplace(entry->first, now + m_retention);
        entry = m_retained.erase(entry);
    }
    std::erase_if(m_expired, [&](const auto &entry) { return now >= entry.second; });
}

std::vector<LeavingNotice> NoticeTable::all() const
{
    std::vector<LeavingNotice> result;
    for (const auto &[id, retained] : m_retained)
        result.push_back(retained.m_notice);
    return result;
}

std::vector<NoticeEffect> NoticeTable::effectsOn(const UpstreamDeclaration &declaration,
                                                 TimePoint now) const
{
    std::vector<NoticeEffect> result;
    for (const auto &[id, retained] : m_retained) {
        const LeavingNotice &notice = retained.m_notice;
        if (isNamedBy(notice, declaration)) {
            result.push_back({notice, std::nullopt});
            continue;
        }
        // The list lags: a VM that it shows only after its zone's notice may have existed before.
        // It gets no work until the VMs under the notice are gone; if it then still answers, it is
        // a new one.
        const bool isByZone = notice.m_cause == LeavingCause::ZoneReclaim
                              && notice.m_zone == declaration.m_dataCentre;
        if (isByZone && now < retained.m_heldUntil)
            result.push_back({notice, retained.m_heldUntil});
    }
    return result;
}

} // namespace gypsumdale
