#pragma once

#include "support/memory_lease_platform.hpp"

#include <gypsumdale/ledger/order_lease.hpp>
#include <gypsumdale/ledger/order_reconciler.hpp>

#include <fmt/format.h>
#include <rapidcheck.h>

#include <chrono> // hours, milliseconds, seconds
#include <cstddef> // size_t
#include <cstdint> // uint32_t
#include <deque> // deque
#include <memory> // make_unique, unique_ptr
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale::testing {

inline constexpr std::size_t orderNodes = 3;
inline constexpr Duration longestPause = std::chrono::seconds(20);
inline const UpstreamId checkedEngine("checks");
inline const UpstreamId otherEngine("ignores");

struct OrderNode
{
    std::unique_ptr<OrderLease> m_lease;
    std::unique_ptr<OrderReconciler> m_reconciler;
    int m_life = 0;
    TimePoint m_pausedUntil;
    std::optional<LeaseCommand> m_inFlight;
    /// Order that was checked and is delayed between the check and the engine.
    std::optional<SendOrder> m_heldUp;
    TimePoint m_checkedAt;
};

/// Order whose process died after it was sent.
struct OrderInFlight
{
    SendOrder m_order;
    TimePoint m_checkedAt;
};

/// One engine that refuses superseded fence numbers, and one that accepts every order.
class OrderedEngines
{
public:
    void order(const SendOrder &order)
    {
        if (order.m_engine == otherEngine) {
            // Within the longest pause no older orderer follows a newer one.
            RC_ASSERT(order.m_fence >= m_lastFence);
            m_lastFence = order.m_fence;
            ++m_taken;
            m_other = order.m_order;
            return;
        }
        if (order.m_fence < m_checkedFence)
            return;
        m_checkedFence = order.m_fence;
        m_checked = order.m_order;
    }

    std::size_t taken() const { return m_taken; }

    const std::string &state(const UpstreamId &engine) const
    {
        return engine == otherEngine ? m_other : m_checked;
    }

private:
    std::size_t m_taken = 0;
    FencingNumber m_checkedFence = 0;
    FencingNumber m_lastFence = 0;
    std::string m_checked;
    std::string m_other;
};

/// How long an order may be delayed between its check and the engine.
enum class OrderDelays {
    /// At most for the longest pause, on which the wait of fenceForUncheckedEngine() is based.
    Bounded,
    /// For any time, by consecutive pauses.
    Unbounded,
};

class OrderWorld
{
public:
    explicit OrderWorld(OrderDelays holdUps)
        : m_holdUps(holdUps)
    {
        for (std::size_t index = 0; index < orderNodes; ++index)
            restart(index);
    }

    void step(std::uint32_t value)
    {
        const std::uint32_t what = (value >> 8U) % 256;
        const std::size_t index = (value >> 16U) % orderNodes;
        OrderNode &node = m_nodes[index];
        m_now += std::chrono::milliseconds(value % 300);
        arriveInTime();
        if (what == 0)
            restart(index);
        else if (what < 3)
            node.m_pausedUntil = m_now + std::chrono::seconds((value >> 20U) % 18);
        if (m_now < node.m_pausedUntil)
            return;
        if (what == 3)
            node.m_lease->release();
        else if (what < 8)
            lateWrite();
        else if (what < 140)
            platformStep(node, what);
        else
            engineStep(node, value);
        check();
    }

    void heal()
    {
        for (int second = 0; second < 90; ++second) {
            m_now += std::chrono::seconds(1);
            arriveInTime();
            for (std::size_t index = 0; index < orderNodes; ++index) {
                OrderNode &node = m_nodes[index];
                platformStep(node, 100);
                platformStep(node, 100);
                for (int times = 0; times < 6; ++times)
                    engineStep(node, 0);
            }
        }
        check();
    }

    std::size_t uncheckedOrders() const { return m_engines.taken(); }

    bool isConverged() const
    {
        const bool somebodyHolds = holder() != nullptr;
        const bool isAgreed = m_engines.state(checkedEngine) == m_engines.state(otherEngine);
        return somebodyHolds && isAgreed && !m_engines.state(otherEngine).empty();
    }

private:
    void restart(std::size_t index)
    {
        OrderNode &node = m_nodes[index];
        if (node.m_inFlight)
            m_late.push_back(*node.m_inFlight);
        if (node.m_heldUp && m_holdUps == OrderDelays::Bounded)
            m_underWay.push_back({*node.m_heldUp, node.m_checkedAt});
        const int life = node.m_life + 1;
        node = OrderNode{};
        node.m_life = life;
        const std::string name = fmt::format("n{}#{}", index, life);
        node.m_lease = std::make_unique<OrderLease>(
                OrderLeaseBuilder(name).longestPause(longestPause).build());
        node.m_reconciler = std::make_unique<OrderReconciler>(std::chrono::seconds(3));
        node.m_reconciler->setDesired(checkedEngine, Fencing::Checked, name);
        node.m_reconciler->setDesired(otherEngine, Fencing::Ignored, name);
    }

    /// Delivers orders that were delayed for the longest pause.
    void arriveInTime()
    {
        if (m_holdUps == OrderDelays::Unbounded)
            return;
        for (OrderNode &node : m_nodes) {
            if (node.m_heldUp && m_now >= node.m_checkedAt + longestPause)
                arrive(node);
        }
        std::erase_if(m_underWay, [this](const OrderInFlight &order) {
            if (m_now < order.m_checkedAt + longestPause)
                return false;
            m_engines.order(order.m_order);
            return true;
        });
    }

    void arrive(OrderNode &node)
    {
        m_engines.order(*node.m_heldUp);
        node.m_reconciler->onOrderAnswered(node.m_heldUp->m_engine);
        node.m_heldUp.reset();
    }

    void lateWrite()
    {
        if (m_late.empty())
            return;
        m_platform.perform(m_late.front());
        m_late.pop_front();
    }

    void platformStep(OrderNode &node, std::uint32_t how)
    {
        if (!node.m_inFlight) {
            node.m_inFlight = node.m_lease->next(m_now);
            return;
        }
        const LeaseCommand command = *node.m_inFlight;
        node.m_inFlight.reset();
        LeaseAnswer answer = LeaseAnswerLost{std::chrono::seconds(1)};
        if (how < 12)
            m_platform.perform(command);
        else if (how < 16)
            m_late.push_back(command);
        else if (how > 20)
            answer = m_platform.perform(command);
        node.m_lease->onAnswer(answer, m_now);
    }

    void engineStep(OrderNode &node, std::uint32_t value)
    {
        if (node.m_heldUp)
            return arrive(node);
        const auto command = node.m_reconciler->next(*node.m_lease, m_now);
        if (!command)
            return;
        if (const auto *read = std::get_if<ReadEngine>(&*command)) {
            node.m_reconciler->onRead(read->m_engine, m_engines.state(read->m_engine), m_now);
            return;
        }
        // The process pauses between its check and the order, for less than the longest pause.
        node.m_heldUp = std::get<SendOrder>(*command);
        node.m_checkedAt = m_now;
        if (value % 3 == 0)
            engineStep(node, value);
        else
            node.m_pausedUntil = m_now + std::chrono::seconds((value >> 20U) % 18);
    }

    const OrderNode *holder() const
    {
        for (const OrderNode &node : m_nodes) {
            if (node.m_lease->isHeld(m_now))
                return &node;
        }
        return nullptr;
    }

    void check() const
    {
        std::size_t holders = 0;
        for (const OrderNode &node : m_nodes)
            holders += node.m_lease->isHeld(m_now) ? 1 : 0;
        RC_ASSERT(holders <= 1U);
    }

    OrderDelays m_holdUps;
    MemoryLeasePlatform m_platform;
    OrderedEngines m_engines;
    OrderNode m_nodes[orderNodes];
    TimePoint m_now{std::chrono::hours(1)};
    std::deque<LeaseCommand> m_late;
    std::vector<OrderInFlight> m_underWay;
};

/// Simulates faults in any order. Returns how many orders reached the engine that ignores fence
/// numbers, or nothing if one of an older orderer arrived after one of a newer orderer.
inline std::optional<std::size_t> simulateOrders(OrderDelays holdUps)
{
    constexpr std::uint32_t rounds = 40;
    constexpr int lengthening = 20;
    std::size_t orders = 0;
    for (std::uint32_t round = 0; round < rounds; ++round) {
        const bool isGood = rc::check("no older orderer's state comes back", [&] {
            const auto steps = *rc::gen::scale(
                    lengthening, rc::gen::container<std::vector<std::uint32_t>>(
                                         rc::gen::inRange<std::uint32_t>(0, 1U << 30U)));
            OrderWorld world(holdUps);
            for (const std::uint32_t value : steps)
                world.step(value ^ (round << 12U));
            orders += world.uncheckedOrders();
            world.heal();
        });
        if (!isGood)
            return std::nullopt;
    }
    return orders;
}

} // namespace gypsumdale::testing
