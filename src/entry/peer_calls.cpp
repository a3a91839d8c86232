#include <gypsumdale/runtime/frame_channel.hpp>
#include <gypsumdale/wire/thrift_codec.hpp>

#include <entry/peer_calls.hpp>

#include <memory> // make_shared, shared_ptr
#include <utility> // move

#include <boost/fiber/future/promise.hpp>

namespace gypsumdale {

namespace {

/// Longest wait for one peer's answer. Less would reset the connection that other exchanges use.
constexpr Duration answerTimeout = std::chrono::milliseconds(600);

/// One question that is under way to several peers.
struct Inquiry
{
    Inquiry(PeerQuestion question, std::size_t peers)
        : m_question(std::move(question))
        , m_pending(peers)
    {}

    PeerQuestion m_question;
    boost::fibers::promise<void> m_promise;
    std::size_t m_pending;
    bool m_isOver = false;
    std::vector<entrywire::EntryExchange> m_answers;

    void end()
    {
        if (!m_isOver)
            m_promise.set_value();
        m_isOver = true;
    }
};

void askOne(EntryContext &context, const KnownPeerPointer &peer, const std::string &frame,
            Inquiry &inquiry)
{
    auto reply = callPeer(context, peer, frame, inquiry.m_question.m_failureEvent);
    --inquiry.m_pending;
    if (inquiry.m_isOver)
        return;
    const auto &isEnough = inquiry.m_question.m_isEnough;
    bool isDone = inquiry.m_pending == 0;
    if (succeeded(reply) && valueOf(reply)) {
        inquiry.m_answers.push_back(*valueOf(std::move(reply)));
        isDone = isDone || (isEnough && isEnough(inquiry.m_answers.back()));
    }
    if (isDone)
        inquiry.end();
}

} // namespace

Result<std::optional<entrywire::EntryExchange>> callPeer(EntryContext &context,
                                                         const KnownPeerPointer &peer,
                                                         const std::string &frame, LogEvent event)
{
    const auto reply = peer->m_channel->exchange(frame, answerTimeout);
    if (!succeeded(reply)) {
        context.m_log.info(event, {{LogField::Peer, peer->m_node},
                                   {LogField::ErrorName, errorName(errorOf(reply).m_id)},
                                   {LogField::Text, errorOf(reply).m_text}});
        return errorOf(reply);
    }
    if (valueOf(reply).empty())
        return std::optional<entrywire::EntryExchange>();
    const auto decoded = wire::decode<entrywire::EntryExchange>(valueOf(reply));
    if (!succeeded(decoded)) {
        context.m_log.failure("peer-malformed", errorOf(decoded),
                              {{LogField::Address, peer->m_address}});
        return errorOf(decoded);
    }
    return std::optional(valueOf(decoded));
}

PeerAnswers askPeers(EntryContext &context, const std::vector<KnownPeerPointer> &peers,
                     const PeerQuestion &question)
{
    if (peers.empty())
        return {};
    const std::string frame = wire::encode(question.m_message);
    const auto inquiry = std::make_shared<Inquiry>(question, peers.size());
    auto ended = inquiry->m_promise.get_future();
    for (const KnownPeerPointer &peer : peers) {
        context.m_loop.spawn(
                [&context, peer, frame, inquiry] { askOne(context, peer, frame, *inquiry); });
    }
    ended.wait_for(question.m_wait);
    const bool isAnswered = inquiry->m_isOver;
    inquiry->m_isOver = true;
    return {std::move(inquiry->m_answers), isAnswered ? 0 : inquiry->m_pending};
}

void tellPeers(EntryContext &context, const std::vector<KnownPeerPointer> &peers,
               const entrywire::EntryExchange &message, LogEvent failureEvent)
{
    const std::string frame = wire::encode(message);
    for (const KnownPeerPointer &peer : peers) {
        context.m_loop.spawn([&context, peer, frame, failureEvent] {
            callPeer(context, peer, frame, failureEvent);
        });
    }
}

} // namespace gypsumdale
