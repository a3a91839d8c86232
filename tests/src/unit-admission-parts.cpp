#include <gypsumdale/policy/member_slots.hpp>
#include <gypsumdale/policy/peer_slots.hpp>
#include <gypsumdale/policy/upstream_measurements.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
const NodeId self("olten-a-1");
const NodeId peer("olten-a-2");
const UpstreamId upstream("runner-1");
constexpr std::uint32_t slots = 16;

PeerSlots twoNodes()
{
    PeerSlots peers(self, SlotShareSettings{}, 750ms);
    peers.setNodes({peer});
    return peers;
}

} // namespace

TEST_CASE("a peer counts with its lent share until it is heard, and again when it falls silent")
{
    PeerSlots peers = twoNodes();
    CHECK(peers.nodeCount() == 2);
    CHECK(peers.isStale(peer));
    CHECK(peers.chargeAt(upstream, slots) == 8);

    peers.merge(peer, 1, {{upstream, 6}}, start);
    CHECK_FALSE(peers.isStale(peer));
    CHECK(peers.chargeAt(upstream, slots) == 6);
    CHECK(peers.chargeOf(peer, upstream, slots) == 6);

    CHECK_FALSE(peers.markStalePeers(start + 750ms));
    CHECK(peers.markStalePeers(start + 751ms));
    CHECK_FALSE(peers.markStalePeers(start + 752ms));
    CHECK(peers.chargeAt(upstream, slots) == 8);
}

TEST_CASE("an idle peer keeps its reserve, and one that is no node here counts nothing")
{
    PeerSlots peers = twoNodes();
    peers.merge(peer, 1, {}, start);
    CHECK(peers.chargeAt(upstream, slots) == 4);
    const NodeId stranger("olten-b-1");
    peers.merge(stranger, 1, {{upstream, 6}}, start);
    CHECK(peers.chargeOf(stranger, upstream, slots) == 0);
    CHECK(peers.chargeAt(upstream, slots) == 4);
    CHECK(peers.isSuperseded(peer, 0));
    CHECK_FALSE(peers.isSuperseded(peer, 1));
}

TEST_CASE("nodes take turns at the slots that don't divide evenly")
{
    PeerSlots own(self, SlotShareSettings{}, 750ms);
    own.setNodes({peer});
    PeerSlots other(peer, SlotShareSettings{}, 750ms);
    other.setNodes({self});
    CHECK(own.ownRank(upstream) + other.ownRank(upstream) == 1);
}

TEST_CASE("a member has its share of the slots by weight")
{
    const MemberId anna("anna");
    const MemberId bruno("bruno");
    MemberSlots members;
    members.setMembers({MemberShare{anna, 3.0, 5}, MemberShare{bruno, 1.0, 0}});
    CHECK(members.isBelowShare(bruno, 8));
    members.started(bruno);
    members.started(bruno);
    CHECK_FALSE(members.isBelowShare(bruno, 8));
    CHECK_FALSE(members.isAtLimit(bruno));
    members.ended(bruno);
    CHECK(members.inFlight(bruno) == 1);
    CHECK(members.isBelowShare(bruno, 8));

    for (int at = 0; at < 5; ++at)
        members.started(anna);
    CHECK(members.isBelowShare(anna, 8));
    CHECK(members.isAtLimit(anna));
    CHECK_FALSE(members.isAtLimit(MemberId("unnamed")));
}

TEST_CASE("what was measured at an upstream is smoothed, and slowness and failures fade")
{
    UpstreamMeasurements measures;
    CHECK(measures.firstToken(start) == Duration{});
    measures.recordFirstTokenTime(1s, start);
    measures.recordFirstTokenTime(2s, start);
    CHECK(toSeconds(measures.firstToken(start)) == Approx(1.2));
    CHECK(toSeconds(measures.firstToken(start + 2s)) == Approx(0.6));

    measures.recordTokenInterval(10, 500ms);
    CHECK(toSeconds(measures.betweenTokens()) == Approx(0.05));

    measures.recordFailure(start);
    measures.recordFailure(start + 10s);
    CHECK(measures.failures(start + 10s) == Approx(1.5));
}
