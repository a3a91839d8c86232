#pragma once

#include <gypsumdale/core/error.hpp>
#include <gypsumdale/core/names.hpp>

namespace gypsumdale::ctl {

/// Exit codes of gypsumctl. Scripts rely on the numbers, and docs/gypsumctl.md lists them.
enum class ExitCode : int {
    Ok = 0,
    Usage = 1,
    Findings = 2,
    Conflict = 3,
    Unreachable = 4,
    CredentialRefused = 5,
    NotFound = 6,
    Timeout = 7,
    /// A node answered with an error that no other code describes.
    Failed = 8,
    /// The answer to a write was lost, and retries did not show whether it took effect.
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

/// Returns the exit code for an error that a node reported.
ExitCode exitCodeFor(ErrorId id);

/// Returns the exit code for an HTTP status, for answers without an error body, such as those of a
/// load balancer.
ExitCode exitCodeForStatus(int status);

} // namespace gypsumdale::ctl
