#include <gypsumdale/serving/fleet_quota.hpp>

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <algorithm> // max, min
#include <cmath> // exp, log
#include <cstddef> // size_t
#include <deque> // deque
#include <map> // multimap
#include <memory> // unique_ptr
#include <numeric> // accumulate
#include <string> // to_string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

constexpr double rate = 970000;
constexpr double slack = 140000;
constexpr double tolerated = 9 * rate * 1.1 + slack;
constexpr Duration step = 25ms;
/// Costs and priorities of the two classes: long streams and short ones.
constexpr double urgentCost = 12400;
constexpr double usualCost = 2400;
constexpr int urgentPriority = 0;
constexpr int usualPriority = 2;
/// Longest time after which a caller returns.
constexpr Duration patience = 30s;

struct Tally
{
    double m_asked = 0;
    double m_admitted = 0;
    double fraction() const { return m_asked > 0 ? m_admitted / m_asked : 1; }
};

struct Results
{
    Tally m_urgent;
    Tally m_usual;
    Tally m_returned;
    double m_mostDrawn = 0;
    double m_mostInWindow = 0;
};

/// VMs that one account's requests reach, spread unevenly; each pair of VMs exchanges reports at
/// its own time within the interval of a fleet of that size.
class QuotaWorld
{
public:
    QuotaWorld(std::uint32_t seed, std::size_t nodes)
        : m_random(seed)
        , m_stretch(1 + static_cast<int>((nodes - 1) / 12))
        , m_isCut(nodes, false)
        , m_capacity(m_stretch > 1 ? 0.5 * rate : rate)
        , m_level(m_capacity)
    {
        for (std::size_t node = 0; node < nodes; ++node) {
            m_nodes.push_back(make(false));
            m_weights.push_back(0.4 + 1.2 * unit());
        }
        m_weightSum = std::accumulate(m_weights.begin(), m_weights.end(), 0.0);
        for (std::size_t node = 0; node < nodes; ++node)
            tellAll(node);
    }

    /// Simulates a period at a demand of each class in multiples of the rate.
    Results play(Duration length, double urgent, double usual)
    {
        m_results = {};
        for (const TimePoint end = m_now + length; m_now < end; m_now += step) {
            exchange();
            arrive(urgentPriority, urgent);
            arrive(usualPriority, usual);
            returnDue();
            drainReference();
        }
        return m_results;
    }

    void cutThird(bool isCut)
    {
        for (std::size_t node = 0; node < m_nodes.size(); node += 3)
            m_isCut[node] = isCut;
    }

    void restartAll()
    {
        for (auto &node : m_nodes)
            node = make(true);
        m_level = 0;
    }
    double capacity() const { return m_capacity; }
    bool m_doReturn = false;

private:
    std::unique_ptr<FleetQuota> make(bool isRestart)
    {
        FleetQuotaSettings settings;
        settings.m_slack = slack;
        if (isRestart)
            settings.m_restartedAt = m_now;
        auto node = std::make_unique<FleetQuota>(settings);
        node->setExchangeStretch(m_stretch);
        if (isRestart)
            node->setExpectedFleetSize(m_nodes.size());
        return node;
    }

    static ClientAccount account()
    {
        ClientAccount account;
        account.m_id = AccountId("huber");
        account.m_ratePerSecond = rate;
        account.m_burst = rate;
        return account;
    }

    double unit() { return m_random() / 4294967296.0; }

    void tell(std::size_t from, std::size_t to)
    {
        m_nodes[to]->setPeerUsage(std::to_string(from), m_nodes[from]->localUsage(m_now), m_now);
    }

    void tellAll(std::size_t from)
    {
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            if (to != from)
                tell(from, to);
        }
    }

    void exchange()
    {
        const auto steps = static_cast<std::size_t>(250ms * m_stretch / step);
        const auto turn = static_cast<std::size_t>(m_now.time_since_epoch() / step) % steps;
        for (std::size_t left = 0; left < m_nodes.size(); ++left) {
            for (std::size_t right = left + 1; right < m_nodes.size(); ++right) {
                if ((left * 7919 + right * 104729) / 13 % steps != turn
                    || m_isCut[left] != m_isCut[right])
                    continue;
                tell(left, right);
                tell(right, left);
            }
        }
    }

    std::size_t drawNode()
    {
        double drawn = unit() * m_weightSum;
        for (std::size_t node = 0; node + 1 < m_nodes.size(); ++node) {
            drawn -= m_weights[node];
            if (drawn < 0)
                return node;
        }
        return m_nodes.size() - 1;
    }

    int poisson(double mean)
    {
        int count = 0;
        for (double left = mean + std::log(1 - unit()); left > 0; left += std::log(1 - unit()))
            ++count;
        return count;
    }

    void arrive(int priority, double multiple)
    {
        const double cost = priority == urgentPriority ? urgentCost : usualCost;
        const int count = poisson(multiple * rate * toSeconds(step) / cost);
        for (int request = 0; request < count; ++request)
            ask(priority, false);
    }

    void returnDue()
    {
        while (!m_returns.empty() && m_returns.begin()->first <= m_now) {
            const int priority = m_returns.begin()->second;
            m_returns.erase(m_returns.begin());
            ask(priority, true);
        }
    }

    void ask(int priority, bool isReturn)
    {
        const double cost = priority == urgentPriority ? urgentCost : usualCost;
        FleetQuota &quota = *m_nodes[drawNode()];
        const auto decision = quota.admit(account(), priority, cost, m_now);
        const bool isAdmitted = decision.m_verdict == QuotaVerdict::Admitted;
        Tally &tally = priority == urgentPriority ? m_results.m_urgent : m_results.m_usual;
        if (isReturn) {
            m_results.m_returned.m_asked += 1;
            m_results.m_returned.m_admitted += isAdmitted ? 1 : 0;
        } else {
            tally.m_asked += cost;
            tally.m_admitted += isAdmitted ? cost : 0;
        }
        if (isAdmitted)
            note(cost);
        else if (m_doReturn && !isReturn && decision.m_retryAfter <= patience)
            m_returns.emplace(m_now + decision.m_retryAfter, priority);
    }

    void note(double cost)
    {
        m_level -= cost;
        m_admitted.emplace_back(m_now, cost);
        m_sum += cost;
        while (m_admitted.front().first + 8s <= m_now) {
            m_sum -= m_admitted.front().second;
            m_admitted.pop_front();
        }
        m_results.m_mostInWindow = std::max(m_results.m_mostInWindow, m_sum);
        m_results.m_mostDrawn = std::max(m_results.m_mostDrawn, 1 - m_level / m_capacity);
    }

    /// Refills the bucket of a VM that would know of each admission at once, at the same rate.
    void drainReference()
    {
        const double fraction = 0.9 - 0.02 * (m_stretch - 1);
        const double filled = (std::max(fraction, 0.58) * tolerated - m_capacity) / 8;
        m_level = std::min(m_level + filled * toSeconds(step), m_capacity);
    }

    pcg32 m_random;
    int m_stretch;
    TimePoint m_now{1h};
    std::vector<std::unique_ptr<FleetQuota>> m_nodes;
    std::vector<double> m_weights;
    double m_weightSum = 0;
    std::vector<bool> m_isCut;
    std::multimap<TimePoint, int> m_returns;
    std::deque<std::pair<TimePoint, double>> m_admitted;
    double m_sum = 0;
    double m_capacity = 0;
    double m_level = 0;
    Results m_results;
};

} // namespace

// Reports of 77 VMs are 1.75 s old. The VMs drew an account's bucket to 4.9 times its capacity as
// its demand rose sixfold, and refused seven in ten of its most urgent requests.
TEST_CASE("a sixfold rise neither overdraws a quota nor blocks the urgent requests")
{
    const std::size_t nodes = GENERATE(6, 77);
    const std::uint32_t seed = GENERATE(1, 2);
    INFO(nodes << " VMs, seed " << seed);
    QuotaWorld world(seed, nodes);
    world.play(6s, 0.05, 0.55);
    const Results usual = world.play(12s, 0.05, 0.55);
    CHECK(usual.m_urgent.fraction() == 1);
    CHECK(usual.m_usual.fraction() >= 0.999);
    const Results rush = world.play(6s, 6 * 0.03, 6 * 0.57);
    const double admitted = rush.m_urgent.m_admitted + rush.m_usual.m_admitted;
    const double average = admitted / (rush.m_urgent.m_asked + rush.m_usual.m_asked);
    CHECK(rush.m_urgent.fraction() >= 0.8);
    CHECK(rush.m_usual.fraction() >= 0.5 * average);
    CHECK(admitted >= 0.9 * 6 * 0.89 * rate);
    CHECK(rush.m_mostDrawn * world.capacity() <= 1.25 * rate);
    CHECK(rush.m_mostInWindow <= tolerated);
}

// VMs that are cut off, and VMs that forget what they admitted, must not give the account a second
// quota.
TEST_CASE("the limit holds in a rush with a third cut off and with all VMs restarted")
{
    const std::size_t nodes = GENERATE(6, 77);
    QuotaWorld world(7, nodes);
    world.play(6s, 0.05, 0.55);
    world.cutThird(true);
    CHECK(world.play(6s, 0.3, 5.7).m_mostInWindow <= tolerated);
    world.cutThird(false);
    CHECK(world.play(3s, 0.3, 5.7).m_mostInWindow <= tolerated);
    world.restartAll();
    CHECK(world.play(5s, 0.3, 5.7).m_mostInWindow <= tolerated);
}

// Callers that were refused together were told the same time, and nine in ten were refused again.
TEST_CASE("callers that return when told are spread over the rate")
{
    const std::size_t nodes = GENERATE(6, 77);
    QuotaWorld world(3, nodes);
    world.m_doReturn = true;
    world.play(12s, 0.05, 0.55);
    world.play(2s, 0.3, 5.7);
    CHECK(world.play(30s, 0.05, 0.3).m_returned.fraction() >= 0.9);
}
