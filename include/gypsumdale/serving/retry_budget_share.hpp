#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/retry_history.hpp>
#include <gypsumdale/serving/sliding_sum.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map> // map
#include <optional> // optional
#include <vector> // vector

namespace gypsumdale {

struct RetryBudgetShareSettings
{
    /// Additional attempts that the fleet may make per request.
    double m_ratio = 0.2;
    /// Additional attempts beyond the ratio, for the whole fleet per window.
    double m_slack = 0;
    Duration m_window = std::chrono::seconds(10);
    /// Start time of the process, if the fleet had started before. What its VM spent before is
    /// unknown then, and the others may not know of the VM yet.
    std::optional<TimePoint> m_restartedAt{};
};

/// This VM's share of the fleet's budget for sending a request to a further upstream: the ratio of
/// its own requests and an even share of the slack. Between running processes it uses no
/// information from other VMs, so that the sum over all VMs stays within the budget during any
/// partition.
///
/// A process that is killed takes its counts with it, and its successor would have the VM's share
/// again. So each VM tells its peers what it did in the last window, and the successor goes on with
/// what they know. Until one has told it, or where none was in touch with its predecessor to the
/// end, it uses only the part of the ratio that its predecessor had to leave unused, and no slack.
class RetryBudgetShare
{
public:
    explicit RetryBudgetShare(RetryBudgetShareSettings settings);

    /// Records a caller's request for a service. Complexity: amortised constant.
    void noteRequest(const ServiceId &service, TimePoint now);

    /// Consumes one retry, or returns false if none is left. Complexity: amortised constant.
    bool tryTake(const ServiceId &service, TimePoint now);

    /// Returns the number of retries left at the moment. Complexity: amortised constant.
    double left(const ServiceId &service, TimePoint now);

    /// Sets what a peer knows of earlier processes of this VM. Returns whether this process goes on
    /// with it, and knew nothing of them before. Complexity: linear in the slots.
    bool setEarlier(const EarlierRetries &earlier);

    /// Returns what the VM did in the last window, for its peers, and counts that as reported.
    /// Complexity: linear in the slots.
    RetryHistory report(TimePoint now);

    /// Returns whether so many retries are not reported that a successor of this process would
    /// spend too many again. Complexity: constant.
    bool shouldReport() const { return m_unreported >= maxUnreported; }

    /// Sets the number of entry VMs that share the slack. Returns whether it has changed.
    bool setFleetSize(std::size_t nodes);

    /// Returns this VM's part of the slack.
    double slackShare() const { return m_settings.m_slack / m_fleetSize; }

    /// Return how many retries this process has taken, and how many it was denied.
    std::uint64_t takenTotal() const { return m_takenTotal; }
    std::uint64_t deniedTotal() const { return m_deniedTotal; }

private:
    static constexpr int maxUnreported = 3;

    struct Usage
    {
        explicit Usage(Duration window)
            : m_requests(window)
            , m_retries(window)
        {}
        SlidingSum m_requests;
        SlidingSum m_retries;
        /// The same counts, for the peers.
        std::vector<RetrySlot> m_slots;
        /// Of earlier processes of this VM.
        std::vector<RetrySlot> m_earlier;
    };
    Usage &usageOf(const ServiceId &service);

    RetryBudgetShareSettings m_settings;
    double m_fleetSize = 1;
    /// Until when earlier processes may have spent what this one doesn't know of.
    TimePoint m_unknownUntil{};
    /// When the earlier process whose counts are in use last reported.
    std::optional<TimePoint> m_earlierReportAt;
    int m_unreported = 0;
    std::uint64_t m_takenTotal = 0;
    std::uint64_t m_deniedTotal = 0;
    std::map<ServiceId, Usage> m_usages;
};

} // namespace gypsumdale
