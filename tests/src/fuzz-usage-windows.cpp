#include <gypsumdale/serving/usage_windows.hpp>

#include <catch2/catch.hpp>
#include <pcg_random.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm> // max
#include <cstddef> // size_t
#include <map> // map
#include <string> // string
#include <utility> // move
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

constexpr WallMillis tick = 100;
constexpr WallMillis span = 5000;
constexpr WallMillis due = 10000;
constexpr std::size_t vms = 4;

/// A process of a VM: its own counts, the received ones, and its assumption about the stored
/// ledger.
struct Process
{
    std::int64_t m_incarnation = 0;
    UsageCounts m_counts{5s};
    UsageWindows m_windows{5s, 10s};
    std::int64_t m_revision = -1;
    std::map<std::size_t, WallMillis> m_heardAt;
};

struct StoredUsage
{
    std::int64_t m_revision = 0;
    UsageLedger m_ledger;
};

struct LateWrite
{
    WallMillis m_at = 0;
    std::int64_t m_revision = 0;
    UsageLedger m_ledger;
};

/// VMs that serve requests, exchange their counts, are killed and restart. At times several of them
/// consider themselves the duty holder, as the lease has its own test.
class Fleet
{
public:
    explicit Fleet(std::uint64_t seed)
        : m_random(seed)
    {
        m_vms.resize(vms);
        for (std::size_t vm = 0; vm < vms; ++vm)
            start(vm);
    }

    void run(int ticks)
    {
        for (int step = 0; step < ticks; ++step) {
            m_now += tick;
            for (std::size_t vm = 0; vm < vms; ++vm)
                turn(vm);
            if (chance(2))
                m_holder = m_random(vms);
            carryOutLateWrites();
        }
    }

private:
    bool chance(unsigned percent) { return m_random(100) < percent; }

    void start(std::size_t vm)
    {
        m_vms[vm] = Process();
        m_vms[vm].m_incarnation = ++m_starts;
    }

    void turn(std::size_t vm)
    {
        if (m_random(1000) < 3) {
            start(vm);
            return;
        }
        count(m_vms[vm]);
        tell(vm);
        const bool actsAsHolder = vm == m_holder || chance(1);
        if (actsAsHolder)
            act(vm);
    }

    void count(Process &process)
    {
        for (unsigned request = m_random(4); request > 0; --request) {
            const AccountId account(std::string(1, static_cast<char>('a' + m_random(2))));
            process.m_counts.add(account, m_now);
            ++m_begun[m_now / span][account];
        }
    }

    void tell(std::size_t teller)
    {
        const Process &told = m_vms[teller];
        for (std::size_t vm = 0; vm < vms; ++vm) {
            if (vm == teller || chance(40))
                continue;
            for (const auto &[window, counts] : told.m_counts.own())
                m_vms[vm].m_counts.setPeer(std::to_string(teller), told.m_incarnation, window,
                                           counts, TimePoint(std::chrono::milliseconds(m_now)));
            m_vms[vm].m_heardAt[teller] = m_now;
        }
    }

    void act(std::size_t vm)
    {
        Process &process = m_vms[vm];
        if (process.m_revision < 0 && !load(process))
            return;
        WallMillis allHeardSince = m_now;
        for (const auto &[peer, heardAt] : process.m_heardAt)
            allHeardSince = std::min(allHeardSince, heardAt);
        const auto heard = [&process](WindowNumber window) {
            return process.m_counts.total(window);
        };
        if (auto next = process.m_windows.ledgerToStore({m_now, allHeardSince}, heard))
            write(process, *std::move(next));
        for (const UsageReport &report : process.m_windows.dueReports(m_now))
            send(process, report);
    }

    bool load(Process &process)
    {
        if (chance(20))
            return false;
        process.m_revision = m_stored.m_revision;
        process.m_windows.setLedger(m_stored.m_ledger);
        return true;
    }

    void apply(std::int64_t revision, const UsageLedger &ledger)
    {
        if (revision == m_stored.m_revision)
            m_stored = {revision + 1, ledger};
    }

    void write(Process &process, UsageLedger next)
    {
        const std::int64_t revision = process.m_revision;
        process.m_revision = -1;
        if (chance(10)) {
            m_late.push_back({m_now + tick * m_random(60), revision, std::move(next)});
            return;
        }
        const bool isDone = revision == m_stored.m_revision;
        apply(revision, next);
        if (!isDone || chance(10))
            return;
        process.m_revision = m_stored.m_revision;
        process.m_windows.setLedger(std::move(next));
    }

    void carryOutLateWrites()
    {
        for (auto write = m_late.begin(); write != m_late.end();) {
            if (m_now < write->m_at) {
                ++write;
                continue;
            }
            apply(write->m_revision, write->m_ledger);
            write = m_late.erase(write);
        }
    }

    void send(Process &process, const UsageReport &report)
    {
        const WallMillis end = (report.m_window + 1) * span;
        RC_ASSERT(m_now >= end);
        RC_ASSERT(m_now <= end + due);
        const auto [first, isFirst] = m_reported.try_emplace(report.m_window, report.m_counts);
        RC_ASSERT(isFirst || first->second == report.m_counts);
        const WindowCounts &begun = m_begun[report.m_window];
        for (const auto &[account, count] : report.m_counts)
            RC_ASSERT(count <= begun.at(account));
        if (!chance(20))
            process.m_windows.onReportAccepted(report.m_window);
    }

    pcg32 m_random;
    WallMillis m_now = 1000000;
    std::int64_t m_starts = 0;
    std::vector<Process> m_vms;
    std::size_t m_holder = 0;
    StoredUsage m_stored;
    std::vector<LateWrite> m_late;
    std::map<WindowNumber, WindowCounts> m_begun;
    std::map<WindowNumber, WindowCounts> m_reported;
};

} // namespace

// Two reports of one window with different counts can't be revoked. Processes start, count,
// exchange counts and are killed; holders change at any moment and act concurrently; writes are
// lost or take effect seconds later.
TEST_CASE("a window is never reported with two sums, nor with more than began in it")
{
    rc::prop("whatever happens", [] {
        Fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
        fleet.run(600);
    });
}
