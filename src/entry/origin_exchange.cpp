#include <gypsumdale/entry/entry_origins.hpp>
#include <gypsumdale/entry/origin_exchange.hpp>
#include <gypsumdale/entry/peer_wire.hpp>
#include <gypsumdale/wire/thrift_codec.hpp>

#include <entry/peer_calls.hpp>
#include <entry/peer_ranking.hpp>

#include <utility> // exchange

namespace gypsumdale {

namespace {

/// Most records that wait for one holder.
constexpr std::size_t maxUnsent = 500;
/// Longest wait for an answer of any peer, while a client waits.
constexpr Duration inquiryTimeout = std::chrono::milliseconds(250);

/// Event of the log where a message can't be sent to a peer.
constexpr LogEvent notSent("stream-origin-not-sent");

bool hasOrigin(const entrywire::EntryExchange &answer)
{
    return answer.__isset.originAnswer && answer.originAnswer.__isset.origin;
}

entrywire::EntryExchange answerWith(const std::optional<StreamOriginRecord> &record, TimePoint now)
{
    entrywire::EntryExchange message;
    message.__isset.originAnswer = true;
    if (record)
        message.originAnswer.__set_origin(encodeOrigin(*record, now));
    return message;
}

} // namespace

/// Returns the peers among the first VMs, by rank, that hold a stream's record.
std::vector<KnownPeerPointer> OriginExchange::holders(const RequestId &request,
                                                      std::size_t count) const
{
    return rankedPeers(m_context, m_table, request.text(), count);
}

void OriginExchange::announce(const StreamOriginRecord &record)
{
    if (m_table.respondingPeers(m_context.now()).empty()) {
        m_unplaced.push_back(record);
        if (m_unplaced.size() > maxUnsent)
            m_unplaced.pop_front();
        return;
    }
    for (const KnownPeerPointer &peer : holders(record.m_request, copies)) {
        Outbox &outbox = m_outboxes[peer->m_address];
        outbox.m_peer = peer;
        outbox.m_records.push_back(record);
        if (outbox.m_records.size() > maxUnsent) {
            outbox.m_records.pop_front();
            m_context.m_log.warning("stream-origin-unsent", {{LogField::Peer, peer->m_node}});
        }
        startSending(outbox);
    }
}

/// Sends the records of streams that began while no peer responded, once one does: shortly after
/// the start of a process, or after it was cut off from its peers.
void OriginExchange::placeLate()
{
    const TimePoint now = m_context.now();
    std::erase_if(m_unplaced,
                  [now](const StreamOriginRecord &record) { return record.m_expiresAt <= now; });
    if (m_unplaced.empty() || m_table.respondingPeers(now).empty())
        return;
    m_context.m_log.info("stream-origins-sent-late", {{LogField::Count, m_unplaced.size()}});
    const std::deque<StreamOriginRecord> records = std::exchange(m_unplaced, {});
    for (const StreamOriginRecord &record : records)
        announce(record);
}

void OriginExchange::resend()
{
    placeLate();
    std::erase_if(m_outboxes, [this](const auto &entry) {
        return !entry.second.m_isSending && !m_table.find(entry.first);
    });
    for (auto &[address, outbox] : m_outboxes)
        startSending(outbox);
}

void OriginExchange::startSending(Outbox &outbox)
{
    if (outbox.m_isSending || outbox.m_records.empty())
        return;
    outbox.m_isSending = true;
    m_context.m_loop.spawn([this, &outbox] { sendAll(outbox); });
}

/// Sends a holder's records until one does not arrive. It is tried again later with those behind
/// it: a client may take a stream up seconds after its VM was cut off from the holder.
void OriginExchange::sendAll(Outbox &outbox)
{
    while (!outbox.m_records.empty()) {
        const StreamOriginRecord record = outbox.m_records.front();
        outbox.m_records.pop_front();
        if (record.m_expiresAt <= m_context.now() || send(outbox.m_peer, record))
            continue;
        outbox.m_records.push_front(record);
        break;
    }
    outbox.m_isSending = false;
}

/// Sends a record to one holder. Returns whether it arrived. If the holder knows another origin
/// under that id, the stream must not go on from here either.
bool OriginExchange::send(const KnownPeerPointer &peer, const StreamOriginRecord &record)
{
    entrywire::EntryExchange message;
    message.__set_streamOrigin(encodeOrigin(record, m_context.now()));
    const auto answer = callPeer(m_context, peer, wire::encode(message), notSent);
    if (!succeeded(answer))
        return false;
    if (!valueOf(answer) || !hasOrigin(*valueOf(answer)))
        return true;
    const StreamOriginRecord known =
            decodeOrigin(valueOf(answer)->originAnswer.origin, m_context.now());
    if (!known.m_isAmbiguous || record.m_isAmbiguous)
        return true;
    m_context.m_log.warning("stream-origin-ambiguous",
                            {record.m_request, {LogField::Peer, peer->m_node}});
    m_context.m_trafficLoop.spawn(
            [this, ambiguous = known] { m_context.m_traffic.origins().keep(ambiguous); });
    return true;
}

std::optional<StreamOriginRecord> OriginExchange::ask(const RequestId &request)
{
    PeerQuestion question{{}, inquiryTimeout, hasOrigin, notSent};
    question.m_message.__isset.originQuestion = true;
    question.m_message.originQuestion.request = request.text();
    const PeerAnswers answers = askPeers(m_context, holders(request, askedVms), question);
    for (const entrywire::EntryExchange &answer : answers.m_answers) {
        if (hasOrigin(answer))
            return decodeOrigin(answer.originAnswer.origin, m_context.now());
    }
    if (answers.m_missing > 0)
        m_context.m_log.warning("stream-origin-unanswered",
                                {request, {LogField::Count, answers.m_missing}});
    return std::nullopt;
}

entrywire::EntryExchange OriginExchange::answerRecord(const entrywire::StreamOrigin &received)
{
    const TimePoint now = m_context.now();
    const StreamOriginRecord known =
            m_context.m_trafficLoop.call([this, record = decodeOrigin(received, now)] {
                return m_context.m_traffic.origins().keep(record);
            });
    return answerWith(known, now);
}

entrywire::EntryExchange OriginExchange::answerQuestion(const entrywire::OriginQuestion &question)
{
    const auto known = m_context.m_trafficLoop.call([this, request = RequestId(question.request)] {
        return m_context.m_traffic.origins().findHere(request);
    });
    return answerWith(known, m_context.now());
}

} // namespace gypsumdale
