#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/serving/completion_forecast.hpp>

#include <optional> // optional

namespace gypsumdale {

/// When a process that was asked to stop does what.
struct StopSchedule
{
    /// When the signal arrived.
    TimePoint m_signalAt{};
    /// New connections are accepted until then.
    TimePoint m_acceptUntil{};
    /// Requests that are still under way are cancelled then.
    TimePoint m_cancelAt{};
};

/// Part of the grace time reserved for answers to cancelled requests, for leaving the registry and
/// for the end of the process.
inline constexpr Duration graceMargin = std::chrono::milliseconds(700);

/// Returns the schedule of a stop. The platform ends the process when the grace time is over,
/// counted from the signal. Complexity: constant.
StopSchedule scheduleStop(TimePoint signalAt, Duration grace);

/// What the caller of a request loses if a stop cuts it.
enum class CutLoss {
    /// Time: it gets an answer that says what became of the request.
    Time,
    /// The answer, which breaks off or doesn't come.
    Answer,
};

/// When a request that is begun now ends, as far as that is known.
struct ExpectedEnd
{
    /// The request has ended by then in any case.
    TimePoint m_deadline{};
    /// Nothing if nothing is known of such requests.
    std::optional<DurationForecast> m_forecast;
    CutLoss m_cutLoss = CutLoss::Time;
};

/// What tells how long a request takes that may be begun.
enum class BeginBasis {
    /// Its deadline, the only bound that holds in any case.
    Deadline,
    /// How long earlier requests of its route took.
    Forecast,
    /// Nothing.
    Unknown,
};

inline constexpr NameTable<BeginBasis, 3> beginBasisNames = {{
        {BeginBasis::Deadline, "deadline"},
        {BeginBasis::Forecast, "forecast"},
        {BeginBasis::Unknown, "unknown"},
}};

/// Whether a process that stops may begin a request, and why.
struct BeginDecision
{
    bool m_mayBegin = false;
    BeginBasis m_basis = BeginBasis::Unknown;
    /// Time that has to be left until requests are cancelled; zero if nothing is known.
    Duration m_needed{};
};

/// Decides whether a process that stops may still begin a request. One that can't end in time is
/// cut; a caller that is refused goes to another VM. While the load balancer still sends requests,
/// those that will probably end in time, or of which nothing is known, are begun. Later only few
/// arrive, and a needless refusal costs less than a cut: a forecast decides only where a cut loses
/// no more than time. Complexity: constant.
BeginDecision decideBegin(const StopSchedule &stop, const ExpectedEnd &end, TimePoint now);

/// Returns whether a process that stops may still begin a request. See decideBegin().
inline bool mayBegin(const StopSchedule &stop, const ExpectedEnd &end, TimePoint now)
{
    return decideBegin(stop, end, now).m_mayBegin;
}

} // namespace gypsumdale
