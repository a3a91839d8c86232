#include <gypsumdale/fleet/drain.hpp>

#include <catch2/catch.hpp>

#include <variant> // get, holds_alternative

using namespace gypsumdale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start = TimePoint() + seconds(1000);

template <typename Command>
const Command *findIn(const DrainCommands &commands)
{
    for (const DrainCommand &command : commands) {
        if (const auto *found = std::get_if<Command>(&command))
            return found;
    }
    return nullptr;
}

} // namespace

// Failure guarded against: a load balancer continues to send to a VM until its health check fails.
// If the VM stopped accepting immediately, the requests of the next seconds would be refused
// although it could serve them.
TEST_CASE("Readiness fails first, and the process serves on until the balancer has noticed")
{
    Drain drain{DrainSettings()};
    CHECK(drain.isReady());
    CHECK(findIn<FailReadiness>(drain.begin(DrainCause::Signal, std::nullopt, start)));
    CHECK_FALSE(drain.isReady());
    CHECK(drain.isAccepting());
    // Nothing is in flight at this moment, but the load balancer still sends.
    CHECK(drain.tick(start + milliseconds(4900)).empty());
    CHECK(drain.phase() == DrainPhase::NotReady);

    const DrainCommands commands = drain.tick(start + seconds(5));
    CHECK(findIn<StopAccepting>(commands));
    CHECK(findIn<CloseConnections>(commands));
    CHECK_FALSE(findIn<CutRemaining>(commands));
    CHECK_FALSE(drain.isAccepting());
    const DrainCommands last = drain.closed(start + milliseconds(5100));
    REQUIRE(findIn<ExitProcess>(last));
    CHECK(findIn<ExitProcess>(last)->m_cut.isEmpty());
    CHECK(drain.phase() == DrainPhase::Done);
}

// Failure guarded against: a response that streams for half a minute is cut by a planned stop. The
// process must wait for it, so that it is complete.
TEST_CASE("What is in flight finishes while the deadline allows")
{
    Drain drain{DrainSettings()};
    drain.begin(DrainCause::Signal, std::nullopt, start);
    drain.setUnfinished({1, 0});
    drain.tick(start + seconds(5));
    CHECK(drain.phase() == DrainPhase::Draining);
    CHECK(drain.tick(start + seconds(50)).empty());
    drain.setUnfinished({0, 0});
    CHECK(findIn<CloseConnections>(drain.tick(start + seconds(51))));
}

TEST_CASE("What is cut at the deadline is reported")
{
    Drain drain{DrainSettings()};
    drain.begin(DrainCause::VmReclaim, start + seconds(12), start);
    drain.setUnfinished({3, 1});
    CHECK(findIn<StopAccepting>(drain.tick(start + seconds(4))));

    const DrainCommands handOver = drain.tick(start + milliseconds(6500));
    REQUIRE(findIn<HandOverJobs>(handOver));
    CHECK(findIn<HandOverJobs>(handOver)->m_until == start + milliseconds(11500));
    // Requested only once.
    CHECK(drain.tick(start + seconds(7)).empty());

    drain.setUnfinished({2, 0});
    CHECK(drain.tick(start + milliseconds(11400)).empty());
    const DrainCommands commands = drain.tick(start + milliseconds(11500));
    REQUIRE(findIn<CutRemaining>(commands));
    CHECK(findIn<CutRemaining>(commands)->m_work == UnfinishedWork{2, 0});

    const DrainCommands last = drain.tick(start + seconds(12));
    REQUIRE(findIn<ExitProcess>(last));
    CHECK(findIn<ExitProcess>(last)->m_cut == UnfinishedWork{2, 0});
}

TEST_CASE("A later cause brings the deadline nearer and never pushes it out")
{
    Drain drain{DrainSettings()};
    drain.begin(DrainCause::Signal, std::nullopt, start);
    drain.setUnfinished({1, 1});
    drain.tick(start + seconds(5));

    SECTION("a reclaim notice while draining")
    {
        CHECK(drain.begin(DrainCause::ZoneReclaim, start + seconds(15), start + seconds(6))
                      .empty());
        CHECK(drain.deadline() == start + seconds(15));
        CHECK(drain.reason() == "zone-reclaim");
        CHECK(findIn<HandOverJobs>(drain.tick(start + seconds(10))));
    }

    SECTION("a notice with more time")
    {
        drain.begin(DrainCause::VmReclaim, start + seconds(120), start + seconds(6));
        CHECK(drain.deadline() == start + seconds(60));
        CHECK(drain.reason() == "signal");
    }
}

// A notice of two seconds leaves no time for the usual wait: a third is spent on the load balancer,
// the jobs are handed over immediately, and half a second remains for closing.
TEST_CASE("A short notice is divided up")
{
    Drain drain{DrainSettings()};
    drain.begin(DrainCause::VmReclaim, start + seconds(2), start);
    drain.setUnfinished({1, 1});
    CHECK(drain.tick(start + milliseconds(600)).empty());
    const DrainCommands commands = drain.tick(start + milliseconds(670));
    CHECK(findIn<StopAccepting>(commands));
    CHECK(findIn<HandOverJobs>(commands));
    CHECK(findIn<CutRemaining>(drain.tick(start + milliseconds(1500))));

    SECTION("a deadline in the past still reports")
    {
        Drain late{DrainSettings()};
        late.begin(DrainCause::VmReclaim, start - seconds(1), start);
        late.setUnfinished({4, 0});
        CHECK(findIn<CutRemaining>(late.tick(start)));
    }
}
