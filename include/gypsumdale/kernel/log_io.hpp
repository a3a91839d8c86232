#pragma once

#include <gypsumdale/kernel/platform_client.hpp>
#include <gypsumdale/ledger/log_messages.hpp>

#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

/// Executes one command of a log whose objects are KIND/LOG/NUMBER in the platform, and returns the
/// platform's answer. Suspends the calling fiber of the control loop.
LogAnswer performLogCommand(PlatformClient &platform, std::string_view kind, std::string_view log,
                            const LogCommand &command);

} // namespace gypsumdale
