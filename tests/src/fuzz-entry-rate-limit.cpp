#include "support/backpressure_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

/// Plans for fleets of small, middle and large size, with as many requests as they have.
BackpressurePlan planFor(int vms)
{
    BackpressurePlan plan;
    plan.m_vms = vms;
    plan.m_upstreams = vms < 10 ? 9 : 24;
    plan.m_load = 20.0 * vms;
    return plan;
}

void print(const BackpressurePlan &plan, const BackpressureResult &result)
{
    fmt::print("{} VMs, {} of {} upstreams limited to {}: most beyond {}, served {} of {:.0f}, "
               "placed {}, rejected {}, used again {}\n",
               plan.m_vms, plan.m_limited, plan.m_upstreams, plan.m_limit, result.m_mostBeyond,
               result.m_served, result.m_allowed, result.m_placed, result.m_rejected,
               result.m_usedAgain);
}

} // namespace

// Guards against VMs that each keep to a limit, while their sum exceeds it.
TEST_CASE("all VMs together keep to the request rates that upstreams name", "[rate-limit]")
{
    const bool holds = rc::check("while VMs are killed, frozen and parted", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        BackpressurePlan plan =
                planFor(*rc::gen::weightedElement<int>({{6, 6}, {3, 77}, {1, 480}}));
        plan.m_limit = *rc::gen::element(0.2, 0.5, 1.0, 1.4, 3.0, 10.0, 40.0);
        plan.m_limited = *rc::gen::element(1, 3, 9);
        plan.m_unevenness = *rc::gen::element(0.0, 0.7, 2.0);
        plan.m_lostMessages = *rc::gen::element(0.0, 0.2);
        const BackpressureResult result = BackpressureSimulation(seed, plan).run();
        print(plan, result);
        RC_ASSERT(result.m_mostBeyond <= 0);
        RC_ASSERT(result.m_usedAgain > 0);
    });
    CHECK(holds);
}

// Guards against capacity that is lost when all upstreams of a service name limits.
TEST_CASE("callers get most of what limited upstreams offer", "[rate-limit]")
{
    const int vms = GENERATE(6, 77, 480);
    const double limit = GENERATE(1.0, 3.0, 20.0);
    BackpressurePlan plan = planFor(vms);
    plan.m_limit = limit;
    plan.m_limited = plan.m_upstreams;
    plan.m_hasFaults = false;
    plan.m_load = std::max(20.0 * vms, 10 * limit * plan.m_upstreams);
    const BackpressureResult result = BackpressureSimulation(1, plan).run();
    print(plan, result);
    CHECK(result.m_mostBeyond <= 0);
    CHECK(result.m_served >= 0.8 * result.m_allowed);
}

// Shows that the load of this model exceeds the limit where VMs don't share it.
TEST_CASE("VMs that each take the whole rate exceed it", "[rate-limit]")
{
    BackpressurePlan plan = planFor(77);
    plan.m_hasFaults = false;
    plan.m_knowsPeers = false;
    const BackpressureResult result = BackpressureSimulation(1, plan).run();
    print(plan, result);
    CHECK(result.m_mostBeyond > 0);
}
