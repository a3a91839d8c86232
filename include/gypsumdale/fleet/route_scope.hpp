#pragma once

#include <gypsumdale/core/names.hpp>
#include <gypsumdale/fleet/data_centre_summary.hpp>

#include <map> // map
#include <string> // string
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// When a request may go to an upstream of another data centre.
enum class RemoteScope { Never, WhenGone, WhenFull };

inline constexpr NameTable<RemoteScope, 3> remoteScopeNames = {{
        {RemoteScope::Never, "never"},
        {RemoteScope::WhenGone, "when-gone"},
        {RemoteScope::WhenFull, "when-full"},
}};

/// Route within the own data centre.
struct RouteOwn
{};
/// Route to one of these data centres, ordered by free slots, most first.
struct RouteRemote
{
    std::vector<DataCentreId> m_dataCentres;
};
/// No route is available; the text contains the reason.
struct RouteUnavailable
{
    std::string m_reason;
};
using RouteScope = std::variant<RouteOwn, RouteRemote, RouteUnavailable>;

/// Capacity of the own data centre's upstreams of a service.
struct OwnCapacity
{
    /// Whether one of them may get new work, live or suspect.
    bool m_hasOpen = false;
    bool m_hasLive = false;
    /// Whether a live one has a free slot, as far as known.
    bool m_hasFreeSlot = false;
};

/// Returns where a request for a service may go: the own data centre unless its upstreams are gone
/// or, if the setting allows, full; otherwise others according to their summaries, ignoring those
/// older than `longestAge`. Complexity: linear in the number of summaries.
RouteScope chooseRouteScope(const OwnCapacity &own, const ServiceId &service, RemoteScope scope,
                            const std::map<DataCentreId, ReceivedSummary> &summaries,
                            Duration longestAge, TimePoint now);

} // namespace gypsumdale
