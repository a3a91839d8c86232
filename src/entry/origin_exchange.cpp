#include <gypsumdale/entry/entry_origins.hpp>
#include <gypsumdale/entry/origin_exchange.hpp>
#include <gypsumdale/entry/peer_wire.hpp>
#include <gypsumdale/runtime/frame_channel.hpp>
#include <gypsumdale/wire/thrift_codec.hpp>

#include <entry/peer_ranking.hpp>

#include <entry_types.h>

#include <utility> // exchange

#include <boost/fiber/future/promise.hpp>

namespace gypsumdale {

namespace {

/// Longest wait for one peer's answer. Less would reset the connection that other exchanges use.
constexpr Duration answerTimeout = std::chrono::milliseconds(600);
/// Most records that wait for one holder.
constexpr std::size_t maxUnsent = 500;
/// Longest wait for an answer of any peer, while a client waits.
constexpr Duration inquiryTimeout = std::chrono::milliseconds(250);

entrywire::EntryExchange answerWith(const std::optional<StreamOriginRecord> &record, TimePoint now)
{
    entrywire::EntryExchange message;
    message.__isset.originAnswer = true;
    if (record)
        message.originAnswer.__set_origin(encodeOrigin(*record, now));
    return message;
}

} // namespace

/// One question to several peers. The first record, or the last peer's answer, ends it.
struct OriginExchange::Inquiry
{
    using Answer = std::optional<StreamOriginRecord>;

    boost::fibers::promise<Answer> m_promise;
    std::size_t m_pending = 0;
    bool m_isAnswered = false;

    void end(const Answer &answer)
    {
        if (m_isAnswered)
            return;
        m_isAnswered = true;
        m_promise.set_value(answer);
    }
};

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
    const auto answer = exchange(peer, wire::encode(message));
    if (!succeeded(answer))
        return false;
    const std::optional<StreamOriginRecord> &known = valueOf(answer);
    if (!known || !known->m_isAmbiguous || record.m_isAmbiguous)
        return true;
    m_context.m_log.warning("stream-origin-ambiguous",
                            {record.m_request, {LogField::Peer, peer->m_node}});
    m_context.m_trafficLoop.spawn(
            [this, ambiguous = *known] { m_context.m_traffic.origins().keep(ambiguous); });
    return true;
}

std::optional<StreamOriginRecord> OriginExchange::ask(const RequestId &request)
{
    entrywire::EntryExchange message;
    message.__isset.originQuestion = true;
    message.originQuestion.request = request.text();
    const std::string frame = wire::encode(message);
    const std::vector<KnownPeerPointer> asked = holders(request, askedVms);
    if (asked.empty())
        return std::nullopt;
    const auto inquiry = std::make_shared<Inquiry>();
    auto answer = inquiry->m_promise.get_future();
    inquiry->m_pending = asked.size();
    for (const KnownPeerPointer &peer : asked)
        m_context.m_loop.spawn([this, peer, frame, inquiry] { askOne(peer, frame, inquiry); });
    if (answer.wait_for(inquiryTimeout) == boost::fibers::future_status::ready)
        return answer.get();
    m_context.m_log.warning("stream-origin-unanswered",
                            {request, {LogField::Count, inquiry->m_pending}});
    return std::nullopt;
}

void OriginExchange::askOne(const KnownPeerPointer &peer, const std::string &frame,
                            const std::shared_ptr<Inquiry> &inquiry)
{
    const auto answer = exchange(peer, frame);
    const auto record = succeeded(answer) ? valueOf(answer) : std::nullopt;
    --inquiry->m_pending;
    if (record || inquiry->m_pending == 0)
        inquiry->end(record);
}

/// Sends a frame to a peer and returns the record in its answer. A peer of an earlier release
/// answers with an empty frame. Errors: those of the channel, and PeerMalformed, which are logged.
Result<std::optional<StreamOriginRecord>> OriginExchange::exchange(const KnownPeerPointer &peer,
                                                                   const std::string &frame)
{
    const auto reply = peer->m_channel->exchange(frame, answerTimeout);
    if (!succeeded(reply)) {
        m_context.m_log.info("stream-origin-not-sent",
                             {{LogField::Peer, peer->m_node},
                              {LogField::ErrorName, errorName(errorOf(reply).m_id)},
                              {LogField::Text, errorOf(reply).m_text}});
        return errorOf(reply);
    }
    if (valueOf(reply).empty())
        return std::optional<StreamOriginRecord>();
    const auto decoded = wire::decode<entrywire::EntryExchange>(valueOf(reply));
    if (!succeeded(decoded)) {
        m_context.m_log.failure("peer-malformed", errorOf(decoded),
                                {{LogField::Address, peer->m_address}});
        return errorOf(decoded);
    }
    const entrywire::EntryExchange &message = valueOf(decoded);
    if (!message.__isset.originAnswer || !message.originAnswer.__isset.origin)
        return std::optional<StreamOriginRecord>();
    return std::optional(decodeOrigin(message.originAnswer.origin, m_context.now()));
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
