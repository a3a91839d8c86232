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

/// Whether a log can be written to now.
enum class LogState {
    Behind, ///< There are segments it has not read, or it does not know.
    UpToDate, ///< It has applied all that it knows of.
    Unavailable, ///< The platform did not answer; it waits to try again.
    Corrupt, ///< It stands in front of a segment that it can't read.
};

/// The settings of a log.
struct PlatformLogSettings
{
    /// Unique for each life of a process: a segment counts as one's own by it.
    std::string m_writer;
    /// Bytes of records in one segment; the platform takes 1 MiB.
    std::size_t m_maxSegmentBytes = std::size_t{256} * 1024;
    /// Bytes of one record.
    std::size_t m_maxRecordBytes = std::size_t{64} * 1024;
    /// Bytes of all records that wait.
    std::size_t m_maxWaitingBytes = std::size_t{4} * 1024 * 1024;
    /// The least time between two creates, so that a node stays within its share of writes.
    Duration m_writeInterval = std::chrono::milliseconds(50);
    /// For how long the end of the log, once seen, is taken to be not trimmed away. Far below the
    /// time for which segments are kept.
    Duration m_endTrustDuration = std::chrono::minutes(1);
    /// Between two readings of a corrupt segment.
    Duration m_corruptRetry = std::chrono::seconds(10);
};

/// One append-only log in the platform: objects numbered from 1, each created only if absent.
///
/// Only who has read up to n can write n + 1, so that a process that was paused can't append behind
/// the back of others: its create fails and it reads what it missed. A create whose answer was lost
/// is repeated with the same number and body until the object is seen: as its own (the writer and
/// batch in it tell) or as another's.
///
/// Pure logic: next() gives the command to carry out, onAnswer() takes what came of it. Each
/// command that next() returned needs exactly one onAnswer().
class PlatformLog
{
public:
    explicit PlatformLog(PlatformLogSettings settings);

    /// Queues a record. Fails with RequestTooLarge for one above the limit and with QueueFull if
    /// too much waits; then nothing is left behind. Records of one log keep their order.
    Result<LogTicket> append(std::string record) { return m_queue.append(std::move(record)); }

    /// Gives up on a record and tells whether it can still take effect. A ticket that is no longer
    /// known, because it was applied or dropped, gives MayBeWritten. Linear in what waits.
    AbandonResult abandon(LogTicket ticket) { return m_queue.abandon(ticket); }

    /// Asks for a reading up to the end; LogCaughtUp follows.
    void refresh();

    /// Permits to delete all segments below a number. Their records must have expired or stand
    /// again in later ones, and each segment must have been there for far longer than the end of
    /// the log is trusted. The last segment stays, so that numbers are never used twice.
    void trimBefore(SegmentNumber number);

    /// Returns the command to carry out now, if any. Constant but for a segment's encoding.
    std::optional<LogCommand> next(Moment moment);

    /// Takes the answer to the outstanding command. Linear in the answer.
    void onAnswer(const LogAnswer &answer, Moment moment);

    /// Returns what happened since the last call, in order.
    std::vector<PlatformLogEvent> takeEvents();

    /// Returns when next() may have something to do without any further event, or nothing.
    std::optional<TimePoint> nextWake() const;

    void setWriteInterval(Duration interval) { m_settings.m_writeInterval = interval; }

    LogState state(TimePoint now) const;
    /// Returns how long the platform's outage makes callers wait, zero if it is not out. Constant.
    Duration remainingBackoff(TimePoint now) const;
    bool hasOutstanding() const { return m_outstanding != Waiting::Nothing; }
    /// Tells whether records wait, or a create is unsettled. Constant.
    bool hasWork() const { return m_queue.hasWaiting() || m_own.has_value(); }
    /// The number that the next new segment gets, as far as is known.
    SegmentNumber nextNumber() const { return m_next; }
    const std::string &writer() const { return m_settings.m_writer; }

private:
    enum class Waiting { Nothing, List, Read, Create, Delete };

    /// What is still to be found out about a create of ours.
    enum class Settling {
        Nothing,
        ReadBack, ///< Its answer was lost.
        ByList, ///< It took effect, but the end was seen too long ago.
        ByNext, ///< As ByList, and a next segment exists, which names the one it follows.
    };

    /// A segment of our own on its way into the log, with the records of the queue's batch.
    struct OwnSegment
    {
        std::int64_t m_batch = 0;
        std::string m_body;
        WallMillis m_writtenAt = 0;
        /// A create of it may have taken effect, or may yet.
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
    bool isTrusted(Moment moment) const;
    bool canTrim() const;
    bool mustRead() const;
    void confirmEnd(Moment moment);
    void verifyByList(const SegmentsListed &answer, Moment moment);
    void verifyByNext(const std::string &body, Moment moment);
    void moveToListed();
    void fillOwn(Moment moment);
    std::string ownIdentity() const;
    void applyOwn();
    void returnOwn();
    void settleOwn(Moment moment);
    void voidOwn();
    void backOff(Duration retryAfter, Moment moment);
    void reportCorrupt(std::string reason, Moment moment);

    PlatformLogSettings m_settings;
    RecordQueue m_queue;
    std::optional<OwnSegment> m_own;
    std::int64_t m_lastBatch = 0;

    SegmentNumber m_next = 1;
    /// Names segment m_next - 1, if that was read or written here.
    std::optional<std::string> m_previous;
    /// Segments from m_next on that are known to exist.
    std::set<SegmentNumber> m_listed;
    SegmentNumber m_lowest = 0;
    SegmentNumber m_trimBefore = 0;
    /// A segment of our own that was created where a trimmed one had been.
    std::optional<SegmentNumber> m_stray;
    bool m_positioned = false;
    bool m_listNeeded = true;
    bool m_refresh = false;
    bool m_refreshSent = false;
    /// A create met a segment at m_next.
    bool m_conflict = false;
    bool m_corrupt = false;
    /// When m_next was last known to be not trimmed away.
    std::optional<Moment> m_endSeen;

    Waiting m_outstanding = Waiting::Nothing;
    Moment m_sentAt;
    std::optional<TimePoint> m_lastCreate;
    TimePoint m_retryAt;
    int m_failures = 0;
    std::vector<PlatformLogEvent> m_events;
};

/// Builds a log. Each function sets the setting of PlatformLogSettings that has its name.
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
