#include "support/entry_world.hpp"

#include <catch2/catch.hpp>

#include <chrono> // milliseconds
#include <string> // string
#include <string_view> // string_view
#include <thread> // sleep_for, thread

using namespace gypsumdale;
using namespace gypsumdale::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds leavingApply = 1000ms;
/// More than a path accepts before it stops delivering, and less than a send buffer.
const std::string largeBody(300'000, 'b');

bool isSeen(const UpstreamStandIn &upstream, std::string_view id)
{
    for (const HttpRequest &request : upstream.seen()) {
        if (request.m_headers.value("Gypsumdale-Request-Id") == id)
            return true;
    }
    return false;
}

/// Removes the second upstream, so that the first gets all requests.
void leaveOneUpstream(EntryWorld &world)
{
    world.store().remove("servers", world.upstream(1).id());
    world.waitUntil("only one upstream is known", [&] {
        return world.fullLog(world.node()).find("upstream-left") != std::string::npos;
    });
}

/// Heals the path to the first upstream, and returns when the path has delivered what it held and
/// let a later request pass.
void heal(EntryWorld &world)
{
    FaultProxy &link = world.upstreamLink(0);
    link.set(LinkFault::None);
    world.waitUntil("the path holds nothing", [&] { return link.openLinks() == 0; });
    REQUIRE(world.get(link.port(), "/marker").m_status == 200);
}

/// Returns whether an answer correctly reports the outcome of a request that the first upstream has
/// not run.
bool isCorrectOutcome(const EntryAnswer &answer)
{
    const bool isOthers = answer.m_status == 200 && answer.m_body == "from u-2";
    const bool mayHaveRun = answer.m_status == 502 || answer.m_status == 504;
    return isOthers || mayHaveRun || answer.m_status == 503;
}

} // namespace

// Guards against requests that a silent path holds and delivers after their upstream has left.
TEST_CASE("requests held up on a silent path don't reach an upstream that has left")
{
    EntryWorld world(1, true, leavingApply);
    leaveOneUpstream(world);
    FaultProxy &link = world.upstreamLink(0);
    link.set(LinkFault::CutToTarget);
    EntryAnswer again;
    EntryAnswer once;
    std::thread againCaller(
            [&] { again = world.callWith(world.node(), "/again/x", "r-again", largeBody, 5000); });
    std::thread onceCaller(
            [&] { once = world.callWith(world.node(), "/once/x", "r-once", largeBody, 5000); });
    world.waitUntil("both are held up", [&] { return link.heldLinks() == 2; });

    world.announce(world.upstream(1), "ready");
    const std::int64_t left = world.announce(world.upstream(0), "draining");
    world.waitUntil("it is known", [&] {
        return world.store().receivedUpstreamRevision(world.node().m_name) >= left;
    });
    againCaller.join();
    onceCaller.join();
    std::this_thread::sleep_for(2 * leavingApply);
    heal(world);

    CHECK_FALSE(isSeen(world.upstream(0), "r-again"));
    CHECK_FALSE(isSeen(world.upstream(0), "r-once"));
    CHECK(isCorrectOutcome(again));
    CHECK(isCorrectOutcome(once));
}

// Guards against the same while the callers of such requests still wait when the path heals.
TEST_CASE("requests held up on a silent path are taken back while their callers wait")
{
    EntryWorld world(1, true, leavingApply);
    leaveOneUpstream(world);
    FaultProxy &link = world.upstreamLink(0);
    link.set(LinkFault::CutToTarget);
    EntryAnswer once;
    std::thread caller(
            [&] { once = world.callWith(world.node(), "/once/x", "r-once", largeBody, 5000); });
    world.waitUntil("it is held up", [&] { return link.heldLinks() == 1; });
    world.announce(world.upstream(0), "draining");
    std::this_thread::sleep_for(2 * leavingApply);
    heal(world);
    caller.join();

    CHECK_FALSE(isSeen(world.upstream(0), "r-once"));
    CHECK(isCorrectOutcome(once));
}

// Guards against requests that run after their caller was told that the deadline has passed.
TEST_CASE("a request whose caller's time is over doesn't reach its upstream when the path heals")
{
    EntryWorld world(1, true);
    leaveOneUpstream(world);
    world.upstreamLink(0).set(LinkFault::CutToTarget);
    const EntryAnswer answer = world.callWith(world.node(), "/once/x", "r-once", largeBody, 700);
    CHECK(answer.m_status == 504);
    heal(world);
    CHECK_FALSE(isSeen(world.upstream(0), "r-once"));
}
