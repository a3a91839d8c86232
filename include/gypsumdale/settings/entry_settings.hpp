#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/log_level.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/settings/checker.hpp>
#include <gypsumdale/settings/node_settings.hpp>

#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// Limits agreed with the users that decisions are based on.
struct EntryBounds
{
    /// Length of the window in which an account's usage is counted against its quota.
    Duration m_quotaWindow = std::chrono::seconds(8);
    /// Share by which a quota may be exceeded, and the additional amount beyond that per window.
    double m_quotaOverage = 0.1;
    double m_quotaSlack = 0;
    /// Repeated arrivals at upstreams that the fleet may add per request, and in addition to that.
    double m_retryRatio = 0.2;
    double m_retrySlack = 50;
    Duration m_retryWindow = std::chrono::seconds(10);
    Duration m_usageWindow = std::chrono::seconds(5);
    /// Time after the end of a usage window within which it must be reported.
    Duration m_usageReportDelay = std::chrono::seconds(10);
    /// Time within which two holders of the duties must not act alternately.
    Duration m_leaseTerm = std::chrono::seconds(3);
    /// Time after the store's acknowledgement within which a configuration version takes effect,
    /// and time after an upstream's announcement of leaving within which it receives no more
    /// requests.
    Duration m_configApplyDelay = std::chrono::milliseconds(2000);
    Duration m_leavingApply = std::chrono::milliseconds(2000);
    /// Interval at which an upstream writes its entry. The entry expires after three intervals
    /// without a write.
    Duration m_upstreamHeartbeat = std::chrono::milliseconds(1200);
    /// Fraction of a service's requests, and requests beyond it, that a new version may get before
    /// it is accepted.
    double m_exposureShare = 0.1;
    double m_exposureSlack = 50;
    /// Time from the stop signal until the process is killed.
    Duration m_shutdownGrace = std::chrono::seconds(8);
};

/// Parameters of the orders for upstreams.
struct ScaleSettings
{
    /// Minimum number of engines of a service, as a share of its maximum.
    double m_minimumShare = 0.7;
    /// Requests in flight at one engine that still meet the first-token target. At most half of the
    /// engine's slots.
    double m_runningPerEngine = 20;
    /// Upstreams ordered for each one needed, because all reclaimable upstreams of a data centre
    /// may be reclaimed at once.
    double m_spare = 1.5;
    /// Upstreams that can't be reclaimed, in total over all data centres. They are kept in the
    /// cheapest data centre first.
    int m_nonReclaimableEngines = 1;
    /// Share of an engine's reading speed that prompts may use while first tokens arrive in time.
    double m_prefillLoad = 0.3;
    /// The same for steady engines that replace reclaimable ones, at several times the price.
    double m_replacementPrefillLoad = 0.6;
    /// The same for the engines that would remain after a further reclaim, which may not happen.
    double m_riskPrefillLoad = 0.8;
    /// Time after a reclaim within which other data centres are likely to be reclaimed too: in one
    /// case four of them within seven seconds. A refused order restarts it.
    Duration m_reclaimSettleTime = std::chrono::seconds(6);
    /// Time for which the demand must be lower before the number of wanted upstreams is reduced.
    Duration m_scaleDownDelay = std::chrono::seconds(10);
};

/// Whether callers' requests wait for their turn while a service is short of slots.
enum class ShortageQueue {
    On,
    Off,
};

inline constexpr NameTable<ShortageQueue, 2> shortageQueueNames = {{
        {ShortageQueue::On, "on"},
        {ShortageQueue::Off, "off"},
}};

/// Settings of one entry process on the users' platform.
struct EntrySettings
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    RegionId m_region;
    Address m_callerListen;
    Address m_readyListen;
    Address m_peerListen;
    /// Address announced to peers, if it differs from the listening address.
    std::optional<Address> m_peerAdvertise;
    /// Where peers that are cut off from upstreams send requests; unset if none are taken.
    std::optional<Address> m_relayListen;
    /// Unset if no metrics are served.
    std::optional<Address> m_metricsListen;
    Address m_store;
    /// Unset if the process takes no duties.
    std::optional<Address> m_cloud;
    /// Addresses of some peers, which may be out of date.
    std::vector<Address> m_seeds;
    std::vector<DataCentreId> m_dataCentres;
    /// Whether the whole system starts for the first time, so that no request was admitted before.
    bool m_isFirstStart = false;
    LogLevel m_logLevel = LogLevel::Info;
    ShortageQueue m_shortageQueue = ShortageQueue::On;
    /// Memory in MiB for the requests that the process holds. Half of it is enough for one of the
    /// largest size, with the copy that is sent to its upstream.
    int m_requestMemoryMib = 32;
    EntryBounds m_bounds;
    ScaleSettings m_scaling;
};

/// Reads and checks the settings of one entry process; see checkProfile.
Checked<EntrySettings> checkEntrySettings(std::string_view text, const std::string &document);

KeyReferences entrySettingsReference();

} // namespace gypsumdale
