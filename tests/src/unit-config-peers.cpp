#include <gypsumdale/fleet/config_peers.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using std::chrono::seconds;

namespace {

const TimePoint start = TimePoint() + seconds(1000);
const NodeId first("node-1");
const NodeId second("node-2");

} // namespace

TEST_CASE("A version is safe once one peer knows it, or all were gone after it was learned")
{
    ConfigPeers peers({first, second});
    CHECK_FALSE(peers.isSafe(5, start));
    peers.recordCompleteVersion(first, 4);
    CHECK_FALSE(peers.isSafe(5, start));

    SECTION("a peer knows it")
    {
        peers.recordCompleteVersion(first, 5);
        peers.recordCompleteVersion(first, 3);
        CHECK(peers.isSafe(5, start));
    }

    SECTION("all were gone, but not at the same instant")
    {
        CHECK(peers.recordGone(first, start + seconds(1)));
        CHECK(peers.recordGone(second, start));
        CHECK_FALSE(peers.isSafe(5, start));
        CHECK(peers.recordGone(second, start + seconds(1)));
        CHECK(peers.isSafe(5, start));
        CHECK_FALSE(peers.recordGone(NodeId("stranger"), start));
    }
}

TEST_CASE("What a former life of a peer said is dropped, but for the proof that it ended")
{
    ConfigPeers peers({first});
    CHECK(peers.recordIncarnation(first, 2));
    peers.recordCompleteVersion(first, 5);
    peers.recordAnswer(first);
    CHECK(peers.hasEveryAnswer());
    CHECK_FALSE(peers.recordIncarnation(first, 1));
    CHECK(peers.isSafe(5, start));

    peers.recordGone(first, start + seconds(1));
    CHECK(peers.recordIncarnation(first, 3));
    CHECK_FALSE(peers.hasEveryAnswer());
    CHECK(peers.unanswered() == std::vector{first});
    CHECK_FALSE(peers.isSafe(5, start + seconds(2)));
    CHECK(peers.isSafe(5, start));
}

TEST_CASE("A node without peers never has every answer, and nodes elsewhere pass")
{
    ConfigPeers peers({});
    CHECK_FALSE(peers.hasEveryAnswer());
    CHECK(peers.recordIncarnation(NodeId("elsewhere"), 1));
    CHECK(peers.nodes().empty());
}
