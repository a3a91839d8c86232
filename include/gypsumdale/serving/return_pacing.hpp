#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <map> // map
#include <optional> // optional

namespace gypsumdale {

/// Spreads the callers of rejected requests over the time in which they can be served: each is
/// asked to return when those before it have been.
class ReturnPacing
{
public:
    /// Returns the time after which one more caller of a service may return, if the first one may
    /// after `first`, and so many are served per second, or all if that isn't limited; at most
    /// maxDelay. Zero if none is served here: other VMs may serve them. Complexity: logarithmic.
    Duration next(const ServiceId &service, Duration first, std::optional<double> perSecond,
                  TimePoint now);

    /// Callers are not sent away for longer: by then the service may have more room.
    static constexpr Duration maxDelay = std::chrono::seconds(5);

private:
    /// When the last caller was asked to return.
    std::map<ServiceId, TimePoint> m_lastReturns;
};

} // namespace gypsumdale
