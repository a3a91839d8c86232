#include <gypsumdale/fleet/leaving_notice.hpp>

#include <utility> // move

namespace gypsumdale {

LeavingNotice reclaimNotice(VmId vm, DataCentreId zone, WallMillis deadline, std::int64_t sequence)
{
    LeavingNotice notice;
    notice.m_deadline = deadline;
    notice.m_sequence = sequence;
    if (vm.isEmpty()) {
        notice.m_cause = LeavingCause::ZoneReclaim;
        notice.m_id = "zone/" + zone.text() + "/" + std::to_string(sequence);
        notice.m_zone = std::move(zone);
        return notice;
    }
    notice.m_cause = LeavingCause::VmReclaim;
    notice.m_id = "vm/" + vm.text() + "/" + std::to_string(sequence);
    notice.m_vm = std::move(vm);
    return notice;
}

LeavingNotice drainNotice(UpstreamId upstream, Incarnation incarnation, WallMillis at)
{
    LeavingNotice notice;
    notice.m_cause = LeavingCause::OperatorDrain;
    notice.m_id = "drain/" + upstream.text() + "/" + std::to_string(incarnation);
    notice.m_incarnation = incarnation;
    notice.m_upstream = std::move(upstream);
    notice.m_sequence = at;
    return notice;
}

LeavingNotice listedLeavingNotice(VmId vm)
{
    LeavingNotice notice;
    notice.m_cause = LeavingCause::ListSaysLeaving;
    notice.m_id = "listed/" + vm.text();
    notice.m_vm = std::move(vm);
    return notice;
}

} // namespace gypsumdale
