#include <gypsumdale/kernel/peer_link.hpp>

#include <fmt/format.h>

namespace gypsumdale {

namespace {

constexpr std::size_t maxFrameBytes = std::size_t{4} * 1024 * 1024;
/// Maximum difference between the clocks of two VMs at which a proof is valid.
constexpr std::int64_t maxClockSkewMillis = 60'000;

wire::PeerReplyBody refusal(const Error &error)
{
    wire::Refusal refusal;
    refusal.__set_error(static_cast<std::int32_t>(error.m_id));
    refusal.__set_text(error.m_text);
    wire::PeerReplyBody body;
    body.__set_refusal(refusal);
    return body;
}

} // namespace

PeerLink::PeerLink(FiberLoop &loop, const Clock &clock, NodeId self, std::string credential)
    : m_loop(loop)
    , m_clock(clock)
    , m_self(std::move(self))
    , m_credential(std::move(credential))
{}

Result<Done> PeerLink::listen(const Endpoint &endpoint, PeerHandler handler)
{
    auto server = FrameServer::listen(
            m_loop, endpoint,
            [this, handler = std::move(handler)](const std::string &frame) {
                return answer(handler, frame);
            },
            maxFrameBytes);
    if (!succeeded(server))
        return errorOf(server);
    m_server.emplace(valueOf(std::move(server)));
    return Done{};
}

std::string PeerLink::answer(const PeerHandler &handler, const std::string &frame)
{
    const auto request = wire::decodeRequest(frame);
    // An empty reply closes the connection, which is the only reaction to an invalid message.
    if (!succeeded(request)) {
        ++m_refusedFrames;
        return {};
    }
    wire::PeerReply reply;
    reply.sender = m_self.text();
    reply.incarnation = m_incarnation;
    const bool isProved = wire::isProofValid(m_credential, valueOf(request), m_clock.wallNow(),
                                             maxClockSkewMillis);
    m_refusedFrames += isProved ? 0 : 1;
    reply.body = isProved ? handler(NodeId(valueOf(request).sender), valueOf(request))
                          : refusal({ErrorId::PeerRefused,
                                     "the request has no valid proof of the peers' credential"});
    return wire::encodeReply(reply);
}

Result<wire::PeerReply> PeerLink::ask(const NodeIdentity &peer, const wire::PeerRequestBody &body,
                                      Duration timeout)
{
    wire::PeerRequest request;
    request.sender = m_self.text();
    request.incarnation = m_incarnation;
    request.sentAtMillis = m_clock.wallNow();
    request.body = body;
    request.proof = wire::makeProof(m_credential, request);
    const std::string frame = wire::encodeRequest(request);
    m_lastFrameBytes = frame.size();
    const auto channel = channelTo(peer);
    const Result<std::string> answer = channel->exchange(frame, timeout);
    if (!succeeded(answer))
        return errorOf(answer);
    Result<wire::PeerReply> reply = wire::decodeReply(valueOf(answer));
    if (succeeded(reply) && valueOf(reply).body.__isset.refusal)
        return Error{ErrorId::PeerRefused, valueOf(reply).body.refusal.text};
    return reply;
}

std::shared_ptr<FrameChannel> PeerLink::channelTo(const NodeIdentity &peer)
{
    const Endpoint endpoint{peer.m_address, peer.m_port};
    Channel &channel = m_channels[peer.m_node];
    if (!channel.m_channel || channel.m_endpoint != endpoint) {
        if (channel.m_channel)
            m_closedTraffic += channel.m_channel->traffic();
        channel.m_endpoint = endpoint;
        channel.m_channel = std::make_shared<FrameChannel>(m_loop, endpoint);
    }
    return channel.m_channel;
}

FrameTraffic PeerLink::traffic() const
{
    FrameTraffic sum = m_closedTraffic;
    for (const auto &[node, channel] : m_channels)
        sum += channel.m_channel->traffic();
    if (m_server)
        sum += m_server->traffic();
    return sum;
}

} // namespace gypsumdale
