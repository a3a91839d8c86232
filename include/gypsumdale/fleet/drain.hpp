#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/serving/stop_schedule.hpp>

#include <chrono> // milliseconds, seconds
#include <cstddef> // size_t
#include <optional> // optional
#include <string> // string
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

enum class DrainPhase { Serving, NotReady, Draining, Closing, Done };

inline constexpr NameTable<DrainPhase, 5> drainPhaseNames = {{
        {DrainPhase::Serving, "serving"},
        {DrainPhase::NotReady, "not-ready"},
        {DrainPhase::Draining, "draining"},
        {DrainPhase::Closing, "closing"},
        {DrainPhase::Done, "done"},
}};

enum class DrainCause { Signal, VmReclaim, ZoneReclaim, Operator };

inline constexpr NameTable<DrainCause, 4> drainCauseNames = {{
        {DrainCause::Signal, "signal"},
        {DrainCause::VmReclaim, "vm-reclaim"},
        {DrainCause::ZoneReclaim, "zone-reclaim"},
        {DrainCause::Operator, "operator"},
}};

struct DrainSettings
{
    /// How long the process continues to accept after readiness fails, so that the load balancer's
    /// health checks notice first.
    Duration m_balancerWait = std::chrono::seconds(5);
    /// Time budget if no notice contains a deadline.
    Duration m_budget = std::chrono::seconds(60);
    /// Time reserved at the end for closing: last bytes of answers, records and final reports.
    Duration m_closeReserve = std::chrono::milliseconds(500);
    /// Time reserved for the hand-over of jobs to other nodes; it starts this long before closing.
    Duration m_handOverReserve = std::chrono::seconds(5);
};

/// Work that the process still has to finish.
struct UnfinishedWork
{
    std::size_t m_requests = 0;
    /// Durable jobs that this node owns and that no other node has taken over.
    std::size_t m_jobs = 0;
    /// Whether a caller is connected or may still connect. It may send a request at any moment, so
    /// the process doesn't end; an idle connection doesn't count as work that is cut at the
    /// deadline.
    bool m_hasCallers = false;

    bool isEmpty() const { return m_requests == 0 && m_jobs == 0; }
    friend bool operator==(const UnfinishedWork &, const UnfinishedWork &) = default;
};

/// Makes /readyz fail and notifies the peers (Membership::setDraining). The process continues to
/// accept and serve; answers on kept-alive connections ask the caller to close.
struct FailReadiness
{
    std::string m_reason;
};
/// Stops accepting connections; new requests on open ones are refused as not run (Draining).
struct StopAccepting
{
    std::string m_reason;
};
/// Hands the jobs over to other nodes, each with its progress. Streams that callers read continue
/// until their job is handed over.
struct HandOverJobs
{
    TimePoint m_until;
    std::string m_reason;
};
/// Closes what is unfinished at the deadline. Each cut request must be logged and counted, and each
/// remaining job named; the numbers in this command are the report.
struct CutRemaining
{
    UnfinishedWork m_work;
    std::string m_reason;
};
/// Sends the last records and final reports, closes idle connections, then calls closed().
struct CloseConnections
{
    std::string m_reason;
};
/// Ends the process. After a graceful end, no work was cut.
struct ExitProcess
{
    UnfinishedWork m_cut;
    std::string m_reason;
};

using DrainCommand = std::variant<FailReadiness, StopAccepting, HandOverJobs, CutRemaining,
                                  CloseConnections, ExitProcess>;
using DrainCommands = std::vector<DrainCommand>;

/// Graceful shutdown of this process: Serving, NotReady, Draining, Closing, Done. Nothing in flight
/// is cut before the deadline, and what is cut is reported. A later cause may move the deadline
/// closer, but never further away.
class Drain
{
public:
    explicit Drain(DrainSettings settings)
        : m_settings(settings)
    {}

    /// Begins the shutdown, or adds a cause to one that is in progress. The deadline is the time at
    /// which the VM ends; without one, the budget counts from now. Complexity: constant.
    DrainCommands begin(DrainCause cause, std::optional<TimePoint> deadline, TimePoint now);

    /// Sets the unfinished work; to be called before tick whenever it changed. Complexity:
    /// constant.
    void setUnfinished(UnfinishedWork work) { m_work = work; }

    /// Records that everything is closed, so that the process may end before its deadline.
    DrainCommands closed(TimePoint now);

    /// Advances to `now`; to be called about every 50 ms while draining. Complexity: constant.
    DrainCommands tick(TimePoint now);

    DrainPhase phase() const { return m_phase; }
    bool isReady() const { return m_phase == DrainPhase::Serving; }
    /// Returns whether new connections and requests are accepted.
    bool isAccepting() const
    {
        return m_phase == DrainPhase::Serving || m_phase == DrainPhase::NotReady;
    }
    /// Returns the time at which the process must have ended; nothing while serving.
    std::optional<TimePoint> deadline() const { return m_deadline; }
    const std::string &reason() const { return m_reason; }
    /// Returns when the process does what, as far as the causes known now say; nothing while
    /// serving.
    std::optional<StopSchedule> schedule() const;

private:
    TimePoint closeAt() const;
    TimePoint handOverAt() const;
    TimePoint stopAcceptingAt() const;
    void stepNotReady(TimePoint now, DrainCommands &commands);
    void stepDraining(TimePoint now, DrainCommands &commands);
    void stepClosing(TimePoint now, DrainCommands &commands);
    void close(TimePoint now, DrainCommands &commands);

    DrainSettings m_settings;
    DrainPhase m_phase = DrainPhase::Serving;
    TimePoint m_startedAt;
    TimePoint m_closingAt;
    std::optional<TimePoint> m_deadline;
    std::string m_reason;
    UnfinishedWork m_work;
    UnfinishedWork m_cut;
    bool m_handOverAsked = false;
};

} // namespace gypsumdale
