#include <gypsumdale/core/result.hpp>
#include <gypsumdale/fleet/membership.hpp>
#include <gypsumdale/fleet/rendezvous.hpp>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm> // clamp, find_if, max, min, sort
#include <utility> // move, pair

namespace gypsumdale {

namespace {

/// Dead nodes are still tried, this many times more rarely, so that a healed cut is noticed.
constexpr int deadIntervalFactor = 10;
/// The node that does not start the exchanges of a pair does so after this many intervals, if
/// nothing came.
constexpr double secondIntervalFactor = 1.5;
/// How many intervals lie between two lists of nodes to a peer whose digest differs.
constexpr int intervalsPerNodeList = 5;
/// How many summaries may fail to come before the nodes of a data centre are suspect.
constexpr int missedSummaries = 5;
/// The weight of the newest heartbeat in the mean of their sizes.
constexpr double sizeWeight = 0.05;

std::int64_t hashOf(const std::string &text, Incarnation incarnation)
{
    const auto seed = static_cast<XXH64_hash_t>(incarnation);
    return static_cast<std::int64_t>(XXH3_64bits_withSeed(text.data(), text.size(), seed));
}

std::int64_t digestOf(const std::vector<NodeIdentity> &nodes)
{
    std::int64_t digest = 0;
    for (const NodeIdentity &node : nodes)
        digest ^= hashOf(node.m_node.text(), node.m_incarnation);
    return digest;
}

std::string summaryKey(const DataCentreId &dataCentre)
{
    return "summary/" + dataCentre.text();
}

} // namespace

Membership::Membership(MembershipSettings settings, TimePoint now)
    : m_settings(std::move(settings))
    , m_lastTick(now)
    , m_interval(m_settings.m_heartbeatInterval)
{
    for (const NodeIdentity &seed : m_settings.m_seeds) {
        if (seed.m_node == self().m_node)
            continue;
        Peer &peer = ensure(seed, now);
        peer.m_isSeed = true;
    }
}

bool Membership::isOwn(const DataCentreId &dataCentre) const
{
    return dataCentre == self().m_dataCentre;
}

Membership::Peer &Membership::ensure(const NodeIdentity &identity, TimePoint now)
{
    const auto [entry, isNew] = m_peers.try_emplace(identity.m_node);
    Peer &peer = entry->second;
    if (!isNew)
        return peer;
    peer.m_view.m_identity = identity;
    // Only a node's own heartbeat or its data centre's summary tells its incarnation.
    peer.m_view.m_identity.m_incarnation = 0;
    peer.m_view.m_stateSince = now;
    peer.m_view.m_reason = "not heard yet";
    peer.m_heardAt = m_listened;
    peer.m_isInitiator = initiatesTo(identity.m_node);
    return peer;
}

void Membership::setState(Peer &peer, NodeState state, std::string reason, TimePoint now,
                          MembershipCommands &commands)
{
    if (peer.m_view.m_state == state)
        return;
    peer.m_view.m_state = state;
    peer.m_view.m_stateSince = now;
    peer.m_view.m_reason = std::move(reason);
    const NodeIdentity &identity = peer.m_view.m_identity;
    commands.push_back(NodeStateChanged{identity.m_node, identity.m_dataCentre,
                                        identity.m_incarnation, state, peer.m_view.m_reason});
}

// --- time -------------------------------------------------------------------------------------

MembershipCommands Membership::tick(TimePoint now, WallMillis wallNow)
{
    MembershipCommands commands;
    m_listened += std::min(now - m_lastTick, m_settings.m_longestTickGap);
    m_lastTick = now;
    m_interval = affordableInterval();

    for (auto &[node, peer] : m_peers) {
        if (!isOwn(peer.m_view.m_identity.m_dataCentre)) {
            judgeRemote(peer, now, commands);
            continue;
        }
        judge(peer, now, commands);
        if (!isHeartbeatDue(peer, now))
            continue;
        peer.m_lastSent = now;
        commands.push_back(SendHeartbeat{peer.m_view.m_identity, messageFor(peer, now)});
    }
    sendSummaries(now, wallNow, commands);
    forgetOldDead(now);
    return commands;
}

Duration Membership::affordableInterval() const
{
    std::size_t peers = 0;
    for (const auto &[node, peer] : m_peers) {
        const bool counts = peer.m_view.m_state != NodeState::Dead
                            && isOwn(peer.m_view.m_identity.m_dataCentre);
        peers += counts ? 1 : 0;
    }
    // An exchange with each peer is a heartbeat out and one in.
    const double bytes = 2 * m_heartbeatBytes * static_cast<double>(peers);
    const std::chrono::duration<double> affordable(bytes / m_settings.m_bytesPerSecond);
    const auto wanted = std::chrono::duration_cast<Duration>(affordable);
    return std::clamp(wanted, m_settings.m_heartbeatInterval, m_settings.m_longestInterval);
}

void Membership::noteHeartbeatBytes(std::size_t bytes)
{
    m_heartbeatBytes += sizeWeight * (static_cast<double>(bytes) - m_heartbeatBytes);
}

bool Membership::initiatesTo(const NodeId &node) const
{
    const bool isFirst = self().m_node < node;
    const std::string pair = isFirst ? self().m_node.text() + "|" + node.text()
                                     : node.text() + "|" + self().m_node.text();
    return (hashOf(pair, 0) & 1) == (isFirst ? 1 : 0);
}

bool Membership::isHeartbeatDue(const Peer &peer, TimePoint now) const
{
    if (peer.m_lastSent == TimePoint())
        return true;
    Duration due = m_interval;
    if (peer.m_view.m_state == NodeState::Dead)
        due *= deadIntervalFactor;
    else if (!peer.m_isInitiator)
        due = std::chrono::duration_cast<Duration>(due * secondIntervalFactor);
    return now - std::max(peer.m_lastSent, peer.m_lastExchange) >= due;
}

void Membership::judge(Peer &peer, TimePoint now, MembershipCommands &commands)
{
    NodeView &view = peer.m_view;
    if (view.m_state == NodeState::Dead)
        return;
    const Duration silence = silenceOf(peer);
    if (silence < m_settings.m_suspectAfter * m_interval)
        return;
    const std::string text = fmt::format("silent for {:.0f} ms", toMillis(silence));
    if (peer.m_wasListed && !peer.m_isListed) {
        setState(peer, NodeState::Dead, text + " and no longer in the VM list", now, commands);
        return;
    }
    if (view.m_state == NodeState::Alive)
        setState(peer, NodeState::Suspect, text, now, commands);
    if (silence < m_settings.m_deadAfter * m_interval)
        return;
    const std::optional<NodeId> confirmer = confirmerOf(peer);
    if (!confirmer)
        return;
    const std::string reason = text + ", and " + confirmer->text() + " cannot hear it either";
    setState(peer, NodeState::Dead, reason, now, commands);
}

void Membership::judgeRemote(Peer &peer, TimePoint now, MembershipCommands &commands)
{
    const NodeView &view = peer.m_view;
    if (view.m_state == NodeState::Dead)
        return;
    const bool isUnlisted = peer.m_wasListed && !peer.m_isListed;
    // Counted in listening time: a pause of this process ages no other data centre.
    if (silenceOf(peer) < missedSummaries * m_settings.m_summaryInterval)
        return;
    if (isUnlisted) {
        setState(peer, NodeState::Dead, "no longer in the VM list", now, commands);
        return;
    }
    if (view.m_state == NodeState::Alive)
        setState(peer, NodeState::Suspect, "no word from its data centre", now, commands);
}

std::optional<NodeId> Membership::confirmerOf(const Peer &peer) const
{
    const NodeIdentity &silent = peer.m_view.m_identity;
    for (const auto &[node, other] : m_peers) {
        // Only a node that is heard now can confirm: the word of one that is silent itself is old.
        if (other.m_view.m_state != NodeState::Alive)
            continue;
        for (const NodeSuspicion &suspicion : other.m_suspicions) {
            if (suspicion.m_node != silent.m_node)
                continue;
            if (suspicion.m_incarnation >= silent.m_incarnation)
                return node;
        }
    }
    return std::nullopt;
}

bool Membership::isLeftOut(const Peer &peer, TimePoint now) const
{
    const auto summary = m_summaries.find(peer.m_view.m_identity.m_dataCentre);
    if (summary == m_summaries.end() || peer.m_view.m_state != NodeState::Suspect)
        return false;
    const Duration age = now - summary->second.m_receivedAt;
    return age < missedSummaries * m_settings.m_summaryInterval;
}

void Membership::forgetOldDead(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        const Peer &peer = entry.second;
        const bool isNeverHeard = peer.m_view.m_identity.m_incarnation == 0;
        const bool isOver =
                peer.m_view.m_state == NodeState::Dead || isNeverHeard || isLeftOut(peer, now);
        const bool isNamed = peer.m_isSeed || peer.m_isListed;
        return isOver && !isNamed && now - peer.m_view.m_stateSince > m_settings.m_forgetAfter;
    });
}

// --- what arrives -----------------------------------------------------------------------------

Membership::Received Membership::onHeartbeat(const MembershipMessage &message, TimePoint now)
{
    return take(message, now);
}

Membership::Received Membership::onReply(const MembershipMessage &message, TimePoint now)
{
    return take(message, now);
}

Membership::Received Membership::take(const MembershipMessage &message, TimePoint now)
{
    Received received;
    if (message.m_from.m_node == self().m_node)
        return received;
    // Before anything else: two nodes that hold each other for dead take nothing from each other
    // but this.
    takeSelfSuspicion(message, received.m_commands);
    if (!adoptSender(message, now, received.m_commands))
        return received;
    received.m_isFresh = true;

    Peer &peer = m_peers.at(message.m_from.m_node);
    peer.m_suspicions = message.m_suspicions;
    peer.m_nodesDigest = message.m_nodesDigest;
    const bool isDirect = !isOwn(message.m_from.m_dataCentre);
    if (message.m_nodes && !isDirect) {
        for (const NodeIdentity &node : *message.m_nodes) {
            if (node.m_node != self().m_node)
                ensure(node, now);
        }
    }
    if (isDirect)
        m_links[message.m_from.m_dataCentre].m_heldThere = message.m_heldNodesDigest;
    for (const DataCentreSummary &summary : message.m_summaries)
        takeSummary(summary, isDirect, now, received.m_commands);
    return received;
}

bool Membership::adoptSender(const MembershipMessage &message, TimePoint now,
                             MembershipCommands &commands)
{
    Peer &peer = ensure(message.m_from, now);
    NodeView &view = peer.m_view;
    const Incarnation incarnation = message.m_from.m_incarnation;
    if (incarnation < view.m_identity.m_incarnation)
        return false;
    const bool isNewIncarnation = incarnation > view.m_identity.m_incarnation;
    // Dead holds for the incarnation. Its jobs may have been taken over; were it simply alive
    // again, it would go on with them. The answer tells it, and it comes back with a higher one.
    if (!isNewIncarnation && view.m_state == NodeState::Dead)
        return false;
    if (!isNewIncarnation && message.m_sequence <= peer.m_sequence)
        return false;

    const bool isMarkedUnheard =
            view.m_state == NodeState::Leaving && view.m_identity.m_incarnation == 0;
    if (isNewIncarnation)
        forgetProcess(peer);
    view.m_identity = message.m_from;
    view.m_lastHeard = now;
    peer.m_sequence = message.m_sequence;
    peer.m_heardAt = m_listened;
    peer.m_lastExchange = now;
    // A notice may come before the first heartbeat: it concerns the incarnation that then appears.
    if (isNewIncarnation && !isMarkedUnheard)
        setState(peer, NodeState::Alive, "started", now, commands);
    if (message.m_draining)
        setState(peer, NodeState::Leaving, "it is draining", now, commands);
    else if (view.m_state == NodeState::Suspect)
        setState(peer, NodeState::Alive, "heard", now, commands);
    return true;
}

void Membership::forgetProcess(Peer &peer)
{
    // Failure: a node restarts, and another data centre learns of it by a summary first. Its new
    // heartbeats count from 1 and would all look older than the last one of the process before, so
    // that the data centre it speaks for stays suspect.
    peer.m_sequence = 0;
    peer.m_summariesSent.clear();
}

void Membership::takeSelfSuspicion(const MembershipMessage &message, MembershipCommands &commands)
{
    for (const NodeSuspicion &suspicion : message.m_suspicions) {
        const bool isAboutSelf = suspicion.m_node == self().m_node && suspicion.m_dead;
        if (!isAboutSelf || suspicion.m_incarnation < self().m_incarnation)
            continue;
        m_settings.m_self.m_incarnation = suspicion.m_incarnation + 1;
        commands.push_back(OwnIncarnationRaised{self().m_incarnation});
    }
}

void Membership::takeSummary(const DataCentreSummary &summary, bool isDirect, TimePoint now,
                             MembershipCommands &commands)
{
    if (isOwn(summary.m_dataCentre))
        return;
    ReceivedSummary &held = m_summaries[summary.m_dataCentre];
    // A sender whose clock runs ahead must not shut out the others for longer than this.
    const bool isStale = now - held.m_receivedAt > missedSummaries * m_settings.m_summaryInterval;
    takeNodeList(summary, isStale, held);
    if (summary.m_madeAt <= held.m_summary.m_madeAt && !isStale)
        return;
    std::optional<std::vector<NodeIdentity>> nodes = std::move(held.m_summary.m_nodes);
    held.m_summary = summary;
    held.m_summary.m_nodes = std::move(nodes);
    held.m_receivedAt = now;
    if (isDirect)
        m_toSpread.insert(summary.m_dataCentre);
    else
        m_toSpread.erase(summary.m_dataCentre);
    takeRemoteNodes(held.m_summary, now, commands);
}

void Membership::takeNodeList(const DataCentreSummary &summary, bool isStale, ReceivedSummary &held)
{
    // The list comes rarely, and two nodes may send summaries in the same millisecond: it is taken
    // by its own time, also from a summary that is no news itself.
    const bool isOld = summary.m_madeAt <= held.m_nodesMadeAt && !isStale;
    if (!summary.m_nodes || isOld)
        return;
    held.m_summary.m_nodes = summary.m_nodes;
    held.m_nodesMadeAt = summary.m_madeAt;
}

void Membership::takeRemoteNodes(const DataCentreSummary &summary, TimePoint now,
                                 MembershipCommands &commands)
{
    // A list that does not match the digest is an old one: its nodes may have gone.
    if (!summary.m_nodes || digestOf(*summary.m_nodes) != summary.m_nodesDigest)
        return;
    for (const NodeIdentity &node : *summary.m_nodes) {
        Peer &peer = ensure(node, now);
        const Incarnation known = peer.m_view.m_identity.m_incarnation;
        const bool isDead = peer.m_view.m_state == NodeState::Dead;
        if (node.m_incarnation < known || (isDead && node.m_incarnation == known))
            continue;
        if (node.m_incarnation > known)
            forgetProcess(peer);
        peer.m_view.m_identity = node;
        peer.m_view.m_lastHeard = now;
        peer.m_heardAt = m_listened;
        setState(peer, NodeState::Alive, "in its data centre's summary", now, commands);
    }
}

MembershipCommands Membership::onVmList(const std::vector<ListedNode> &listed, TimePoint now)
{
    MembershipCommands commands;
    for (auto &[node, peer] : m_peers)
        peer.m_isListed = false;
    for (const ListedNode &entry : listed) {
        if (entry.m_identity.m_node == self().m_node)
            continue;
        Peer &peer = ensure(entry.m_identity, now);
        peer.m_wasListed = true;
        peer.m_isListed = true;
        if (entry.m_leaving && peer.m_view.m_state != NodeState::Dead)
            setState(peer, NodeState::Leaving, "the VM list says leaving", now, commands);
    }
    return commands;
}

MembershipCommands Membership::markLeaving(const NodeId &node, std::string reason, TimePoint now)
{
    MembershipCommands commands;
    const auto found = m_peers.find(node);
    if (found == m_peers.end() || found->second.m_view.m_state == NodeState::Dead)
        return commands;
    setState(found->second, NodeState::Leaving, std::move(reason), now, commands);
    return commands;
}

void Membership::onSendFailed(const NodeId &node)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end())
        return;
    const DataCentreId &dataCentre = found->second.m_view.m_identity.m_dataCentre;
    if (isOwn(dataCentre))
        return;
    ++m_links[dataCentre].m_failures;
}

// --- what is sent -----------------------------------------------------------------------------

MembershipMessage Membership::baseMessage()
{
    MembershipMessage message;
    message.m_from = self();
    message.m_sequence = ++m_sequence;
    message.m_draining = m_isDraining;
    return message;
}

MembershipMessage Membership::messageFor(Peer &peer, TimePoint now)
{
    MembershipMessage message = baseMessage();
    for (const auto &[node, other] : m_peers) {
        const NodeView &view = other.m_view;
        const bool isDead = view.m_state == NodeState::Dead;
        const bool isSilent = isDead || silenceOf(other) >= m_settings.m_suspectAfter * m_interval;
        if (isSilent && isOwn(view.m_identity.m_dataCentre))
            message.m_suspicions.push_back({node, view.m_identity.m_incarnation, isDead});
    }
    attachNodes(peer, message, now);
    attachSummaries(peer, message);
    return message;
}

void Membership::attachNodes(Peer &peer, MembershipMessage &message, TimePoint now)
{
    const std::vector<NodeIdentity> nodes = ownNodes();
    message.m_nodesDigest = digestOf(nodes);
    const bool isKnown = peer.m_nodesDigest == message.m_nodesDigest;
    const bool isTooSoon = peer.m_nodesSentAt != TimePoint()
                           && now - peer.m_nodesSentAt < intervalsPerNodeList * m_interval;
    if (isKnown || isTooSoon)
        return;
    peer.m_nodesSentAt = now;
    message.m_nodes = nodes;
}

void Membership::attachSummaries(Peer &peer, MembershipMessage &message)
{
    for (const DataCentreId &dataCentre : m_toSpread) {
        const ReceivedSummary &held = m_summaries.at(dataCentre);
        SpreadTimes &sent = peer.m_summariesSent[dataCentre];
        const bool isListNew = held.m_nodesMadeAt != sent.m_nodesMadeAt;
        if (held.m_summary.m_madeAt == sent.m_madeAt && !isListNew)
            continue;
        message.m_summaries.push_back(held.m_summary);
        if (!isListNew)
            message.m_summaries.back().m_nodes.reset();
        sent = {held.m_summary.m_madeAt, held.m_nodesMadeAt};
    }
}

MembershipMessage Membership::replyTo(const MembershipMessage &message, TimePoint now,
                                      WallMillis wallNow)
{
    const NodeIdentity &sender = message.m_from;
    const auto found = m_peers.find(sender.m_node);
    if (found == m_peers.end())
        return baseMessage();
    Peer &peer = found->second;
    MembershipMessage reply;
    if (isOwn(sender.m_dataCentre)) {
        reply = messageFor(peer, now);
    } else {
        reply = messageAcross(sender.m_dataCentre, wallNow);
    }
    // A process whose incarnation is not above one already seen, as after its clock was set back,
    // would never be heard: this makes it raise its own.
    const Incarnation known = peer.m_view.m_identity.m_incarnation;
    const bool isDead = peer.m_view.m_state == NodeState::Dead;
    if (sender.m_incarnation < known || isDead)
        reply.m_suspicions.push_back({sender.m_node, known, true});
    return reply;
}

void Membership::sendSummaries(TimePoint now, WallMillis wallNow, MembershipCommands &commands)
{
    const std::vector<NodeId> duties = dutyNodes();
    for (const DataCentreId &dataCentre : otherDataCentres()) {
        RemoteLink &link = m_links[dataCentre];
        const bool isFirst = link.m_lastSent == TimePoint();
        if (!isFirst && now - link.m_lastSent < m_settings.m_summaryInterval)
            continue;
        link.m_lastSent = now;
        if (!isRendezvousChoice(summaryKey(dataCentre), duties, 1, self().m_node))
            continue;
        const std::optional<NodeIdentity> target = summaryTarget(dataCentre, link);
        if (!target)
            continue;
        commands.push_back(SendHeartbeat{*target, messageAcross(dataCentre, wallNow)});
    }
}

std::optional<NodeIdentity> Membership::summaryTarget(const DataCentreId &dataCentre,
                                                      const RemoteLink &link) const
{
    std::vector<NodeId> names;
    for (const auto &[node, peer] : m_peers) {
        const NodeView &view = peer.m_view;
        const bool isThere = view.m_identity.m_dataCentre == dataCentre;
        if (isThere && view.m_state != NodeState::Dead)
            names.push_back(node);
    }
    if (names.empty())
        return std::nullopt;
    const std::string key = summaryKey(self().m_dataCentre);
    const std::vector<NodeId> ranked = rendezvousChoice(key, names, names.size());
    const NodeId &chosen = ranked[link.m_failures % ranked.size()];
    return m_peers.at(chosen).m_view.m_identity;
}

MembershipMessage Membership::messageAcross(const DataCentreId &dataCentre, WallMillis wallNow)
{
    MembershipMessage message = baseMessage();
    message.m_summaries.push_back(ownSummary(m_links[dataCentre], wallNow));
    message.m_heldNodesDigest = heldNodesDigest(dataCentre);
    return message;
}

std::int64_t Membership::heldNodesDigest(const DataCentreId &dataCentre) const
{
    const auto held = m_summaries.find(dataCentre);
    const bool hasList = held != m_summaries.end() && held->second.m_summary.m_nodes;
    return hasList ? digestOf(*held->second.m_summary.m_nodes) : 0;
}

DataCentreSummary Membership::ownSummary(RemoteLink &link, WallMillis wallNow) const
{
    DataCentreSummary summary;
    summary.m_dataCentre = self().m_dataCentre;
    summary.m_region = self().m_region;
    summary.m_madeAt = wallNow;
    summary.m_services = m_services;
    const std::vector<NodeIdentity> nodes = ownNodes();
    summary.m_nodesDigest = digestOf(nodes);
    const bool isChanged = link.m_heldThere != summary.m_nodesDigest;
    ++link.m_sinceNodeList;
    if (isChanged || link.m_sinceNodeList >= m_settings.m_summariesPerNodeList) {
        summary.m_nodes = nodes;
        link.m_sinceNodeList = 0;
    }
    return summary;
}

std::vector<NodeIdentity> Membership::ownNodes() const
{
    std::vector<NodeIdentity> nodes;
    if (!m_isDraining)
        nodes.push_back(self());
    for (const auto &[node, peer] : m_peers) {
        const NodeView &view = peer.m_view;
        if (view.m_state == NodeState::Alive && isOwn(view.m_identity.m_dataCentre))
            nodes.push_back(view.m_identity);
    }
    return nodes;
}

// --- what is known ----------------------------------------------------------------------------

std::vector<NodeView> Membership::nodes() const
{
    std::vector<NodeView> own;
    std::vector<NodeView> others;
    for (const auto &[node, peer] : m_peers) {
        const bool isHere = isOwn(peer.m_view.m_identity.m_dataCentre);
        (isHere ? own : others).push_back(peer.m_view);
    }
    own.insert(own.end(), others.begin(), others.end());
    return own;
}

const NodeView *Membership::find(const NodeId &node) const
{
    const auto found = m_peers.find(node);
    return found == m_peers.end() ? nullptr : &found->second.m_view;
}

std::vector<NodeId> Membership::dutyNodes() const
{
    std::vector<NodeId> staying;
    std::vector<NodeId> leaving;
    (m_isDraining ? leaving : staying).push_back(self().m_node);
    for (const auto &[node, peer] : m_peers) {
        if (!isOwn(peer.m_view.m_identity.m_dataCentre))
            continue;
        if (peer.m_view.m_state == NodeState::Alive)
            staying.push_back(node);
        else if (peer.m_view.m_state == NodeState::Leaving)
            leaving.push_back(node);
    }
    std::vector<NodeId> &chosen = staying.empty() ? leaving : staying;
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

std::vector<NodeIdentity> Membership::aliveNodes(const DataCentreId &dataCentre) const
{
    std::vector<NodeIdentity> result;
    for (const auto &[node, peer] : m_peers) {
        const NodeView &view = peer.m_view;
        const bool isThere = view.m_identity.m_dataCentre == dataCentre;
        if (isThere && view.m_state == NodeState::Alive)
            result.push_back(view.m_identity);
    }
    return result;
}

std::vector<DataCentreId> Membership::otherDataCentres() const
{
    std::set<DataCentreId> found;
    for (const auto &[node, peer] : m_peers) {
        const DataCentreId &dataCentre = peer.m_view.m_identity.m_dataCentre;
        if (!isOwn(dataCentre) && !dataCentre.isEmpty())
            found.insert(dataCentre);
    }
    return {found.begin(), found.end()};
}

} // namespace gypsumdale
