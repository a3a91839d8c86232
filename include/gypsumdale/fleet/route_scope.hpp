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

/// Stay in the own data centre.
struct RouteOwn
{};
/// Go to one of these, the one with the most to spare first.
struct RouteRemote
{
    std::vector<DataCentreId> m_dataCentres;
};
/// Nothing is left to route to; the text says why.
struct RouteUnavailable
{
    std::string m_reason;
};
using RouteScope = std::variant<RouteOwn, RouteRemote, RouteUnavailable>;

/// What the own data centre's upstreams of a service can take.
struct OwnCapacity
{
    /// One may get new work, live or suspect.
    bool m_hasOpen = false;
    bool m_hasLive = false;
    /// A live one has a slot that is not taken, as far as known.
    bool m_hasFreeSlot = false;
};

/// Where a request for a service may go: the own data centre unless its upstreams are gone or, if
/// the setting allows, full; then others by their summaries, of which those older than
/// `longestAge` don't count. Linear in the summaries.
RouteScope chooseRouteScope(const OwnCapacity &own, const ServiceId &service, RemoteScope scope,
                            const std::map<DataCentreId, ReceivedSummary> &summaries,
                            Duration longestAge, TimePoint now);

} // namespace gypsumdale
