#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/names.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// How often a route's request may run.
enum class RouteRepeatSafety {
    /// May run more than once.
    Idempotent,
    /// Runs at most once per attempt of the caller.
    AtMostOnce,
    /// Answered by a stream of events; runs at most once unless the route permits resuming the
    /// stream.
    Stream,
};

inline constexpr NameTable<RouteRepeatSafety, 3> routeRepeatSafetyNames = {{
        {RouteRepeatSafety::Idempotent, "idempotent"},
        {RouteRepeatSafety::AtMostOnce, "at-most-once"},
        {RouteRepeatSafety::Stream, "stream"},
}};

/// A service of a route and its share of the route's requests.
struct WeightedService
{
    ServiceId m_service;
    double m_weight = 1;
};

/// A route: the requests it matches, the services that handle them, and their targets.
struct ServingRoute
{
    std::string m_name;
    std::string m_host;
    /// Begins and ends with a slash.
    std::string m_pathPrefix;
    RouteRepeatSafety m_kind = RouteRepeatSafety::AtMostOnce;
    Duration m_timeout = std::chrono::seconds(15);
    Duration m_latencyTarget = std::chrono::seconds(1);
    /// Longest acceptable pause between two events of a stream; 0 where none is configured.
    Duration m_pauseTarget{};
    /// 0 is the most urgent.
    int m_priority = 0;
    /// Number of upstreams on which one attempt of the caller may run.
    int m_maxAttempts = 1;
    bool m_isPublic = false;
    bool m_hasPrefixAffinity = false;
    bool m_isResumable = false;
    std::vector<WeightedService> m_services;

    /// Returns whether a request may run again after it may already have run.
    bool isRetryable() const
    {
        return m_kind == RouteRepeatSafety::Idempotent
               || (m_kind == RouteRepeatSafety::Stream && m_isResumable);
    }
};

/// A client account with its keys and its quota over all entry VMs.
struct ClientAccount
{
    AccountId m_id;
    std::vector<std::string> m_keys;
    /// Overrides the route's priority where it is set.
    std::optional<int> m_priority;
    bool m_countsTokens = false;
    /// Cost of a request without a token count where tokens are counted.
    double m_defaultTokenCost = 0;
    /// 0 means no quota.
    double m_ratePerSecond = 0;
    double m_burst = 0;
};

/// Capabilities of a model service's engines.
struct EngineTraits
{
    int m_slots = 1;
    bool m_canMoveRuns = false;
};

/// How many upstreams of a service may be ordered, and their prices.
struct ScalingRule
{
    int m_least = 1;
    int m_most = 1;
    Duration m_bootTime = std::chrono::seconds(4);
    /// Price of a reclaimable upstream as a fraction of the full price; 0 where there are none.
    double m_reclaimablePrice = 0;
    std::map<DataCentreId, double> m_prices;
};

struct ServingService
{
    ServiceId m_id;
    int m_maxConnections = 0;
    std::optional<EngineTraits> m_engine;
    std::optional<ScalingRule> m_scaling;
};

/// Limits on callers' requests; 0 where the configuration sets none.
struct CallerLimits
{
    std::size_t m_headerBytes = 0;
    std::size_t m_bodyBytes = 0;
    Duration m_headerTimeout{};
    Duration m_idleTimeout{};
};

/// One complete version of the configuration.
struct ServingConfig
{
    std::int64_t m_version = 0;
    std::vector<ServingRoute> m_routes;
    std::map<ServiceId, ServingService> m_services;
    std::vector<ClientAccount> m_accounts;
    CallerLimits m_limits;
};

} // namespace gypsumdale
