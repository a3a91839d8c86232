#include <gypsumdale/core/result.hpp>
#include <gypsumdale/fleet/peer_exchange.hpp>
#include <gypsumdale/fleet/rendezvous.hpp>

#include <chrono> // seconds
#include <utility> // move

namespace gypsumdale {

namespace {

/// Maximum number of changes of one kind in one heartbeat; the others follow in the next one.
constexpr std::size_t maxChangesPerHeartbeat = 256;
/// Number of nodes of each other data centre that a notice is sent to; each forwards it within its
/// own data centre.
constexpr std::size_t noticeReceiversPerDataCentre = 2;
/// Minimum time between two exchanges of all notices with the same peer.
constexpr Duration noticeRepairInterval = std::chrono::seconds(2);
/// Interval at which the own data centre's capacity is recomputed.
constexpr Duration capacityInterval = std::chrono::seconds(1);

wire::PeerRequestBody noticesBody(const std::vector<LeavingNotice> &notices)
{
    wire::LeavingNotices message;
    for (const LeavingNotice &notice : notices)
        message.notices.push_back(wire::toWire(notice));
    wire::PeerRequestBody body;
    body.__set_leavingNotices(message);
    return body;
}

} // namespace

PeerExchange::PeerExchange(MembershipSettings membership, UpstreamTableSettings upstreams,
                           TimePoint now)
    : m_membership(std::move(membership), now)
    , m_upstreams(std::move(upstreams))
{}

bool PeerExchange::isOwnDataCentre(const std::string &dataCentre) const
{
    return dataCentre == m_membership.self().m_dataCentre.text();
}

PeerExchange::PeerCursor &PeerExchange::cursorOf(const NodeId &node, Incarnation incarnation)
{
    PeerCursor &cursor = m_cursors[node];
    if (cursor.m_incarnation == incarnation)
        return cursor;
    // Another process, or one that raised its incarnation: its versions start at 0, and it has
    // received none of the changes of this node.
    cursor = PeerCursor();
    cursor.m_incarnation = incarnation;
    return cursor;
}

// --- sending ----------------------------------------------------------------------------------

ExchangeCommands PeerExchange::tick(TimePoint now, WallMillis wallNow)
{
    ExchangeCommands commands;
    forward(m_membership.tick(now, wallNow), now, wallNow, commands);
    m_upstreams.setNodes(m_membership.dutyNodes());
    forward(m_upstreams.tick(now, wallNow), commands);
    if (now - m_capacityUpdatedAt >= capacityInterval) {
        m_capacityUpdatedAt = now;
        m_membership.setCapacity(m_upstreams.capacity());
        removeCursors();
    }
    return commands;
}

void PeerExchange::removeCursors()
{
    const auto isRemoved = [this](const auto &entry) {
        return !m_membership.find(entry.first);
    };
    std::erase_if(m_cursors, isRemoved);
    std::erase_if(m_noticesSentAt, isRemoved);
}

wire::Heartbeat PeerExchange::compose(const MembershipMessage &message, const NodeIdentity &to,
                                      TimePoint now, WallMillis wallNow)
{
    wire::Heartbeat heartbeat;
    wire::writeMembership(message, heartbeat);
    heartbeat.sentAtMillis = wallNow;
    heartbeat.config = m_config;
    heartbeat.noticesDigest = m_upstreams.noticesDigest();
    if (to.m_dataCentre != m_membership.self().m_dataCentre)
        return heartbeat;

    const PeerCursor &cursor = m_cursors[to.m_node];
    heartbeat.receiverIncarnation = cursor.m_incarnation;
    heartbeat.upstreamsSeen = cursor.m_receivedUpstreams;
    heartbeat.tokensSeen = cursor.m_receivedTokens;
    heartbeat.inFlightSeen = cursor.m_receivedInFlight;

    const ObservationBatch batch =
            m_upstreams.observationsSince(cursor.m_ackedUpstreams, maxChangesPerHeartbeat, now);
    for (const UpstreamObservation &observation : batch.m_observations)
        heartbeat.observations.push_back(wire::toWire(observation));
    heartbeat.upstreamsVersion = batch.m_upTo;

    const Changes<MemberId> members =
            m_tokenChanges.since(cursor.m_ackedTokens, maxChangesPerHeartbeat);
    for (const MemberId &member : members.m_keys) {
        wire::MemberTokens item;
        item.member = member.text();
        item.tokens = m_ownTokens.at(member);
        heartbeat.tokens.push_back(item);
    }
    heartbeat.tokensVersion = members.m_upTo;

    for (const InFlightReport &report :
         m_upstreams.inFlightFor(to.m_node, cursor.m_ackedInFlight)) {
        wire::InFlight item;
        item.upstream = report.m_key;
        item.count = report.m_count;
        heartbeat.inFlight.push_back(item);
    }
    heartbeat.inFlightVersion = m_upstreams.inFlightVersion();
    return heartbeat;
}

void PeerExchange::setOwnTokens(const MemberId &member, std::int64_t tokens)
{
    std::int64_t &held = m_ownTokens[member];
    if (held == tokens)
        return;
    held = tokens;
    m_tokenChanges.touch(member);
}

// --- receiving --------------------------------------------------------------------------------

PeerExchange::Answered PeerExchange::onHeartbeat(const wire::Heartbeat &heartbeat, TimePoint now,
                                                 WallMillis wallNow)
{
    Answered answered;
    const MembershipMessage message = wire::readMembership(heartbeat);
    Membership::Received received = m_membership.onHeartbeat(message, now);
    forward(std::move(received.m_commands), now, wallNow, answered.m_commands);
    if (received.m_isFresh)
        applyHeartbeat(heartbeat, now, answered.m_commands);
    const MembershipMessage reply = m_membership.replyTo(message, now, wallNow);
    answered.m_reply.__set_heartbeat(compose(reply, message.m_from, now, wallNow));
    return answered;
}

ExchangeCommands PeerExchange::onReply(const wire::Heartbeat &heartbeat, TimePoint now,
                                       WallMillis wallNow)
{
    ExchangeCommands commands;
    const MembershipMessage message = wire::readMembership(heartbeat);
    Membership::Received received = m_membership.onReply(message, now);
    forward(std::move(received.m_commands), now, wallNow, commands);
    if (received.m_isFresh)
        applyHeartbeat(heartbeat, now, commands);
    return commands;
}

void PeerExchange::applyHeartbeat(const wire::Heartbeat &heartbeat, TimePoint now,
                                  ExchangeCommands &commands)
{
    const NodeId node(heartbeat.node);
    commands.push_back(
            ConfigDigestReceived{node, DataCentreId(heartbeat.dataCentre), heartbeat.config});
    repairNotices(heartbeat, now, commands);
    if (isOwnDataCentre(heartbeat.dataCentre))
        applyDeltas(heartbeat, now, commands);
}

void PeerExchange::applyDeltas(const wire::Heartbeat &heartbeat, TimePoint now,
                               ExchangeCommands &commands)
{
    const NodeId node(heartbeat.node);
    PeerCursor &cursor = cursorOf(node, heartbeat.incarnation);
    // The versions that the peer has received are valid only for the incarnation that it names: the
    // versions of a restarted node start again, and the peer's old number would hide its first
    // changes.
    const bool isForThisIncarnation =
            heartbeat.receiverIncarnation == m_membership.self().m_incarnation;
    cursor.m_ackedUpstreams = isForThisIncarnation ? heartbeat.upstreamsSeen : 0;
    cursor.m_ackedTokens = isForThisIncarnation ? heartbeat.tokensSeen : 0;
    cursor.m_ackedInFlight = isForThisIncarnation ? heartbeat.inFlightSeen : 0;
    // A heartbeat that was sent to the former process on this node contains the changes that that
    // process was missing, not those that this one is missing: its values are valid, but they are
    // not complete up to its version. A heartbeat whose sender knew no process here contains
    // everything.
    if (isForThisIncarnation || heartbeat.receiverIncarnation == 0) {
        cursor.m_receivedUpstreams = heartbeat.upstreamsVersion;
        cursor.m_receivedTokens = heartbeat.tokensVersion;
        cursor.m_receivedInFlight = heartbeat.inFlightVersion;
    }

    for (const wire::UpstreamObservation &item : heartbeat.observations)
        forward(m_upstreams.onObservation(node, wire::fromWire(item), now), commands);
    for (const wire::InFlight &item : heartbeat.inFlight)
        m_upstreams.onInFlight(node, {item.upstream, item.count});
    for (const wire::MemberTokens &item : heartbeat.tokens) {
        commands.push_back(
                TokensReported{node, heartbeat.incarnation, MemberId(item.member), item.tokens});
    }
}

void PeerExchange::repairNotices(const wire::Heartbeat &heartbeat, TimePoint now,
                                 ExchangeCommands &commands)
{
    if (heartbeat.noticesDigest == m_upstreams.noticesDigest())
        return;
    const NodeId node(heartbeat.node);
    const NodeView *view = m_membership.find(node);
    if (!view)
        return;
    // One of the two missed a notice, which was sent once and may have been lost. Each sends all of
    // its notices; copies are ignored.
    TimePoint &sentAt = m_noticesSentAt[node];
    const std::vector<LeavingNotice> notices = m_upstreams.notices();
    if (notices.empty() || (sentAt != TimePoint() && now - sentAt < noticeRepairInterval))
        return;
    sentAt = now;
    commands.push_back(SendToPeer{view->m_identity, noticesBody(notices)});
}

ExchangeCommands PeerExchange::onNotices(const wire::LeavingNotices &notices, const NodeId &from,
                                         TimePoint now, WallMillis wallNow)
{
    const NodeView *view = m_membership.find(from);
    const bool isOwn = view && isOwnDataCentre(view->m_identity.m_dataCentre.text());
    const NoticeSource source = isOwn ? NoticeSource::OwnDataCentre : NoticeSource::OtherDataCentre;
    std::vector<LeavingNotice> received;
    for (const wire::LeavingNotice &item : notices.notices)
        received.push_back(wire::fromWire(item));
    return applyNotices(received, source, now, wallNow);
}

ExchangeCommands PeerExchange::applyNotices(const std::vector<LeavingNotice> &notices,
                                            NoticeSource source, TimePoint now, WallMillis wallNow)
{
    ExchangeCommands commands;
    UpstreamCommands all;
    for (const LeavingNotice &notice : notices) {
        UpstreamCommands some = m_upstreams.onNotice(notice, source, now, wallNow);
        all.insert(all.end(), some.begin(), some.end());
        // An entry VM that a notice concerns gets no more duties and jobs.
        if (notice.m_vm.isEmpty())
            continue;
        const std::string reason(enumName(leavingCauseNames, notice.m_cause));
        forward(m_membership.markLeaving(NodeId(notice.m_vm.text()), reason, now), now, wallNow,
                commands);
    }
    forward(std::move(all), commands);
    return commands;
}

ExchangeCommands PeerExchange::onNotices(const std::vector<LeavingNotice> &notices, TimePoint now,
                                         WallMillis wallNow)
{
    return applyNotices(notices, NoticeSource::Local, now, wallNow);
}

ExchangeCommands PeerExchange::onNotice(const LeavingNotice &notice, TimePoint now,
                                        WallMillis wallNow)
{
    return applyNotices({notice}, NoticeSource::Local, now, wallNow);
}

ExchangeCommands PeerExchange::drainUpstream(const UpstreamId &upstream, TimePoint now,
                                             WallMillis wallNow)
{
    ExchangeCommands commands;
    forward(m_upstreams.drain(upstream, now, wallNow), commands);
    return commands;
}

ExchangeCommands PeerExchange::onVmList(const std::vector<ListedNode> &nodes,
                                        const std::vector<ListedUpstream> &upstreams, TimePoint now,
                                        WallMillis wallNow)
{
    ExchangeCommands commands;
    forward(m_membership.onVmList(nodes, now), now, wallNow, commands);
    forward(m_upstreams.onVmList(upstreams, now, wallNow), commands);
    return commands;
}

ExchangeCommands
PeerExchange::setConfiguredUpstreams(const std::vector<UpstreamDeclaration> &declared,
                                     TimePoint now)
{
    ExchangeCommands commands;
    forward(m_upstreams.setConfiguredUpstreams(declared, now), commands);
    return commands;
}

ExchangeCommands PeerExchange::onLoad(const UpstreamId &upstream, const UpstreamLoad &load,
                                      TimePoint now)
{
    ExchangeCommands commands;
    forward(m_upstreams.onLoad(upstream, load, now), commands);
    return commands;
}

ExchangeCommands PeerExchange::onProbeFailed(const UpstreamId &upstream, const std::string &reason,
                                             TimePoint now)
{
    ExchangeCommands commands;
    forward(m_upstreams.onProbeFailed(upstream, reason, now), commands);
    return commands;
}

ExchangeCommands PeerExchange::onRequestFailed(const UpstreamId &upstream,
                                               const std::string &reason, TimePoint now)
{
    ExchangeCommands commands;
    forward(m_upstreams.onRequestFailed(upstream, reason, now), commands);
    return commands;
}

ExchangeCommands PeerExchange::onRequestSucceeded(const UpstreamId &upstream, TimePoint now)
{
    ExchangeCommands commands;
    forward(m_upstreams.onRequestSucceeded(upstream, now), commands);
    return commands;
}

// --- forwarding -------------------------------------------------------------------------------

void PeerExchange::forward(MembershipCommands &&from, TimePoint now, WallMillis wallNow,
                           ExchangeCommands &commands)
{
    const auto visitor = Overloaded{
            [&](SendHeartbeat &send) {
                wire::PeerRequestBody body;
                body.__set_heartbeat(compose(send.m_content, send.m_to, now, wallNow));
                commands.push_back(SendToPeer{std::move(send.m_to), body});
            },
            [&](NodeStateChanged &change) {
                if (change.m_state == NodeState::Dead)
                    m_upstreams.removeReports(change.m_node);
                commands.push_back(std::move(change));
            },
            [&](OwnIncarnationRaised &raised) { commands.push_back(raised); },
    };
    for (MembershipCommand &command : from)
        std::visit(visitor, command);
}

void PeerExchange::forward(UpstreamCommands &&from, ExchangeCommands &commands)
{
    std::vector<LeavingNotice> toAll;
    std::vector<LeavingNotice> toOwn;
    const auto visitor = Overloaded{
            [&](ProbeUpstream &probe) { commands.push_back(std::move(probe)); },
            [&](ForwardNotice &forwarded) {
                auto &list = forwarded.m_toOtherDataCentres ? toAll : toOwn;
                list.push_back(std::move(forwarded.m_notice));
            },
            [&](UpstreamStateChanged &change) { commands.push_back(std::move(change)); },
    };
    for (UpstreamCommand &command : from)
        std::visit(visitor, command);
    // Notices received together are forwarded together: reclaiming a data centre may mean a
    // thousand notices.
    sendNotices(toAll, true, commands);
    sendNotices(toOwn, false, commands);
}

void PeerExchange::sendNotices(const std::vector<LeavingNotice> &notices, bool toOtherDataCentres,
                               ExchangeCommands &commands)
{
    if (notices.empty())
        return;
    const wire::PeerRequestBody body = noticesBody(notices);
    const DataCentreId &own = m_membership.self().m_dataCentre;
    for (const NodeView &node : m_membership.nodes()) {
        if (node.m_identity.m_dataCentre == own && node.m_state != NodeState::Dead)
            commands.push_back(SendToPeer{node.m_identity, body});
    }
    if (!toOtherDataCentres)
        return;
    const std::string &key = notices.front().m_id;
    for (const DataCentreId &dataCentre : m_membership.otherDataCentres()) {
        std::vector<NodeId> names;
        for (const NodeIdentity &node : m_membership.availableNodes(dataCentre))
            names.push_back(node.m_node);
        for (const NodeId &node : rendezvousChoice(key, names, noticeReceiversPerDataCentre))
            commands.push_back(SendToPeer{m_membership.find(node)->m_identity, body});
    }
}

} // namespace gypsumdale
