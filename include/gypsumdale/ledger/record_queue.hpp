#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/ledger/log_messages.hpp>

#include <cstddef> // size_t
#include <deque> // deque
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// Tells whether an abandoned record can still take effect.
enum class AbandonResult {
    NotWritten, ///< It never will.
    MayBeWritten, ///< It may; RecordApplied or RecordDropped tells which, if it is ever learnt.
};

/// How much a queue of records takes.
struct RecordQueueLimits
{
    /// Bytes of the records of one batch.
    std::size_t m_maxBatchBytes = 0;
    /// Bytes of one record.
    std::size_t m_maxRecordBytes = 0;
    /// Bytes of all records that wait.
    std::size_t m_maxWaitingBytes = 0;
};

/// A record on its way into a log.
struct QueuedRecord
{
    LogTicket m_ticket = 0;
    std::string m_record;
    bool m_abandoned = false;
};

/// Records that wait to be written to a log, and the batch of them that is being written.
class RecordQueue
{
public:
    explicit RecordQueue(RecordQueueLimits limits)
        : m_limits(limits)
    {}

    /// Queues a record. Fails with RequestTooLarge for one above the limit and with QueueFull if
    /// too much waits; then nothing is left behind.
    Result<LogTicket> append(std::string record);

    /// Gives up on a record. One that waits is taken out; one of the batch is marked. Linear.
    AbandonResult abandon(LogTicket ticket);

    /// Tells whether records wait that are not in the batch. Constant.
    bool hasWaiting() const { return !m_waiting.empty(); }

    /// Moves the oldest records into the batch, which must be empty: at least one that waits, and
    /// as many as the limit allows. Linear in the batch.
    void fillBatch();

    /// Returns the batch in order.
    const std::vector<QueuedRecord> &batch() const { return m_batch; }

    /// Takes the batch out, as it was written.
    std::vector<QueuedRecord> takeBatch();

    /// Puts the batch back before what waits, as it was not written, but for records given up on
    /// meanwhile; returns the tickets of those, the last first. Linear in the batch.
    std::vector<LogTicket> returnBatch();

private:
    RecordQueueLimits m_limits;
    std::deque<QueuedRecord> m_waiting;
    std::size_t m_waitingBytes = 0;
    std::vector<QueuedRecord> m_batch;
    LogTicket m_lastTicket = 0;
};

} // namespace gypsumdale
