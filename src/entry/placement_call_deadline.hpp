#pragma once

#include <gypsumdale/entry/entry_traffic.hpp>
#include <gypsumdale/runtime/delivery_deadline.hpp>
#include <gypsumdale/serving/placement_deadline.hpp>

#include <algorithm> // min
#include <optional> // optional

namespace gypsumdale {

/// Whether a deadline is extended when the list of upstreams is confirmed again.
enum class DeadlineRenewal { OnConfirmation, None };

/// Placement deadline of one HTTP call: the request may reach the selected upstream only as long as
/// the list in use is valid for that upstream.
class PlacementCallDeadline : public DeliveryDeadline
{
public:
    PlacementCallDeadline(const EntryTraffic &traffic, TimePoint until, DeadlineRenewal renewal)
        : m_traffic(traffic)
        , m_until(until)
        , m_isRenewed(renewal == DeadlineRenewal::OnConfirmation)
    {}

    TimePoint until() const { return m_isRenewed ? m_traffic.renewedDeadline(m_until) : m_until; }

    /// Handles that the upstream begins to leave: nothing more is sent to it, and bytes already
    /// sent have the time of an ordinary network path to arrive.
    void noteLeaving()
    {
        m_until = std::min(until(), m_traffic.now() + PlacementDeadline::deliveryMargin);
        m_isRenewed = false;
        m_isLeaving = true;
        notifyShortened();
    }

    Duration left() const override { return until() - m_traffic.now(); }
    bool maySend(Duration connecting) const override
    {
        return !m_isLeaving && PlacementDeadline::maySend(until(), connecting, m_traffic.now());
    }

private:
    const EntryTraffic &m_traffic;
    TimePoint m_until;
    bool m_isRenewed;
    bool m_isLeaving = false;
};

} // namespace gypsumdale
