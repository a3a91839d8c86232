#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstdint> // uint32_t
#include <deque> // deque

namespace gypsumdale {

struct SlotShareSettings
{
    /// Which part of an idle peer's share is left to it; the rest can be borrowed.
    double m_peerReserve = 0.5;
    /// Twice the age that a peer's report may have; growth within it counts as unseen by peers.
    Duration m_window = std::chrono::milliseconds(1500);
    /// Which part of the slots an entry VM of another data centre may use.
    double m_spillShare = 0.5;
};

/// What the entry VMs of a data centre know of an upstream's slots.
struct SlotView
{
    std::uint32_t m_slots = 0;
    /// Live entry VMs of the upstream's data centre, this one included.
    std::uint32_t m_nodes = 1;
    /// This process's place among them, from 0, for what doesn't divide evenly.
    std::uint32_t m_rank = 0;
    std::uint32_t m_own = 0;
    /// For each peer its last reported in-flight, at least its reserve; see peersCharge().
    std::uint32_t m_peers = 0;
    /// The least that m_own was within the window: what every peer has heard of at least.
    std::uint32_t m_ownMinimum = 0;
};

/// Returns the slots lent to the process of this rank: an even share of them all. Constant.
std::uint32_t evenSlotShare(std::uint32_t slots, std::uint32_t nodes, std::uint32_t rank);

/// Returns what to count for a peer: its last report, or the reserve of its share if that is more.
std::uint32_t peerCharge(const SlotShareSettings &settings, std::uint32_t reported,
                         std::uint32_t lent);

/// Tells whether the process may have one more request at the upstream. Within its lent share
/// always; beyond that, only if all nodes growing as it did within the window would still fit. A
/// process with no lent slot at all may have one where a slot looks free. Constant.
bool canDispatch(const SlotView &view);

/// Returns how far all nodes together can pass the slots at the worst, see
/// docs/policy-limits-and-retries.md. Constant.
std::uint32_t overshootBound(const SlotShareSettings &settings, std::uint32_t slots,
                             std::uint32_t nodes);

/// The least number of requests in flight over the recent past. Holds no more entries than there
/// were requests in flight, however often the number changed.
class InFlightHistory
{
public:
    /// Notes a change and forgets what is older than the time to keep. Amortised constant.
    void note(TimePoint now, std::uint32_t inFlight, Duration keep);
    /// Returns the least number since a time within the time kept; 0 if it reaches back before the
    /// first change. Logarithmic in the most requests in flight.
    std::uint32_t minimumSince(TimePoint since) const;

private:
    /// The least number from a time up to now.
    struct Least
    {
        TimePoint m_since;
        std::uint32_t m_inFlight = 0;
    };

    /// Ascending in time and in number.
    std::deque<Least> m_leasts;
};

/// The times of the own dispatches to one upstream in the recent past.
class RecentDispatches
{
public:
    /// Notes a dispatch and forgets those that are older than the time to keep. Amortised constant.
    void add(TimePoint now, Duration keep);
    /// Returns how many came after a time. Logarithmic.
    std::uint32_t countAfter(TimePoint since) const;

private:
    std::deque<TimePoint> m_times;
};

} // namespace gypsumdale
