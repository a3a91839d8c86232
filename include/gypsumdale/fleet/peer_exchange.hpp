#pragma once

#include <gypsumdale/fleet/change_log.hpp>
#include <gypsumdale/fleet/membership.hpp>
#include <gypsumdale/fleet/upstream_table.hpp>
#include <gypsumdale/wire/peer_codec.hpp>

#include <map> // map
#include <string> // string
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// Sends a request to a peer; its answer is passed to PeerExchange::onReply (heartbeats only; other
/// requests are answered with Accepted), a failure to onSendFailed.
struct SendToPeer
{
    NodeIdentity m_to;
    wire::PeerRequestBody m_body;
};

/// A peer's cumulative count of tokens served to a member, in that incarnation of the peer.
struct TokensReported
{
    NodeId m_node;
    Incarnation m_incarnation = 0;
    MemberId m_member;
    std::int64_t m_tokens = 0;
};

/// Digest of a peer's configuration, from its heartbeat.
struct ConfigDigestReceived
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    wire::ConfigDigest m_digest;
};

using ExchangeCommand =
        std::variant<SendToPeer, NodeStateChanged, OwnIncarnationRaised, ProbeUpstream,
                     UpstreamStateChanged, TokensReported, ConfigDigestReceived>;
using ExchangeCommands = std::vector<ExchangeCommand>;

/// Combines membership, upstreams, tokens and the configuration digest into the heartbeats of one
/// node. The daemon drives this class; Membership and UpstreamTable are read through it.
///
/// Deltas are sent relative to a version that the receiver names: each heartbeat contains the
/// versions up to which its sender has received the changes of the receiver, and in which
/// incarnation. A lost message therefore causes a repetition but never a gap.
class PeerExchange
{
public:
    PeerExchange(MembershipSettings membership, UpstreamTableSettings upstreams, TimePoint now);

    /// Advances all components to `now`; to be called about every 50 ms.
    ExchangeCommands tick(TimePoint now, WallMillis wallNow);

    /// Result of a received request, with the answer to send.
    struct Answered
    {
        wire::PeerReplyBody m_reply;
        ExchangeCommands m_commands;
    };
    Answered onHeartbeat(const wire::Heartbeat &heartbeat, TimePoint now, WallMillis wallNow);
    ExchangeCommands onReply(const wire::Heartbeat &heartbeat, TimePoint now, WallMillis wallNow);
    /// Handles notices from a peer, requested or not.
    ExchangeCommands onNotices(const wire::LeavingNotices &notices, const NodeId &from,
                               TimePoint now, WallMillis wallNow);
    void onSendFailed(const NodeId &node) { m_membership.onSendFailed(node); }

    /// Handles notices that this node read from the cloud. All notices of one answer must be passed
    /// in one call: they are then sent to each peer in one message.
    ExchangeCommands onNotices(const std::vector<LeavingNotice> &notices, TimePoint now,
                               WallMillis wallNow);
    ExchangeCommands onNotice(const LeavingNotice &notice, TimePoint now, WallMillis wallNow);
    /// Drains an upstream on behalf of an operator.
    ExchangeCommands drainUpstream(const UpstreamId &upstream, TimePoint now, WallMillis wallNow);
    /// Applies the cloud's VM list: the system's own VMs and those of upstreams.
    ExchangeCommands onVmList(const std::vector<ListedNode> &nodes,
                              const std::vector<ListedUpstream> &upstreams, TimePoint now,
                              WallMillis wallNow);
    ExchangeCommands setConfiguredUpstreams(const std::vector<UpstreamDeclaration> &declared,
                                            TimePoint now);
    ExchangeCommands onLoad(const UpstreamId &upstream, const UpstreamLoad &load, TimePoint now);
    ExchangeCommands onProbeFailed(const UpstreamId &upstream, const std::string &reason,
                                   TimePoint now);
    ExchangeCommands onRequestFailed(const UpstreamId &upstream, const std::string &reason,
                                     TimePoint now);
    ExchangeCommands onRequestSucceeded(const UpstreamId &upstream, TimePoint now);

    /// Sets the number of tokens this node has served to a member, a count that only increases.
    void setOwnTokens(const MemberId &member, std::int64_t tokens);
    void setConfigDigest(const wire::ConfigDigest &digest) { m_config = digest; }
    void setInFlight(const UpstreamId &upstream, int count)
    {
        m_upstreams.setInFlight(upstream, count);
    }
    void setDraining() { m_membership.setDraining(); }

    /// Records the size of an encoded heartbeat, in bytes.
    void recordHeartbeatBytes(std::size_t bytes) { m_membership.recordHeartbeatBytes(bytes); }

    const Membership &membership() const { return m_membership; }
    const UpstreamTable &upstreams() const { return m_upstreams; }

private:
    /// Versions up to which this node and a peer have received each other's changes.
    struct PeerCursor
    {
        Incarnation m_incarnation = 0;
        std::int64_t m_receivedUpstreams = 0;
        std::int64_t m_receivedTokens = 0;
        std::int64_t m_receivedInFlight = 0;
        std::int64_t m_ackedUpstreams = 0;
        std::int64_t m_ackedTokens = 0;
        std::int64_t m_ackedInFlight = 0;
    };

    wire::Heartbeat compose(const MembershipMessage &message, const NodeIdentity &to, TimePoint now,
                            WallMillis wallNow);
    void applyHeartbeat(const wire::Heartbeat &heartbeat, TimePoint now,
                        ExchangeCommands &commands);
    void applyDeltas(const wire::Heartbeat &heartbeat, TimePoint now, ExchangeCommands &commands);
    void repairNotices(const wire::Heartbeat &heartbeat, TimePoint now, ExchangeCommands &commands);
    ExchangeCommands applyNotices(const std::vector<LeavingNotice> &notices, NoticeSource source,
                                  TimePoint now, WallMillis wallNow);
    void sendNotices(const std::vector<LeavingNotice> &notices, bool toOtherDataCentres,
                     ExchangeCommands &commands);
    void forward(MembershipCommands &&from, TimePoint now, WallMillis wallNow,
                 ExchangeCommands &commands);
    void forward(UpstreamCommands &&from, ExchangeCommands &commands);
    void removeCursors();
    PeerCursor &cursorOf(const NodeId &node, Incarnation incarnation);
    bool isOwnDataCentre(const std::string &dataCentre) const;

    Membership m_membership;
    UpstreamTable m_upstreams;
    std::map<NodeId, PeerCursor> m_cursors;
    std::map<NodeId, TimePoint> m_noticesSentAt;
    TimePoint m_capacityUpdatedAt;
    std::map<MemberId, std::int64_t> m_ownTokens;
    ChangeLog<MemberId> m_tokenChanges;
    wire::ConfigDigest m_config;
};

} // namespace gypsumdale
