#include "detail/log_segment.hpp"

#include <gypsumdale/ledger/platform_log.hpp>

#include <algorithm> // find_if, max, min
#include <utility> // exchange, move

namespace gypsumdale {

namespace {

constexpr Duration firstRetry = std::chrono::milliseconds(250);
constexpr Duration lastRetry = std::chrono::seconds(8);
constexpr int maxDoublings = 5;

/// Tells whether a time of day lies within a span around another. Either clock may have been set.
bool isWithin(WallMillis from, WallMillis to, Duration span)
{
    const WallMillis limit = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    const WallMillis distance = from < to ? to - from : from - to;
    return distance < limit;
}

} // namespace

PlatformLog::PlatformLog(PlatformLogSettings settings)
    : m_settings(std::move(settings))
{}

Result<LogTicket> PlatformLog::append(std::string record)
{
    if (record.size() > m_settings.m_maxRecordBytes)
        return Error{ErrorId::RequestTooLarge, "the record is larger than a log takes"};
    if (m_queuedBytes + record.size() > m_settings.m_maxWaitingBytes)
        return Error{ErrorId::QueueFull, "too many records wait for the platform"};
    m_queuedBytes += record.size();
    m_queue.push_back({++m_lastTicket, std::move(record)});
    return m_lastTicket;
}

Abandoned PlatformLog::abandon(LogTicket ticket)
{
    const auto hasTicket = [ticket](const Entry &entry) {
        return entry.m_ticket == ticket;
    };
    const auto queued = std::find_if(m_queue.begin(), m_queue.end(), hasTicket);
    if (queued != m_queue.end()) {
        m_queuedBytes -= queued->m_record.size();
        m_queue.erase(queued);
        return Abandoned::NotWritten;
    }
    if (!m_batch)
        return Abandoned::MayBeWritten;
    for (Entry &entry : m_batch->m_entries) {
        if (entry.m_ticket == ticket)
            entry.m_abandoned = true;
    }
    return Abandoned::MayBeWritten;
}

void PlatformLog::refresh()
{
    m_refresh = true;
}

void PlatformLog::trimBefore(SegmentNumber number)
{
    m_trimBefore = std::max(m_trimBefore, number);
}

std::optional<LogCommand> PlatformLog::next(Moment moment)
{
    if (m_outstanding != Waiting::Nothing || moment.m_now < m_retryAt)
        return std::nullopt;
    if (m_stray)
        return send(Waiting::Delete, DeleteSegment{*m_stray}, moment);
    if (m_listNeeded || settling() == Settling::ByList)
        return send(Waiting::List, ListSegments{}, moment);
    if (mustRead() || m_refresh)
        return readCommand(moment);
    std::optional<LogCommand> write = hasWork() ? writeCommand(moment) : std::nullopt;
    if (write)
        return write;
    if (canTrim())
        return send(Waiting::Delete, DeleteSegment{m_lowest}, moment);
    return std::nullopt;
}

std::optional<LogCommand> PlatformLog::readCommand(Moment moment)
{
    // Failure: a log that was not looked at for longer than segments are kept finds its next number
    // free, because that segment was trimmed, and takes it for the end. It shows as a claim that
    // ignores all later ones. Listing the names first shows where the log really goes on.
    if (!isTrusted(moment) && settling() != Settling::ByNext && m_listed.empty())
        return send(Waiting::List, ListSegments{}, moment);
    if (m_refresh) {
        m_refresh = false;
        m_refreshSent = true;
    }
    const SegmentNumber number = settling() == Settling::ByNext ? m_next + 1 : m_next;
    return send(Waiting::Read, ReadSegment{number}, moment);
}

std::optional<LogCommand> PlatformLog::writeCommand(Moment moment)
{
    if (!isTrusted(moment))
        return send(Waiting::List, ListSegments{}, moment);
    if (m_lastCreate && moment.m_now < *m_lastCreate + m_settings.m_writeInterval)
        return std::nullopt;
    if (!m_batch)
        fillBatch(moment);
    m_lastCreate = moment.m_now;
    return send(Waiting::Create, CreateSegment{m_next, m_batch->m_body}, moment);
}

LogCommand PlatformLog::send(Waiting waiting, LogCommand command, Moment moment)
{
    m_outstanding = waiting;
    m_sentAt = moment;
    return command;
}

PlatformLog::Settling PlatformLog::settling() const
{
    return m_batch ? m_batch->m_settling : Settling::Nothing;
}

bool PlatformLog::isTrusted(Moment moment) const
{
    if (!m_endSeen)
        return false;
    // Both clocks, because the monotonic one stands still while a VM is suspended.
    return moment.m_now - m_endSeen->m_now < m_settings.m_trustEnd
           && isWithin(m_endSeen->m_wall, moment.m_wall, m_settings.m_trustEnd);
}

bool PlatformLog::canTrim() const
{
    // The last segment stays: in an empty log, numbers would start at 1 again, and a process that
    // still knows the old end would not meet the new segments.
    return m_positioned && m_lowest < m_trimBefore && m_lowest + 1 < m_next;
}

bool PlatformLog::mustRead() const
{
    const bool settles = settling() == Settling::ReadBack || settling() == Settling::ByNext;
    return settles || m_conflict || m_corrupt || !m_listed.empty();
}

void PlatformLog::onAnswer(const LogAnswer &answer, Moment moment)
{
    if (m_outstanding == Waiting::Nothing)
        return;
    std::visit([this, moment](const auto &what) { handle(what, moment); }, answer);
}

void PlatformLog::handle(const SegmentsListed &answer, Moment moment)
{
    m_outstanding = Waiting::Nothing;
    m_failures = 0;
    m_listNeeded = false;
    if (settling() == Settling::ByList)
        return verifyByList(answer, moment);
    const std::set<SegmentNumber> all(answer.m_numbers.begin(), answer.m_numbers.end());
    m_lowest = all.empty() ? m_next : *all.begin();
    m_listed = std::set<SegmentNumber>(all.lower_bound(m_next), all.end());
    const SegmentNumber highest = all.empty() ? 0 : *all.rbegin();
    // The last segment is never trimmed, so that its absence means that the platform lost objects.
    if (highest + 1 < m_next)
        return reportCorrupt("the end of the log is gone", moment);
    m_corrupt = m_corrupt && m_listed.contains(m_next);
    moveToListed();
    m_endSeen = m_sentAt;
}

void PlatformLog::moveToListed()
{
    const bool wasPositioned = m_positioned;
    m_positioned = true;
    if (m_listed.empty() || m_listed.contains(m_next))
        return;
    const SegmentNumber target = *m_listed.begin();
    if (wasPositioned)
        m_events.emplace_back(LogGap{m_next, target - 1});
    returnBatch();
    m_conflict = false;
    m_next = target;
    m_previous.reset();
}

void PlatformLog::handle(const SegmentRead &answer, Moment moment)
{
    m_outstanding = Waiting::Nothing;
    m_failures = 0;
    if (settling() == Settling::ByNext)
        return verifyByNext(answer.m_body, moment);
    Result<wire::LogSegment> decoded = detail::decodeSegment(answer.m_body);
    if (!succeeded(decoded))
        return reportCorrupt(errorOf(decoded).m_text, moment);
    m_corrupt = false;
    const wire::LogSegment &segment = valueOf(decoded);
    const bool isOwn =
            m_batch && segment.writer == m_settings.m_writer && segment.batch == m_batch->m_id;
    if (m_refreshSent) {
        m_refreshSent = false;
        m_refresh = true;
    }
    if (isOwn)
        return settleOwn(moment);
    // Another's segment has the number: what we sent for it can't take effect any more.
    returnBatch();
    m_conflict = false;
    if (m_previous && segment.previous != *m_previous)
        m_events.emplace_back(LogStray{m_next - 1});
    for (std::size_t index = 0; index < segment.records.size(); ++index) {
        m_events.emplace_back(RecordApplied{m_next, index, segment.writer, segment.writtenAt,
                                            segment.records[index], std::nullopt});
    }
    m_previous = detail::segmentIdentity(segment);
    m_listed.erase(m_next);
    ++m_next;
    confirmEnd(moment);
    moveToListed();
}

void PlatformLog::handle(const SegmentMissing &, Moment moment)
{
    m_outstanding = Waiting::Nothing;
    m_failures = 0;
    if (settling() == Settling::ByNext)
        return voidOwn();
    if (settling() == Settling::ReadBack) {
        // Failure: the create was lost on its way, or is still on it and takes effect later. The
        // latter shows as a record that was reported as not written. The same number with the same
        // body is created again: whichever of the two takes effect, the other meets it.
        m_batch->m_settling = Settling::Nothing;
        return;
    }
    const bool wasKnown = m_conflict || m_corrupt || m_listed.contains(m_next);
    m_conflict = false;
    if (wasKnown || !isTrusted(moment)) {
        m_listNeeded = true;
        m_refresh = m_refresh || m_refreshSent;
        m_refreshSent = false;
        return;
    }
    confirmEnd(moment);
    if (!m_refreshSent)
        return;
    m_refreshSent = false;
    m_events.emplace_back(LogCaughtUp{});
}

void PlatformLog::handle(const SegmentCreated &, Moment moment)
{
    m_outstanding = Waiting::Nothing;
    m_failures = 0;
    settleOwn(moment);
}

void PlatformLog::handle(const SegmentConflict &, Moment)
{
    m_outstanding = Waiting::Nothing;
    m_failures = 0;
    m_conflict = true;
}

void PlatformLog::handle(const SegmentDeleted &, Moment)
{
    m_outstanding = Waiting::Nothing;
    m_failures = 0;
    if (m_stray) {
        m_stray.reset();
        return;
    }
    ++m_lowest;
}

void PlatformLog::handle(const LogAnswerLost &answer, Moment moment)
{
    const Waiting lost = m_outstanding;
    m_outstanding = Waiting::Nothing;
    if (lost != Waiting::Create)
        return backOff(answer.m_retryAfter, moment);
    m_batch->m_inDoubt = true;
    m_batch->m_settling = Settling::ReadBack;
}

void PlatformLog::handle(const LogRefused &answer, Moment moment)
{
    const Waiting refused = m_outstanding;
    m_outstanding = Waiting::Nothing;
    backOff(answer.m_retryAfter, moment);
    if (refused == Waiting::Create && !m_batch->m_inDoubt)
        returnBatch();
}

void PlatformLog::backOff(Duration retryAfter, Moment moment)
{
    const Duration doubled = firstRetry * (1 << std::min(m_failures, maxDoublings));
    ++m_failures;
    m_retryAt = moment.m_now + std::max(retryAfter, std::min(doubled, lastRetry));
    m_refresh = m_refresh || m_refreshSent;
    m_refreshSent = false;
}

void PlatformLog::confirmEnd(Moment moment)
{
    // A read by a log that lost trust proves nothing: what it read may be a stray.
    if (isTrusted(moment))
        m_endSeen = m_sentAt;
}

void PlatformLog::fillBatch(Moment moment)
{
    Batch batch;
    std::size_t bytes = 0;
    wire::LogSegment segment;
    while (!m_queue.empty()) {
        Entry &entry = m_queue.front();
        const std::size_t size = entry.m_record.size();
        if (!batch.m_entries.empty() && bytes + size > m_settings.m_maxSegmentBytes)
            break;
        bytes += size;
        m_queuedBytes -= size;
        segment.records.push_back(entry.m_record);
        batch.m_entries.push_back(std::move(entry));
        m_queue.pop_front();
    }
    batch.m_id = ++m_lastBatch;
    batch.m_writtenAt = moment.m_wall;
    segment.writer = m_settings.m_writer;
    segment.batch = batch.m_id;
    segment.previous = m_previous.value_or("");
    segment.writtenAt = moment.m_wall;
    batch.m_body = detail::encodeSegment(segment);
    m_batch = std::move(batch);
}

void PlatformLog::settleOwn(Moment moment)
{
    m_conflict = false;
    // Failure: the process was paused around its create for longer than segments are kept, and the
    // number was free only because its segment had been trimmed. It shows as two holders of one
    // claim. The last segment is never trimmed, so that ours is in the log only if it is the last,
    // or the next one names it.
    if (!isTrusted(moment)) {
        m_batch->m_settling = Settling::ByList;
        return;
    }
    applyBatch();
    confirmEnd(moment);
}

void PlatformLog::verifyByList(const SegmentsListed &answer, Moment moment)
{
    const std::set<SegmentNumber> all(answer.m_numbers.begin(), answer.m_numbers.end());
    if (!all.contains(m_next))
        return voidOwn();
    if (*all.rbegin() == m_next) {
        m_endSeen = m_sentAt;
        return settleOwn(moment);
    }
    if (!all.contains(m_next + 1))
        return voidOwn();
    m_endSeen.reset();
    m_batch->m_settling = Settling::ByNext;
}

void PlatformLog::verifyByNext(const std::string &body, Moment moment)
{
    const Result<wire::LogSegment> decoded = detail::decodeSegment(body);
    if (!succeeded(decoded))
        return reportCorrupt(errorOf(decoded).m_text, moment);
    m_corrupt = false;
    wire::LogSegment own;
    own.writer = m_settings.m_writer;
    own.batch = m_batch->m_id;
    if (valueOf(decoded).previous != detail::segmentIdentity(own))
        return voidOwn();
    applyBatch();
    m_listNeeded = true;
}

void PlatformLog::applyBatch()
{
    Batch batch = std::move(*m_batch);
    m_batch.reset();
    for (std::size_t index = 0; index < batch.m_entries.size(); ++index) {
        Entry &entry = batch.m_entries[index];
        m_events.emplace_back(RecordApplied{m_next, index, m_settings.m_writer, batch.m_writtenAt,
                                            std::move(entry.m_record), entry.m_ticket});
    }
    wire::LogSegment own;
    own.writer = m_settings.m_writer;
    own.batch = batch.m_id;
    m_previous = detail::segmentIdentity(own);
    m_listed.erase(m_next);
    ++m_next;
    moveToListed();
}

void PlatformLog::returnBatch()
{
    if (!m_batch)
        return;
    Batch batch = std::move(*m_batch);
    m_batch.reset();
    for (std::size_t left = batch.m_entries.size(); left > 0; --left) {
        Entry &entry = batch.m_entries[left - 1];
        if (entry.m_abandoned) {
            m_events.emplace_back(RecordDropped{entry.m_ticket});
            continue;
        }
        m_queuedBytes += entry.m_record.size();
        m_queue.push_front(std::move(entry));
    }
}

void PlatformLog::voidOwn()
{
    m_stray = m_next;
    returnBatch();
    m_previous.reset();
    m_endSeen.reset();
    m_listNeeded = true;
}

void PlatformLog::reportCorrupt(std::string reason, Moment moment)
{
    m_retryAt = moment.m_now + m_settings.m_corruptRetry;
    m_refresh = m_refresh || m_refreshSent;
    m_refreshSent = false;
    if (m_corrupt)
        return;
    m_corrupt = true;
    m_events.emplace_back(LogCorrupt{m_next, std::move(reason)});
}

std::vector<PlatformLogEvent> PlatformLog::takeEvents()
{
    return std::exchange(m_events, {});
}

std::optional<TimePoint> PlatformLog::nextWake() const
{
    if (m_outstanding != Waiting::Nothing)
        return std::nullopt;
    const bool looks = m_listNeeded || m_stray || m_refresh || mustRead();
    const bool verifies = settling() == Settling::ByList;
    if (looks || verifies)
        return m_retryAt;
    if (hasWork() && m_lastCreate)
        return std::max(m_retryAt, *m_lastCreate + m_settings.m_writeInterval);
    if (hasWork() || canTrim())
        return m_retryAt;
    return std::nullopt;
}

LogState PlatformLog::state(TimePoint now) const
{
    if (m_corrupt)
        return LogState::Corrupt;
    if (m_failures > 0 && now < m_retryAt)
        return LogState::Unavailable;
    if (!m_positioned || m_listNeeded || mustRead())
        return LogState::Behind;
    return LogState::UpToDate;
}

Duration PlatformLog::unavailableFor(TimePoint now) const
{
    if (m_failures == 0 || now >= m_retryAt)
        return Duration::zero();
    return m_retryAt - now;
}

} // namespace gypsumdale
