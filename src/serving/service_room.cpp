#include <gypsumdale/serving/service_room.hpp>

#include <algorithm> // clamp, max
#include <cmath> // llround

namespace gypsumdale {

namespace {

/// Fractions of the slots in use from which a service is short, and below which it no longer is.
/// The margin covers requests that no report shows yet, and the difference keeps the state from
/// changing with each request.
constexpr double shortFraction = 0.9;
constexpr double enoughFraction = 0.8;

/// Returns a VM's share of the demand. A VM that has seen no request yet has a small part of an
/// even share.
double demandShareOf(const RoomInputs &inputs)
{
    constexpr double minPartOfEvenShare = 0.1;
    const double even = 1.0 / static_cast<double>(std::max<std::size_t>(inputs.m_nodes, 1));
    if (!(inputs.m_fleetDemand > 0))
        return even;
    const double share = inputs.m_ownDemand / inputs.m_fleetDemand;
    return std::clamp(share, minPartOfEvenShare * even, 1.0);
}

/// Returns the requests in flight. While the service is known to be short, the VMs that don't
/// report are taken to have as many as the others: a VM that is cut off from them, or was just
/// started, would otherwise see the slots that they use as free.
double estimatedInFlight(const RoomInputs &inputs, bool isShort)
{
    const auto inFlight = static_cast<double>(inputs.m_inFlight);
    const std::size_t reporting = std::max<std::size_t>(inputs.m_reporting, 1);
    if (inputs.m_nodes <= reporting || (!isShort && !inputs.m_isReportedShort))
        return inFlight;
    return inFlight * static_cast<double>(inputs.m_nodes) / static_cast<double>(reporting);
}

} // namespace

std::optional<RoomChange> ServiceRoom::update(const RoomInputs &inputs, TimePoint now)
{
    m_inputs = inputs;
    m_demandShare = demandShareOf(inputs);
    const auto slots = static_cast<double>(std::max<std::int64_t>(inputs.m_slots, 0));
    m_window = std::max<std::int64_t>(std::llround(slots * m_demandShare), 1);
    const bool wasShort = m_isShort;
    const double fraction = wasShort ? enoughFraction : shortFraction;
    m_isShort = slots > 0 && estimatedInFlight(inputs, wasShort) >= fraction * slots;
    if (m_isShort || wasShort)
        m_lastShortAt = now;
    if (m_isShort == wasShort)
        return std::nullopt;
    if (m_isShort)
        return RoomChange::SlotsInUse;
    return slots <= 0 ? RoomChange::NoSlots : RoomChange::SlotsFree;
}

bool ServiceRoom::wasShortWithin(Duration time, TimePoint now) const
{
    return m_isShort || (m_lastShortAt && now - *m_lastShortAt <= time);
}

} // namespace gypsumdale
