#pragma once

#include <gypsumdale/policy/fair_queue.hpp>
#include <gypsumdale/policy/outlier.hpp>
#include <gypsumdale/policy/slot_share.hpp>

#include <chrono> // milliseconds, seconds
#include <cstddef> // size_t

namespace gypsumdale {

/// How requests are admitted and which slots they may use.
struct AdmissionSettings
{
    FairQueueSettings m_queue;
    SlotShareSettings m_slots;
    OutlierSettings m_outlier;
    /// How many requests may wait here at most, of all members and of one.
    std::size_t m_maxWaiting = 2000;
    std::size_t m_maxWaitingPerMember = 1000;
    /// Which part of this entry VM's slots is kept free of members that have their share of them in
    /// flight already, so that the others find one without waiting. Costs throughput while few
    /// members are busy.
    double m_headroom = 0.1;
    /// A peer whose last heartbeat is older counts with its lent share.
    Duration m_peerMaxAge = std::chrono::milliseconds(750);
    /// An upstream whose last report is older is used only up to what the entry VMs know of.
    Duration m_reportMaxAge = std::chrono::seconds(10);
    /// Other regions are used only once what waits here would take longer than this.
    Duration m_spillWait = std::chrono::milliseconds(200);
    /// A retry-after is never shorter or longer than these.
    Duration m_minRetryAfter = std::chrono::milliseconds(200);
    Duration m_maxRetryAfter = std::chrono::seconds(60);
};

} // namespace gypsumdale
