#include <gypsumdale/serving/duty_lease.hpp>

#include <algorithm> // max
#include <utility> // move

namespace gypsumdale {

DutyLease::DutyLease(DutyLeaseSettings settings, NodeId self, std::int64_t incarnation)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
{}

LeaseAction DutyLease::next(TimePoint now)
{
    if (m_hasResigned)
        return NoLeaseAction{};
    if (!m_hasRead || m_needsRead)
        return ReadLease{};
    LeaseRecord wanted{m_self, m_incarnation, m_seen.m_fence, m_seen.m_revision};
    if (m_isHeld) {
        if (now < m_heldSince + m_settings.m_renewInterval)
            return NoLeaseAction{};
        // An expired term is never resumed under the same fencing number: another VM may have acted
        // since, and the write below would fail. The read shows which.
        if (now >= m_heldSince + m_settings.m_term) {
            m_isHeld = false;
            return ReadLease{};
        }
        return WriteLease{wanted};
    }
    const Duration takeoverWait = m_settings.m_term + m_settings.m_takeoverDelay;
    if (m_seen.m_revision != 0 && now < m_unchangedSince + takeoverWait)
        return NoLeaseAction{};
    // A lease that was read long ago may have changed since. Reading it again costs one call and
    // avoids a refused write.
    if (now > m_readAt + m_settings.m_takeoverDelay)
        return ReadLease{};
    wanted.m_fence = m_seen.m_fence + 1;
    return WriteLease{wanted};
}

void DutyLease::onRead(const std::optional<LeaseRecord> &record, TimePoint sentAt)
{
    const LeaseRecord seen = record.value_or(LeaseRecord{});
    const bool isChanged = !m_hasRead || seen.m_revision != m_seen.m_revision;
    m_hasRead = true;
    m_needsRead = false;
    m_readAt = sentAt;
    if (!isChanged)
        return;
    m_unchangedSince = sentAt;
    m_seen = seen;
    m_isHeld = false;
}

void DutyLease::onWritten(const LeaseRecord &record, TimePoint sentAt)
{
    m_seen = record;
    m_isHeld = true;
    m_heldSince = sentAt;
    m_unchangedSince = sentAt;
    m_readAt = sentAt;
}

void DutyLease::onWriteFailed()
{
    m_needsRead = true;
}

void DutyLease::onHolderReport(std::int64_t fence, std::int64_t revision, TimePoint now)
{
    if (revision <= m_seen.m_revision)
        return;
    m_seen = LeaseRecord{NodeId(), 0, fence, revision};
    m_unchangedSince = now;
    m_isHeld = false;
}

void DutyLease::onFenced()
{
    m_isHeld = false;
    m_needsRead = true;
}

void DutyLease::resign()
{
    m_hasResigned = true;
    m_isHeld = false;
}

std::optional<std::int64_t> DutyLease::fence(TimePoint now) const
{
    if (!m_isHeld || now >= m_heldSince + m_settings.m_term - m_settings.m_margin)
        return std::nullopt;
    return m_seen.m_fence;
}

} // namespace gypsumdale
