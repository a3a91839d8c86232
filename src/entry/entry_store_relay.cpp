#include <gypsumdale/entry/entry_store_relay.hpp>
#include <gypsumdale/fleet/rendezvous.hpp>
#include <gypsumdale/wire/thrift_codec.hpp>

#include <platform/upstream_codec.hpp>

#include <entry_types.h>

#include <cstddef> // size_t
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

namespace {

/// Number of readers in a data centre. With two, the loss of one has no effect.
constexpr std::size_t readersPerDataCentre = 2;
constexpr const char *readersKey = "store-reader";
/// Value of sinceRevision in a message with the full list.
constexpr std::int64_t fullList = -1;
/// Value of storeReturnedAgoMillis for a store that was never unavailable.
constexpr std::int64_t neverUnavailable = -1;
/// A larger configuration is read from the store by each VM: sent to all VMs of a data centre, it
/// would occupy the slowest link of a VM for longer than followers wait.
constexpr std::size_t maxSentConfigBytes = std::size_t{32} * 1024;

entrywire::StoreNews encodeUpdate(const UpstreamListUpdate &upstreams)
{
    entrywire::StoreNews news;
    news.newestChange = upstreams.m_newestChange;
    news.sinceRevision = upstreams.m_sinceRevision.value_or(fullList);
    news.upstreamRevision = upstreams.m_revision;
    news.storeReturnedAgoMillis = upstreams.m_storeReturnedAgo
                                          ? toWholeMillis(*upstreams.m_storeReturnedAgo)
                                          : neverUnavailable;
    std::map<UpstreamId, UpstreamRecord> present;
    for (const UpstreamChange &change : upstreams.m_changes) {
        const UpstreamId &id = change.m_record.m_id;
        if (change.m_kind == UpstreamChangeKind::Present)
            present.emplace(id, change.m_record);
        else if (change.m_kind == UpstreamChangeKind::Removed)
            news.goneUpstreams.push_back(id.text());
        else
            news.unusableUpstreams.push_back(id.text());
    }
    if (!present.empty())
        news.upstreamText = platform::encodeUpstreams(present);
    return news;
}

void addAbsent(const std::vector<std::string> &ids, UpstreamChangeKind kind,
               UpstreamListUpdate &upstreams)
{
    for (const std::string &id : ids) {
        UpstreamChange &change = upstreams.m_changes.emplace_back();
        change.m_record.m_id = UpstreamId(id);
        change.m_kind = kind;
    }
}

/// Returns the update of a reader; nothing if its text is malformed.
std::optional<UpstreamListUpdate> decodeUpdate(const entrywire::StoreNews &news)
{
    UpstreamListUpdate upstreams;
    upstreams.m_newestChange = news.newestChange;
    upstreams.m_revision = news.upstreamRevision;
    if (news.sinceRevision != fullList)
        upstreams.m_sinceRevision = news.sinceRevision;
    if (news.storeReturnedAgoMillis != neverUnavailable)
        upstreams.m_storeReturnedAgo = std::chrono::milliseconds(news.storeReturnedAgoMillis);
    if (!news.upstreamText.empty()) {
        const auto present = platform::decodeUpstreamText(news.upstreamText);
        if (!present)
            return std::nullopt;
        for (const auto &[id, record] : *present)
            upstreams.m_changes.push_back({record, UpstreamChangeKind::Present});
    }
    addAbsent(news.goneUpstreams, UpstreamChangeKind::Removed, upstreams);
    addAbsent(news.unusableUpstreams, UpstreamChangeKind::Unusable, upstreams);
    return upstreams;
}

} // namespace

EntryStoreRelay::EntryStoreRelay(EntryContext &context, EntryConfigFeed &config,
                                 EntryUpstreamFeed &upstreams, EntryPeers &peers)
    : m_context(context)
    , m_config(config)
    , m_upstreams(upstreams)
    , m_peers(peers)
{
    m_peers.onStoreUpdate(
            [this](const entrywire::StoreNews &news, std::optional<TimePoint> sentAfter) {
                return applyUpdate(news, sentAfter);
            });
}

void EntryStoreRelay::run()
{
    while (!m_context.m_isStopping) {
        selectRole();
        if (m_role == StoreRole::Reader && m_pacing.isDue(updateState(), m_context.now()))
            sendUpdates();
        sleepFiber(UpdatePacing::tick);
    }
}

void EntryStoreRelay::selectRole()
{
    StoreRole role = StoreRole::Alone;
    if (m_peers.isLargeFleet()) {
        const NodeId &self = m_context.m_settings.m_node;
        std::vector<NodeId> candidates;
        if (!m_config.isStoreLost())
            candidates.push_back(self);
        for (const DataCentrePeer &peer : m_peers.dataCentrePeers()) {
            if (peer.m_canReadStore)
                candidates.push_back(peer.m_node);
        }
        const bool isSelected =
                isRendezvousChoice(readersKey, candidates, readersPerDataCentre, self);
        role = isSelected ? StoreRole::Reader : StoreRole::Follower;
    }
    if (role == m_role)
        return;
    m_role = role;
    m_followers.clear();
    m_config.setRole(role);
    m_upstreams.setRole(role);
    m_context.m_log.info("store-role", {{LogField::Kind, enumName(storeRoleNames, role)},
                                        {LogField::ConfigVersion, m_config.version()},
                                        {LogField::Revision, m_upstreams.revision()},
                                        {LogField::Count, m_peers.dataCentrePeers().size()}});
}

UpdateState EntryStoreRelay::updateState() const
{
    return {m_upstreams.newestChange(), m_config.version(), m_upstreams.readAt()};
}

void EntryStoreRelay::sendUpdates()
{
    if (!m_upstreams.isKnown())
        return;
    m_pacing.recordSent(updateState(), m_context.now());
    for (const DataCentrePeer &peer : m_peers.dataCentrePeers()) {
        if (m_followers[peer.m_peer->m_address].isDue(m_context.now()))
            m_context.m_loop.spawn([this, peer] { sendUpdate(peer); });
    }
}

/// Sends one follower the changes that it is missing.
void EntryStoreRelay::sendUpdate(const DataCentrePeer &peer)
{
    m_followers[peer.m_peer->m_address].m_isBusy = true;
    if (sendPart(peer, ConfigContent::Version).needsConfig)
        sendPart(peer, ConfigContent::FullText);
    m_followers[peer.m_peer->m_address].m_isBusy = false;
}

/// Returns what the follower still needs; nothing if it didn't answer.
entrywire::StoreNewsTaken EntryStoreRelay::sendPart(const DataCentrePeer &peer, ConfigContent part)
{
    const UpstreamListUpdate upstreams =
            m_upstreams.updateFor(m_followers[peer.m_peer->m_address].m_state);
    entrywire::EntryExchange message;
    message.__set_news(encodeUpdate(upstreams));
    message.news.node = m_context.m_settings.m_node.text();
    message.news.upstreamAgeMillis = toWholeMillis(m_upstreams.age());
    message.news.configVersion = m_config.version();
    message.news.configAgeMillis = toWholeMillis(m_config.age());
    message.news.configIsSent = m_config.text().size() <= maxSentConfigBytes;
    if (part == ConfigContent::FullText)
        message.news.__set_configText(m_config.text());
    const auto answer = m_peers.ask(peer.m_peer, message, UpdatePacing::receiptTimeout);
    ReceiptBackoff &backoff = m_followers[peer.m_peer->m_address].m_backoff;
    if (!succeeded(answer)) {
        backoff.onMissed(m_context.now());
        return {};
    }
    backoff.onApplied();
    FollowerState &state = m_followers[peer.m_peer->m_address].m_state;
    if (!valueOf(answer).__isset.newsTaken) {
        state.onMissingChanges();
        return {};
    }
    const entrywire::StoreNewsTaken &taken = valueOf(answer).newsTaken;
    if (taken.needsWholeList)
        state.onMissingChanges();
    else
        state.onApplied(upstreams);
    return taken;
}

/// Applies an update of a reader. Returns what this VM still needs.
entrywire::StoreNewsTaken EntryStoreRelay::applyUpdate(const entrywire::StoreNews &news,
                                                       std::optional<TimePoint> sentAfter)
{
    if (news.__isset.configText)
        m_config.applyFromPeer(news.configText, news.node);
    const Duration configAge = std::chrono::milliseconds(news.configAgeMillis);
    const Duration upstreamAge = std::chrono::milliseconds(news.upstreamAgeMillis);
    entrywire::StoreNewsTaken taken;
    const bool isRequested =
            m_config.receiveUpdate(news.configVersion, {configAge, sentAfter}, news.configIsSent);
    taken.needsConfig = isRequested && !m_config.isFetching();
    const auto update = decodeUpdate(news);
    if (!update)
        m_context.m_log.error("peer-malformed", {{LogField::Peer, news.node},
                                                 {LogField::Text, "the upstreams are no list"}});
    taken.needsWholeList =
            !update || !m_upstreams.receiveUpdate(*update, {upstreamAge, sentAfter}, news.node);
    return taken;
}

} // namespace gypsumdale
