#pragma once

#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_upstream_feed.hpp>
#include <gypsumdale/entry/peer_table.hpp>
#include <gypsumdale/entry/rollout_controller.hpp>
#include <gypsumdale/entry/rollout_orders.hpp>
#include <gypsumdale/serving/canary_judge.hpp>
#include <gypsumdale/serving/version_gate.hpp>

#include <cstdint> // int64_t
#include <functional> // function
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <utility> // move
#include <vector> // vector

namespace gypsumdale::entrywire {
class EntryExchange;
class RolloutAnswer;
class RolloutQuestion;
} // namespace gypsumdale::entrywire

namespace gypsumdale {

/// Asks the VM that decides on roll-outs on which versions requests may be placed, and tells it how
/// they were answered. Used on the control thread.
///
/// A lease counts from the moment at which this VM asked. A VM that gets no answer places nothing
/// on a new version soon after, whatever the reason.
class RolloutClient
{
public:
    RolloutClient(EntryContext &context, EntryUpstreamFeed &upstreams, const PeerTable &table)
        : m_context(context)
        , m_upstreams(upstreams)
        , m_table(table)
    {}

    /// Sets the part that decides if this VM does.
    void setController(RolloutController &controller) { m_controller = &controller; }

    /// Asks as long as there is something to ask. Runs in a fiber of its own.
    void run(const std::function<std::string()> &holderAddress);

    /// Answers another VM's question.
    entrywire::EntryExchange answerQuestion(const entrywire::RolloutQuestion &question);

    /// Takes what the deciding VM tells without having been asked: nothing in it extends a lease.
    void takeNews(const entrywire::RolloutAnswer &answer);

    /// Tells all VMs what was just decided. Doesn't wait.
    void tellDecision();

    /// Takes an operator's order, to be passed on to the VM that decides.
    void addOrder(const RolloutOrder &order) { m_orders.push_back(order); }
    /// Returns the roll-outs as last told.
    const std::vector<RolloutView> &views() const { return m_views; }

private:
    Duration interval() const;
    Duration leaseTerm() const;
    void updateGate();
    void ask(const std::string &holderAddress);
    void apply(const RolloutDecision &decision, std::optional<TimePoint> leasedUntil);
    std::optional<TimePoint> endOfLease(const ServiceId &service, const ExposureLease &lease) const;
    std::vector<RolloutReport> collectReports();
    std::size_t upstreamsOf(const RolloutReport &report) const;
    void judgeOwn(const std::vector<RolloutReport> &reports);
    void logAccess(const ServiceId &service, const VersionAccess &access);

    /// This VM's own view of a new version.
    struct OwnView
    {
        SoftwareVersion m_target;
        CanaryEvidence m_known;
        CanaryJudge m_judge;
        bool m_isBad = false;
    };

    EntryContext &m_context;
    EntryUpstreamFeed &m_upstreams;
    const PeerTable &m_table;
    RolloutController *m_controller = nullptr;
    /// Knows the same as the traffic thread's one.
    VersionGate m_gate;
    std::int64_t m_listChange = -1;
    /// Of the newest decision that was taken.
    std::int64_t m_fence = 0;
    std::int64_t m_sequence = 0;
    /// The deciding VM has told news.
    bool m_hasNews = false;
    std::vector<RolloutView> m_views;
    std::vector<RolloutOrder> m_orders;
    std::map<ServiceId, OwnView> m_own;
    std::map<ServiceId, double> m_loggedShares;
};

} // namespace gypsumdale
