#include <gypsumdale/entry/boot_clock.hpp>
#include <gypsumdale/entry/entry_peers.hpp>
#include <gypsumdale/entry/peer_wire.hpp>
#include <gypsumdale/wire/thrift_codec.hpp>

#include <entry_types.h>

#include <algorithm> // max, min, stable_partition
#include <utility> // move

namespace gypsumdale {

namespace {

/// Longest wait for a peer's answer: more than a round trip between data centres and a slow VM
/// take.
constexpr Duration exchangeTimeout = std::chrono::milliseconds(600);
/// Number of peers asked out of turn in a large fleet, whose interval would be too long.
constexpr std::size_t peersOutOfTurn = 3;
/// Least time between two reports to the peers.
constexpr Duration reportDistance = std::chrono::milliseconds(50);
/// A full text that makes progress is waited for, however slow the link is.
constexpr ExchangeLimits textLimits{std::chrono::milliseconds(800), std::chrono::seconds(20)};
/// Number of peers that receive the final report in a large fleet. Sending it to all would take a
/// VM with a tenth of a core longer than is left of its grace time.
constexpr std::size_t largeFleetFinalReports = 8;
constexpr Duration finalReportTick = std::chrono::milliseconds(10);
constexpr std::size_t maxFrameBytes = std::size_t{4} * 1024 * 1024;
/// Size limit of a peer's answer, as of a body that is buffered.
constexpr std::size_t maxAnswerBytes = std::size_t{8} * 1024 * 1024;

/// Returns the address at which peers reach a VM, which behind a forwarded port differs from its
/// listening address.
const Address &advertisedAddress(const EntrySettings &settings)
{
    return settings.m_peerAdvertise ? *settings.m_peerAdvertise : settings.m_peerListen;
}

} // namespace

EntryPeers::EntryPeers(EntryContext &context, EntryConfigFeed &config, EntryUpstreamFeed &upstreams)
    : m_context(context)
    , m_config(config)
    , m_upstreams(upstreams)
    , m_table(textOf(advertisedAddress(context.m_settings)))
    , m_fleetSize(context.now(), context.m_settings.m_isFirstStart)
    , m_writer(context, config, upstreams, m_table)
    , m_texts(context, config, upstreams, m_table, *this)
    , m_origins(context, m_table)
    , m_crashes(context, m_table)
    , m_rollouts(context, upstreams, m_table)
    , m_quotas(context, m_table, m_fleetSize)
{
    m_quotas.onPeerNamed([this](const std::string &node, const std::string &address) {
        learn(node, address, false);
    });
    m_quotas.onCheck([this](const KnownPeerPointer &peer) {
        if (!peer->m_isBusy)
            spawnExchange(peer);
    });
    m_crashes.onQuarantineChanged([this](const std::vector<QuarantineEntry> &entries) {
        m_writer.setQuarantine(entries);
    });
    m_config.onStoreReadFailed([this] { m_texts.startFetches(); });
    for (const Address &seed : context.m_settings.m_seeds)
        learn({}, textOf(seed), true);
}

EntryPeers::~EntryPeers() = default;

Result<Done> EntryPeers::listen()
{
    const Address &address = m_context.m_settings.m_peerListen;
    auto server = FrameServer::listen(
            m_context.m_loop, {address.m_ip, address.m_port},
            [this](const std::string &frame) { return answer(frame); }, maxFrameBytes);
    if (!succeeded(server))
        return errorOf(server);
    m_server.emplace(valueOf(std::move(server)));
    return Done{};
}

void EntryPeers::learn(const std::string &node, const std::string &address, bool isSeed)
{
    const KnownPeerPointer added = m_table.learn(node, address, isSeed, m_context.now());
    if (!added)
        return;
    added->m_channel =
            std::make_shared<FrameChannel>(m_context.m_loop, endpointOf(address), maxAnswerBytes);
    m_context.m_log.info("peer-known", {{LogField::Peer, node}, {LogField::Address, address}});
}

void EntryPeers::setRegistered(std::size_t vms)
{
    m_fleetSize.setRegistered(vms);
    publishFleetSize();
}

void EntryPeers::run()
{
    while (!m_context.m_isStopping) {
        collectReport();
        expire();
        publishFleetSize();
        m_upstreams.expire();
        for (const KnownPeerPointer &peer : m_table.selectDuePeers(m_context.now()))
            spawnExchange(peer);
        m_texts.startFetches();
        m_origins.resend();
        m_crashes.update();
        if (isLargeFleet() && m_config.isStoreLost() && !m_config.isFetching()) {
            for (const KnownPeerPointer &peer : m_table.selectOutOfTurn(peersOutOfTurn))
                spawnExchange(peer);
        }
        sleepFiber(ExchangePacing::exchangeInterval);
    }
}

/// Passes the size of the fleet to the traffic thread.
void EntryPeers::publishFleetSize()
{
    const TimePoint now = m_context.now();
    const std::size_t livePeers = m_table.livePeers(now);
    const std::size_t size = m_fleetSize.size(livePeers, now);
    const std::size_t expected =
            m_fleetSize.expected(livePeers, m_context.m_settings.m_seeds.size(), now);
    m_table.setExpected(m_fleetSize.isRegistryRead() ? expected : 0);
    const int stretch = m_table.pace(now).stretch();
    m_quotas.update();
    m_context.m_trafficLoop.spawn(
            [this, stretch, expected, size, usesOwners = m_quotas.usesOwners()] {
                m_context.m_traffic.setUsesQuotaOwners(usesOwners);
                m_context.m_traffic.setExchangeStretch(stretch);
                m_context.m_traffic.setFleetSize(size, expected);
            });
}

void EntryPeers::expire()
{
    const PeerTable::Silence silence = m_table.expire(m_context.now());
    for (const auto &[peer, age] : silence.m_newlySilent) {
        m_context.m_log.warning("peer-silent", {{LogField::Peer, peer->m_node},
                                                {LogField::AgeMillis, toWholeMillis(age)}});
    }
    for (const KnownPeerPointer &peer : silence.m_gone) {
        if (!peer->m_isSeed)
            m_closedChannelTraffic += peer->m_channel->traffic();
        if (peer->m_node.empty())
            continue;
        m_context.m_trafficLoop.spawn(
                [this, node = peer->m_node] { m_context.m_traffic.removePeer(node); });
    }
}

FrameTraffic EntryPeers::traffic() const
{
    FrameTraffic sum = m_closedChannelTraffic;
    if (m_server)
        sum += m_server->traffic();
    for (const auto &[address, peer] : m_table.peers())
        sum += peer->m_channel->traffic();
    return sum;
}

void EntryPeers::announceToAll()
{
    if (isLargeFleet())
        return;
    for (const auto &[address, peer] : m_table.peers())
        spawnExchange(peer);
}

void EntryPeers::reportRetries()
{
    sleepFiber(std::max(m_collectedAt + reportDistance - m_context.now(), Duration::zero()));
    collectReport();
    const std::vector<KnownPeerPointer> peers = isLargeFleet()
                                                        ? m_table.selectOutOfTurn(peersOutOfTurn)
                                                        : m_table.respondingPeers(m_context.now());
    for (const KnownPeerPointer &peer : peers) {
        if (!peer->m_isBusy)
            spawnExchange(peer);
    }
}

void EntryPeers::collectReport()
{
    m_collectedAt = m_context.now();
    m_writer.setReport(
            m_context.m_trafficLoop.call([this] { return m_context.m_traffic.report(); }));
}

/// Prevents that counts are lost with the process: otherwise what it had counted since the last
/// exchange was billed to nobody, and its peers waited for its report on every window of the next
/// half minute.
void EntryPeers::sendFinalReport()
{
    for (const KnownPeerPointer &peer : finalReportPeers()) {
        ++m_pendingFinalReports;
        m_context.m_loop.spawn([this, peer] {
            exchange(peer);
            --m_pendingFinalReports;
        });
    }
}

std::vector<KnownPeerPointer> EntryPeers::finalReportPeers() const
{
    std::vector<KnownPeerPointer> peers = m_table.respondingPeers(m_context.now());
    const auto isHolder = [this](const KnownPeerPointer &peer) {
        return peer->m_address == m_holderAddress;
    };
    std::stable_partition(peers.begin(), peers.end(), isHolder);
    if (isLargeFleet())
        peers.resize(std::min(peers.size(), largeFleetFinalReports));
    return peers;
}

void EntryPeers::awaitFinalReport(TimePoint end)
{
    while (m_pendingFinalReports > 0 && m_context.now() < end)
        sleepFiber(finalReportTick);
    if (m_pendingFinalReports > 0)
        m_context.m_log.warning("farewell-not-taken", {{LogField::Count, m_pendingFinalReports}});
}

void EntryPeers::announceLoad(const UpstreamId &upstream, InFlightLoad load)
{
    m_writer.setLoad(upstream, load);
    entrywire::EntryExchange message;
    message.__isset.loadNews = true;
    message.loadNews.node = m_context.m_settings.m_node.text();
    message.loadNews.load = encodeLoad(upstream, load);
    const std::string frame = wire::encode(message);
    for (const KnownPeerPointer &peer : m_table.respondingPeers(m_context.now())) {
        m_context.m_loop.spawn(
                [channel = peer->m_channel, frame] { channel->exchange(frame, exchangeTimeout); });
    }
}

std::vector<DataCentrePeer> EntryPeers::dataCentrePeers() const
{
    std::vector<DataCentrePeer> near;
    for (const KnownPeerPointer &peer : m_table.respondingPeers(m_context.now())) {
        const PeerState &state = peer->m_state;
        if (state.m_dataCentre != m_context.m_settings.m_dataCentre)
            continue;
        const bool mayRead = !state.m_isStoreLost && !state.m_isLeaving;
        near.push_back({NodeId(peer->m_node), peer, mayRead});
    }
    return near;
}

void EntryPeers::spawnExchange(const KnownPeerPointer &peer)
{
    peer->m_isBusy = true;
    m_context.m_loop.spawn([this, peer] { exchange(peer); });
}

void EntryPeers::exchange(const KnownPeerPointer &peer)
{
    peer->m_isBusy = true;
    entrywire::EntryExchange message = digestFor(peer.get());
    const auto answer = ask(peer, message, exchangeTimeout);
    peer->m_isBusy = false;
    if (succeeded(answer)) {
        applyMessage(valueOf(answer));
        return;
    }
    m_quotas.recordUnreachable(*peer);
    if (errorOf(answer).m_id == ErrorId::PeerUnreachable)
        m_quotas.takeBackCredits(message.digest);
}

/// Returns what this VM reports to a peer, or, for nullptr, to a VM that it doesn't know.
entrywire::EntryExchange EntryPeers::digestFor(const KnownPeer *peer)
{
    entrywire::EntryExchange message = m_writer.message(peer);
    m_quotas.fill(peer, message.digest);
    return message;
}

Result<entrywire::EntryExchange>
EntryPeers::ask(const KnownPeerPointer &peer, entrywire::EntryExchange &message, Duration timeout)
{
    writeStamp(stampFor(peer.get()), message);
    return decodeAnswer(peer, peer->m_channel->exchange(wire::encode(message), timeout));
}

Result<entrywire::EntryExchange> EntryPeers::askForText(const KnownPeerPointer &peer,
                                                        entrywire::EntryExchange &message)
{
    writeStamp(stampFor(peer.get()), message);
    FrameChannel channel(m_context.m_loop, endpointOf(peer->m_address), maxAnswerBytes);
    return decodeAnswer(peer, channel.exchange(wire::encode(message), textLimits));
}

Result<entrywire::EntryExchange> EntryPeers::decodeAnswer(const KnownPeerPointer &peer,
                                                          const Result<std::string> &reply)
{
    if (!succeeded(reply))
        return errorOf(reply);
    auto decoded = wire::decode<entrywire::EntryExchange>(valueOf(reply));
    if (!succeeded(decoded)) {
        m_context.m_log.failure("peer-malformed", errorOf(decoded),
                                {{LogField::Address, peer->m_address}});
        return decoded;
    }
    recordTimestamp(*peer, valueOf(decoded));
    return decoded;
}

void EntryPeers::recordTimestamp(KnownPeer &peer, const entrywire::EntryExchange &message)
{
    if (const auto mark = readStamp(message).m_mark)
        peer.m_mark.recordReceived(*mark, m_context.now());
}

/// Returns the stamp of a message to a peer, or, for nullptr, to a VM that this one doesn't know.
MessageStamp EntryPeers::stampFor(const KnownPeer *peer) const
{
    const TimePoint now = m_context.now();
    MessageStamp stamp;
    stamp.m_mark = ClockMark{m_context.m_incarnation, now};
    if (peer)
        stamp.m_echo = peer->m_mark.echo(now);
    return stamp;
}

std::optional<TimePoint> EntryPeers::sentAfter(const entrywire::EntryExchange &message) const
{
    return gypsumdale::sentAfter(readStamp(message).m_echo, m_context.m_incarnation,
                                 m_context.now());
}

FrameAnswer EntryPeers::answer(const std::string &frame)
{
    const auto decoded = wire::decode<entrywire::EntryExchange>(frame);
    if (!succeeded(decoded)) {
        m_context.m_log.failure("peer-malformed", errorOf(decoded));
        return std::string();
    }
    const entrywire::EntryExchange &received = valueOf(decoded);
    if (received.__isset.news) {
        entrywire::EntryExchange taken;
        taken.__isset.newsTaken = true;
        if (m_storeUpdateReceived)
            taken.newsTaken = m_storeUpdateReceived(received.news, sentAfter(received));
        writeStamp(stampFor(nullptr), taken);
        return wire::encode(taken);
    }
    if (received.__isset.loadNews) {
        applyLoad(received.loadNews);
        return wire::encode(entrywire::EntryExchange());
    }
    if (received.__isset.streamOrigin)
        return wire::encode(m_origins.answerRecord(received.streamOrigin));
    if (received.__isset.originQuestion)
        return wire::encode(m_origins.answerQuestion(received.originQuestion));
    if (received.__isset.endReport)
        return wire::encode(m_crashes.answerReport(received.endReport));
    if (received.__isset.proofQuestion)
        return wire::encode(m_crashes.answerQuestion(received.proofQuestion));
    if (received.__isset.quarantine) {
        m_crashes.merge(decodeQuarantine(received.quarantine, m_context.now()), std::string());
        return wire::encode(entrywire::EntryExchange());
    }
    if (received.__isset.quotaQuestion)
        return wire::encode(m_quotas.answer(received.quotaQuestion));
    if (received.__isset.suspectedOwner) {
        m_quotas.checkOwner(received.suspectedOwner);
        return wire::encode(entrywire::EntryExchange());
    }
    if (received.__isset.rolloutQuestion)
        return wire::encode(m_rollouts.answerQuestion(received.rolloutQuestion));
    if (received.__isset.rolloutAnswer) {
        m_rollouts.takeNews(received.rolloutAnswer);
        return wire::encode(entrywire::EntryExchange());
    }
    if (received.__isset.textRequest)
        return answerText(received);
    if (received.digest.protocol != ExchangeWriter::protocolVersion)
        return std::string();
    applyMessage(received);
    const KnownPeerPointer peer = m_table.find(received.digest.address);
    if (peer)
        recordTimestamp(*peer, received);
    entrywire::EntryExchange message = digestFor(peer.get());
    writeStamp(stampFor(peer.get()), message);
    return wire::encode(message);
}

FrameAnswer EntryPeers::answerText(const entrywire::EntryExchange &received)
{
    const KnownPeerPointer peer = m_table.find(received.textRequest.address);
    if (peer)
        recordTimestamp(*peer, received);
    TextReply reply = m_texts.answer(received.textRequest);
    writeStamp(stampFor(peer.get()), *reply.m_message);
    return {wire::encode(*reply.m_message), std::move(reply.m_held)};
}

void EntryPeers::applyLoad(const entrywire::LoadNews &news)
{
    const UpstreamId upstream(news.load.upstream);
    m_context.m_trafficLoop.spawn([this, node = news.node, upstream, load = loadOf(news.load)] {
        m_context.m_traffic.setPeerLoadAt(node, upstream, load);
    });
}

void EntryPeers::applyMessage(const entrywire::EntryExchange &message)
{
    recordReceived(message);
    // Processes of an earlier version send texts without a request.
    if (message.__isset.configText)
        m_config.applyFromPeer(message.configText, message.digest.node);
    if (message.__isset.upstreamText)
        m_upstreams.applyFromPeer(
                message.upstreamText, message.upstreamRevision,
                {std::chrono::milliseconds(message.digest.upstreamAgeMillis), sentAfter(message)},
                message.digest.node);
    m_texts.startFetches();
}

void EntryPeers::recordReceived(const entrywire::EntryExchange &message)
{
    const entrywire::EntryDigest &digest = message.digest;
    learn(digest.node, digest.address, false);
    const KnownPeerPointer peer = m_table.find(digest.address);
    if (!peer)
        return;
    // The lower totals of a superseded digest would be taken for those of a restarted VM, and
    // counted again.
    const auto mark = readStamp(message).m_mark;
    if (mark && !peer->m_newestDigest.take(*mark)) {
        m_context.m_log.info("digest-overtaken", {{LogField::Peer, digest.node}});
        return;
    }
    const TimePoint now = m_context.now();
    PeerState state = stateOf(digest);
    m_fleetSize.setTold(static_cast<std::size_t>(std::max(digest.fleetSize, 0)));
    m_quotas.takeCredits(digest);
    if (digest.__isset.retries)
        state.m_retries = decodeRetries(digest.retries, now);
    if (PeerTable::recordReceived(*peer, state, now))
        m_context.m_log.info("peer-heard-again", {{LogField::Peer, digest.node}});
    if (!digest.quarantine.empty())
        m_crashes.merge(decodeQuarantine(digest.quarantine, now), digest.node);
    for (const auto &known : digest.peers)
        learn(known.node, known.address, false);
    if (digest.dutyFence > 0)
        m_holderAddress = digest.address;
    if (digest.dutyFence > 0 && m_dutyReported)
        m_dutyReported(digest.dutyFence, digest.dutyRevision);
    // The traffic thread may be busy. Without the correction for the time spent waiting for it, the
    // peer's clock would appear slow.
    const std::optional<EarlierRetries> earlier = decodeEarlierRetries(digest, now);
    m_context.m_trafficLoop.spawn([this, digest, earlier, now, receivedAt = bootNow()] {
        const WallMillis wallAtReceipt =
                m_context.m_traffic.wallNow() - toWholeMillis(bootNow() - receivedAt);
        PeerReport report = decodeReport(digest, wallAtReceipt);
        report.m_earlierRetries = earlier;
        report.m_backpressure = decodeBackpressureReport(digest, now);
        m_context.m_traffic.setPeer(report);
    });
}

} // namespace gypsumdale
