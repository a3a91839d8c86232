#include <gypsumdale/entry/store_role.hpp>
#include <gypsumdale/serving/duty_lease.hpp>

#include <catch2/catch.hpp>

#include <string> // to_string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

DutyLease makeLease(const std::string &node)
{
    return DutyLease(DutyLeaseSettings{}, NodeId(node), 1);
}

template <typename Step>
bool is(const LeaseAction &step)
{
    return std::holds_alternative<Step>(step);
}

/// Lets a lease be acquired in an empty store.
LeaseRecord acquire(DutyLease &lease, TimePoint now)
{
    lease.onRead(std::nullopt, now);
    const LeaseAction step = lease.next(now);
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
        CHECK(is<NoLeaseAction>(a.next(start + 500ms)));
        const LeaseAction step = a.next(start + 1s);
        REQUIRE(is<WriteLease>(step));
        CHECK(std::get<WriteLease>(step).m_record.m_fence == 1);
    }
    SECTION("ends for its holder before anybody may take it")
    {
        // A holder is suspended for four seconds and then continues, while another VM has acquired
        // the lease. The holder's next call must not be sent.
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
        CHECK(is<NoLeaseAction>(b.next(start + 3s)));
        CHECK(is<ReadLease>(b.next(start + 3500ms)));
        b.onRead(held, start + 3500ms);
        const LeaseAction step = b.next(start + 3500ms);
        REQUIRE(is<WriteLease>(step));
        CHECK(std::get<WriteLease>(step).m_record.m_fence == 2);
    }
    SECTION("isn't taken over while renewals are heard")
    {
        DutyLease b = makeLease("b");
        b.onRead(acquire(a, start), start);
        for (int second = 1; second < 20; ++second) {
            b.onHolderReport(1, 1 + second, start + second * 1s);
            CHECK(is<NoLeaseAction>(b.next(start + second * 1s + 900ms)));
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
        CHECK(is<NoLeaseAction>(a.next(start + 1h)));
    }
}

// In a fleet of hundreds, each VM read the lease in every term, because it received the holder's
// reports less often.
TEST_CASE("in a large fleet a few VMs watch over the lease")
{
    constexpr std::size_t vms = 195;
    constexpr std::size_t readers = 10;
    constexpr Duration tick = 150ms;
    constexpr Duration heardEvery = 4250ms;
    std::vector<DutyLease> leases;
    for (std::size_t vm = 0; vm < vms; ++vm)
        leases.push_back(makeLease(std::to_string(vm)));
    LeaseRecord stored = acquire(leases.front(), start);

    int reads = 0;
    const auto step = [&](std::size_t vm, TimePoint now) {
        DutyLease &lease = leases[vm];
        const bool isReader = vm < readers;
        const StoreRole role = isReader ? StoreRole::Reader : StoreRole::Follower;
        if (!contendsForLease(role, lease.fence(now).has_value()))
            return;
        const LeaseAction next = lease.next(now);
        if (is<ReadLease>(next)) {
            ++reads;
            lease.onRead(stored, now);
        } else if (const auto *write = std::get_if<WriteLease>(&next)) {
            REQUIRE(write->m_record.m_holder == NodeId("0"));
            stored = write->m_record;
            ++stored.m_revision;
            lease.onWritten(stored, now);
        }
    };
    constexpr int seconds = 60;
    for (TimePoint now = start; now < start + std::chrono::seconds(seconds); now += tick) {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            const Duration phase = heardEvery * static_cast<int>(vm) / static_cast<int>(vms);
            if ((now - start + phase) % heardEvery < tick)
                leases[vm].onHolderReport(stored.m_fence, stored.m_revision, now);
            step(vm, now);
        }
    }
    CHECK(leases.front().fence(start + std::chrono::seconds(seconds)) == 1);
    CHECK(reads <= 5 * seconds);
}

TEST_CASE("a holder that follows a reader keeps the lease")
{
    DutyLease a = makeLease("a");
    acquire(a, start);
    CHECK(contendsForLease(StoreRole::Follower, a.fence(start + 1s).has_value()));
    CHECK_FALSE(contendsForLease(StoreRole::Follower, a.fence(start + 3s).has_value()));
}
