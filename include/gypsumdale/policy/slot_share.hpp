#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstdint> // uint32_t
#include <deque> // deque

namespace gypsumdale {

struct SlotShareSettings
{
    /// Share of an idle peer's slots that stays reserved for it; the rest can be borrowed.
    double m_peerReserve = 0.5;
    /// Twice the maximum age of a peer's report. Growth within this time counts as unknown to the
    /// peers.
    Duration m_window = std::chrono::milliseconds(1500);
    /// Share of the slots that an entry VM of another data centre may use.
    double m_spillShare = 0.5;
};

/// What an entry VM knows about an upstream's slots.
struct SlotView
{
    std::uint32_t m_slots = 0;
    /// Number of live entry VMs in the upstream's data centre, this one included.
    std::uint32_t m_nodes = 1;
    /// Rank of this process among them, from 0; decides who gets the remainder of an uneven
    /// division.
    std::uint32_t m_rank = 0;
    std::uint32_t m_own = 0;
    /// Sum over the peers of their last reported requests in flight, or their reserve if that is
    /// more; see peerCharge().
    std::uint32_t m_peers = 0;
    /// Minimum of m_own within the window, which was reported to every peer.
    std::uint32_t m_ownMinimum = 0;
};

/// Returns the even share of the slots for the process of this rank. Complexity: constant.
std::uint32_t evenSlotShare(std::uint32_t slots, std::uint32_t nodes, std::uint32_t rank);

/// Returns the slots charged for a peer: its last reported number, or the reserve of its share if
/// that is more.
std::uint32_t peerCharge(const SlotShareSettings &settings, std::uint32_t reported,
                         std::uint32_t evenShare);

/// Returns whether the process may send one more request to the upstream. Within its even share it
/// always may. Beyond that, all requests must still fit if every node grew as this one did within
/// the window. A process whose even share is zero may send one request if a slot appears free.
/// Complexity: constant.
bool canDispatch(const SlotView &view);

/// Returns by how many requests all nodes together can exceed the slots at most, see
/// docs/policy-limits-and-retries.md. Complexity: constant.
std::uint32_t overshootBound(const SlotShareSettings &settings, std::uint32_t slots,
                             std::uint32_t nodes);

/// Minimum number of requests in flight over a recent time span. Holds at most as many entries as
/// there were requests in flight, independent of the number of changes.
class InFlightHistory
{
public:
    /// Records a change, and drops entries older than `keep`. Complexity: amortised constant.
    void note(TimePoint now, std::uint32_t inFlight, Duration keep);
    /// Returns the minimum since a time within the span kept; 0 for a time before the first change.
    /// Complexity: logarithmic in the maximum number of requests in flight.
    std::uint32_t minimumSince(TimePoint since) const;

private:
    /// The minimum from a time until now.
    struct Minimum
    {
        TimePoint m_since;
        std::uint32_t m_inFlight = 0;
    };

    /// Ascending in time and in number.
    std::deque<Minimum> m_minima;
};

/// Times of this process's recent dispatches to one upstream.
class RecentDispatches
{
public:
    /// Records a dispatch, and drops those older than `keep`. Complexity: amortised constant.
    void add(TimePoint now, Duration keep);
    /// Returns the number of dispatches after a time. Complexity: logarithmic.
    std::uint32_t countAfter(TimePoint since) const;

private:
    std::deque<TimePoint> m_times;
};

} // namespace gypsumdale
