#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/fleet/node.hpp>
#include <gypsumdale/runtime/frame_channel.hpp>
#include <gypsumdale/wire/peer_codec.hpp>

#include <cstdint> // uint64_t
#include <functional> // function
#include <map> // map
#include <memory> // shared_ptr
#include <optional> // optional
#include <string> // string

namespace gypsumdale {

/// Answers the body of one request of a peer whose credential was proved.
using PeerHandler =
        std::function<wire::PeerReplyBody(const NodeId &sender, const wire::PeerRequest &request)>;

/// The frames between this process and the others: requests go out with a proof of the peers'
/// credential, and only those that prove it are answered. Used from fibers of the control loop.
class PeerLink
{
public:
    PeerLink(FiberLoop &loop, const Clock &clock, NodeId self, std::string credential);

    /// Begins to answer peers. Fails with AddressInUse.
    Result<Done> listen(const Endpoint &endpoint, PeerHandler handler);

    /// Sends a request and returns its answer. A refusal comes back as PeerRefused.
    Result<wire::PeerReply> ask(const NodeIdentity &peer, const wire::PeerRequestBody &body,
                                Duration timeout);

    void setIncarnation(Incarnation incarnation) { m_incarnation = incarnation; }

    /// Counts all frames since the start, in both directions.
    FrameTraffic traffic() const;

    /// Counts the requests that proved no credential or were no message.
    std::uint64_t refusedFrames() const { return m_refusedFrames; }

    /// Returns the size of the last heartbeat sent or answered, as encoded.
    std::size_t lastHeartbeatBytes() const { return m_lastFrameBytes; }

private:
    std::string answer(const PeerHandler &handler, const std::string &frame);
    std::shared_ptr<FrameChannel> channelTo(const NodeIdentity &peer);

    struct Channel
    {
        Endpoint m_endpoint;
        std::shared_ptr<FrameChannel> m_channel;
    };

    FiberLoop &m_loop;
    const Clock &m_clock;
    NodeId m_self;
    std::string m_credential;
    Incarnation m_incarnation = 0;
    std::optional<FrameServer> m_server;
    std::map<NodeId, Channel> m_channels;
    FrameTraffic m_closedTraffic;
    std::size_t m_lastFrameBytes = 0;
    std::uint64_t m_refusedFrames = 0;
};

} // namespace gypsumdale
