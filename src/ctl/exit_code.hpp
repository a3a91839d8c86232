#pragma once

#include <gypsumdale/core/error.hpp>
#include <gypsumdale/core/names.hpp>

namespace gypsumdale::ctl {

/// How gypsumctl ends; scripts rely on the numbers, and docs/gypsumctl.md lists them.
enum class ExitCode : int {
    Ok = 0,
    Usage = 1,
    Findings = 2,
    Conflict = 3,
    Unreachable = 4,
    CredentialRefused = 5,
    NotFound = 6,
    Timeout = 7,
    /// A node answered with an error that none of the others describes.
    Failed = 8,
    /// The answer to a write was lost and reading back did not settle it.
    OutcomeUnknown = 9,
};

inline constexpr NameTable<ExitCode, 10> exitCodeNames = {{
        {ExitCode::Ok, "ok"},
        {ExitCode::Usage, "usage"},
        {ExitCode::Findings, "findings"},
        {ExitCode::Conflict, "conflict"},
        {ExitCode::Unreachable, "unreachable"},
        {ExitCode::CredentialRefused, "credential refused"},
        {ExitCode::NotFound, "not found"},
        {ExitCode::Timeout, "timeout"},
        {ExitCode::Failed, "failed"},
        {ExitCode::OutcomeUnknown, "outcome unknown"},
}};

/// Returns how to end on an error that a node reported.
ExitCode exitCodeFor(ErrorId id);

/// Returns how to end on an HTTP status alone, for an answer without an error body, such as a
/// balancer's.
ExitCode exitCodeForStatus(int status);

} // namespace gypsumdale::ctl
