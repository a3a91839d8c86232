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

/// Returns the reply to a request of a peer that proved its credential.
using PeerHandler =
        std::function<wire::PeerReplyBody(const NodeId &sender, const wire::PeerRequest &request)>;

/// Frames between this process and its peers. Requests carry a proof of the peers' credential;
/// requests without a valid proof are not answered. Used in fibers of the control loop.
class PeerLink
{
public:
    PeerLink(FiberLoop &loop, const Clock &clock, NodeId self, std::string credential);

    /// Starts answering peers. Fails with AddressInUse.
    Result<Done> listen(const Endpoint &endpoint, PeerHandler handler);

    /// Sends a request and returns its reply. Fails with PeerRefused if the peer refuses it.
    Result<wire::PeerReply> ask(const NodeIdentity &peer, const wire::PeerRequestBody &body,
                                Duration timeout);

    void setIncarnation(Incarnation incarnation) { m_incarnation = incarnation; }

    /// Returns the count of all frames since the start, in both directions.
    FrameTraffic traffic() const;

    /// Returns the number of requests that had no valid proof or were no valid message.
    std::uint64_t refusedFrames() const { return m_refusedFrames; }

    /// Returns the encoded size of the last heartbeat that was sent or answered.
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
