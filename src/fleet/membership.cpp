#include <gypsumdale/core/result.hpp>
#include <gypsumdale/fleet/membership.hpp>
#include <gypsumdale/fleet/rendezvous.hpp>

#include <algorithm> // max, sort
#include <set> // set
#include <utility> // move

namespace gypsumdale {

namespace {

/// Minimum number of intervals between two lists of nodes to a peer whose digest differs.
constexpr int intervalsPerNodeList = 5;
/// Number of missing summaries after which the nodes of a data centre are suspect.
constexpr int summaryTimeoutFactor = 5;

std::string summaryKey(const DataCentreId &dataCentre)
{
    return "summary/" + dataCentre.text();
}

} // namespace

Membership::Membership(MembershipSettings settings, TimePoint now)
    : m_settings(std::move(settings))
    , m_summaries(summaryTimeout())
    , m_clock(m_settings.m_longestTickGap, now)
    , m_pacer(m_settings)
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
    peer.m_tracker = NodeStateTracker(identity, m_clock.activeTime(), now);
    peer.m_role = heartbeatRole(self().m_node, identity.m_node);
    return peer;
}

Duration Membership::summaryTimeout() const
{
    return summaryTimeoutFactor * m_settings.m_summaryInterval;
}

// --- time -------------------------------------------------------------------------------------

MembershipCommands Membership::tick(TimePoint now, WallMillis wallNow)
{
    MembershipCommands commands;
    m_clock.tick(now);
    m_pacer.setPeers(meshSize());

    for (auto &[node, peer] : m_peers) {
        if (!isOwn(peer.m_tracker.identity().m_dataCentre)) {
            // Measured in running time: a pause of this process doesn't count as silence of others.
            peer.m_tracker.detectRemoteSilence(summaryTimeout(), m_clock.activeTime(), now,
                                               commands);
            continue;
        }
        detectSilence(peer, now, commands);
        if (!isHeartbeatDue(peer, now))
            continue;
        peer.m_lastSent = now;
        commands.push_back(SendHeartbeat{peer.m_tracker.identity(), messageFor(peer, now)});
    }
    sendSummaries(now, wallNow, commands);
    removeExpiredNodes(now);
    return commands;
}

std::size_t Membership::meshSize() const
{
    std::size_t size = 0;
    for (const auto &[node, peer] : m_peers) {
        const NodeStateTracker &tracker = peer.m_tracker;
        size += !tracker.isDead() && isOwn(tracker.identity().m_dataCentre) ? 1 : 0;
    }
    return size;
}

bool Membership::isHeartbeatDue(const Peer &peer, TimePoint now) const
{
    if (peer.m_lastSent == TimePoint())
        return true;
    const TimePoint last = std::max(peer.m_lastSent, peer.m_tracker.lastExchange());
    return now - last >= m_pacer.dueAfter(peer.m_role, peer.m_tracker.state());
}

void Membership::detectSilence(Peer &peer, TimePoint now, MembershipCommands &commands)
{
    const Duration activeTime = m_clock.activeTime();
    NodeStateTracker &tracker = peer.m_tracker;
    tracker.detectSilence(m_settings.m_suspectAfter * m_pacer.interval(), activeTime, now,
                          commands);
    const Duration deadAfter =
            std::max(m_settings.m_suspectAfter, m_settings.m_deadAfter) * m_pacer.interval();
    if (tracker.isDead() || tracker.silence(activeTime) < deadAfter)
        return;
    if (const std::optional<NodeId> witness = findWitness(tracker.identity()))
        tracker.confirmDead(*witness, activeTime, now, commands);
}

std::optional<NodeId> Membership::findWitness(const NodeIdentity &silent) const
{
    for (const auto &[node, other] : m_peers) {
        // Only an alive node can confirm: the report of a silent one is outdated.
        if (other.m_tracker.isAlive() && other.m_tracker.suspects(silent))
            return node;
    }
    return std::nullopt;
}

bool Membership::isUnlistedRemotely(const Peer &peer, TimePoint now) const
{
    const NodeStateTracker &tracker = peer.m_tracker;
    return tracker.state() == NodeState::Suspect
           && m_summaries.isReachable(tracker.identity().m_dataCentre, now);
}

void Membership::removeExpiredNodes(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        const Peer &peer = entry.second;
        const NodeStateTracker &tracker = peer.m_tracker;
        const bool isNeverSeen = tracker.identity().m_incarnation == 0;
        const bool isObsolete = tracker.isDead() || isNeverSeen || isUnlistedRemotely(peer, now);
        const bool isNamed = peer.m_isSeed || tracker.isListed();
        const Duration age = now - tracker.view().m_stateSince;
        return isObsolete && !isNamed && age > m_settings.m_forgetAfter;
    });
}

// --- receiving --------------------------------------------------------------------------------

Membership::Received Membership::onHeartbeat(const MembershipMessage &message, TimePoint now)
{
    return receive(message, now);
}

Membership::Received Membership::onReply(const MembershipMessage &message, TimePoint now)
{
    return receive(message, now);
}

Membership::Received Membership::receive(const MembershipMessage &message, TimePoint now)
{
    Received received;
    if (message.m_from.m_node == self().m_node)
        return received;
    // Must come first: two nodes that count each other as dead accept nothing else from each other.
    refuteSelfSuspicion(message, received.m_commands);
    Peer &peer = ensure(message.m_from, now);
    const HeartbeatFreshness freshness =
            peer.m_tracker.recordHeartbeat(message, m_clock.activeTime(), now, received.m_commands);
    if (freshness == HeartbeatFreshness::None)
        return received;
    received.m_isFresh = true;
    if (freshness == HeartbeatFreshness::FromNewProcess)
        peer.m_sentSummaries.clear();
    peer.m_nodesDigest = message.m_nodesDigest;
    const bool isDirect = !isOwn(message.m_from.m_dataCentre);
    if (message.m_nodes && !isDirect) {
        for (const NodeIdentity &node : *message.m_nodes) {
            if (node.m_node != self().m_node)
                ensure(node, now);
        }
    }
    if (isDirect)
        m_senders[message.m_from.m_dataCentre].setRemoteNodesDigest(message.m_receiverNodesDigest);
    for (const DataCentreSummary &summary : message.m_summaries)
        applySummary(summary, isDirect, now, received.m_commands);
    return received;
}

void Membership::refuteSelfSuspicion(const MembershipMessage &message, MembershipCommands &commands)
{
    for (const NodeSuspicion &suspicion : message.m_suspicions) {
        const bool isAboutSelf = suspicion.m_node == self().m_node && suspicion.m_dead;
        if (!isAboutSelf || suspicion.m_incarnation < self().m_incarnation)
            continue;
        m_settings.m_self.m_incarnation = suspicion.m_incarnation + 1;
        commands.emplace_back(OwnIncarnationRaised{self().m_incarnation});
    }
}

void Membership::applySummary(const DataCentreSummary &summary, bool isDirect, TimePoint now,
                              MembershipCommands &commands)
{
    if (isOwn(summary.m_dataCentre))
        return;
    const SummarySource source =
            isDirect ? SummarySource::DescribedDataCentre : SummarySource::OwnDataCentre;
    if (m_summaries.take(summary, source, now))
        applyRemoteNodes(m_summaries.of(summary.m_dataCentre), now, commands);
}

void Membership::applyRemoteNodes(const DataCentreSummary &summary, TimePoint now,
                                  MembershipCommands &commands)
{
    // A list that does not match the digest is outdated: some of its nodes may be gone.
    if (!summary.m_nodes || digestOf(*summary.m_nodes) != summary.m_nodesDigest)
        return;
    for (const NodeIdentity &node : *summary.m_nodes) {
        Peer &peer = ensure(node, now);
        if (peer.m_tracker.recordSummaryEntry(node, m_clock.activeTime(), now, commands))
            peer.m_sentSummaries.clear();
    }
}

MembershipCommands Membership::onVmList(const std::vector<ListedNode> &listed, TimePoint now)
{
    MembershipCommands commands;
    for (auto &[node, peer] : m_peers)
        peer.m_tracker.setListed(false);
    for (const ListedNode &entry : listed) {
        if (entry.m_identity.m_node == self().m_node)
            continue;
        Peer &peer = ensure(entry.m_identity, now);
        peer.m_tracker.setListed(true);
        if (entry.m_leaving)
            peer.m_tracker.leave("leaving according to the VM list", now, commands);
    }
    return commands;
}

MembershipCommands Membership::markLeaving(const NodeId &node, std::string reason, TimePoint now)
{
    MembershipCommands commands;
    const auto found = m_peers.find(node);
    if (found != m_peers.end())
        found->second.m_tracker.leave(std::move(reason), now, commands);
    return commands;
}

void Membership::onSendFailed(const NodeId &node)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end())
        return;
    const DataCentreId &dataCentre = found->second.m_tracker.identity().m_dataCentre;
    if (!isOwn(dataCentre))
        m_senders[dataCentre].fail();
}

// --- sending ----------------------------------------------------------------------------------

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
        const NodeStateTracker &tracker = other.m_tracker;
        const bool isSilent = tracker.isDead()
                              || tracker.silence(m_clock.activeTime())
                                         >= m_settings.m_suspectAfter * m_pacer.interval();
        if (isSilent && isOwn(tracker.identity().m_dataCentre))
            message.m_suspicions.push_back(
                    {node, tracker.identity().m_incarnation, tracker.isDead()});
    }
    attachNodes(peer, message, now);
    message.m_summaries = m_summaries.unsentFor(peer.m_sentSummaries);
    return message;
}

void Membership::attachNodes(Peer &peer, MembershipMessage &message, TimePoint now)
{
    const std::vector<NodeIdentity> nodes = ownNodes();
    message.m_nodesDigest = digestOf(nodes);
    const bool isKnown = peer.m_nodesDigest == message.m_nodesDigest;
    const bool isTooSoon = peer.m_nodesSentAt != TimePoint()
                           && now - peer.m_nodesSentAt < intervalsPerNodeList * m_pacer.interval();
    if (isKnown || isTooSoon)
        return;
    peer.m_nodesSentAt = now;
    message.m_nodes = nodes;
}

MembershipMessage Membership::replyTo(const MembershipMessage &message, TimePoint now,
                                      WallMillis wallNow)
{
    const NodeIdentity &sender = message.m_from;
    const auto found = m_peers.find(sender.m_node);
    if (found == m_peers.end())
        return baseMessage();
    Peer &peer = found->second;
    MembershipMessage reply = isOwn(sender.m_dataCentre)
                                      ? messageFor(peer, now)
                                      : messageToDataCentre(sender.m_dataCentre, wallNow);
    // Heartbeats of a process whose incarnation is not above one already seen, for example after
    // its clock was set back, would always be ignored: this suspicion makes it raise its
    // incarnation.
    const Incarnation known = peer.m_tracker.identity().m_incarnation;
    if (sender.m_incarnation < known || peer.m_tracker.isDead())
        reply.m_suspicions.push_back({sender.m_node, known, true});
    return reply;
}

void Membership::sendSummaries(TimePoint now, WallMillis wallNow, MembershipCommands &commands)
{
    const std::vector<NodeId> duties = dutyNodes();
    for (const DataCentreId &dataCentre : otherDataCentres()) {
        SummarySender &sender = m_senders[dataCentre];
        if (!sender.startIfDue(m_settings.m_summaryInterval, now))
            continue;
        if (!isRendezvousChoice(summaryKey(dataCentre), duties, 1, self().m_node))
            continue;
        const std::optional<NodeIdentity> target = summaryTarget(dataCentre, sender);
        if (!target)
            continue;
        commands.push_back(SendHeartbeat{*target, messageToDataCentre(dataCentre, wallNow)});
    }
}

std::optional<NodeIdentity> Membership::summaryTarget(const DataCentreId &dataCentre,
                                                      const SummarySender &sender) const
{
    std::vector<NodeId> names;
    for (const auto &[node, peer] : m_peers) {
        const NodeView &view = peer.m_tracker.view();
        const bool isThere = view.m_identity.m_dataCentre == dataCentre;
        if (isThere && view.m_state != NodeState::Dead)
            names.push_back(node);
    }
    if (names.empty())
        return std::nullopt;
    const std::string key = summaryKey(self().m_dataCentre);
    const std::vector<NodeId> ranked = rendezvousChoice(key, names, names.size());
    const NodeId &chosen = ranked[sender.failures() % ranked.size()];
    return m_peers.at(chosen).m_tracker.identity();
}

MembershipMessage Membership::messageToDataCentre(const DataCentreId &dataCentre,
                                                  WallMillis wallNow)
{
    MembershipMessage message = baseMessage();
    message.m_summaries.push_back(ownSummary(m_senders[dataCentre], wallNow));
    message.m_receiverNodesDigest = m_summaries.nodesDigest(dataCentre);
    return message;
}

DataCentreSummary Membership::ownSummary(SummarySender &sender, WallMillis wallNow) const
{
    DataCentreSummary summary;
    summary.m_dataCentre = self().m_dataCentre;
    summary.m_region = self().m_region;
    summary.m_madeAt = wallNow;
    summary.m_services = m_services;
    const std::vector<NodeIdentity> nodes = ownNodes();
    summary.m_nodesDigest = digestOf(nodes);
    if (sender.includesNodeList(summary.m_nodesDigest, m_settings.m_summariesPerNodeList))
        summary.m_nodes = nodes;
    return summary;
}

std::vector<NodeIdentity> Membership::ownNodes() const
{
    std::vector<NodeIdentity> nodes;
    if (!m_isDraining)
        nodes.push_back(self());
    for (const auto &[node, peer] : m_peers) {
        if (peer.m_tracker.isOpen() && isOwn(peer.m_tracker.identity().m_dataCentre))
            nodes.push_back(peer.m_tracker.identity());
    }
    return nodes;
}

// --- queries ----------------------------------------------------------------------------------

std::vector<NodeView> Membership::nodes() const
{
    std::vector<NodeView> own;
    std::vector<NodeView> others;
    for (const auto &[node, peer] : m_peers) {
        const bool isHere = isOwn(peer.m_tracker.identity().m_dataCentre);
        (isHere ? own : others).push_back(peer.m_tracker.view());
    }
    own.insert(own.end(), others.begin(), others.end());
    return own;
}

const NodeView *Membership::find(const NodeId &node) const
{
    const auto found = m_peers.find(node);
    return found == m_peers.end() ? nullptr : &found->second.m_tracker.view();
}

std::vector<NodeId> Membership::dutyNodes() const
{
    std::vector<NodeId> staying;
    std::vector<NodeId> leaving;
    (m_isDraining ? leaving : staying).push_back(self().m_node);
    for (const auto &[node, peer] : m_peers) {
        if (!isOwn(peer.m_tracker.identity().m_dataCentre))
            continue;
        if (peer.m_tracker.isAlive())
            (peer.m_tracker.isLeaving() ? leaving : staying).push_back(node);
    }
    std::vector<NodeId> &chosen = staying.empty() ? leaving : staying;
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

std::vector<NodeIdentity> Membership::availableNodes(const DataCentreId &dataCentre) const
{
    std::vector<NodeIdentity> result;
    for (const auto &[node, peer] : m_peers) {
        const NodeView &view = peer.m_tracker.view();
        const bool isThere = view.m_identity.m_dataCentre == dataCentre;
        if (isThere && view.isOpen())
            result.push_back(view.m_identity);
    }
    return result;
}

std::vector<DataCentreId> Membership::otherDataCentres() const
{
    std::set<DataCentreId> found;
    for (const auto &[node, peer] : m_peers) {
        const DataCentreId &dataCentre = peer.m_tracker.identity().m_dataCentre;
        if (!isOwn(dataCentre) && !dataCentre.isEmpty())
            found.insert(dataCentre);
    }
    return {found.begin(), found.end()};
}

} // namespace gypsumdale
