#pragma once

#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_upstream_feed.hpp>
#include <gypsumdale/entry/rollout_orders.hpp>
#include <gypsumdale/serving/canary_judge.hpp>
#include <gypsumdale/serving/reported_evidence.hpp>
#include <gypsumdale/serving/rollout.hpp>
#include <gypsumdale/serving/rollout_plan.hpp>

#include <platform/rollout_codec.hpp>

#include <cstdint> // int64_t
#include <functional> // function
#include <map> // map
#include <memory> // unique_ptr
#include <optional> // optional
#include <set> // set
#include <string> // string
#include <utility> // move, pair
#include <vector> // vector

namespace gypsumdale {

/// What one VM has counted for a roll-out since its process started.
struct RolloutReport
{
    std::string m_node;
    std::int64_t m_incarnation = 0;
    ServiceId m_service;
    SoftwareVersion m_target;
    CanaryEvidence m_answers;
    std::int64_t m_runningAtOthers = 0;
};

/// What the deciding VM tells all others.
struct RolloutDecision
{
    /// Fencing number under which it decides.
    std::int64_t m_fence = 0;
    /// Grows with each decision under one fencing number.
    std::int64_t m_sequence = 0;
    /// Leases in it have no end yet: each VM counts it from its own question.
    std::map<ServiceId, VersionAccess> m_access;
    std::vector<RolloutView> m_views;
};

/// Decides on the fleet's roll-outs while this VM holds the duties: follows the orders in the
/// store, judges the answers that all VMs count, leases a part of the requests to the new version,
/// and records the result. Used on the control thread.
///
/// What it knows comes from the store or from the VMs, which repeat all that they have counted: a
/// VM that takes the duties over goes on from there.
class RolloutController
{
public:
    using CurrentFence = std::function<std::optional<std::int64_t>()>;
    using Changed = std::function<void()>;

    RolloutController(EntryContext &context, EntryUpstreamFeed &upstreams, CurrentFence fence,
                      Changed changed);

    /// Follows the orders while this VM holds the duties. Runs in a fiber of its own.
    void followOrders();
    /// Decides on them. Runs in a fiber of its own.
    void run();

    /// Takes what a VM has counted. Complexity: n log n.
    void takeReport(const RolloutReport &report);
    void takeOrder(const RolloutOrder &order);

    /// Returns the targets of a service's roll-outs that are undecided. They are extra capacity
    /// until then, which orders for upstreams neither count nor take away. Complexity: linear.
    std::set<SoftwareVersion> undecidedTargets(const ServiceId &service) const;
    /// Returns whether a roll-out has lately replaced a service's upstreams. Complexity: linear.
    bool hasReplaced(const ServiceId &service) const;

    /// Returns whether this VM decides.
    bool isDeciding() const;
    /// Returns what holds now, or nothing while another VM decides.
    std::optional<RolloutDecision> decision();

private:
    struct RunningCount
    {
        std::int64_t m_running = 0;
        TimePoint m_at{};
    };
    /// A roll-out that is under way, or was.
    struct Managed
    {
        Rollout m_rollout;
        platform::RolloutRecord m_record;
        /// Bad answers that were known to earlier deciding VMs.
        double m_earlierBadAnswers = 0;
        RolloutPlan m_plan;
        CanaryJudge m_judge;
        ReportedEvidence m_reported;
        std::map<std::string, RunningCount> m_running;
        /// When this VM recorded the result, or saw it first.
        TimePoint m_decidedAt{};
        /// Versions that the target has replaced.
        std::set<SoftwareVersion> m_replaced{};
    };

    void beginTerm(std::int64_t fence);
    void readOrders();
    void watchOrders();
    void applyOrders(RolloutList list, TimePoint sentAt);
    void manage(const std::string &name, const Rollout &rollout);
    std::optional<platform::RolloutRecord> loadRecord(const std::string &name,
                                                      const Rollout &rollout);
    void storeRecord(const std::string &name, Managed &managed);
    void withdraw(const std::string &name, const Managed &managed);
    void logUnusable();
    void noteVersions();
    bool hasUnconfirmedVersions() const;

    void decide(const std::string &name);
    void record(const std::string &name, RolloutState state);
    static double badAnswers(const Managed &managed);
    RolloutObservation observe(const Managed &managed) const;
    std::set<UpstreamId> canaryUpstreams(const Managed &managed,
                                         const RolloutObservation &seen) const;
    VersionAccess accessOf(const ServiceId &service) const;
    RolloutView viewOf(const std::string &name, const Managed &managed) const;
    void logStage(const std::string &name, Managed &managed, const RolloutObservation &seen);

    EntryContext &m_context;
    EntryUpstreamFeed &m_upstreams;
    CurrentFence m_fence;
    Changed m_changed;
    DependencyMonitor m_store;
    std::int64_t m_term = 0;
    std::int64_t m_sequence = 0;
    /// Revision at which the next watch begins; 0 to read all orders again.
    std::int64_t m_revision = 0;
    /// When the orders in use were confirmed by the store.
    TimePoint m_confirmedAt{};
    std::map<std::string, Managed> m_managed;
    std::map<std::string, std::string> m_unusable;
    std::map<ServiceId, std::set<SoftwareVersion>> m_unusableTargets;
    /// Targets of orders that were withdrawn before they were accepted.
    std::map<ServiceId, std::set<SoftwareVersion>> m_withdrawn;
    std::map<std::pair<ServiceId, SoftwareVersion>, TimePoint> m_firstSeen;
};

} // namespace gypsumdale
