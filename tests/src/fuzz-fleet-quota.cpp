#include <gypsumdale/serving/fleet_quota.hpp>

#include <catch2/catch.hpp>
#include <pcg_random.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <deque> // deque
#include <memory> // unique_ptr
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

constexpr double rate = 10000;
constexpr double limit = 9 * rate;
/// The excess that users tolerate: a tenth over the limit, and a constant.
constexpr double tolerated = 1.1 * limit + 0.26 * rate;
constexpr Duration step = 25ms;
constexpr Duration exchangeEvery = 500ms;
/// Exchange interval of a small fleet, which is multiplied in a large one.
constexpr Duration spreadEvery = 250ms;

struct Admission
{
    TimePoint m_at;
    double m_cost = 0;
};

/// VMs with uneven, changing demand; exchanges are lost while the fleet is partitioned.
class World
{
public:
    explicit World(std::uint32_t seed, std::size_t nodes, int stretch = 1)
        : m_random(seed)
        , m_stretch(stretch)
        , m_demand(nodes, 0)
        , m_side(nodes, 0)
    {
        for (std::size_t node = 0; node < nodes; ++node)
            m_nodes.push_back(std::make_unique<FleetQuota>(FleetQuotaSettings{}));
        for (const auto &node : m_nodes)
            node->setExchangeStretch(stretch);
        exchangeAll();
    }

    /// Simulates a period; returns the most that was admitted within one window.
    double play(Duration length)
    {
        const TimePoint end = m_now + length;
        TimePoint nextExchange = m_now;
        while (m_now < end) {
            if (m_stretch > 1) {
                exchangeSome();
            } else if (m_now >= nextExchange) {
                exchangeAll();
                nextExchange += exchangeEvery;
            }
            demandAll();
            m_now += step;
        }
        return m_most;
    }

    void drawDemand(double total)
    {
        double sum = 0;
        for (double &part : m_demand) {
            part = 0.5 + unit();
            sum += part;
        }
        for (double &part : m_demand)
            part *= total / sum;
    }

    void part()
    {
        for (int &side : m_side)
            side = static_cast<int>(m_random(3));
    }

    /// All VMs lose power at once; the registry lists how many there are.
    void restartAll()
    {
        FleetQuotaSettings settings;
        settings.m_restartedAt = m_now;
        for (auto &node : m_nodes) {
            node = std::make_unique<FleetQuota>(settings);
            node->setExchangeStretch(m_stretch);
            node->setExpectedFleetSize(m_nodes.size());
        }
    }

    /// Every VM is isolated.
    void separate()
    {
        for (std::size_t node = 0; node < m_side.size(); ++node)
            m_side[node] = static_cast<int>(node);
    }

    void heal() { std::fill(m_side.begin(), m_side.end(), 0); }

    double unit() { return m_random() / 4294967296.0; }

private:
    void exchangeAll()
    {
        for (std::size_t from = 0; from < m_nodes.size(); ++from)
            tellAll(from);
    }

    void tellAll(std::size_t from)
    {
        const auto uses = m_nodes[from]->localUsage(m_now);
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            if (from != to && m_side[from] == m_side[to])
                m_nodes[to]->setPeerUsage(std::to_string(from), uses, m_now);
        }
    }

    /// Each VM reports its usage at its own time within the stretched interval.
    void exchangeSome()
    {
        const auto steps = static_cast<std::size_t>(spreadEvery * m_stretch / step);
        const auto at = static_cast<std::size_t>(m_now.time_since_epoch() / step);
        for (std::size_t from = 0; from < m_nodes.size(); ++from) {
            if ((at + from * 7) % steps == 0)
                tellAll(from);
        }
    }

    void demandAll()
    {
        ClientAccount account;
        account.m_id = AccountId("huber");
        account.m_ratePerSecond = rate;
        account.m_burst = rate;
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            const double cost = m_demand[node] * std::chrono::duration<double>(step).count();
            if (cost <= 0)
                continue;
            if (m_nodes[node]->admit(account, cost, m_now).m_verdict == QuotaVerdict::Admitted)
                note(cost);
        }
    }

    void note(double cost)
    {
        m_admitted.push_back({m_now, cost});
        m_sum += cost;
        while (m_admitted.front().m_at + 8s <= m_now) {
            m_sum -= m_admitted.front().m_cost;
            m_admitted.pop_front();
        }
        m_most = std::max(m_most, m_sum);
    }

    pcg32 m_random;
    int m_stretch;
    TimePoint m_now{1h};
    std::vector<std::unique_ptr<FleetQuota>> m_nodes;
    std::vector<double> m_demand;
    std::vector<int> m_side;
    std::deque<Admission> m_admitted;
    double m_sum = 0;
    double m_most = 0;
};

} // namespace

TEST_CASE("quotas over a fleet")
{
    rc::prop("a rush is held to the limit, however uneven it comes", [] {
        const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>());
        World world(seed, 7);
        for (int phase = 0; phase < 6; ++phase) {
            world.drawDemand(rate * (0.3 + 6 * world.unit()));
            RC_ASSERT(world.play(4s) <= tolerated);
        }
    });
    rc::prop("a rush that begins in a parted fleet is held to the limit", [] {
        // Partitioned parts of the fleet receive nothing from each other. Each reserves a share for
        // the unreachable VMs, so that their sum stays below the limit.
        const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>());
        World world(seed, 7);
        world.part();
        world.play(3s);
        world.drawDemand(rate * (1 + 5 * world.unit()));
        RC_ASSERT(world.play(12s) <= tolerated);
    });
    rc::prop("a rush is held to the limit in a fleet whose exchanges are spread out", [] {
        // 60 VMs exchange reports every 1.5 s. What they admit in between is in no other VM's
        // bucket.
        const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>());
        World world(seed, 60, 6);
        for (int phase = 0; phase < 4; ++phase) {
            world.drawDemand(rate * (0.3 + 6 * world.unit()));
            RC_ASSERT(world.play(4s) <= tolerated);
        }
    });
    rc::prop("a rush goes on being held to the limit when all VMs restart", [] {
        // After a power failure no VM received a report of another for a second. Each used the
        // whole rate, and the fleet admitted twice the limit.
        const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>());
        World world(seed, 60, 6);
        world.drawDemand(rate * (1 + 5 * world.unit()));
        RC_ASSERT(world.play(6s) <= tolerated);
        world.restartAll();
        world.separate();
        RC_ASSERT(world.play(1s) <= tolerated);
        world.heal();
        RC_ASSERT(world.play(6s) <= tolerated);
    });
    rc::prop("demand just within the limit is served in such a fleet", [] {
        const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>());
        World world(seed, 60, 6);
        world.drawDemand(rate * 0.88);
        RC_ASSERT(world.play(12s) >= 8 * rate * 0.88 * 0.97);
    });
    rc::prop("usual demand is never refused in a whole fleet", [] {
        const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>());
        World world(seed, 7);
        world.drawDemand(rate * 0.6);
        RC_ASSERT(world.play(12s) >= 8 * rate * 0.6 * 0.97);
    });
}
