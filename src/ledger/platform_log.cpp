#include "detail/log_segment.hpp"

#include <gypsumdale/ledger/platform_log.hpp>

#include <algorithm> // max, min
#include <utility> // exchange, move

namespace gypsumdale {

namespace {

constexpr Duration minRetryDelay = std::chrono::milliseconds(250);
constexpr Duration maxRetryDelay = std::chrono::seconds(8);
constexpr int maxDoublings = 5;

/// Returns whether two times of the wall clock are less than `span` apart, in either order, as the
/// clock may have been set.
bool isWithin(WallMillis from, WallMillis to, Duration span)
{
    const WallMillis limit = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    const WallMillis distance = from < to ? to - from : from - to;
    return distance < limit;
}

} // namespace

PlatformLog::PlatformLog(PlatformLogSettings settings)
    : m_settings(std::move(settings))
    , m_queue({m_settings.m_maxSegmentBytes, m_settings.m_maxRecordBytes,
               m_settings.m_maxWaitingBytes})
{}

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
    // Failure: a log that was not read for longer than segments are kept finds its next number
    // free, because that segment was trimmed, and mistakes it for the end. A claim appended there
    // would ignore all later ones. Listing the names first shows where the log really continues.
    if (!isEndTrusted(moment) && settling() != Settling::ByNext && m_listed.empty())
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
    if (!isEndTrusted(moment))
        return send(Waiting::List, ListSegments{}, moment);
    if (m_lastCreate && moment.m_now < *m_lastCreate + m_settings.m_writeInterval)
        return std::nullopt;
    if (!m_own)
        prepareOwn(moment);
    m_lastCreate = moment.m_now;
    return send(Waiting::Create, CreateSegment{m_next, m_own->m_body}, moment);
}

LogCommand PlatformLog::send(Waiting waiting, LogCommand command, Moment moment)
{
    m_outstanding = waiting;
    m_sentAt = moment;
    return command;
}

PlatformLog::Settling PlatformLog::settling() const
{
    return m_own ? m_own->m_settling : Settling::Nothing;
}

bool PlatformLog::isEndTrusted(Moment moment) const
{
    if (!m_endSeenAt)
        return false;
    // Checks both clocks, because the monotonic one stops while a VM is suspended.
    return moment.m_now - m_endSeenAt->m_now < m_settings.m_endTrustDuration
           && isWithin(m_endSeenAt->m_wall, moment.m_wall, m_settings.m_endTrustDuration);
}

bool PlatformLog::canTrim() const
{
    // The last segment is kept: in an empty log, numbers would start at 1 again, and a process that
    // still knows the old end would not see the new segments.
    return m_positioned && m_lowest < m_trimBefore && m_lowest + 1 < m_next;
}

bool PlatformLog::mustRead() const
{
    const bool verifiesOwn = settling() == Settling::ReadBack || settling() == Settling::ByNext;
    return verifiesOwn || m_conflict || m_corrupt || !m_listed.empty();
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
        return reportCorrupt("the end of the log is missing", moment);
    m_corrupt = m_corrupt && m_listed.contains(m_next);
    skipToListed();
    m_endSeenAt = m_sentAt;
}

void PlatformLog::skipToListed()
{
    const bool wasPositioned = m_positioned;
    m_positioned = true;
    if (m_listed.empty() || m_listed.contains(m_next))
        return;
    const SegmentNumber target = *m_listed.begin();
    if (wasPositioned)
        m_events.emplace_back(LogGap{m_next, target - 1});
    requeueOwn();
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
            m_own && segment.writer == m_settings.m_writer && segment.batch == m_own->m_batch;
    if (m_refreshSent) {
        m_refreshSent = false;
        m_refresh = true;
    }
    if (isOwn)
        return settleOwn(moment);
    // The number belongs to a segment of another writer: a create by this process can no longer
    // take effect.
    requeueOwn();
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
    skipToListed();
}

void PlatformLog::handle(const SegmentMissing &, Moment moment)
{
    m_outstanding = Waiting::Nothing;
    m_failures = 0;
    if (settling() == Settling::ByNext)
        return discardOwn();
    if (settling() == Settling::ReadBack) {
        // Failure: the create was lost on its way, or is delayed and takes effect later. In the
        // latter case, a record would be reported as not written and yet be written. The same
        // number is created again with the same body: whichever create takes effect, the other one
        // conflicts with it.
        m_own->m_settling = Settling::Nothing;
        return;
    }
    const bool wasKnown = m_conflict || m_corrupt || m_listed.contains(m_next);
    m_conflict = false;
    if (wasKnown || !isEndTrusted(moment)) {
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
    m_own->m_inDoubt = true;
    m_own->m_settling = Settling::ReadBack;
}

void PlatformLog::handle(const LogRefused &answer, Moment moment)
{
    const Waiting refused = m_outstanding;
    m_outstanding = Waiting::Nothing;
    backOff(answer.m_retryAfter, moment);
    if (refused == Waiting::Create && !m_own->m_inDoubt)
        requeueOwn();
}

void PlatformLog::backOff(Duration retryAfter, Moment moment)
{
    const Duration doubled = minRetryDelay * (1 << std::min(m_failures, maxDoublings));
    ++m_failures;
    m_retryAt = moment.m_now + std::max(retryAfter, std::min(doubled, maxRetryDelay));
    m_refresh = m_refresh || m_refreshSent;
    m_refreshSent = false;
}

void PlatformLog::confirmEnd(Moment moment)
{
    // A read after the end lost its trust proves nothing, as it may have read a stray segment.
    if (isEndTrusted(moment))
        m_endSeenAt = m_sentAt;
}

void PlatformLog::prepareOwn(Moment moment)
{
    m_queue.fillBatch();
    OwnSegment own;
    own.m_batch = ++m_lastBatch;
    own.m_writtenAt = moment.m_wall;
    wire::LogSegment segment;
    for (const QueuedRecord &record : m_queue.batch())
        segment.records.push_back(record.m_record);
    segment.writer = m_settings.m_writer;
    segment.batch = own.m_batch;
    segment.previous = m_previous.value_or("");
    segment.writtenAt = moment.m_wall;
    own.m_body = detail::encodeSegment(segment);
    m_own = std::move(own);
}

/// Returns the identity of the own segment, as the next segment names it.
std::string PlatformLog::ownIdentity() const
{
    wire::LogSegment own;
    own.writer = m_settings.m_writer;
    own.batch = m_own->m_batch;
    return detail::segmentIdentity(own);
}

void PlatformLog::settleOwn(Moment moment)
{
    m_conflict = false;
    // Failure: the process was paused around its create for longer than segments are kept, and the
    // number was free only because its segment had been trimmed. One claim would have two holders.
    // As the last segment is never trimmed, the own segment is in the log only if it is the last
    // one or the next one names it.
    if (!isEndTrusted(moment)) {
        m_own->m_settling = Settling::ByList;
        return;
    }
    applyOwn();
    confirmEnd(moment);
}

void PlatformLog::verifyByList(const SegmentsListed &answer, Moment moment)
{
    const std::set<SegmentNumber> all(answer.m_numbers.begin(), answer.m_numbers.end());
    if (!all.contains(m_next))
        return discardOwn();
    if (*all.rbegin() == m_next) {
        m_endSeenAt = m_sentAt;
        return settleOwn(moment);
    }
    if (!all.contains(m_next + 1))
        return discardOwn();
    m_endSeenAt.reset();
    m_own->m_settling = Settling::ByNext;
}

void PlatformLog::verifyByNext(const std::string &body, Moment moment)
{
    const Result<wire::LogSegment> decoded = detail::decodeSegment(body);
    if (!succeeded(decoded))
        return reportCorrupt(errorOf(decoded).m_text, moment);
    m_corrupt = false;
    if (valueOf(decoded).previous != ownIdentity())
        return discardOwn();
    applyOwn();
    m_listNeeded = true;
}

void PlatformLog::applyOwn()
{
    std::vector<QueuedRecord> batch = m_queue.takeBatch();
    for (std::size_t index = 0; index < batch.size(); ++index) {
        QueuedRecord &record = batch[index];
        m_events.emplace_back(RecordApplied{m_next, index, m_settings.m_writer, m_own->m_writtenAt,
                                            std::move(record.m_record), record.m_ticket});
    }
    m_previous = ownIdentity();
    m_own.reset();
    m_listed.erase(m_next);
    ++m_next;
    skipToListed();
}

void PlatformLog::requeueOwn()
{
    m_own.reset();
    for (const LogTicket ticket : m_queue.returnBatch())
        m_events.emplace_back(RecordDropped{ticket});
}

void PlatformLog::discardOwn()
{
    m_stray = m_next;
    requeueOwn();
    m_previous.reset();
    m_endSeenAt.reset();
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
    const bool needsRead = m_listNeeded || m_stray || m_refresh || mustRead();
    const bool needsList = settling() == Settling::ByList;
    if (needsRead || needsList)
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

Duration PlatformLog::remainingBackoff(TimePoint now) const
{
    if (m_failures == 0 || now >= m_retryAt)
        return Duration::zero();
    return m_retryAt - now;
}

} // namespace gypsumdale
