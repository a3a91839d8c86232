#pragma once

#include <gypsumdale/policy/fair_queue.hpp>
#include <gypsumdale/policy/outlier.hpp>
#include <gypsumdale/policy/slot_share.hpp>

#include <chrono> // milliseconds, seconds
#include <cstddef> // size_t

namespace gypsumdale {

/// Settings of the admission control: queueing, slots and ejection.
struct AdmissionSettings
{
    FairQueueSettings m_queue;
    SlotShareSettings m_slots;
    OutlierSettings m_outlier;
    /// Maximum number of queued requests, of all members and of one member.
    std::size_t m_maxWaiting = 2000;
    std::size_t m_maxWaitingPerMember = 1000;
    /// Share of this entry VM's slots kept free of members that already use their own share, so
    /// that other members find a slot without queueing. Reduces the throughput while few members
    /// are busy.
    double m_headroom = 0.1;
    /// Maximum age of a peer's heartbeat. Beyond it the peer counts with its even share of the
    /// slots.
    Duration m_peerMaxAge = std::chrono::milliseconds(750);
    /// Maximum age of an upstream's report. Beyond it only requests that the entry VMs know of are
    /// counted against its slots.
    Duration m_reportMaxAge = std::chrono::seconds(10);
    /// Other regions are used only if the queued work takes longer than this.
    Duration m_spillWait = std::chrono::milliseconds(200);
    /// Limits of every retry-after.
    Duration m_minRetryAfter = std::chrono::milliseconds(200);
    Duration m_maxRetryAfter = std::chrono::seconds(60);
};

} // namespace gypsumdale
