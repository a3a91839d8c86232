#include <gypsumdale/entry/boot_clock.hpp>
#include <gypsumdale/entry/entry_peers.hpp>
#include <gypsumdale/wire/thrift_codec.hpp>

#include <entry_types.h>

#include <fmt/format.h>

#include <algorithm> // max, min
#include <charconv> // from_chars
#include <iterator> // next, prev, ssize
#include <set> // set
#include <utility> // move

namespace gypsumdale {

namespace {

constexpr std::int32_t protocolVersion = 2;
/// How often a pair exchanges. Quotas are overrun by what comes in during one exchange.
constexpr Duration exchangeEvery = std::chrono::milliseconds(250);
/// Beyond this many peers exchanges are spread out, so that a VM's control stays within its bound.
constexpr std::size_t peersAtFullPace = 12;
/// The side that doesn't begin does after this silence: three exchanges were lost.
constexpr Duration silenceBeforeBeginning = std::chrono::milliseconds(800);
/// Longest wait for a peer's answer, above a round trip between data centres and a slow VM.
constexpr Duration exchangeTimeout = std::chrono::milliseconds(600);
/// A peer counts as heard within this.
constexpr Duration heardWithin = std::chrono::milliseconds(1200);
/// A peer that has been silent this long has been replaced.
constexpr Duration forgottenAfter = std::chrono::seconds(30);
/// A VM that started is told for this long what it can't hear any more: several exchanges.
constexpr Duration tellsEndedFor = std::chrono::seconds(2);
/// Usage windows in a message: the one under way, and those that may not be reported yet.
constexpr std::ptrdiff_t windowsTold = 4;
/// The list of peers goes into one message of so many, and into the first to a new peer: it grows
/// with the fleet, and was a third of what a fleet of 65 sent.
constexpr std::size_t messagesPerPeerList = 16;
/// Peers asked at each exchange time by a VM that the store doesn't answer.
constexpr std::size_t askedOutOfTurn = 3;
constexpr std::size_t largestFrame = std::size_t{4} * 1024 * 1024;
/// How often the registry is read; a stale read does, at a tenth of the price.
constexpr Duration registryEvery = std::chrono::seconds(6);
/// Silence after which a VM's entry is removed: well beyond any restart or cut.
constexpr Duration removedAfter = std::chrono::seconds(120);
constexpr Duration registryRetry = std::chrono::milliseconds(700);
/// Before peers were heard, the slack of the retry budget is shared with this many: more than
/// today's sites have.
constexpr std::size_t assumedFleet = 8;
constexpr Duration fleetLearningTime = std::chrono::seconds(5);
/// A restarted process counts on so many VMs until it has read the registry, or for this long if
/// the store doesn't answer: more than have been played, as each VM that takes the fleet for
/// smaller admits more than its part.
constexpr std::size_t unknownFleet = 100;
constexpr Duration registryReadTime = std::chrono::seconds(1);

Endpoint endpointOf(const std::string &address)
{
    Endpoint endpoint;
    const std::size_t colon = address.rfind(':');
    endpoint.m_address = address.substr(0, colon);
    if (colon != std::string::npos)
        std::from_chars(address.data() + colon + 1, address.data() + address.size(),
                        endpoint.m_port);
    return endpoint;
}

std::string textOf(const Address &address)
{
    return fmt::format("{}:{}", address.m_ip, address.m_port);
}

/// By how much exchanges with so many peers are spread out; 1 if there are few.
int stretchFor(std::size_t peers)
{
    const std::size_t steps = (peers + peersAtFullPace - 1) / peersAtFullPace;
    return static_cast<int>(std::max<std::size_t>(1, steps));
}

entrywire::UpstreamLoad wireLoad(const UpstreamId &upstream, const InFlightLoad &load)
{
    entrywire::UpstreamLoad told;
    told.upstream = upstream.text();
    told.running = load.m_running;
    told.pendingTokens = load.m_pendingTokens;
    told.startedAt = load.m_startedAt;
    return told;
}

InFlightLoad loadOf(const entrywire::UpstreamLoad &told)
{
    return {told.running, told.pendingTokens, told.startedAt};
}

PeerReport reportOf(const entrywire::EntryDigest &digest, WallMillis ownWall)
{
    PeerReport report;
    report.m_node = digest.node;
    report.m_incarnation = digest.incarnation;
    report.m_wallOffset = digest.wallMillis - ownWall;
    for (const auto &use : digest.accounts)
        report.m_accounts[AccountId(use.account)] = {use.admittedTotal, use.demandPerSecond};
    for (const auto &load : digest.loads)
        report.m_loads[UpstreamId(load.upstream)] = loadOf(load);
    for (const auto &reading : digest.reading)
        report.m_reading[ServiceId(reading.serviceName)] = {reading.demand, reading.speed};
    for (const auto &usage : digest.usage)
        report.m_usage[usage.window][AccountId(usage.account)] = usage.count;
    for (const auto &ended : digest.ended)
        report.m_endedUsage.push_back(
                {ended.process, ended.window, {{AccountId(ended.account), ended.count}}});
    return report;
}

} // namespace

EntryPeers::EntryPeers(EntryContext &context, EntryConfigFeed &config, EntryUpstreamFeed &upstreams)
    : m_context(context)
    , m_config(config)
    , m_upstreams(upstreams)
    , m_startedAt(context.now())
{
    for (const Address &seed : context.m_settings.m_seeds)
        learn({}, textOf(seed), true);
}

EntryPeers::~EntryPeers() = default;

std::string EntryPeers::ownAddress() const
{
    return textOf(m_context.m_settings.m_peerListen);
}

Result<Done> EntryPeers::listen()
{
    const Address &address = m_context.m_settings.m_peerListen;
    auto server = FrameServer::listen(
            m_context.m_loop, {address.m_ip, address.m_port},
            [this](const std::string &frame) { return answer(frame); }, largestFrame);
    if (!succeeded(server))
        return errorOf(server);
    m_server.emplace(valueOf(std::move(server)));
    return Done{};
}

void EntryPeers::learn(const std::string &node, const std::string &address, bool isSeed)
{
    if (address.empty() || address == ownAddress())
        return;
    auto &peer = m_peers[address];
    if (!peer) {
        peer = std::make_shared<Peer>();
        peer->m_address = address;
        peer->m_channel = std::make_shared<FrameChannel>(m_context.m_loop, endpointOf(address));
        peer->m_knownSince = m_context.now();
        m_context.m_log.info("peer-known", {{LogField::Peer, node}, {LogField::Address, address}});
    }
    peer->m_isSeed = peer->m_isSeed || isSeed;
    if (!node.empty())
        peer->m_node = node;
}

/// The side with the lower address begins; the other does when it hears nothing, as links may be
/// cut one way only.
bool EntryPeers::begins(const Peer &peer) const
{
    if (ownAddress() < peer.m_address)
        return true;
    return m_context.now() - std::max(peer.m_heardAt, peer.m_knownSince)
           > silenceBeforeBeginning * stretch();
}

void EntryPeers::run()
{
    int tick = 0;
    while (!m_context.m_isStopping) {
        m_report = m_context.m_trafficLoop.call([this] { return m_context.m_traffic.report(); });
        m_reportedAt = bootNow();
        forgetSilent();
        tellTraffic();
        m_upstreams.expire();
        if (++tick % stretch() == 0)
            exchangeAll();
        else if (m_config.isStoreLost() || m_config.version() == 0)
            exchangeSome();
        sleepFiber(exchangeEvery);
    }
}

/// Tells the traffic thread how large the fleet is. While this process is still learning it goes by
/// the registry: after a power cut all VMs start at once and none has heard another.
void EntryPeers::tellTraffic()
{
    const std::size_t expected = expectedFleet();
    const int pace = std::max(stretch(), stretchFor(expected));
    m_context.m_trafficLoop.spawn([this, pace, expected, size = fleetSize()] {
        m_context.m_traffic.setExchangePace(pace);
        m_context.m_traffic.setFleetSize(size, expected);
    });
}

int EntryPeers::stretch() const
{
    return stretchFor(members());
}

bool EntryPeers::isLearning() const
{
    return m_context.now() < m_startedAt + fleetLearningTime;
}

/// Returns the VMs that the fleet should have, as long as this process has not had the time to hear
/// them; 0 after that.
std::size_t EntryPeers::expectedFleet() const
{
    if (!isLearning())
        return 0;
    const std::size_t seeds = m_context.m_settings.m_seeds.size();
    if (m_registered > 0)
        return std::max(m_registered, seeds);
    const bool isUnread = m_context.now() < m_startedAt + registryReadTime;
    if (isUnread && !m_context.m_settings.m_isFirstStart)
        return unknownFleet;
    return std::max(members() + 1, seeds);
}

void EntryPeers::exchangeAll()
{
    for (const auto &[address, peer] : m_peers) {
        if (!peer->m_isBusy && begins(*peer))
            m_context.m_loop.spawn([this, peer = peer] { exchange(peer); });
    }
}

/// Asks a few peers out of turn, others each time: a VM that the store doesn't answer may not wait
/// for the slow pace of a large fleet.
void EntryPeers::exchangeSome()
{
    for (std::size_t asked = 0; asked < askedOutOfTurn && !m_peers.empty(); ++asked) {
        const auto entry = std::next(m_peers.begin(),
                                     static_cast<std::ptrdiff_t>(m_nextAsked++ % m_peers.size()));
        if (!entry->second->m_isBusy)
            m_context.m_loop.spawn([this, peer = entry->second] { exchange(peer); });
    }
}

/// In a small fleet everybody who seems to be behind is sent a new version. In a large one that
/// would be the whole configuration between each pair of VMs at once, which held up a fleet of 65
/// for three seconds; there only those get it whom the store doesn't answer.
bool EntryPeers::sendsConfigTo(const Peer &peer) const
{
    const bool isBehind = peer.m_configVersion < m_config.version();
    return isBehind && (stretch() == 1 || peer.m_isStoreLost);
}

void EntryPeers::tellAll()
{
    if (stretch() > 1)
        return;
    for (const auto &[address, peer] : m_peers)
        m_context.m_loop.spawn([this, peer = peer] { exchange(peer); });
}

void EntryPeers::tellLoad(const UpstreamId &upstream, InFlightLoad load)
{
    // The report that goes out until the next one is taken must not bring the load of before.
    m_report.m_loads[upstream] = load;
    if (stretch() > 1)
        return;
    entrywire::EntryExchange message;
    message.__isset.loadNews = true;
    message.loadNews.node = m_context.m_settings.m_node.text();
    message.loadNews.load = wireLoad(upstream, load);
    const std::string frame = wire::encode(message);
    for (const auto &[address, peer] : m_peers) {
        if (isMember(*peer) && !peer->m_isSilent)
            m_context.m_loop.spawn([channel = peer->m_channel, frame] {
                channel->exchange(frame, exchangeTimeout);
            });
    }
}

void EntryPeers::forgetSilent()
{
    const TimePoint now = m_context.now();
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        Peer &peer = *entry->second;
        const Duration silence = now - std::max(peer.m_heardAt, peer.m_knownSince);
        if (!peer.m_isSilent && silence > heardWithin * stretch()) {
            peer.m_isSilent = true;
            m_context.m_log.warning("peer-silent", {{LogField::Peer, peer.m_node},
                                                    {LogField::AgeMillis, wholeMillis(silence)}});
        }
        if (silence <= forgottenAfter || peer.m_isBusy) {
            ++entry;
            continue;
        }
        if (!peer.m_node.empty()) {
            m_context.m_trafficLoop.spawn(
                    [this, node = peer.m_node] { m_context.m_traffic.forgetPeer(node); });
        }
        if (peer.m_isSeed) {
            peer.m_knownSince = now;
            ++entry;
            continue;
        }
        entry = m_peers.erase(entry);
    }
}

std::size_t EntryPeers::fleetSize() const
{
    const std::size_t known = members() + 1;
    return isLearning() ? std::max({known, assumedFleet, m_registered}) : known;
}

/// Returns the number of peers that are part of the fleet.
std::size_t EntryPeers::members() const
{
    std::size_t count = 0;
    for (const auto &[address, peer] : m_peers)
        count += isMember(*peer) ? 1 : 0;
    return count;
}

/// Tells whether a peer was heard lately enough to count as part of the fleet.
bool EntryPeers::isMember(const Peer &peer) const
{
    return peer.m_heardAt != TimePoint{} && m_context.now() - peer.m_heardAt < forgottenAfter;
}

std::vector<NearPeer> EntryPeers::nearPeers() const
{
    std::vector<NearPeer> near;
    for (const auto &[address, peer] : m_peers) {
        const bool isHeard = isMember(*peer) && !peer->m_isSilent;
        if (!isHeard || peer->m_dataCentre != m_context.m_settings.m_dataCentre)
            continue;
        const bool mayRead = !peer->m_isStoreLost && !peer->m_isLeaving;
        near.push_back({NodeId(peer->m_node), address, peer->m_channel, mayRead});
    }
    return near;
}

bool EntryPeers::hearsAll() const
{
    for (const auto &[address, peer] : m_peers) {
        if (isMember(*peer) && m_context.now() - peer->m_heardAt > heardWithin * stretch())
            return false;
    }
    return true;
}

/// Writes down what the traffic thread reported last.
void EntryPeers::fillReport(entrywire::EntryDigest &digest) const
{
    for (const auto &[account, use] : m_report.m_accounts) {
        auto &entry = digest.accounts.emplace_back();
        entry.account = account.text();
        entry.admittedTotal = use.m_admittedTotal;
        entry.demandPerSecond = use.m_demandPerSecond;
    }
    for (const auto &[upstream, load] : m_report.m_loads) {
        digest.loads.push_back(wireLoad(upstream, load));
    }
    for (const auto &[service, rate] : m_report.m_ownReading) {
        auto &entry = digest.reading.emplace_back();
        entry.serviceName = service.text();
        entry.demand = rate.m_demand;
        entry.speed = rate.m_speed;
    }
    const auto &usage = m_report.m_usage;
    const auto firstTold =
            std::prev(usage.end(), std::min<std::ptrdiff_t>(windowsTold, std::ssize(usage)));
    for (auto entry = firstTold; entry != usage.end(); ++entry) {
        const auto &[window, counts] = *entry;
        for (const auto &[account, count] : counts) {
            auto &told = digest.usage.emplace_back();
            told.window = window;
            told.account = account.text();
            told.count = count;
        }
    }
}

/// Tells a VM that started lately what processes counted that it can't hear any more. Those of the
/// VM itself are among them: what it counted before it was stopped.
void EntryPeers::fillEnded(const Peer &peer, entrywire::EntryDigest &digest) const
{
    if (stretch() > 1 || m_context.now() - peer.m_startHeardAt > tellsEndedFor)
        return;
    const std::string receiver = processName(peer.m_node, peer.m_incarnation);
    for (const EndedUsage &ended : m_report.m_endedUsage) {
        if (ended.m_process == receiver)
            continue;
        for (const auto &[account, count] : ended.m_counts) {
            auto &told = digest.ended.emplace_back();
            told.process = ended.m_process;
            told.window = ended.m_window;
            told.account = account.text();
            told.count = count;
        }
    }
}

void EntryPeers::fillPeers(entrywire::EntryDigest &digest) const
{
    for (const auto &[address, known] : m_peers) {
        // Only what was heard is passed on: hearsay would keep the address of a VM that is gone
        // going round for ever.
        if (m_context.now() - known->m_heardAt > heardWithin * stretch())
            continue;
        auto &entry = digest.peers.emplace_back();
        entry.node = known->m_node;
        entry.address = address;
    }
}

entrywire::EntryExchange EntryPeers::message(const Peer *peer)
{
    entrywire::EntryExchange message;
    message.__isset.digest = true;
    entrywire::EntryDigest &digest = message.digest;
    digest.protocol = protocolVersion;
    digest.node = m_context.m_settings.m_node.text();
    digest.address = ownAddress();
    digest.dataCentre = m_context.m_settings.m_dataCentre.text();
    digest.incarnation = m_context.m_incarnation;
    digest.configVersion = m_config.version();
    digest.upstreamRevision = m_upstreams.revision();
    digest.upstreamAgeMillis = m_upstreams.isStale() ? -1 : wholeMillis(m_upstreams.age());
    digest.storeIsLost = m_config.isStoreLost() || m_config.version() == 0;
    digest.dutyFence = m_dutyFence;
    digest.dutyRevision = m_dutyRevision;
    // As of this message, not of the report: an old reading would make every VM's clock look slow,
    // and all of them would follow each other backwards.
    digest.wallMillis = m_report.m_wall + wholeMillis(bootNow() - m_reportedAt);
    digest.leaving = m_context.m_isStopping;
    fillReport(digest);
    if (peer)
        fillEnded(*peer, digest);
    const bool isNew = !peer || peer->m_heardAt == TimePoint{};
    if (isNew || m_messages++ % messagesPerPeerList == 0)
        fillPeers(digest);
    if (peer && sendsConfigTo(*peer)) {
        message.__set_configText(m_config.text());
        message.__set_configVersion(m_config.version());
    }
    if (peer && peer->m_isUpstreamListStale && !m_upstreams.isStale()
        && peer->m_upstreamRevision < m_upstreams.revision()) {
        message.__set_upstreamText(m_upstreams.text());
        message.__set_upstreamRevision(m_upstreams.revision());
    }
    return message;
}

void EntryPeers::exchange(const std::shared_ptr<Peer> &peer)
{
    peer->m_isBusy = true;
    const auto reply =
            peer->m_channel->exchange(wire::encode(message(peer.get())), exchangeTimeout);
    peer->m_isBusy = false;
    if (!succeeded(reply))
        return;
    const auto decoded = wire::decode<entrywire::EntryExchange>(valueOf(reply));
    if (!succeeded(decoded)) {
        m_context.m_log.failure("peer-malformed", errorOf(decoded),
                                {{LogField::Address, peer->m_address}});
        return;
    }
    take(valueOf(decoded));
}

std::string EntryPeers::answer(const std::string &frame)
{
    const auto decoded = wire::decode<entrywire::EntryExchange>(frame);
    if (!succeeded(decoded)) {
        m_context.m_log.failure("peer-malformed", errorOf(decoded));
        return {};
    }
    const entrywire::EntryExchange &received = valueOf(decoded);
    if (received.__isset.news) {
        entrywire::EntryExchange taken;
        taken.__isset.newsTaken = true;
        taken.newsTaken.needsWholeList = m_newsHeard && m_newsHeard(received.news);
        return wire::encode(taken);
    }
    if (received.__isset.loadNews) {
        takeLoad(received.loadNews);
        return wire::encode(entrywire::EntryExchange());
    }
    if (received.digest.protocol != protocolVersion)
        return {};
    take(received);
    const auto found = m_peers.find(received.digest.address);
    return wire::encode(message(found == m_peers.end() ? nullptr : found->second.get()));
}

void EntryPeers::takeLoad(const entrywire::LoadNews &news)
{
    const UpstreamId upstream(news.load.upstream);
    m_context.m_trafficLoop.spawn([this, node = news.node, upstream, load = loadOf(news.load)] {
        m_context.m_traffic.setPeerLoadAt(node, upstream, load);
    });
}

void EntryPeers::take(const entrywire::EntryExchange &message)
{
    hear(message.digest);
    if (message.__isset.configText)
        m_config.takeFromPeer(message.configText, message.digest.node);
    if (message.__isset.upstreamText)
        m_upstreams.takeFromPeer(message.upstreamText, message.upstreamRevision,
                                 std::chrono::milliseconds(message.digest.upstreamAgeMillis),
                                 message.digest.node);
}

void EntryPeers::hear(const entrywire::EntryDigest &digest)
{
    learn(digest.node, digest.address, false);
    const auto found = m_peers.find(digest.address);
    if (found == m_peers.end())
        return;
    Peer &peer = *found->second;
    if (std::exchange(peer.m_isSilent, false))
        m_context.m_log.info("peer-heard-again", {{LogField::Peer, digest.node}});
    if (digest.incarnation != peer.m_incarnation) {
        peer.m_incarnation = digest.incarnation;
        peer.m_startHeardAt = m_context.now();
    }
    peer.m_heardAt = m_context.now();
    peer.m_configVersion = digest.configVersion;
    peer.m_upstreamRevision = digest.upstreamRevision;
    peer.m_isUpstreamListStale = digest.upstreamAgeMillis < 0;
    peer.m_isStoreLost = digest.storeIsLost;
    peer.m_isLeaving = digest.leaving;
    peer.m_dataCentre = DataCentreId(digest.dataCentre);
    for (const auto &known : digest.peers)
        learn(known.node, known.address, false);
    if (digest.dutyFence > 0 && m_dutyHeard)
        m_dutyHeard(digest.dutyFence, digest.dutyRevision);
    m_context.m_trafficLoop.spawn([this, digest] {
        m_context.m_traffic.setPeer(reportOf(digest, m_context.m_traffic.wallNow()));
    });
}

void EntryPeers::followRegistry()
{
    const NodeId &self = m_context.m_settings.m_node;
    bool isRegistered = false;
    while (!m_context.m_isStopping) {
        if (!isRegistered) {
            const platform::StoreObject own = platform::encodeNode({self, ownAddress()});
            auto written = m_context.m_store.create(platform::nodeKind, own);
            if (!succeeded(written) && errorOf(written).m_id == ErrorId::PlatformConflict)
                written = m_context.m_store.replace(platform::nodeKind, own);
            isRegistered = succeeded(written);
        }
        const auto listing =
                m_context.m_store.list(platform::nodeKind, platform::ReadFreshness::MayBeStale);
        if (succeeded(listing)) {
            const bool hasOwn = takeRegistry(valueOf(listing));
            isRegistered = isRegistered && hasOwn;
        }
        sleepFiber(isRegistered && succeeded(listing) ? registryEvery : registryRetry);
    }
}

/// Learns the peers of the registry. Returns false if this VM isn't among them.
bool EntryPeers::takeRegistry(const platform::StoreListing &listing)
{
    bool hasOwn = false;
    std::set<std::string> listed;
    for (const platform::StoreObject &object : listing.m_objects) {
        const platform::NodeRecord node = platform::decodeNode(object);
        listed.insert(node.m_node.text());
        if (node.m_node == m_context.m_settings.m_node) {
            hasOwn = true;
            continue;
        }
        learn(node.m_node.text(), node.m_address, false);
        removeIfGone(node);
    }
    m_registered = listed.size();
    tellTraffic();
    std::erase_if(m_silentSince,
                  [&listed](const auto &entry) { return !listed.contains(entry.first); });
    return hasOwn;
}

/// Entries of VMs that were lost without a word stay in the registry, and every VM would call at
/// their addresses for ever. Whoever holds the duties removes them; a VM that was only cut off
/// finds its entry missing and writes it again.
void EntryPeers::removeIfGone(const platform::NodeRecord &node)
{
    const auto found = m_peers.find(node.m_address);
    const TimePoint now = m_context.now();
    const auto silent = m_silentSince.try_emplace(node.m_node.text(), now).first;
    if (found != m_peers.end() && isMember(*found->second))
        silent->second = now;
    if (m_dutyFence == 0 || now - silent->second < removedAfter)
        return;
    m_silentSince.erase(silent);
    const auto removed = m_context.m_store.remove(platform::nodeKind, node.m_node.text());
    m_context.m_log.info("registry-entry-removed",
                         {{LogField::Peer, node.m_node.text()},
                          {LogField::Outcome, succeeded(removed) ? "removed" : "failed"}});
}

void EntryPeers::leaveRegistry()
{
    const auto removed =
            m_context.m_store.remove(platform::nodeKind, m_context.m_settings.m_node.text());
    if (!succeeded(removed))
        m_context.m_log.warning("registry-not-left", {{LogField::Text, errorOf(removed).m_text}});
}

} // namespace gypsumdale
