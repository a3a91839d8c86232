#pragma once

#include <gypsumdale/core/names.hpp>

namespace gypsumdale {

// g++ 12 reports enumerators of a scoped enumeration as shadowing gypsumdale::Done.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"

/// Known outcome of a request that must not run twice.
enum class Outcome {
    Done, ///< It ran once, and its answer arrived.
    NotRun, ///< It did not run and never will.
    Unknown, ///< It may have run.
};

#pragma GCC diagnostic pop

inline constexpr NameTable<Outcome, 3> outcomeNames = {{
        {Outcome::Done, "done"},
        {Outcome::NotRun, "not-run"},
        {Outcome::Unknown, "unknown"},
}};

/// How far a call to an upstream got.
enum class CallPhase {
    NothingSent, ///< No byte of the request was passed to the connection.
    RefusedBeforeStart, ///< The upstream answered 503 with `X-Not-Run: 1`.
    MayHaveBeenRead, ///< Bytes were sent, and no complete answer arrived.
    Answered, ///< A complete answer arrived, with any status.
};

inline constexpr NameTable<CallPhase, 4> callPhaseNames = {{
        {CallPhase::NothingSent, "nothing-sent"},
        {CallPhase::RefusedBeforeStart, "refused-before-start"},
        {CallPhase::MayHaveBeenRead, "may-have-been-read"},
        {CallPhase::Answered, "answered"},
}};

/// Returns the outcome that the end of a call proves. A successful write proves nothing, as the
/// connection may already have been dead: MayHaveBeenRead is always Unknown. Complexity: constant.
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
