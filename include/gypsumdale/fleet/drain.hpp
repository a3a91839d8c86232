#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>

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
    /// How long the process goes on accepting after readiness fails, so that the balancer's checks
    /// notice first.
    Duration m_balancerWait = std::chrono::seconds(5);
    /// The time budget where no notice gives a deadline.
    Duration m_budget = std::chrono::seconds(60);
    /// Time kept at the end for closing: last answers' bytes, records, goodbyes.
    Duration m_closeReserve = std::chrono::milliseconds(500);
    /// Time that handing jobs over to other nodes may take; it starts this long before closing.
    Duration m_handOverReserve = std::chrono::seconds(5);
};

/// What the process still has to finish.
struct UnfinishedWork
{
    std::size_t m_requests = 0;
    /// Durable jobs that this node owns and that no other node has taken over.
    std::size_t m_jobs = 0;
    /// Whether a caller is connected, or may be yet: it may bring a request any moment, so that the
    /// process doesn't end; an idle connection is nothing that is cut at the deadline.
    bool m_hasCallers = false;

    bool isEmpty() const { return m_requests == 0 && m_jobs == 0; }
    friend bool operator==(const UnfinishedWork &, const UnfinishedWork &) = default;
};

/// Let /readyz fail and tell the peers (Membership::setDraining). Go on accepting and serving;
/// answers on kept-alive connections ask the caller to close.
struct FailReadiness
{
    std::string m_reason;
};
/// Stop accepting connections; new requests on open ones are refused as not run (Draining).
struct StopAccepting
{
    std::string m_reason;
};
/// Hand the jobs to other nodes, each with its progress. Streams that callers read go on until
/// theirs is handed over.
struct HandOverJobs
{
    TimePoint m_until;
    std::string m_reason;
};
/// The time is up: close what is left. Each cut request must be logged and counted, each job left
/// behind be named; this command's numbers are the report.
struct CutRemaining
{
    UnfinishedWork m_work;
    std::string m_reason;
};
/// Send the last records and goodbyes, close idle connections, then call closed().
struct CloseConnections
{
    std::string m_reason;
};
/// Leave the process. The work that was cut is nothing after a graceful end.
struct ExitProcess
{
    UnfinishedWork m_cut;
    std::string m_reason;
};

using DrainCommand = std::variant<FailReadiness, StopAccepting, HandOverJobs, CutRemaining,
                                  CloseConnections, ExitProcess>;
using DrainCommands = std::vector<DrainCommand>;

/// The graceful shutdown of this process: Serving, NotReady, Draining, Closing, Done. Nothing in
/// flight is cut while the deadline allows, and what is cut is reported. A later cause may bring
/// the deadline nearer, never push it out.
class Drain
{
public:
    explicit Drain(DrainSettings settings)
        : m_settings(settings)
    {}

    /// Begins the shutdown, or tells a running one of a further cause. The deadline is when the VM
    /// goes; without one, the budget counts from now. Constant.
    DrainCommands begin(DrainCause cause, std::optional<TimePoint> deadline, TimePoint now);

    /// Says what is unfinished; call it before tick whenever it changed. Constant.
    void setUnfinished(UnfinishedWork work) { m_work = work; }

    /// Everything was closed; the process may end before its deadline.
    DrainCommands closed(TimePoint now);

    /// Moves on to `now`: call it every 50 ms or so while draining. Constant.
    DrainCommands tick(TimePoint now);

    DrainPhase phase() const { return m_phase; }
    bool isReady() const { return m_phase == DrainPhase::Serving; }
    /// Whether new connections and requests are taken.
    bool isAccepting() const
    {
        return m_phase == DrainPhase::Serving || m_phase == DrainPhase::NotReady;
    }
    /// When the process must be gone; nothing while serving.
    std::optional<TimePoint> deadline() const { return m_deadline; }
    const std::string &reason() const { return m_reason; }

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
