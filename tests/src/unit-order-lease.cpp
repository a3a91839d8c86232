#include <gypsumdale/ledger/order_lease.hpp>
#include <gypsumdale/ledger/order_reconciler.hpp>

#include <support/memory_lease_platform.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

OrderLease makeLease(const std::string &holder)
{
    return OrderLeaseBuilder(holder).build();
}

void settle(OrderLease &lease, testing::MemoryLeasePlatform &platform, TimePoint now)
{
    while (const auto command = lease.next(now))
        lease.onAnswer(platform.perform(*command), now);
}

/// Runs leases for a while, second by second.
void elapse(std::initializer_list<OrderLease *> leases, testing::MemoryLeasePlatform &platform,
            TimePoint &now, int seconds)
{
    for (int second = 0; second < seconds; ++second) {
        now += 1s;
        for (OrderLease *lease : leases)
            settle(*lease, platform, now);
    }
}

} // namespace

TEST_CASE("order lease")
{
    testing::MemoryLeasePlatform platform;
    TimePoint now(1h);
    OrderLease a = makeLease("a");
    OrderLease b = makeLease("b");
    elapse({&a}, platform, now, 15);
    REQUIRE(a.isHeld(now));

    SECTION("a holder that renews keeps it, and others wait")
    {
        elapse({&a, &b}, platform, now, 60);
        CHECK(a.isHeld(now));
        CHECK_FALSE(b.isHeld(now));
    }

    SECTION("a paused holder stops by itself, and its successor has a higher number")
    {
        // The holder is paused beyond the end of its lease and resumes while it sends an order. It
        // still acts as the holder; the check right before the order must stop it.
        const FencingNumber old = *a.fence(now);
        elapse({&b}, platform, now, 30);
        CHECK_FALSE(a.isHeld(now));
        REQUIRE(b.isHeld(now));
        CHECK(*b.fence(now) > old);
        settle(a, platform, now);
        CHECK_FALSE(a.isHeld(now));
    }

    SECTION("engines that ignore the number get no order before the longest pause is over")
    {
        elapse({&b}, platform, now, 15);
        REQUIRE(b.isHeld(now));
        CHECK_FALSE(b.fenceForUncheckedEngine(now));
        elapse({&b}, platform, now, 30);
        CHECK(b.fenceForUncheckedEngine(now));
    }

    SECTION("a renewal whose answer is lost")
    {
        now += 4s;
        const auto write = a.next(now);
        REQUIRE(write);
        const FencingNumber before = *a.fence(now);

        SECTION("took effect: the holder goes on with the new number")
        {
            platform.perform(*write);
            a.onAnswer(LeaseAnswerLost{}, now);
            elapse({&a}, platform, now, 2);
            CHECK(*a.fence(now) > before);
        }
        SECTION("takes effect after it was sent again: one of the two does")
        {
            a.onAnswer(LeaseAnswerLost{}, now);
            now += 1s;
            a.onAnswer(platform.perform(*a.next(now)), now);
            const auto again = a.next(now);
            REQUIRE(again);
            platform.perform(*write);
            a.onAnswer(platform.perform(*again), now);
            settle(a, platform, now);
            CHECK(a.fence(now) == platform.m_version);
            CHECK(platform.m_version == before + 1);
        }
    }

    SECTION("an outage ends the lease with its time")
    {
        for (int second = 0; second < 10; ++second) {
            now += 1s;
            if (a.next(now))
                a.onAnswer(LeaseAnswerLost{}, now);
        }
        CHECK_FALSE(a.isHeld(now));
    }

    SECTION("a released lease is taken at the next reading")
    {
        settle(b, platform, now);
        a.release();
        settle(a, platform, now);
        CHECK_FALSE(a.isHeld(now));
        elapse({&a, &b}, platform, now, 4);
        CHECK(b.isHeld(now));
    }

    SECTION("a holder that an engine refused reads before it orders again")
    {
        a.onFenced();
        CHECK_FALSE(a.isHeld(now));
        settle(a, platform, now);
        CHECK(a.isHeld(now));
    }

    SECTION("a late order of an old orderer is read back and corrected")
    {
        // An engine ignores fencing numbers, and an old order arrives after a pause beyond the
        // configured longest one.
        const UpstreamId engine("runner-1");
        std::string state = "none";
        OrderReconciler reconciler(5s);
        reconciler.setDesired(engine, Fencing::Ignored, "new");
        const auto work = [&] {
            while (const auto command = reconciler.next(a, now)) {
                if (const auto *order = std::get_if<SendOrder>(&*command)) {
                    state = order->m_order;
                    reconciler.onOrderAnswered(engine);
                } else {
                    reconciler.onRead(engine, state, now);
                }
            }
        };
        work();
        CHECK(state == "none");
        elapse({&a}, platform, now, 40);
        work();
        CHECK(state == "new");
        CHECK(reconciler.isConverged());
        state = "old";
        elapse({&a}, platform, now, 6);
        work();
        CHECK(state == "new");
    }
}
