#pragma once

#include <gypsumdale/entry/entry_config_feed.hpp>
#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_peers.hpp>
#include <gypsumdale/entry/entry_upstream_feed.hpp>
#include <gypsumdale/entry/rollout_controller.hpp>
#include <gypsumdale/serving/duty_lease.hpp>
#include <gypsumdale/serving/order_book.hpp>
#include <gypsumdale/serving/scale_planner.hpp>
#include <gypsumdale/serving/usage_windows.hpp>

#include <platform/cloud_client.hpp>
#include <platform/duty_codec.hpp>

#include <cstdint> // int64_t
#include <map> // map
#include <optional> // optional
#include <set> // set

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
    /// Sets the part that knows which versions are being rolled out.
    void setRollouts(const RolloutController &rollouts) { m_rollouts = &rollouts; }
    /// Returns the fencing number if this VM may perform the duties at this moment.
    std::optional<std::int64_t> fence() const;
    /// Gives up the lease at shutdown.
    void resign() { m_lease.resign(); }

private:
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
    OrderSituation situationOf(const ScaleOrder &order, bool isServiceShort) const;
    void send(const ScaleOrder &planned);
    int countPresent(const ScaleOrder &order) const;
    int countUndecided(const ScaleOrder &order) const;
    std::map<UpstreamId, UpstreamRecord> orderedUpstreams(const ServiceId &service) const;
    std::set<SoftwareVersion> undecidedTargets(const ServiceId &service) const;
    /// Logs a refused call, and gives up the lease if the call was fenced. Returns whether the call
    /// was accepted.
    bool handleReply(const platform::CloudReply &reply, std::int64_t fence, const char *call);

    EntryContext &m_context;
    EntryConfigFeed &m_config;
    EntryUpstreamFeed &m_upstreams;
    EntryPeers &m_peers;
    const RolloutController *m_rollouts = nullptr;
    std::optional<platform::CloudClient> m_cloud;
    DutyLease m_lease;
    std::int64_t m_loggedFence = 0;
    UsageWindows m_windows;
    std::int64_t m_ledgerRevision = -1;
    /// Fence under which the ledger was read. Under a new fence it is read again.
    std::int64_t m_ledgerFence = 0;
    ScalePlanner m_planner;
    OrderBook m_orders;
    std::int64_t m_sentFence = 0;
};

} // namespace gypsumdale
