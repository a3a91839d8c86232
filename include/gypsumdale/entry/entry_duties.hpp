#pragma once

#include <gypsumdale/entry/entry_config_feed.hpp>
#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_peers.hpp>
#include <gypsumdale/entry/entry_upstream_feed.hpp>
#include <gypsumdale/serving/duty_lease.hpp>
#include <gypsumdale/serving/scale_planner.hpp>
#include <gypsumdale/serving/usage_windows.hpp>

#include <platform/cloud_client.hpp>
#include <platform/duty_codec.hpp>

#include <cstdint> // int64_t
#include <map> // map
#include <optional> // optional
#include <utility> // pair

namespace gypsumdale {

/// Performs the fleet's duties while this VM holds their lease: reports usage and orders upstreams.
class EntryDuties
{
public:
    EntryDuties(EntryContext &context, EntryConfigFeed &config, EntryUpstreamFeed &upstreams,
                EntryPeers &peers);

    /// Renews or tries to acquire the lease until the process stops. Runs in a fiber of its own.
    void followLease();
    /// Reports usage windows while the lease is held. Runs in a fiber of its own.
    void reportUsage();
    /// Orders upstreams while the lease is held. Runs in a fiber of its own.
    void scale();
    /// Gives up the lease at shutdown.
    void resign() { m_lease.resign(); }

private:
    using OrderKey = std::pair<std::pair<ServiceId, DataCentreId>, bool>;
    struct OrderRecord
    {
        int m_count = 0;
        TimePoint m_at{};
    };

    void performLeaseStep();
    void read();
    void write(const LeaseRecord &record);
    void publishHolding();

    void reportDueWindows();
    UsageWindows::FleetObservation observeFleet();
    bool loadLedger();
    void storeLedger(UsageLedger next);
    bool sendWindow(const UsageReport &report);

    void scaleService(const ServingService &service);
    void send(const ScaleOrder &order);
    int countPresent(const ScaleOrder &order) const;
    /// Logs a refused call, and gives up the lease if the call was fenced. Returns whether the call
    /// was accepted.
    bool handleReply(const platform::CloudReply &reply, std::int64_t fence, const char *call);

    EntryContext &m_context;
    EntryConfigFeed &m_config;
    EntryUpstreamFeed &m_upstreams;
    EntryPeers &m_peers;
    std::optional<platform::CloudClient> m_cloud;
    DutyLease m_lease;
    std::int64_t m_loggedFence = 0;
    UsageWindows m_windows;
    std::int64_t m_ledgerRevision = -1;
    /// Fence under which the ledger was read. Under a new fence it is read again.
    std::int64_t m_ledgerFence = 0;
    ScalePlanner m_planner;
    std::map<OrderKey, OrderRecord> m_sentOrders;
    std::int64_t m_sentFence = 0;
};

} // namespace gypsumdale
