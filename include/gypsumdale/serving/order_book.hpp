#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/scale_planner.hpp>

#include <map> // map
#include <utility> // pair

namespace gypsumdale {

/// What is there of what an order is about.
struct OrderSituation
{
    /// Upstreams of the order's kind that serve, without those of a version that is being rolled
    /// out.
    int m_present = 0;
    /// A version of the service is being rolled out.
    bool m_hasUndecidedVersion = false;
    /// A roll-out has put upstreams of one kind in the place of others.
    bool m_wasReplaced = false;
    /// Fewer upstreams are there than ordered, of some kind, somewhere.
    bool m_isServiceShort = false;
};

/// Which orders for upstreams were sent, and which are to be sent now. What a roll-out has started
/// is never taken away by an order: not while it is undecided, nor after it has replaced all
/// others, until what is ordered is there.
class OrderBook
{
public:
    /// Returns whether an order is new, or has had no effect within a time. Complexity:
    /// logarithmic.
    bool mustSend(const ScaleOrder &order, const OrderSituation &situation, Duration effectTime,
                  TimePoint now) const;

    void recordSent(const ScaleOrder &order, TimePoint now);
    void clear() { m_sent.clear(); }

private:
    using Key = std::pair<std::pair<ServiceId, DataCentreId>, bool>;
    struct SentOrder
    {
        int m_count = 0;
        TimePoint m_at{};
    };

    static Key keyOf(const ScaleOrder &order)
    {
        return {{order.m_service, order.m_dataCentre}, order.m_isReclaimable};
    }

    std::map<Key, SentOrder> m_sent;
};

} // namespace gypsumdale
