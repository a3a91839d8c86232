#pragma once

#include <ctl/admin_reply.hpp>
#include <ctl/command.hpp>

#include <cstdint> // int64_t
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::ctl {

/// Returns the target of an object below "/admin/v1/", as in objectTarget("config", "profile",
/// "phone").
std::string objectTarget(std::string_view resource, std::string_view kind, std::string_view name);

/// Writes which data centres have a version in force, one a line, with the nodes that lack it.
std::string formatRollout(const Rollout &rollout, std::int64_t version);

/// Asks again and again until every data centre has the version in force, printing each change, or
/// until the command's timeout (Timeout). An entry that can't be reached is asked again as well.
ExitCode waitForRollout(Session &session, const Document &document, std::int64_t version);

} // namespace gypsumdale::ctl
