#pragma once

#include <gypsumdale/core/clock.hpp>

#include <entry/placement_call_deadline.hpp>
#include <entry/upstream_answer.hpp>

#include <cstddef> // size_t
#include <list> // list
#include <memory> // shared_ptr
#include <optional> // optional

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace gypsumdale {

/// A run for which an upstream, or a peer that relays it, was selected.
struct PlacedRun
{
    InFlightGuard m_guard;
    /// Null for a peer.
    std::shared_ptr<PlacementCallDeadline> m_deadline;
    TimePoint m_placedAt{};
    /// Its prompt is the only one to read, and a slot is free.
    bool m_isAlone = false;
    bool m_isSpeedSample = false;
};

/// How far a run has come that was sent beside a silent one.
enum class HedgeState {
    UnderWay,
    /// A part of its answer can be read.
    Delivering,
    Failed,
};

/// A run that is sent beside a silent one of the same request, in a fiber of its own.
struct HedgedRun
{
    PlacedRun m_placed;
    bool m_isRelayed = false;
    HedgeState m_state = HedgeState::UnderWay;
    /// The request needs it no longer.
    bool m_isDropped = false;
    std::shared_ptr<CallCancellation> m_cancellation = std::make_shared<CallCancellation>();
    /// Set once the request was sent.
    std::optional<UpstreamAnswer> m_answer{};
};

/// The runs of one request that were sent beside a silent one. All calls are made from fibers of
/// one loop.
class HedgedRuns
{
public:
    HedgedRun &add(PlacedRun placed, bool isRelayed);
    bool isEmpty() const { return m_runs.empty(); }
    bool isAnyUnderWay() const;
    /// Returns the number of runs of which it isn't known yet whether they have begun.
    int waiting() const;
    /// Records how a run has ended, or that it delivers. Its fiber must not use it any more.
    void recordEnd(HedgedRun &run, HedgeState state);
    /// Waits until one of them delivers or none is under way, at most for a time. Returns whether
    /// that is so.
    bool wait(Duration atMost);
    /// Removes a run that delivers and returns it; nothing if there is none.
    std::optional<HedgedRun> takeDelivering();
    /// Cancels all calls, as their request ends.
    void cancel();
    /// Cancels all runs, as another one delivers, and waits until their fibers have ended.
    void drop();

private:
    /// The fibers refer to their runs, which stay where they are.
    std::list<HedgedRun> m_runs;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
};

} // namespace gypsumdale
