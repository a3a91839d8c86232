#pragma once

#include <ctl/admin_reply.hpp>
#include <ctl/command.hpp>

#include <cstdint> // int64_t
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::ctl {

/// Returns the request target of an object below "/admin/v1/", for example for
/// objectTarget("config", "profile", "phone").
std::string objectTarget(std::string_view resource, std::string_view kind, std::string_view name);

/// Formats which data centres have a version in force, one per line, with the nodes that do not.
std::string formatRollout(const Rollout &rollout, std::int64_t version);

/// Polls until every data centre has the version in force (Ok) or the command's timeout ends
/// (Timeout), and prints the last known rollout. Unreachable entries are polled again as well.
ExitCode waitForRollout(Session &session, const Document &document, std::int64_t version);

} // namespace gypsumdale::ctl
