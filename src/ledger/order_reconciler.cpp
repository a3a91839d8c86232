#include <gypsumdale/ledger/order_reconciler.hpp>

#include <algorithm> // all_of
#include <utility> // move

namespace gypsumdale {

void OrderReconciler::setDesired(const UpstreamId &engine, Fencing fencing, std::string order)
{
    Engine &entry = m_engines[engine];
    entry.m_fencing = fencing;
    entry.m_desired = std::move(order);
}

std::optional<EngineCommand> OrderReconciler::next(const OrderLease &lease, TimePoint now)
{
    for (auto &[id, engine] : m_engines) {
        const bool isChecked = engine.m_fencing == Fencing::Checked;
        const auto fence = isChecked ? lease.fence(now) : lease.fenceForUncheckedEngine(now);
        if (engine.m_outstanding || !fence)
            continue;
        if (!engine.m_state && now < engine.m_readAt)
            continue;
        if (!engine.m_state || now >= engine.m_readAt) {
            engine.m_outstanding = true;
            return ReadEngine{id};
        }
        if (engine.m_state == engine.m_desired)
            continue;
        engine.m_outstanding = true;
        return SendOrder{id, *fence, engine.m_desired};
    }
    return std::nullopt;
}

void OrderReconciler::onOrderAnswered(const UpstreamId &engine)
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end())
        return;
    found->second.m_outstanding = false;
    found->second.m_state.reset();
    found->second.m_readAt = TimePoint::min();
}

void OrderReconciler::onRead(const UpstreamId &engine, const std::optional<std::string> &state,
                             TimePoint now)
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end())
        return;
    found->second.m_outstanding = false;
    found->second.m_state = state;
    found->second.m_readAt = now + m_readInterval;
}

bool OrderReconciler::isConverged() const
{
    return std::all_of(m_engines.begin(), m_engines.end(), [](const auto &engine) {
        return engine.second.m_state == engine.second.m_desired;
    });
}

} // namespace gypsumdale
