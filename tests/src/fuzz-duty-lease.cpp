#include <gypsumdale/serving/duty_lease.hpp>

#include <catch2/catch.hpp>
#include <pcg_random.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

constexpr Duration tick = 50ms;
/// Minimum time between acts of two holders that alternate.
constexpr Duration leaseTime = 3s;

/// A write that the store executes after its caller's timeout.
struct LateWrite
{
    TimePoint m_at;
    LeaseRecord m_record;
};

/// A VM with its lease, which is paused at times.
struct Vm
{
    explicit Vm(const std::string &name)
        : m_lease(DutyLeaseSettings{}, NodeId(name), 1)
    {}
    DutyLease m_lease;
    TimePoint m_pausedUntil{};
};

/// Three VMs with a store that loses answers and executes writes late; received renewals are lost
/// as well. After each act, the acts are checked as the cloud would see them.
class World
{
public:
    explicit World(std::uint32_t seed)
        : m_random(seed)
        , m_vms{Vm("a"), Vm("b"), Vm("c")}
    {}

    void play(Duration length)
    {
        const TimePoint end = m_now + length;
        while (m_now < end) {
            carryOutLateWrites();
            for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
                turn(vm);
            m_now += tick;
        }
    }

    std::size_t acts() const { return m_acts.size(); }

private:
    struct Act
    {
        TimePoint m_at;
        std::size_t m_vm = 0;
        std::int64_t m_fence = 0;
    };

    bool chance(unsigned percent) { return m_random(100) < percent; }

    void turn(std::size_t index)
    {
        Vm &vm = m_vms[index];
        if (m_now < vm.m_pausedUntil)
            return;
        if (chance(1)) {
            vm.m_pausedUntil = m_now + Duration(500ms) * static_cast<int>(1 + m_random(14));
            return;
        }
        const LeaseAction step = vm.m_lease.next(m_now);
        if (std::holds_alternative<ReadLease>(step))
            read(vm);
        else if (const auto *write = std::get_if<WriteLease>(&step))
            this->write(vm, write->m_record);
        if (chance(30))
            act(index);
    }

    void read(Vm &vm)
    {
        if (!chance(20))
            vm.m_lease.onRead(m_stored, m_now);
    }

    bool apply(const LeaseRecord &record)
    {
        const std::int64_t stored = m_stored ? m_stored->m_revision : 0;
        if (stored != record.m_revision)
            return false;
        m_stored = record;
        m_stored->m_revision = ++m_revision;
        return true;
    }

    void write(Vm &vm, const LeaseRecord &record)
    {
        if (chance(10)) {
            m_late.push_back({m_now + Duration(100ms) * static_cast<int>(m_random(60)), record});
            vm.m_lease.onWriteFailed();
            return;
        }
        const bool isDone = apply(record);
        if (!isDone || chance(15)) {
            vm.m_lease.onWriteFailed();
            return;
        }
        vm.m_lease.onWritten(*m_stored, m_now);
        for (Vm &other : m_vms) {
            if (&other != &vm && m_now >= other.m_pausedUntil && chance(80))
                other.m_lease.onHolderReport(m_stored->m_fence, m_stored->m_revision, m_now);
        }
    }

    void carryOutLateWrites()
    {
        for (auto write = m_late.begin(); write != m_late.end();) {
            if (m_now < write->m_at) {
                ++write;
                continue;
            }
            apply(write->m_record);
            write = m_late.erase(write);
        }
    }

    void act(std::size_t index)
    {
        const auto fence = m_vms[index].m_lease.fence(m_now);
        if (!fence)
            return;
        for (std::size_t other = 0; other < m_vms.size(); ++other) {
            // A paused VM doesn't act, but would at once if it resumed now.
            RC_ASSERT(other == index || !m_vms[other].m_lease.fence(m_now));
        }
        const auto [entry, isNew] = m_fenceOwner.try_emplace(*fence, index);
        RC_ASSERT(entry->second == index);
        std::optional<TimePoint> lastOther;
        for (auto earlier = m_acts.rbegin(); earlier != m_acts.rend(); ++earlier) {
            if (m_now - earlier->m_at > leaseTime)
                break;
            if (earlier->m_vm != index)
                lastOther = earlier->m_at;
            else
                RC_ASSERT(!lastOther);
        }
        m_acts.push_back({m_now, index, *fence});
    }

    pcg32 m_random;
    TimePoint m_now{1h};
    std::vector<Vm> m_vms;
    std::optional<LeaseRecord> m_stored;
    std::int64_t m_revision = 0;
    std::vector<LateWrite> m_late;
    std::vector<Act> m_acts;
    std::map<std::int64_t, std::size_t> m_fenceOwner;
};

} // namespace

TEST_CASE("the duties' lease under pauses, lost answers and late writes")
{
    rc::prop("one VM acts at a time, under a number of its own, and never by turns", [] {
        World world(*rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>()));
        world.play(90s);
        RC_ASSERT(world.acts() > 20U);
    });
}
