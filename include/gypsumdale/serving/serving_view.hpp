#pragma once

#include <gypsumdale/serving/serving_config.hpp>

#include <map> // map
#include <memory> // shared_ptr
#include <string_view> // string_view
#include <unordered_map> // unordered_map
#include <vector> // vector

namespace gypsumdale {

/// A configuration with the indexes for request decisions. Immutable once built, so that threads
/// share it without a lock.
class ServingView
{
public:
    explicit ServingView(ServingConfig config);

    const ServingConfig &config() const { return m_config; }

    /// Returns the host's route with the longest prefix that matches the path, or nullptr. The host
    /// may include a port and is compared case-insensitively. Complexity: linear in the host's
    /// routes.
    const ServingRoute *findRoute(std::string_view host, std::string_view path) const;

    /// Returns the account that holds a key, or nullptr. Complexity: constant.
    const ClientAccount *findAccount(std::string_view key) const;

    /// Returns whether requests need a key at all.
    bool requiresKeys() const { return !m_config.m_accounts.empty(); }

    /// Returns a service, or nullptr. Complexity: logarithmic.
    const ServingService *findService(const ServiceId &service) const;

    /// Returns the smallest pause target of the streaming routes of a service, or 0 if no route
    /// sets one. Complexity: logarithmic.
    Duration shortestPause(const ServiceId &service) const;

private:
    void notePause(const ServingRoute &route);

    ServingConfig m_config;
    /// Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<const ServingRoute *>> m_routesByHost;
    std::unordered_map<std::string_view, const ClientAccount *> m_accountsByKey;
    std::map<ServiceId, Duration> m_shortestPauses;
};

using ServingViewPointer = std::shared_ptr<const ServingView>;

} // namespace gypsumdale
