#include <gypsumdale/entry/peer_table.hpp>

#include <algorithm> // max, min, stable_sort
#include <cstddef> // ptrdiff_t
#include <iterator> // next
#include <utility> // exchange

namespace gypsumdale {

namespace {

/// A peer that has been silent this long has been replaced.
constexpr Duration forgottenAfter = std::chrono::seconds(30);

/// How long a peer has said nothing, from when it was known on.
Duration silenceOf(const KnownPeer &peer, TimePoint now)
{
    return now - std::max(peer.m_heardAt, peer.m_knownSince);
}

} // namespace

std::vector<KnownPeerPointer> sliceOf(const std::vector<KnownPeerPointer> &peers, std::size_t first,
                                      std::size_t count)
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

bool PeerTable::hear(KnownPeer &peer, const PeerState &state, TimePoint now)
{
    if (state.m_incarnation != peer.m_state.m_incarnation)
        peer.m_startHeardAt = now;
    peer.m_heardAt = now;
    peer.m_state = state;
    return std::exchange(peer.m_isSilent, false);
}

PeerTable::Silence PeerTable::expire(TimePoint now)
{
    Silence result;
    const Duration heardWithin = pace(now).heardWithin();
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        const KnownPeerPointer peer = entry->second;
        const Duration silence = silenceOf(*peer, now);
        if (!peer->m_isSilent && silence > heardWithin) {
            peer->m_isSilent = true;
            result.m_fellSilent.push_back({peer, silence});
        }
        if (silence <= forgottenAfter || peer->m_isBusy) {
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

bool PeerTable::isMember(const KnownPeer &peer, TimePoint now)
{
    return peer.wasEverHeard() && now - peer.m_heardAt < forgottenAfter;
}

bool PeerTable::isMember(const std::string &address, TimePoint now) const
{
    const KnownPeerPointer peer = find(address);
    return peer && isMember(*peer, now);
}

std::size_t PeerTable::members(TimePoint now) const
{
    std::size_t count = 0;
    for (const auto &[address, peer] : m_peers)
        count += isMember(*peer, now) ? 1 : 0;
    return count;
}

ExchangePace PeerTable::pace(TimePoint now) const
{
    const std::size_t expectedPeers = m_expected > 0 ? m_expected - 1 : 0;
    return ExchangePace(std::max(members(now), expectedPeers));
}

std::vector<KnownPeerPointer> PeerTable::heardMembers(TimePoint now) const
{
    std::vector<KnownPeerPointer> heard;
    for (const auto &[address, peer] : m_peers) {
        if (isMember(*peer, now) && !peer->m_isSilent)
            heard.push_back(peer);
    }
    return heard;
}

std::vector<KnownPeerPointer> PeerTable::heardJustNow(TimePoint now) const
{
    std::vector<KnownPeerPointer> heard;
    const Duration heardWithin = pace(now).heardWithin();
    for (const auto &[address, peer] : m_peers) {
        if (now - peer->m_heardAt <= heardWithin)
            heard.push_back(peer);
    }
    return heard;
}

Duration PeerTable::longestSilence(TimePoint now) const
{
    Duration longest{};
    for (const auto &[address, peer] : m_peers) {
        if (isMember(*peer, now) && !peer->m_state.m_isLeaving)
            longest = std::max(longest, now - peer->m_heardAt);
    }
    return longest;
}

/// The side with the lower address begins; the other does when it hears nothing, as links may be
/// cut one way only.
bool PeerTable::begins(const KnownPeer &peer, Duration silence, TimePoint now) const
{
    return m_ownAddress < peer.m_address || silenceOf(peer, now) > silence;
}

std::vector<KnownPeerPointer> PeerTable::toBegin(TimePoint now) const
{
    std::vector<KnownPeerPointer> due;
    const Duration silence = pace(now).silenceBeforeBeginning();
    for (const auto &[address, peer] : m_peers) {
        if (!peer->m_isBusy && begins(*peer, silence, now))
            due.push_back(peer);
    }
    return due;
}

std::vector<KnownPeerPointer> PeerTable::takeTurns(TimePoint now)
{
    const int stretch = pace(now).stretch();
    const auto parts = static_cast<std::size_t>(stretch);
    std::vector<KnownPeerPointer> due = toBegin(now);
    const std::size_t atOnce = (due.size() + parts - 1) / parts;
    // Exchange times come a little late, never early: half of one tells two turns apart.
    const Duration between =
            ExchangePace::exchangeEvery * stretch - ExchangePace::exchangeEvery / 2;
    std::erase_if(due, [now, between](const KnownPeerPointer &peer) {
        return now - peer->m_begunAt < between;
    });
    std::ranges::stable_sort(due, {}, [](const KnownPeerPointer &peer) { return peer->m_begunAt; });
    due.resize(std::min(due.size(), atOnce));
    for (const KnownPeerPointer &peer : due)
        peer->m_begunAt = now;
    return due;
}

std::vector<KnownPeerPointer> PeerTable::someOutOfTurn(std::size_t count)
{
    std::vector<KnownPeerPointer> some;
    for (std::size_t asked = 0; asked < count && !m_peers.empty(); ++asked) {
        const auto entry = std::next(m_peers.begin(),
                                     static_cast<std::ptrdiff_t>(m_nextAsked++ % m_peers.size()));
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
