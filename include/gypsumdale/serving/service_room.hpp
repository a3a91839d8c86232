#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <optional> // optional

namespace gypsumdale {

/// What a VM knows of one service's capacity and load.
struct RoomInputs
{
    /// Sum over the placeable upstreams.
    std::int64_t m_slots = 0;
    /// Requests of all VMs in flight, as far as is known.
    std::int64_t m_inFlight = 0;
    /// Requests per second that arrive at this VM, and at all VMs.
    double m_ownDemand = 0;
    double m_fleetDemand = 0;
    /// Number of VMs in the fleet, this one included.
    std::size_t m_nodes = 1;
    /// Number of them whose requests in flight are known, this one included.
    std::size_t m_reporting = 1;
    /// Whether a peer reports that the service is short of slots, or was lately.
    bool m_isReportedShort = false;
    /// Age of the oldest report of the peers that is in use.
    Duration m_reportAge{};
};

/// Whether a service has enough slots for its requests.
enum class RoomState {
    Enough,
    Short,
};

inline constexpr NameTable<RoomState, 2> roomStateNames = {{
        {RoomState::Enough, "enough"},
        {RoomState::Short, "short"},
}};

/// Why a service has become short of slots, or is no longer.
enum class RoomChange {
    SlotsInUse,
    SlotsFree,
    /// There is no upstream: requests are answered as such, none waits.
    NoSlots,
};

inline constexpr NameTable<RoomChange, 3> roomChangeNames = {{
        {RoomChange::SlotsInUse, "slots-in-use"},
        {RoomChange::SlotsFree, "slots-free"},
        {RoomChange::NoSlots, "no-slots"},
}};

/// The slots of one service as seen by one VM: whether they are short, and how many requests this
/// VM may have in flight while they are.
///
/// Load: any number of VMs with reports of up to several seconds; demand that is distributed
/// unevenly over the VMs; upstreams that appear and vanish by the third of all.
class ServiceRoom
{
public:
    /// Applies what is known now. Returns why the service became short or is no longer, or nothing
    /// if that has not changed. Complexity: constant.
    std::optional<RoomChange> update(const RoomInputs &inputs, TimePoint now);

    bool isShort() const { return m_isShort; }
    RoomState state() const { return m_isShort ? RoomState::Short : RoomState::Enough; }
    /// Returns whether the service is short, or was within a time before now.
    bool wasShortWithin(Duration time, TimePoint now) const;

    /// Returns how many requests this VM may have in flight while the service is short: its share
    /// of the slots by demand, and at least one.
    std::int64_t window() const { return m_window; }

    /// Returns this VM's share of the fleet's demand, from above 0 to 1.
    double demandShare() const { return m_demandShare; }

    const RoomInputs &inputs() const { return m_inputs; }

private:
    RoomInputs m_inputs;
    bool m_isShort = false;
    std::optional<TimePoint> m_lastShortAt;
    std::int64_t m_window = 1;
    double m_demandShare = 1;
};

} // namespace gypsumdale
