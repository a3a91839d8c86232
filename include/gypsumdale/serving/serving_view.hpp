#pragma once

#include <gypsumdale/serving/serving_config.hpp>

#include <map> // map
#include <memory> // enable_shared_from_this, shared_ptr
#include <string_view> // string_view
#include <unordered_map> // unordered_map
#include <vector> // vector

namespace gypsumdale {

/// Parts of a configuration. Each keeps the whole configuration alive, so that what a request was
/// judged by outlives its replacement by a newer one.
using ServingRoutePointer = std::shared_ptr<const ServingRoute>;
using ClientAccountPointer = std::shared_ptr<const ClientAccount>;
using ServingServicePointer = std::shared_ptr<const ServingService>;

/// A configuration with the indexes for request decisions. Immutable once built, so that threads
/// share it without a lock. To be held by a shared pointer, which the lookups share.
class ServingView : public std::enable_shared_from_this<ServingView>
{
public:
    explicit ServingView(ServingConfig config);

    const ServingConfig &config() const { return m_config; }

    /// Returns the host's route with the longest prefix that matches the path, or null. The host
    /// may include a port and is compared case-insensitively. Complexity: linear in the host's
    /// routes.
    ServingRoutePointer findRoute(std::string_view host, std::string_view path) const;

    /// Returns the account that holds a key, or null. Complexity: constant.
    ClientAccountPointer findAccount(std::string_view key) const;

    /// Returns whether requests need a key at all.
    bool requiresKeys() const { return !m_config.m_accounts.empty(); }

    /// Returns a service, or null. Complexity: logarithmic.
    ServingServicePointer findService(const ServiceId &service) const;

    /// Returns the smallest pause target of the streaming routes of a service, or 0 if no route
    /// sets one. Complexity: logarithmic.
    Duration shortestPause(const ServiceId &service) const;

private:
    void notePause(const ServingRoute &route);
    /// Returns a part that shares the ownership of this configuration.
    template <typename Part>
    std::shared_ptr<const Part> share(const Part *part) const
    {
        return {shared_from_this(), part};
    }

    ServingConfig m_config;
    /// Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<const ServingRoute *>> m_routesByHost;
    std::unordered_map<std::string_view, const ClientAccount *> m_accountsByKey;
    std::map<ServiceId, Duration> m_shortestPauses;
};

using ServingViewPointer = std::shared_ptr<const ServingView>;

} // namespace gypsumdale
