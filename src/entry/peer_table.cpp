#include <gypsumdale/entry/peer_table.hpp>

#include <algorithm> // max, min, stable_sort
#include <cstddef> // ptrdiff_t
#include <iterator> // next
#include <utility> // exchange

namespace gypsumdale {

namespace {

/// A peer that has been silent for this long counts as replaced.
constexpr Duration replacementTimeout = std::chrono::seconds(30);

/// Returns the time since the last message of a peer, or since it became known.
Duration silenceOf(const KnownPeer &peer, TimePoint now)
{
    return now - std::max(peer.m_lastReceivedAt, peer.m_knownSince);
}

} // namespace

std::vector<KnownPeerPointer> wrappedSlice(const std::vector<KnownPeerPointer> &peers,
                                           std::size_t first, std::size_t count)
{
    std::vector<KnownPeerPointer> slice;
    for (std::size_t taken = 0; taken < std::min(count, peers.size()); ++taken)
        slice.push_back(peers[(first + taken) % peers.size()]);
    return slice;
}

KnownPeerPointer PeerTable::learn(const std::string &node, const std::string &address, bool isSeed,
                                  TimePoint now)
{
    if (address.empty() || address == m_ownAddress)
        return nullptr;
    const auto [entry, isNew] = m_peers.try_emplace(address);
    KnownPeerPointer &peer = entry->second;
    if (isNew) {
        peer = std::make_shared<KnownPeer>();
        peer->m_address = address;
        peer->m_knownSince = now;
    }
    peer->m_isSeed = peer->m_isSeed || isSeed;
    if (!node.empty())
        peer->m_node = node;
    return isNew ? peer : nullptr;
}

bool PeerTable::recordReceived(KnownPeer &peer, const PeerState &state, TimePoint now)
{
    if (state.m_incarnation != peer.m_state.m_incarnation) {
        peer.m_processFirstReceivedAt = now;
        peer.m_earlierRetries = std::exchange(peer.m_retries, std::nullopt);
    }
    peer.m_lastReceivedAt = now;
    if (state.m_retries)
        peer.m_retries = EarlierRetries{now, *state.m_retries};
    peer.m_state = state;
    return std::exchange(peer.m_isSilent, false);
}

PeerTable::Silence PeerTable::expire(TimePoint now)
{
    Silence result;
    const Duration respondingWithin = pace(now).respondingWithin();
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        const KnownPeerPointer peer = entry->second;
        const Duration silence = silenceOf(*peer, now);
        if (!peer->m_isSilent && silence > respondingWithin) {
            peer->m_isSilent = true;
            result.m_newlySilent.push_back({peer, silence});
        }
        if (silence <= replacementTimeout || peer->m_isBusy) {
            ++entry;
            continue;
        }
        result.m_gone.push_back(peer);
        if (peer->m_isSeed) {
            peer->m_knownSince = now;
            ++entry;
            continue;
        }
        entry = m_peers.erase(entry);
    }
    return result;
}

bool PeerTable::isLivePeer(const KnownPeer &peer, TimePoint now)
{
    return peer.hasEverReported() && now - peer.m_lastReceivedAt < replacementTimeout;
}

bool PeerTable::isLivePeer(const std::string &address, TimePoint now) const
{
    const KnownPeerPointer peer = find(address);
    return peer && isLivePeer(*peer, now);
}

std::size_t PeerTable::livePeers(TimePoint now) const
{
    std::size_t count = 0;
    for (const auto &[address, peer] : m_peers)
        count += isLivePeer(*peer, now) ? 1 : 0;
    return count;
}

ExchangePacing PeerTable::pace(TimePoint now) const
{
    const std::size_t expectedPeers = m_expectedVms > 0 ? m_expectedVms - 1 : 0;
    return ExchangePacing(std::max(livePeers(now), expectedPeers));
}

std::vector<KnownPeerPointer> PeerTable::respondingPeers(TimePoint now) const
{
    std::vector<KnownPeerPointer> selected;
    for (const auto &[address, peer] : m_peers) {
        if (isLivePeer(*peer, now) && !peer->m_isSilent)
            selected.push_back(peer);
    }
    return selected;
}

std::vector<KnownPeerPointer> PeerTable::recentPeers(TimePoint now) const
{
    std::vector<KnownPeerPointer> selected;
    const Duration respondingWithin = pace(now).respondingWithin();
    for (const auto &[address, peer] : m_peers) {
        if (now - peer->m_lastReceivedAt <= respondingWithin)
            selected.push_back(peer);
    }
    return selected;
}

std::vector<KnownPeerPointer> PeerTable::peersHeardWithin(Duration time, TimePoint now) const
{
    std::vector<KnownPeerPointer> selected;
    for (const auto &[address, peer] : m_peers) {
        const bool isStaying = !peer->m_node.empty() && !peer->m_state.m_isLeaving;
        if (isStaying && silenceOf(*peer, now) <= time)
            selected.push_back(peer);
    }
    return selected;
}

Duration PeerTable::longestSilence(TimePoint now) const
{
    Duration longest{};
    for (const auto &[address, peer] : m_peers) {
        if (isLivePeer(*peer, now) && !peer->m_state.m_isLeaving)
            longest = std::max(longest, now - peer->m_lastReceivedAt);
    }
    return longest;
}

/// The side with the lower address initiates. The other side does if it receives nothing, as a link
/// may be broken in one direction only.
bool PeerTable::initiates(const KnownPeer &peer, Duration silence, TimePoint now) const
{
    return m_ownAddress < peer.m_address || silenceOf(peer, now) > silence;
}

std::vector<KnownPeerPointer> PeerTable::duePeers(TimePoint now) const
{
    std::vector<KnownPeerPointer> due;
    const Duration silence = pace(now).initiationTimeout();
    for (const auto &[address, peer] : m_peers) {
        if (!peer->m_isBusy && initiates(*peer, silence, now))
            due.push_back(peer);
    }
    return due;
}

std::vector<KnownPeerPointer> PeerTable::selectDuePeers(TimePoint now)
{
    const int stretch = pace(now).stretch();
    const auto parts = static_cast<std::size_t>(stretch);
    std::vector<KnownPeerPointer> due = duePeers(now);
    const std::size_t share = (due.size() + parts - 1) / parts;
    // Exchange times may be a little late but never early, so half an interval of tolerance
    // separates two turns.
    const Duration minInterval =
            ExchangePacing::exchangeInterval * stretch - ExchangePacing::exchangeInterval / 2;
    std::erase_if(due, [now, minInterval](const KnownPeerPointer &peer) {
        return now - peer->m_begunAt < minInterval;
    });
    std::ranges::stable_sort(due, {}, [](const KnownPeerPointer &peer) { return peer->m_begunAt; });
    due.resize(std::min(due.size(), share));
    for (const KnownPeerPointer &peer : due)
        peer->m_begunAt = now;
    return due;
}

std::vector<KnownPeerPointer> PeerTable::selectOutOfTurn(std::size_t count)
{
    std::vector<KnownPeerPointer> some;
    for (std::size_t asked = 0; asked < count && !m_peers.empty(); ++asked) {
        const auto entry = std::next(
                m_peers.begin(), static_cast<std::ptrdiff_t>(m_nextOutOfTurn++ % m_peers.size()));
        if (!entry->second->m_isBusy)
            some.push_back(entry->second);
    }
    return some;
}

KnownPeerPointer PeerTable::find(const std::string &address) const
{
    const auto found = m_peers.find(address);
    return found == m_peers.end() ? nullptr : found->second;
}

} // namespace gypsumdale
