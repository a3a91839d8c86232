#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/ledger/order_lease.hpp>

#include <map> // map
#include <optional> // optional
#include <string> // string
#include <variant> // variant

namespace gypsumdale {

/// Whether an engine refuses orders with an outdated fencing number.
enum class Fencing {
    Checked,
    Ignored,
};

/// Send the complete desired state to an engine under this fencing number.
struct SendOrder
{
    UpstreamId m_engine;
    FencingNumber m_fence = 0;
    std::string m_order;
};

/// Query the state of an engine.
struct ReadEngine
{
    UpstreamId m_engine;
};

using EngineCommand = std::variant<SendOrder, ReadEngine>;

/// Brings the engines of a data centre to their desired state while this process holds the lease.
///
/// Orders are level-triggered: each contains the complete desired state, so that repeating one is
/// harmless. After an order, and at regular intervals, the state of the engine is read, and the
/// order is repeated if it differs. This corrects the effect of a late order of an earlier orderer
/// on an engine that ignores the fencing number.
class OrderReconciler
{
public:
    /// `readInterval` is the longest time for which a wrong state goes undetected.
    explicit OrderReconciler(Duration readInterval)
        : m_readInterval(readInterval)
    {}

    /// Sets the desired state of an engine, as an opaque text that is compared with the state that
    /// the engine reports.
    void setDesired(const UpstreamId &engine, Fencing fencing, std::string order);
    void remove(const UpstreamId &engine) { m_engines.erase(engine); }

    /// Returns a command to execute at once, as the lease is checked in this call. An engine has at
    /// most one outstanding command; each requires exactly one of the calls below. Complexity:
    /// linear in the number of engines.
    std::optional<EngineCommand> next(const OrderLease &lease, TimePoint now);

    /// Records that the engine answered an order, or that the answer was lost: the state of the
    /// engine is read before it gets another order.
    void onOrderAnswered(const UpstreamId &engine);

    /// Records the state that an engine reported, or that it did not answer.
    void onRead(const UpstreamId &engine, const std::optional<std::string> &state, TimePoint now);

    /// Returns whether all engines had the desired state when last read. Complexity: linear in the
    /// number of engines.
    bool isConverged() const;

private:
    struct Engine
    {
        Fencing m_fencing = Fencing::Checked;
        std::string m_desired;
        std::optional<std::string> m_state;
        bool m_outstanding = false;
        TimePoint m_readAt;
    };

    Duration m_readInterval;
    std::map<UpstreamId, Engine> m_engines;
};

} // namespace gypsumdale
