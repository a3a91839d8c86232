#include <gypsumdale/serving/order_book.hpp>

namespace gypsumdale {

bool OrderBook::mustSend(const ScaleOrder &order, const OrderSituation &situation,
                         Duration effectTime, TimePoint now) const
{
    const bool isSurplus = situation.m_present > order.m_count;
    const bool isKept = situation.m_hasUndecidedVersion
                        || (situation.m_wasReplaced && situation.m_isServiceShort);
    if (isSurplus && isKept)
        return false;
    const auto sent = m_sent.find(keyOf(order));
    if (sent == m_sent.end() || sent->second.m_count != order.m_count)
        return true;
    return situation.m_present != order.m_count && now > sent->second.m_at + effectTime;
}

void OrderBook::recordSent(const ScaleOrder &order, TimePoint now)
{
    m_sent[keyOf(order)] = {order.m_count, now};
}

} // namespace gypsumdale
