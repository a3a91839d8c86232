#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/fleet/node.hpp>

#include <cstdint> // int64_t
#include <string> // string

namespace gypsumdale {

enum class LeavingCause { VmReclaim, ZoneReclaim, ListSaysLeaving, OperatorDrain };

inline constexpr NameTable<LeavingCause, 4> leavingCauseNames = {{
        {LeavingCause::VmReclaim, "vm-reclaim"},
        {LeavingCause::ZoneReclaim, "zone-reclaim"},
        {LeavingCause::ListSaysLeaving, "list-says-leaving"},
        {LeavingCause::OperatorDrain, "operator-drain"},
}};

/// Notice that a VM, all VMs of a zone, or one upstream must get no new work. Exactly one of m_vm,
/// m_zone and m_upstream is set. Created by the functions below, so that every node assigns the
/// same id to the same notice.
struct LeavingNotice
{
    std::string m_id;
    LeavingCause m_cause = LeavingCause::VmReclaim;
    VmId m_vm;
    DataCentreId m_zone;
    UpstreamId m_upstream;
    /// Incarnation of the upstream that an operator drains.
    Incarnation m_incarnation = 0;
    /// Time at which the VMs end; 0 if unknown.
    WallMillis m_deadline = 0;
    /// The cloud's sequence number of the notice, or the time of the drain.
    std::int64_t m_sequence = 0;
};

/// Creates a notice from an entry of the cloud's notices; an empty vm means the whole zone.
LeavingNotice reclaimNotice(VmId vm, DataCentreId zone, WallMillis deadline, std::int64_t sequence);
/// Creates a notice from an operator's drain of one upstream in its current incarnation.
LeavingNotice drainNotice(UpstreamId upstream, Incarnation incarnation, WallMillis at);
/// Creates a notice from the VM list, which shows the VM as leaving.
LeavingNotice listedLeavingNotice(VmId vm);

} // namespace gypsumdale
