#include <gypsumdale/serving/duty_lease.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

DutyLease makeLease(const std::string &node)
{
    return DutyLease(DutyLeaseSettings{}, NodeId(node), 1);
}

template <typename Step>
bool is(const LeaseStep &step)
{
    return std::holds_alternative<Step>(step);
}

/// Lets a lease take a store without one.
LeaseRecord acquire(DutyLease &lease, TimePoint now)
{
    lease.onRead(std::nullopt, now);
    const LeaseStep step = lease.next(now);
    REQUIRE(is<WriteLease>(step));
    LeaseRecord record = std::get<WriteLease>(step).m_record;
    record.m_revision = 1;
    lease.onWritten(record, now);
    return record;
}

} // namespace

TEST_CASE("the lease of the duties")
{
    DutyLease a = makeLease("a");
    REQUIRE(is<ReadLease>(a.next(start)));

    SECTION("is taken at once where there is none")
    {
        const LeaseRecord record = acquire(a, start);
        CHECK(record.m_fence == 1);
        CHECK(a.fence(start) == 1);
    }
    SECTION("is renewed under its number")
    {
        acquire(a, start);
        CHECK(is<LeaveLease>(a.next(start + 500ms)));
        const LeaseStep step = a.next(start + 1s);
        REQUIRE(is<WriteLease>(step));
        CHECK(std::get<WriteLease>(step).m_record.m_fence == 1);
    }
    SECTION("ends for its holder before anybody may take it")
    {
        // A holder is suspended for four seconds and goes on as if nothing had happened; meanwhile
        // another has taken the lease. Its next call must not go out.
        acquire(a, start);
        CHECK(a.fence(start + 2100ms));
        CHECK_FALSE(a.fence(start + 2200ms));
        CHECK_FALSE(a.fence(start + 4s));
        CHECK(is<ReadLease>(a.next(start + 4s)));
    }
    SECTION("is taken over only after standing unchanged for longer than a term")
    {
        DutyLease b = makeLease("b");
        const LeaseRecord held = acquire(a, start);
        b.onRead(held, start);
        CHECK(is<LeaveLease>(b.next(start + 3s)));
        CHECK(is<ReadLease>(b.next(start + 3500ms)));
        b.onRead(held, start + 3500ms);
        const LeaseStep step = b.next(start + 3500ms);
        REQUIRE(is<WriteLease>(step));
        CHECK(std::get<WriteLease>(step).m_record.m_fence == 2);
    }
    SECTION("isn't taken over while renewals are heard")
    {
        DutyLease b = makeLease("b");
        b.onRead(acquire(a, start), start);
        for (int second = 1; second < 20; ++second) {
            b.onHolderHeard(1, 1 + second, start + second * 1s);
            CHECK(is<LeaveLease>(b.next(start + second * 1s + 900ms)));
        }
    }
    SECTION("isn't acted on after a write whose answer was lost until it was read")
    {
        a.onRead(std::nullopt, start);
        a.onWriteFailed();
        CHECK_FALSE(a.fence(start));
        CHECK(is<ReadLease>(a.next(start)));
    }
    SECTION("is given up when another's number was higher")
    {
        acquire(a, start);
        a.onFenced();
        CHECK_FALSE(a.fence(start));
        CHECK(is<ReadLease>(a.next(start)));
    }
    SECTION("is not sought after a resignation")
    {
        acquire(a, start);
        a.resign();
        CHECK_FALSE(a.fence(start));
        CHECK(is<LeaveLease>(a.next(start + 1h)));
    }
}
