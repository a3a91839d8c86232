#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/ledger/order_lease.hpp>

#include <map> // map
#include <optional> // optional
#include <string> // string
#include <variant> // variant

namespace gypsumdale {

/// Whether an engine refuses an order with an old fencing number.
enum class Fencing {
    Checked,
    Ignored,
};

/// Send the whole desired state to an engine, under this number.
struct SendOrder
{
    UpstreamId m_engine;
    FencingNumber m_fence = 0;
    std::string m_order;
};

/// Ask an engine which state it is in.
struct ReadEngine
{
    UpstreamId m_engine;
};

using EngineCommand = std::variant<SendOrder, ReadEngine>;

/// Brings the engines of a data centre to their desired state, while this process holds the lease.
///
/// Orders are level-triggered: each carries the whole state wanted, so that repeating one does no
/// harm. After an order, and from time to time, the engine is read, and ordered again if it
/// differs: that corrects what a late order of an earlier orderer did to an engine that ignores the
/// number.
class OrderReconciler
{
public:
    /// The interval is the longest time for which a wrong state goes unseen.
    explicit OrderReconciler(Duration readInterval)
        : m_readInterval(readInterval)
    {}

    /// Sets what an engine shall be in, as an opaque text that compares equal to what it reports.
    void setDesired(const UpstreamId &engine, Fencing fencing, std::string order);
    void remove(const UpstreamId &engine) { m_engines.erase(engine); }

    /// Returns a command to carry out at once: the lease is checked in this call. At most one is
    /// outstanding for an engine; each needs exactly one of the answers below. Linear.
    std::optional<EngineCommand> next(const OrderLease &lease, TimePoint now);

    /// The engine answered an order, or its answer was lost: it is read before anything else.
    void onOrderAnswered(const UpstreamId &engine);

    /// The engine is in this state, or did not say.
    void onRead(const UpstreamId &engine, const std::optional<std::string> &state, TimePoint now);

    /// Tells whether all engines were last seen as desired. Linear.
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
