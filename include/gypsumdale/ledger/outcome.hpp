#pragma once

#include <gypsumdale/core/names.hpp>

namespace gypsumdale {

// g++ 12 takes the names of a scoped enumeration for a shadowing of gypsumdale::Done.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"

/// What is known of a request that must not run twice.
enum class Outcome {
    Done, ///< It ran, once, and its answer arrived.
    NotRun, ///< It did not run and never will.
    Unknown, ///< It may have run.
};

#pragma GCC diagnostic pop

inline constexpr NameTable<Outcome, 3> outcomeNames = {{
        {Outcome::Done, "done"},
        {Outcome::NotRun, "not-run"},
        {Outcome::Unknown, "unknown"},
}};

/// How far a call to an upstream came.
enum class CallPhase {
    NothingSent, ///< No byte of the request was handed to the connection.
    RefusedBeforeStart, ///< The upstream answered 503 with `X-Not-Run: 1`.
    MayHaveBeenRead, ///< Bytes were sent and no whole answer came.
    Answered, ///< A whole answer arrived, whatever its status.
};

inline constexpr NameTable<CallPhase, 4> callPhaseNames = {{
        {CallPhase::NothingSent, "nothing-sent"},
        {CallPhase::RefusedBeforeStart, "refused-before-start"},
        {CallPhase::MayHaveBeenRead, "may-have-been-read"},
        {CallPhase::Answered, "answered"},
}};

/// Returns the outcome that a call's end proves. A write that succeeded proves nothing: the
/// connection may have been silent for good, so that MayHaveBeenRead is always Unknown. Constant.
constexpr Outcome outcomeOf(CallPhase phase)
{
    switch (phase) {
    case CallPhase::NothingSent:
    case CallPhase::RefusedBeforeStart:
        return Outcome::NotRun;
    case CallPhase::MayHaveBeenRead:
        return Outcome::Unknown;
    case CallPhase::Answered:
        return Outcome::Done;
    }
    return Outcome::Unknown;
}

} // namespace gypsumdale
