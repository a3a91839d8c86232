#include <gypsumdale/entry/boot_clock.hpp>
#include <gypsumdale/entry/exchange_writer.hpp>
#include <gypsumdale/entry/peer_wire.hpp>

#include <entry_types.h>

#include <utility> // move

namespace gypsumdale {

namespace {

/// Time for which a newly started VM is sent the counts of ended processes: several exchanges.
constexpr Duration endedCountsDuration = std::chrono::seconds(2);
/// Time for which it is sent what earlier processes of its VM have spent of the retry budget.
constexpr Duration earlierRetriesDuration = std::chrono::seconds(5);
/// A list of peers is part of one in this many messages, and of the first one to a new peer.
constexpr std::size_t messagesPerPeerList = 16;
/// In a large fleet the history of retries is part of one in this many messages.
constexpr std::size_t messagesPerRetries = 4;
/// Number of peers in a list. A VM that starts without the store knows a whole fleet after a few
/// exchanges, as each peer that it learns of sends it others.
constexpr std::size_t peersPerList = 16;

} // namespace

void ExchangeWriter::setReport(TrafficReport report)
{
    m_report = std::move(report);
    m_reportedAt = bootNow();
}

entrywire::EntryExchange ExchangeWriter::message(const KnownPeer *peer)
{
    entrywire::EntryExchange message;
    message.__isset.digest = true;
    entrywire::EntryDigest &digest = message.digest;
    fillOwnState(digest);
    fillReport(m_report, digest);
    fillSpeeds(m_report.m_speeds, nextSpeedStart(), digest);
    fillBackpressure(m_report.m_backpressure, m_context.now(), digest);
    digest.quarantine = encodeQuarantine(m_quarantine, m_context.now());
    if (sendsRetries())
        digest.__set_retries(encodeRetries(m_report.m_retries, m_context.now()));
    if (peer && sendsEndedCountsTo(*peer))
        fillEnded(m_report.m_endedUsage, processName(peer->m_node, peer->m_state.m_incarnation),
                  digest);
    if (peer)
        fillEarlier(*peer, digest);
    const bool isNew = !peer || !peer->hasEverReported();
    if (isNew || m_messages++ % messagesPerPeerList == 0)
        fillPeers(digest);
    return message;
}

/// Fills in what this VM reports about itself, see PeerState.
void ExchangeWriter::fillOwnState(entrywire::EntryDigest &digest) const
{
    digest.protocol = protocolVersion;
    digest.node = m_context.m_settings.m_node.text();
    digest.address = m_table.ownAddress();
    digest.dataCentre = m_context.m_settings.m_dataCentre.text();
    digest.incarnation = m_context.m_incarnation;
    digest.configVersion = m_config.version();
    digest.upstreamRevision = m_upstreams.revision();
    digest.upstreamAgeMillis = m_upstreams.isStale() ? -1 : toWholeMillis(m_upstreams.age());
    digest.storeIsLost = m_config.isStoreLost() || m_config.version() == 0;
    digest.dutyFence = m_dutyFence;
    digest.dutyRevision = m_dutyRevision;
    // At the time of this message, not of the report: an old reading would make every VM's clock
    // look slow, and all clocks would follow each other backwards.
    digest.wallMillis = m_report.m_wall + toWholeMillis(bootNow() - m_reportedAt);
    digest.leaving = m_context.m_isStopping;
    if (m_context.m_settings.m_relayListen)
        digest.relayAddress = textOf(*m_context.m_settings.m_relayListen);
}

/// Returns the position at which a message's speeds begin. Positions in sequence would repeat for a
/// peer that is sent one message in as many as there are speeds.
std::size_t ExchangeWriter::nextSpeedStart()
{
    m_speedDraw = m_speedDraw * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<std::size_t>(m_speedDraw >> 33);
}

/// Returns whether a VM started so recently that it can't have received the counts of ended
/// processes. They include those of the VM's own previous process.
bool ExchangeWriter::sendsEndedCountsTo(const KnownPeer &peer) const
{
    const TimePoint now = m_context.now();
    return !m_table.pace(now).isSpreadOut()
           && now - peer.m_processFirstReceivedAt <= endedCountsDuration;
}

void ExchangeWriter::fillEarlier(const KnownPeer &peer, entrywire::EntryDigest &digest) const
{
    const TimePoint now = m_context.now();
    if (now - peer.m_processFirstReceivedAt > earlierRetriesDuration)
        return;
    if (peer.m_earlierRetries)
        digest.__set_earlierRetries(encodeEarlierRetries(*peer.m_earlierRetries, now));
}

/// Returns whether the next message tells what this VM did within the window of the retry budget.
/// In a large fleet a successor of this process reaches so many peers at once that one of them has
/// received a late one.
bool ExchangeWriter::sendsRetries() const
{
    return !m_table.pace(m_context.now()).isSpreadOut() || m_messages % messagesPerRetries == 0;
}

/// Includes only peers from which this VM has received messages. If lists were passed on
/// unverified, the address of a removed VM would circulate forever.
void ExchangeWriter::fillPeers(entrywire::EntryDigest &digest)
{
    for (const KnownPeerPointer &known :
         wrappedSlice(m_table.recentPeers(m_context.now()), m_nextListedPeer, peersPerList)) {
        auto &entry = digest.peers.emplace_back();
        entry.node = known->m_node;
        entry.address = known->m_address;
    }
    m_nextListedPeer += peersPerList;
}

} // namespace gypsumdale
