#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/ledger/log_messages.hpp>
#include <gypsumdale/ledger/moment.hpp>
#include <gypsumdale/ledger/record_queue.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <optional> // optional
#include <set> // set
#include <string> // string
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

/// The state of a log.
enum class LogState {
    Behind, ///< Unread segments exist or may exist.
    UpToDate, ///< All known segments are applied.
    Unavailable, ///< The platform did not answer; the next attempt is pending.
    Corrupt, ///< The next segment is not readable.
};

/// Settings of a PlatformLog.
struct PlatformLogSettings
{
    /// Unique for each run of a process; identifies the segments that this process wrote.
    std::string m_writer;
    /// Maximum bytes of records in one segment; the platform accepts 1 MiB.
    std::size_t m_maxSegmentBytes = std::size_t{256} * 1024;
    /// Maximum bytes of one record.
    std::size_t m_maxRecordBytes = std::size_t{64} * 1024;
    /// Maximum bytes of all waiting records.
    std::size_t m_maxWaitingBytes = std::size_t{4} * 1024 * 1024;
    /// Minimum interval between two creates, so that a node stays within its share of the
    /// platform's writes.
    Duration m_writeInterval = std::chrono::milliseconds(50);
    /// Time for which the end of the log, once seen, is assumed not to have been trimmed. Far below
    /// the time for which segments are kept.
    Duration m_endTrustDuration = std::chrono::minutes(1);
    /// Interval between two reads of a corrupt segment.
    Duration m_corruptRetry = std::chrono::seconds(10);
};

/// One append-only log in the platform: objects numbered from 1, each created only if absent.
///
/// Only a writer that has read up to n can create n + 1. A process that was paused therefore can't
/// append after segments that it has not read: its create fails, and it reads what it missed. A
/// create whose answer was lost is repeated with the same number and body until the object is seen,
/// either as its own, as its writer and batch show, or as another writer's.
///
/// Performs no I/O: next() returns the command to execute, and onAnswer() handles its answer. Each
/// command that next() returned requires exactly one onAnswer().
class PlatformLog
{
public:
    explicit PlatformLog(PlatformLogSettings settings);

    /// Queues a record. Fails with RequestTooLarge if it is above the size limit, and with
    /// QueueFull if too much is waiting; then nothing is queued. Records of one log keep their
    /// order.
    Result<LogTicket> append(std::string record) { return m_queue.append(std::move(record)); }

    /// Abandons a record and returns whether it can still take effect. A ticket that is no longer
    /// known, because its record was applied or dropped, gives MayBeWritten. Complexity: linear in
    /// the number of waiting records.
    AbandonResult abandon(LogTicket ticket) { return m_queue.abandon(ticket); }

    /// Requests a read up to the end of the log; LogCaughtUp follows.
    void refresh();

    /// Permits the deletion of all segments below a number. Their records must have expired or be
    /// repeated in later segments, and each segment must have existed for far longer than the end
    /// of the log is trusted. The last segment is kept, so that numbers are never reused.
    void trimBefore(SegmentNumber number);

    /// Returns the command to execute now, if any. Complexity: constant, except for the encoding of
    /// a segment.
    std::optional<LogCommand> next(Moment moment);

    /// Handles the answer to the outstanding command. Complexity: linear in the size of the answer.
    void onAnswer(const LogAnswer &answer, Moment moment);

    /// Returns the events since the last call, in order.
    std::vector<PlatformLogEvent> takeEvents();

    /// Returns the time at which next() may have work without a further event, or nothing.
    std::optional<TimePoint> nextWake() const;

    void setWriteInterval(Duration interval) { m_settings.m_writeInterval = interval; }

    LogState state(TimePoint now) const;
    /// Returns the remaining delay until the unavailable platform is tried again, or zero if it is
    /// available. Complexity: constant.
    Duration remainingBackoff(TimePoint now) const;
    bool hasOutstanding() const { return m_outstanding != Waiting::Nothing; }
    /// Returns whether records are waiting or a create is unsettled. Complexity: constant.
    bool hasWork() const { return m_queue.hasWaiting() || m_own.has_value(); }
    /// Returns the number of the next new segment, as far as known.
    SegmentNumber nextNumber() const { return m_next; }
    const std::string &writer() const { return m_settings.m_writer; }

private:
    enum class Waiting { Nothing, List, Read, Create, Delete };

    /// What must be verified about a create by this process.
    enum class Settling {
        Nothing,
        ReadBack, ///< The answer was lost.
        ByList, ///< It took effect, but the end of the log was seen too long ago.
        ByNext, ///< Like ByList, with a next segment, which names its predecessor.
    };

    /// A segment of this process that is being written, with the records of the queue's batch.
    struct OwnSegment
    {
        std::int64_t m_batch = 0;
        std::string m_body;
        WallMillis m_writtenAt = 0;
        /// A create may have taken effect, or may still do so.
        bool m_inDoubt = false;
        Settling m_settling = Settling::Nothing;
    };

    void handle(const SegmentsListed &answer, Moment moment);
    void handle(const SegmentRead &answer, Moment moment);
    void handle(const SegmentMissing &answer, Moment moment);
    void handle(const SegmentCreated &answer, Moment moment);
    void handle(const SegmentConflict &answer, Moment moment);
    void handle(const SegmentDeleted &answer, Moment moment);
    void handle(const LogAnswerLost &answer, Moment moment);
    void handle(const LogRefused &answer, Moment moment);

    std::optional<LogCommand> readCommand(Moment moment);
    std::optional<LogCommand> writeCommand(Moment moment);
    LogCommand send(Waiting waiting, LogCommand command, Moment moment);
    Settling settling() const;
    bool isEndTrusted(Moment moment) const;
    bool canTrim() const;
    bool mustRead() const;
    void confirmEnd(Moment moment);
    void verifyByList(const SegmentsListed &answer, Moment moment);
    void verifyByNext(const std::string &body, Moment moment);
    void skipToListed();
    void prepareOwn(Moment moment);
    std::string ownIdentity() const;
    void applyOwn();
    void requeueOwn();
    void settleOwn(Moment moment);
    void discardOwn();
    void backOff(Duration retryAfter, Moment moment);
    void reportCorrupt(std::string reason, Moment moment);

    PlatformLogSettings m_settings;
    RecordQueue m_queue;
    std::optional<OwnSegment> m_own;
    std::int64_t m_lastBatch = 0;

    SegmentNumber m_next = 1;
    /// Identity of segment m_next - 1, if it was read or written here.
    std::optional<std::string> m_previous;
    /// Segments from m_next on that are known to exist.
    std::set<SegmentNumber> m_listed;
    SegmentNumber m_lowest = 0;
    SegmentNumber m_trimBefore = 0;
    /// A segment of this process that was created in place of a trimmed one.
    std::optional<SegmentNumber> m_stray;
    bool m_positioned = false;
    bool m_listNeeded = true;
    bool m_refresh = false;
    bool m_refreshSent = false;
    /// A create found that segment m_next exists.
    bool m_conflict = false;
    bool m_corrupt = false;
    /// When m_next was last known not to have been trimmed.
    std::optional<Moment> m_endSeenAt;

    Waiting m_outstanding = Waiting::Nothing;
    Moment m_sentAt;
    std::optional<TimePoint> m_lastCreate;
    TimePoint m_retryAt;
    int m_failures = 0;
    std::vector<PlatformLogEvent> m_events;
};

/// Builds a PlatformLog. Each function sets the setting of PlatformLogSettings with its name.
class PlatformLogBuilder
{
public:
    explicit PlatformLogBuilder(std::string writer) { m_settings.m_writer = std::move(writer); }

    PlatformLogBuilder &maxSegmentBytes(std::size_t value)
    {
        m_settings.m_maxSegmentBytes = value;
        return *this;
    }

    PlatformLogBuilder &maxRecordBytes(std::size_t value)
    {
        m_settings.m_maxRecordBytes = value;
        return *this;
    }

    PlatformLogBuilder &maxWaitingBytes(std::size_t value)
    {
        m_settings.m_maxWaitingBytes = value;
        return *this;
    }

    PlatformLogBuilder &writeInterval(Duration value)
    {
        m_settings.m_writeInterval = value;
        return *this;
    }

    PlatformLogBuilder &endTrustDuration(Duration value)
    {
        m_settings.m_endTrustDuration = value;
        return *this;
    }

    PlatformLogBuilder &corruptRetry(Duration value)
    {
        m_settings.m_corruptRetry = value;
        return *this;
    }

    PlatformLog build() const { return PlatformLog(m_settings); }

private:
    PlatformLogSettings m_settings;
};

} // namespace gypsumdale
