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

/// Does the fleet's duties while this VM holds their lease: reports usage and orders upstreams.
class EntryDuties
{
public:
    EntryDuties(EntryContext &context, EntryConfigFeed &config, EntryUpstreamFeed &upstreams,
                EntryPeers &peers);

    /// Keeps or seeks the lease until the process stops. Runs in a fiber of its own.
    void followLease();
    /// Reports usage windows while the lease is held. Runs in a fiber of its own.
    void reportUsage();
    /// Orders upstreams while the lease is held. Runs in a fiber of its own.
    void scale();
    /// Gives the lease up at shutdown.
    void resign() { m_lease.resign(); }

private:
    using OrderKey = std::pair<std::pair<ServiceId, DataCentreId>, bool>;
    struct SentOrder
    {
        int m_count = 0;
        TimePoint m_at{};
    };

    void takeLeaseStep();
    void read();
    void write(const LeaseRecord &record);
    void noteHolding();

    void reportDueWindows();
    UsageWindows::FleetObservation look();
    bool loadLedger();
    void storeLedger(UsageLedger next);
    bool sendWindow(const UsageReport &report);

    void scaleService(const ServingService &service);
    void send(const ScaleOrder &order);
    int present(const ScaleOrder &order) const;
    /// Handles what a refusal says about the lease. Returns true if the call was accepted.
    bool handle(const platform::CloudReply &reply, std::int64_t fence, const char *call);

    EntryContext &m_context;
    EntryConfigFeed &m_config;
    EntryUpstreamFeed &m_upstreams;
    EntryPeers &m_peers;
    std::optional<platform::CloudClient> m_cloud;
    DutyLease m_lease;
    std::int64_t m_loggedFence = 0;
    UsageWindows m_windows;
    std::int64_t m_ledgerRevision = -1;
    /// Under which number the ledger was read: a new term reads it anew.
    std::int64_t m_ledgerFence = 0;
    ScalePlanner m_planner;
    std::map<OrderKey, SentOrder> m_sent;
    std::int64_t m_sentFence = 0;
};

} // namespace gypsumdale
