#include <gypsumdale/fleet/config_store.hpp>

#include <gypsumdale/fleet/rendezvous.hpp>

#include <algorithm> // find, max, min
#include <string_view> // string_view
#include <utility> // move

namespace gypsumdale {

ConfigStore::ConfigStore(ConfigStoreSetup setup)
    : m_setup(std::move(setup))
    , m_peers(m_setup.m_localPeers)
    , m_liveNodes{m_setup.m_node}
{}

ConfigCommands ConfigStore::start(TimePoint now)
{
    m_confirmationReceivedAt = now;
    m_nextAskAt = now;
    m_nextPlatformCallAt = now;
    m_nextTimer = now;
    return onTimer(now);
}

ConfigCommands ConfigStore::onTimer(TimePoint now)
{
    ConfigCommands commands;
    if (now < m_nextTimer)
        return commands;
    m_nextTimer = now + m_setup.m_askInterval;
    if (!m_ready)
        askUnansweredPeers(commands);
    startPlatformCall(now, commands);
    return commands;
}

TimePoint ConfigStore::nextTimer() const
{
    return m_nextTimer;
}

ConfigCommands ConfigStore::onLiveNodes(std::span<const NodeId> nodes, TimePoint now)
{
    ConfigCommands commands;
    m_liveNodes.assign(nodes.begin(), nodes.end());
    startPlatformCall(now, commands);
    return commands;
}

ConfigCommands ConfigStore::onPlatformList(const ConfigChanges &snapshot, WallMillis askedAt,
                                           TimePoint now)
{
    ConfigCommands commands;
    m_mustList = false;
    const auto hashBefore = digest().m_digest.m_hash;
    onPlatformAnswer(snapshot, askedAt, now, commands);
    if (digest().m_digest.m_hash != hashBefore)
        sendDigestToPeers(commands);
    startPlatformCall(now, commands);
    updateReadiness(commands);
    return commands;
}

ConfigCommands ConfigStore::onPlatformWatch(const ConfigChanges &changes, WallMillis askedAt,
                                            TimePoint now)
{
    ConfigCommands commands;
    if (!m_known.isContiguous(changes))
        return onPlatformTooOld(now);
    onPlatformAnswer(changes, askedAt, now, commands);
    sendChangesToPeers(changes, commands);
    startPlatformCall(now, commands);
    updateReadiness(commands);
    return commands;
}

ConfigCommands ConfigStore::onPlatformTooOld(TimePoint now)
{
    ConfigCommands commands;
    m_isPlatformCallPending = false;
    m_mustList = true;
    startPlatformCall(now, commands);
    return commands;
}

ConfigCommands ConfigStore::onPlatformFailed(TimePoint now)
{
    m_isPlatformCallPending = false;
    m_backoff = std::min(std::max(2 * m_backoff, m_setup.m_firstBackoff), m_setup.m_longestBackoff);
    m_nextPlatformCallAt = now + m_backoff;
    return {};
}

ConfigCommands ConfigStore::onDigest(const ConfigDigestFrom &digest, TimePoint now)
{
    ConfigCommands commands;
    if (!recordPeer(digest))
        return commands;
    compare(digest, now, commands);
    updateReadiness(commands);
    return commands;
}

ConfigCommands ConfigStore::onAsk(const ConfigAsk &ask, TimePoint)
{
    if (!m_peers.recordIncarnation(ask.m_node, ask.m_incarnation))
        return {};
    ConfigUpdate update{digest(), m_known.changesAfter(ask.m_from), ask.m_node, ask.m_incarnation};
    return {SendUpdate{ask.m_node, std::move(update)}};
}

ConfigCommands ConfigStore::onUpdate(const ConfigUpdate &update, TimePoint now)
{
    ConfigCommands commands;
    const auto &sender = update.m_sender;
    const bool isAnswer = !update.m_answerTo.isEmpty();
    // An answer to a former incarnation shows nothing about this one.
    const bool isMine = update.m_answerTo == m_setup.m_node
                        && update.m_answerToIncarnation == m_setup.m_incarnation;
    if ((isAnswer && !isMine) || !recordPeer(sender))
        return commands;
    const bool hasChanged = applyChanges(update.m_changes, now, commands);
    compare(sender, now, commands);
    if (isAnswer)
        recordAnswer(update);
    else
        commands.emplace_back(SendDigest{sender.m_node, digest()});
    if (hasChanged && !isLocal(sender.m_node))
        sendDigestToPeers(commands);
    updateReadiness(commands);
    return commands;
}

ConfigCommands ConfigStore::onPeerGone(const NodeId &peer, TimePoint since)
{
    ConfigCommands commands;
    if (m_peers.recordGone(peer, since))
        updateReadiness(commands);
    return commands;
}

/// Records the sender of a digest and what it reports about its data centre. Returns false for a
/// superseded incarnation.
bool ConfigStore::recordPeer(const ConfigDigestFrom &sender)
{
    if (!m_peers.recordIncarnation(sender.m_node, sender.m_incarnation))
        return false;
    if (!isLocal(sender.m_node))
        return true;
    m_peers.recordCompleteVersion(sender.m_node, sender.m_digest.m_completeTo);
    m_floor = std::max(m_floor, sender.m_digest.m_floor);
    return true;
}

/// Applies changes and adds the new objects to the candidates. Returns whether there were any.
bool ConfigStore::applyChanges(const ConfigChanges &changes, TimePoint now,
                               ConfigCommands &commands)
{
    const auto changed = m_known.take(changes);
    for (const auto &object : changed)
        addCandidate(object, now, commands);
    return !changed.empty();
}

void ConfigStore::addCandidate(const ConfigObject &object, TimePoint now, ConfigCommands &commands)
{
    const auto &key = object.m_key;
    ConfigValue value;
    if (!object.m_deleted) {
        auto checked = checkConfigBody(key, object.m_body);
        if (auto *findings = std::get_if<Findings>(&checked)) {
            // Failure guarded against: a restarted node receives an old version from one peer and a
            // newer, refused one from another. The version that its former incarnation had in force
            // may lie between the two, so the old one must not be put in force.
            if (!m_ready)
                m_candidates.erase(key);
            m_refused[key] = {key, object.m_version, std::move(*findings)};
            commands.emplace_back(m_refused[key]);
            return;
        }
        value = std::get<ConfigValue>(std::move(checked));
    }
    m_refused.erase(key);
    m_candidates[key] = {object, std::move(value), now};
}

void ConfigStore::confirm(WallMillis time, TimePoint now)
{
    if (time <= m_confirmedAsOf)
        return;
    m_confirmedAsOf = time;
    m_confirmationReceivedAt = now;
}

/// Compares a peer's known version with the own one: adopts its confirmation or requests changes.
void ConfigStore::compare(const ConfigDigestFrom &peer, TimePoint now, ConfigCommands &commands)
{
    const auto &theirs = peer.m_digest;
    const bool isSame = m_known.isSame(theirs);
    if (isSame)
        m_known.advanceTo(theirs.m_completeTo);
    if (theirs.m_completeTo > m_known.completeTo()) {
        ask(peer.m_node, now, commands);
        return;
    }
    // Everything that the peer knows is known here, so its confirmation is valid here too.
    confirm(theirs.m_confirmedAsOf, now);
    if (isSame || theirs.m_completeTo < m_known.completeTo())
        return;
    // Same version but different objects: one of the two is wrong, which only the platform can
    // decide.
    m_mustList = true;
    startPlatformCall(now, commands);
}

void ConfigStore::recordAnswer(const ConfigUpdate &update)
{
    const auto &digest = update.m_sender.m_digest;
    if (!isLocal(update.m_sender.m_node) || !digest.m_ready)
        return;
    if (digest.m_completeTo <= m_known.completeTo())
        m_peers.recordAnswer(update.m_sender.m_node);
}

ConfigAsk ConfigStore::makeAsk() const
{
    return {m_setup.m_node, m_setup.m_dataCentre, m_setup.m_incarnation, m_known.completeTo()};
}

void ConfigStore::ask(const NodeId &peer, TimePoint now, ConfigCommands &commands)
{
    // One request at a time: after a change the digests of all peers are ahead, and one answer is
    // enough.
    if (now < m_nextAskAt)
        return;
    m_nextAskAt = now + m_setup.m_askInterval;
    commands.emplace_back(QueryPeer{peer, makeAsk()});
}

void ConfigStore::askUnansweredPeers(ConfigCommands &commands)
{
    for (const NodeId &node : m_peers.unanswered())
        commands.emplace_back(QueryPeer{node, makeAsk()});
}

void ConfigStore::sendDigestToPeers(ConfigCommands &commands) const
{
    for (const NodeId &node : m_peers.nodes())
        commands.emplace_back(SendDigest{node, digest()});
}

void ConfigStore::sendChangesToPeers(const ConfigChanges &changes, ConfigCommands &commands) const
{
    for (const NodeId &node : m_peers.nodes())
        commands.emplace_back(SendUpdate{node, {digest(), changes, {}, 0}});
}

void ConfigStore::updateReadiness(ConfigCommands &commands)
{
    const auto reason = m_ready ? std::string() : readyReason();
    if (!m_ready && reason.empty())
        return;
    putSafeInForce(commands);
    // A node that was ready with part of its configuration would refuse or misjudge requests.
    if (m_ready || !m_candidates.empty())
        return;
    m_ready = true;
    commands.emplace_back(ConfigReady{reason});
}

void ConfigStore::putSafeInForce(ConfigCommands &commands)
{
    for (auto candidate = m_candidates.begin(); candidate != m_candidates.end();) {
        if (!m_peers.isSafe(candidate->second.m_object.m_version, candidate->second.m_learnedAt)) {
            ++candidate;
            continue;
        }
        auto &[object, value, learnedAt] = candidate->second;
        m_highestInForce = std::max(m_highestInForce, object.m_version);
        m_floor = std::max(m_floor, object.m_version);
        const bool wasInForce = m_inForce.erase(object.m_key) > 0;
        if (!object.m_deleted)
            m_inForce[object.m_key] = object;
        if (!object.m_deleted || wasInForce)
            commands.emplace_back(PutInForce{std::move(object), std::move(value)});
        candidate = m_candidates.erase(candidate);
    }
}

/// Returns the reason why the node may become ready, or an empty text.
std::string ConfigStore::readyReason() const
{
    if (m_hasReadPlatform)
        return "the platform was read";
    const auto margin =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_setup.m_clockMargin);
    if (m_confirmedAsOf > m_setup.m_startedAt + margin.count())
        return "a peer's configuration was confirmed after the start";
    if (m_peers.hasEveryAnswer() && m_known.completeTo() >= m_floor)
        return "every node of the data centre has answered";
    return {};
}

std::string ConfigStore::notReadyReason() const
{
    if (m_ready)
        return {};
    if (!readyReason().empty())
        return "the configuration is known, but no other node of the data centre has confirmed it";
    std::string missing;
    for (const NodeId &node : m_peers.unanswered())
        missing += (missing.empty() ? "" : ", ") + node.text();
    if (missing.empty())
        return "the platform hasn't answered, and the peers' version is older than what was in "
               "force";
    return "the platform hasn't answered, and these nodes haven't answered as ready: " + missing;
}

void ConfigStore::onPlatformAnswer(const ConfigChanges &changes, WallMillis askedAt, TimePoint now,
                                   ConfigCommands &commands)
{
    m_isPlatformCallPending = false;
    m_backoff = Duration::zero();
    applyChanges(changes, now, commands);
    m_hasReadPlatform = true;
    confirm(askedAt, now);
    m_confirmationReceivedAt = now;
}

/// Starts a call to the platform if one is due: the relay's next watch, or a list.
void ConfigStore::startPlatformCall(TimePoint now, ConfigCommands &commands)
{
    if (m_isPlatformCallPending || now < m_nextPlatformCallAt)
        return;
    const bool mustList = m_mustList || !m_hasReadPlatform;
    if (mustList || (!isRelay() && isPlatformReadOverdue(now))) {
        m_isPlatformCallPending = true;
        commands.emplace_back(ReadPlatform{});
        return;
    }
    if (!isRelay())
        return;
    m_isPlatformCallPending = true;
    commands.emplace_back(WatchPlatform{m_known.completeTo(), m_setup.m_watchTimeout});
}

/// Failure guarded against: the relay is alive and serves, but its path to the platform is
/// interrupted or its connection is silent, and the data centre gets no changes. The other nodes
/// then read the platform themselves, in order of their rank, so that not all of them do.
bool ConfigStore::isPlatformReadOverdue(TimePoint now) const
{
    constexpr int maxDelayFactor = 8;
    const auto order = rendezvousChoice(configRelayKey, m_liveNodes, m_liveNodes.size());
    const auto self = std::find(order.begin(), order.end(), m_setup.m_node);
    const auto rank = static_cast<int>(self - order.begin());
    return now - m_confirmationReceivedAt
           >= m_setup.m_relayTimeout * std::min(1 + rank / 2, maxDelayFactor);
}

bool ConfigStore::isRelay() const
{
    return isRendezvousChoice(configRelayKey, m_liveNodes, 1, m_setup.m_node);
}

ConfigVersion ConfigStore::versionInForce() const
{
    return m_highestInForce;
}

std::vector<ConfigObject> ConfigStore::inForce() const
{
    std::vector<ConfigObject> objects;
    for (const auto &[key, object] : m_inForce)
        objects.push_back(object);
    return objects;
}

std::optional<ConfigObject> ConfigStore::inForce(const ConfigKey &key) const
{
    const auto found = m_inForce.find(key);
    if (found == m_inForce.end())
        return std::nullopt;
    return found->second;
}

std::vector<BodyRefused> ConfigStore::refused() const
{
    std::vector<BodyRefused> bodies;
    for (const auto &[key, body] : m_refused)
        bodies.push_back(body);
    return bodies;
}

ConfigDigestFrom ConfigStore::digest() const
{
    ConfigDigestFrom from{m_setup.m_node, m_setup.m_dataCentre, m_setup.m_incarnation, {}};
    m_known.fillDigest(from.m_digest);
    from.m_digest.m_floor = m_floor;
    from.m_digest.m_confirmedAsOf = m_confirmedAsOf;
    from.m_digest.m_ready = m_ready;
    return from;
}

ConfigStoreBuilder &ConfigStoreBuilder::node(NodeId node, DataCentreId dataCentre,
                                             Incarnation incarnation)
{
    m_setup.m_node = std::move(node);
    m_setup.m_dataCentre = std::move(dataCentre);
    m_setup.m_incarnation = incarnation;
    return *this;
}

ConfigStoreBuilder &ConfigStoreBuilder::localPeers(std::vector<NodeId> peers)
{
    m_setup.m_localPeers = std::move(peers);
    return *this;
}

ConfigStoreBuilder &ConfigStoreBuilder::startedAt(WallMillis time)
{
    m_setup.m_startedAt = time;
    return *this;
}

ConfigStoreBuilder &ConfigStoreBuilder::clockMargin(Duration margin)
{
    m_setup.m_clockMargin = margin;
    return *this;
}

ConfigStoreBuilder &ConfigStoreBuilder::watchTimeout(Duration timeout)
{
    m_setup.m_watchTimeout = timeout;
    return *this;
}

ConfigStoreBuilder &ConfigStoreBuilder::relayTimeout(Duration patience)
{
    m_setup.m_relayTimeout = patience;
    return *this;
}

} // namespace gypsumdale
