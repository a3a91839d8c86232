#include <gypsumdale/ledger/record_queue.hpp>

#include <algorithm> // find_if
#include <utility> // exchange, move

namespace gypsumdale {

Result<LogTicket> RecordQueue::append(std::string record)
{
    if (record.size() > m_limits.m_maxRecordBytes)
        return Error{ErrorId::RequestTooLarge, "the record exceeds the size limit of the log"};
    if (m_waitingBytes + record.size() > m_limits.m_maxWaitingBytes)
        return Error{ErrorId::QueueFull, "too many records wait for the platform"};
    m_waitingBytes += record.size();
    m_waiting.push_back({++m_lastTicket, std::move(record)});
    return m_lastTicket;
}

AbandonResult RecordQueue::abandon(LogTicket ticket)
{
    const auto hasTicket = [ticket](const QueuedRecord &record) {
        return record.m_ticket == ticket;
    };
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(), hasTicket);
    if (waiting != m_waiting.end()) {
        m_waitingBytes -= waiting->m_record.size();
        m_waiting.erase(waiting);
        return AbandonResult::NotWritten;
    }
    const auto underWay = std::find_if(m_batch.begin(), m_batch.end(), hasTicket);
    if (underWay != m_batch.end())
        underWay->m_abandoned = true;
    return AbandonResult::MayBeWritten;
}

void RecordQueue::fillBatch()
{
    std::size_t bytes = 0;
    while (!m_waiting.empty()) {
        QueuedRecord &record = m_waiting.front();
        const std::size_t size = record.m_record.size();
        if (!m_batch.empty() && bytes + size > m_limits.m_maxBatchBytes)
            break;
        bytes += size;
        m_waitingBytes -= size;
        m_batch.push_back(std::move(record));
        m_waiting.pop_front();
    }
}

std::vector<QueuedRecord> RecordQueue::takeBatch()
{
    return std::exchange(m_batch, {});
}

std::vector<LogTicket> RecordQueue::returnBatch()
{
    std::vector<LogTicket> dropped;
    std::vector<QueuedRecord> batch = takeBatch();
    for (std::size_t left = batch.size(); left > 0; --left) {
        QueuedRecord &record = batch[left - 1];
        if (record.m_abandoned) {
            dropped.push_back(record.m_ticket);
            continue;
        }
        m_waitingBytes += record.m_record.size();
        m_waiting.push_front(std::move(record));
    }
    return dropped;
}

} // namespace gypsumdale
