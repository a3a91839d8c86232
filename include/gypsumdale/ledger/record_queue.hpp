#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/ledger/log_messages.hpp>

#include <cstddef> // size_t
#include <deque> // deque
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// Whether an abandoned record can still take effect.
enum class AbandonResult {
    NotWritten, ///< It certainly cannot.
    MayBeWritten, ///< It may; RecordApplied or RecordDropped follows if this is found out.
};

/// Size limits of a RecordQueue.
struct RecordQueueLimits
{
    /// Maximum bytes of the records of one batch.
    std::size_t m_maxBatchBytes = 0;
    /// Maximum bytes of one record.
    std::size_t m_maxRecordBytes = 0;
    /// Maximum bytes of all waiting records.
    std::size_t m_maxWaitingBytes = 0;
};

/// A record that is waiting or being written.
struct QueuedRecord
{
    LogTicket m_ticket = 0;
    std::string m_record;
    bool m_abandoned = false;
};

/// The records that wait to be written to a log, and the batch that is being written.
class RecordQueue
{
public:
    explicit RecordQueue(RecordQueueLimits limits)
        : m_limits(limits)
    {}

    /// Queues a record. Fails with RequestTooLarge if it is above the size limit, and with
    /// QueueFull if too much is waiting; then nothing is queued.
    Result<LogTicket> append(std::string record);

    /// Abandons a record. A waiting one is removed; one in the batch is marked. Complexity: linear
    /// in the number of waiting records and the batch.
    AbandonResult abandon(LogTicket ticket);

    /// Returns whether records outside the batch are waiting. Complexity: constant.
    bool hasWaiting() const { return !m_waiting.empty(); }

    /// Moves the oldest waiting records into the batch, which must be empty: at least one, and as
    /// many as the limit allows. At least one record must be waiting. Complexity: linear in the
    /// batch.
    void fillBatch();

    /// Returns the batch in order.
    const std::vector<QueuedRecord> &batch() const { return m_batch; }

    /// Removes and returns the batch after it was written.
    std::vector<QueuedRecord> takeBatch();

    /// Returns the batch to the front of the queue, as it was not written, without records
    /// abandoned in the meantime. Returns the tickets of those, the last first. Complexity: linear
    /// in the batch.
    std::vector<LogTicket> returnBatch();

private:
    RecordQueueLimits m_limits;
    std::deque<QueuedRecord> m_waiting;
    std::size_t m_waitingBytes = 0;
    std::vector<QueuedRecord> m_batch;
    LogTicket m_lastTicket = 0;
};

} // namespace gypsumdale
