#include <gypsumdale/serving/quota_allocation.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;

namespace {

QuotaAllocationInput inputOf(double urgent, double usual, double level)
{
    QuotaAllocationInput input;
    input.m_demand[0] = urgent;
    input.m_demand[2] = usual;
    input.m_ratePerSecond = 1000;
    input.m_capacity = 1000;
    input.m_level = level;
    return input;
}

} // namespace

TEST_CASE("allocation of an account's quota to classes")
{
    SECTION("admits all of a demand that the bucket covers")
    {
        const QuotaAllocation result = allocateQuota(inputOf(300, 600, 1000));
        CHECK(result.m_reason == AllocationReason::WithinQuota);
        CHECK(result.m_fractions[0] == 1);
        CHECK(result.m_fractions[2] == 1);
    }
    SECTION("grants the less urgent half of the average, and the rest in order")
    {
        const QuotaAllocation result = allocateQuota(inputOf(400, 5600, 300));
        CHECK(result.m_reason == AllocationReason::DemandOverRate);
        CHECK(result.m_fractions[0] == Approx(1));
        CHECK(result.m_fractions[2] >= 0.5 * 1000 / 6000);
        const double admitted = 400 * result.m_fractions[0] + 5600 * result.m_fractions[2];
        CHECK(admitted == Approx(result.m_budget));
    }
    SECTION("lowers the fraction with the level, without blocking the account")
    {
        // With a stop at an empty bucket, everything was refused until the debt was refilled.
        double before = 1;
        for (const double level : {300.0, 0.0, -300.0, -1e6}) {
            const QuotaAllocation result = allocateQuota(inputOf(400, 5600, level));
            CHECK(result.m_fractions[2] <= before);
            CHECK(result.m_fractions[2] > 0);
            before = result.m_fractions[2];
        }
        CHECK(allocateQuota(inputOf(100, 400, -1000)).m_reason == AllocationReason::LevelLow);
    }
    SECTION("counts a negative demand as none")
    {
        CHECK(allocateQuota(inputOf(-500, 500, 1000)).m_demand == 500);
    }
}
