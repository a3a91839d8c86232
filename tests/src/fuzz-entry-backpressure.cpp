#include "support/backpressure_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr int mostInRest = 2;

BackpressurePlan planFor(int vms)
{
    BackpressurePlan plan;
    plan.m_vms = vms;
    plan.m_upstreams = 12;
    plan.m_limited = 3;
    plan.m_load = 20.0 * vms;
    plan.m_hasOthers = true;
    return plan;
}

void print(const BackpressurePlan &plan, const BackpressureResult &result)
{
    fmt::print("{} VMs: after leaving {}, after start {}, most in rest {}, after rests {}, beyond "
               "limit {}\n",
               plan.m_vms, result.m_afterLeaving, result.m_afterStart, result.m_mostInRest,
               result.m_afterRests, result.m_mostBeyond);
}

} // namespace

// Guards against requests to upstreams that said that they leave, rest or are limited, where VMs
// are killed, frozen and parted, messages and answers are lost, and lists lack entries.
TEST_CASE("VMs do what upstreams ask for in their answers", "[backpressure]")
{
    const bool holds = rc::check("through all troubles", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        BackpressurePlan plan =
                planFor(*rc::gen::weightedElement<int>({{6, 6}, {3, 77}, {1, 480}}));
        plan.m_limit = *rc::gen::element(0.5, 1.4, 10.0);
        plan.m_unevenness = *rc::gen::element(0.0, 0.7, 2.0);
        plan.m_lostMessages = *rc::gen::element(0.0, 0.2);
        plan.m_lostAnswers = *rc::gen::element(0.0, 0.1, 0.5);
        plan.m_losesEntries = *rc::gen::arbitrary<bool>();
        const BackpressureResult result = BackpressureSimulation(seed, plan).run();
        print(plan, result);
        RC_ASSERT(result.m_afterLeaving == 0);
        RC_ASSERT(result.m_mostInRest <= mostInRest);
        RC_ASSERT(result.m_mostBeyond <= 0);
        RC_ASSERT(result.m_afterStart > 0);
        RC_ASSERT(result.m_afterRests > 0);
    });
    CHECK(holds);
}

// Shows that VMs that don't listen break all three of these in this model.
TEST_CASE("VMs that don't listen go on sending", "[backpressure]")
{
    BackpressurePlan plan = planFor(6);
    plan.m_listens = false;
    const BackpressureResult result = BackpressureSimulation(1, plan).run();
    print(plan, result);
    CHECK(result.m_afterLeaving > 0);
    CHECK(result.m_mostInRest > mostInRest);
    CHECK(result.m_mostBeyond > 0);
}
