#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/log_level.hpp>
#include <gypsumdale/settings/checker.hpp>
#include <gypsumdale/settings/node_settings.hpp>

#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// The users' bounds that decisions depend on.
struct EntryBounds
{
    /// Span over which an account's use is counted against its quota.
    Duration m_quotaWindow = std::chrono::seconds(8);
    /// Part of the quota that may be exceeded, and what may be beyond that in a window.
    double m_quotaOverage = 0.1;
    double m_quotaSlack = 0;
    /// Arrivals beyond the first that the fleet may add for each request, and in all.
    double m_retryRatio = 0.2;
    double m_retrySlack = 50;
    Duration m_retryWindow = std::chrono::seconds(10);
    Duration m_usageWindow = std::chrono::seconds(5);
    /// A usage window is reported at the latest this long after its end.
    Duration m_usageDue = std::chrono::seconds(10);
    /// Two holders of the duties may not act in turns within this.
    Duration m_leaseTerm = std::chrono::seconds(3);
    /// A version is in force this long after the store acknowledged it, and a leaving upstream is
    /// left alone this long after it said so.
    Duration m_configApply = std::chrono::milliseconds(2000);
    Duration m_leavingApply = std::chrono::milliseconds(2000);
    /// How often an upstream writes its entry, which lapses after three of these without a write.
    Duration m_upstreamHeartbeat = std::chrono::milliseconds(1200);
    /// From the signal to stop until the process is killed.
    Duration m_shutdownGrace = std::chrono::seconds(8);
};

/// How upstreams are ordered.
struct ScaleSettings
{
    /// Engines that a service has at least, as a part of the most it may have.
    double m_leastShare = 0.7;
    /// Requests in flight at one engine that still meet the first-token target, at most half of its
    /// slots.
    double m_runningPerEngine = 20;
    /// Upstreams for each one wanted: all reclaimable ones of a data centre may go at once.
    double m_spare = 1.5;
    /// Upstreams that can't be reclaimed, kept over all data centres, in the cheapest first.
    int m_steadyEngines = 1;
    /// Part of an engine's reading speed that prompts may take while first tokens come in time.
    double m_readingLoad = 0.3;
    /// The same for steady engines that stand in for reclaimable ones, at several times the price.
    double m_standInLoad = 0.6;
    /// The same for what a further reclaim would leave, which may not come.
    double m_riskLoad = 0.8;
    /// A reclaim is followed by those of other data centres within this: seven seconds for four of
    /// them, and a refused order renews it.
    Duration m_reclaimCalm = std::chrono::seconds(6);
    /// A want is lowered only after this long below.
    Duration m_lowerAfter = std::chrono::seconds(10);
};

/// The settings of one entry process on the users' platform.
struct EntrySettings
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    RegionId m_region;
    Address m_callerListen;
    Address m_readyListen;
    Address m_peerListen;
    /// Where peers reach it, if that isn't where it listens.
    std::optional<Address> m_peerAdvertise;
    /// Unset where no metrics are served.
    std::optional<Address> m_metricsListen;
    Address m_store;
    /// Unset where there are no duties.
    std::optional<Address> m_cloud;
    /// Where some of the peers can be reached; may be out of date.
    std::vector<Address> m_seeds;
    std::vector<DataCentreId> m_dataCentres;
    /// The whole system starts for the first time: nothing was admitted before.
    bool m_isFirstStart = false;
    LogLevel m_logLevel = LogLevel::Info;
    EntryBounds m_bounds;
    ScaleSettings m_scaling;
};

/// Reads one entry process's settings whole; see checkProfile.
Checked<EntrySettings> checkEntrySettings(std::string_view text, const std::string &document);

KeyReferences entrySettingsReference();

} // namespace gypsumdale
