#include "claim_shard.hpp"
#include "claim_records.hpp"

#include <algorithm> // max, min

namespace gypsumdale::detail {

namespace {

/// Maximum bytes of restated keys that wait in the log at a time, so that claims don't wait long
/// behind them.
constexpr std::size_t maxPendingRestateBytes = std::size_t{64} * 1024;

/// A compaction is due when the rest of the log is this many times as long as the last restatement.
constexpr std::size_t compactionFactor = 4;

PlatformLog makeLog(const ClaimLedgerSettings &settings)
{
    return PlatformLogBuilder(settings.m_writer)
            .writeInterval(settings.m_writeInterval)
            .endTrustDuration(settings.m_endTrustDuration)
            .build();
}

} // namespace

ClaimShard::ClaimShard(const ClaimLedgerSettings &settings)
    : m_compactionThreshold(settings.m_compactionThreshold)
    , m_trimDelay(settings.m_trimDelay)
    , m_log(makeLog(settings))
    , m_table(settings.m_clockTolerance, settings.m_maxAnswerMemory)
{}

std::optional<AttemptId> ClaimShard::unlink(LogTicket ticket)
{
    const auto found = m_links.find(ticket);
    if (found == m_links.end())
        return std::nullopt;
    AttemptId attempt = std::move(found->second);
    m_links.erase(found);
    return attempt;
}

Result<bool> ClaimShard::apply(const RecordApplied &event, Moment moment)
{
    recordSegment(event, moment);
    const Result<wire::LedgerRecord> decoded = decodeRecord(event.m_record);
    if (!succeeded(decoded)) {
        m_unusable = true;
        return errorOf(decoded);
    }
    const wire::LedgerRecord &record = valueOf(decoded);
    if (record.__isset.claim)
        return m_table.apply(record.claim);
    if (record.__isset.outcome)
        m_table.apply(record.outcome);
    if (record.__isset.restated)
        m_table.apply(record.restated);
    if (m_compaction && event.m_ticket)
        m_compaction->m_waiting.erase(*event.m_ticket);
    return false;
}

void ClaimShard::recordSegment(const RecordApplied &event, Moment moment)
{
    if (event.m_ticket)
        m_lastOwn = event.m_number;
    if (!m_seen.empty() && m_seen.back().m_number == event.m_number)
        return;
    m_seen.push_back({event.m_number, moment.m_now});
    m_table.beginSegment(event.m_number, event.m_writtenAt, moment.m_wall);
}

void ClaimShard::maintain(Moment moment)
{
    if (m_unusable)
        return;
    if (m_compaction)
        continueCompaction();
    else
        startCompaction();
    permitTrimming(moment);
}

void ClaimShard::startCompaction()
{
    // Only the node that writes to the shard restates its keys; other nodes would repeat the work.
    const bool isWriter = m_lastOwn != 0 && m_lastOwn + 1 == m_log.nextNumber();
    const SegmentNumber first =
            std::max(m_restatedUpTo + 1, m_seen.empty() ? 1 : m_seen.front().m_number);
    const std::size_t length = m_log.nextNumber() - std::min(first, m_log.nextNumber());
    const std::size_t limit =
            std::max(m_compactionThreshold, compactionFactor * m_restatedSegments);
    if (!isWriter || length <= limit)
        return;
    // The restated keys cover the segments up to here. Later segments are kept and are read by a
    // reader that starts with the restated segments, so that nothing in between is lost.
    m_compaction = Compaction{m_log.nextNumber() - 1, m_table.claimedKeys(), {}};
    continueCompaction();
}

void ClaimShard::continueCompaction()
{
    if (!m_compaction->m_waiting.empty())
        return;
    std::size_t bytes = 0;
    while (!m_compaction->m_keys.empty() && bytes < maxPendingRestateBytes) {
        const Digest key = m_compaction->m_keys.back();
        m_compaction->m_keys.pop_back();
        const std::optional<wire::RestatedRecord> restated = m_table.restate(key);
        if (!restated)
            continue;
        std::string record = encodeRecord(*restated);
        const std::size_t size = record.size();
        const Result<LogTicket> ticket = m_log.append(std::move(record));
        if (!succeeded(ticket)) {
            m_compaction->m_keys.push_back(key);
            return;
        }
        bytes += size;
        m_compaction->m_waiting.insert(valueOf(ticket));
    }
    if (!m_compaction->m_waiting.empty())
        return;
    m_restatedSegments = m_log.nextNumber() - 1 - m_compaction->m_lastSegment;
    m_restatedUpTo = m_compaction->m_lastSegment;
    m_compaction.reset();
}

void ClaimShard::permitTrimming(Moment moment)
{
    const SegmentNumber live = m_table.removeExpired(moment.m_wall);
    const SegmentNumber expired = live == 0 ? m_log.nextNumber() : live;
    const SegmentNumber unneeded = std::max(expired, m_restatedUpTo + 1);
    while (!m_seen.empty() && m_seen.front().m_number < unneeded
           && moment.m_now - m_seen.front().m_at >= m_trimDelay) {
        m_log.trimBefore(m_seen.front().m_number + 1);
        m_seen.pop_front();
    }
}

bool ClaimShard::isIdle(TimePoint now, Duration limit) const
{
    const bool isBusy = m_log.hasWork() || m_log.hasOutstanding() || !m_links.empty();
    return !isBusy && now - m_lastUse >= limit;
}

} // namespace gypsumdale::detail
