#pragma once

#include <gypsumdale/serving/serving_config.hpp>

#include <map> // map
#include <memory> // shared_ptr
#include <string_view> // string_view
#include <unordered_map> // unordered_map
#include <vector> // vector

namespace gypsumdale {

/// A configuration with the indexes that requests are decided on. Immutable once built, so that
/// threads share it without a lock.
class ServingView
{
public:
    explicit ServingView(ServingConfig config);

    const ServingConfig &config() const { return m_config; }

    /// Returns the route of that host whose prefix is the longest that begins the path, or nullptr.
    /// The host may carry a port; its case doesn't count. Linear in the host's routes.
    const ServingRoute *findRoute(std::string_view host, std::string_view path) const;

    /// Returns the account that holds a key, or nullptr. Constant.
    const ClientAccount *findAccount(std::string_view key) const;

    /// Tells whether requests need a key at all.
    bool requiresKeys() const { return !m_config.m_accounts.empty(); }

    /// Returns a service, or nullptr. Logarithmic.
    const ServingService *findService(const ServiceId &service) const;

    /// Returns the shortest pause that streams of a service may have, or 0 if no route names one.
    /// Logarithmic.
    Duration shortestPause(const ServiceId &service) const;

private:
    void notePause(const ServingRoute &route);

    ServingConfig m_config;
    /// Each host's routes, longest prefix first.
    std::unordered_map<std::string, std::vector<const ServingRoute *>> m_routesByHost;
    std::unordered_map<std::string_view, const ClientAccount *> m_accountsByKey;
    std::map<ServiceId, Duration> m_shortestPauses;
};

using ServingViewPointer = std::shared_ptr<const ServingView>;

} // namespace gypsumdale
