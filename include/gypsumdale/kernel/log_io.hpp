#pragma once

#include <gypsumdale/kernel/platform_client.hpp>
#include <gypsumdale/ledger/log_messages.hpp>

#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

/// Carries out one command of a log whose objects are KIND/LOG/NUMBER in the platform, and says how
/// the platform answered. Suspends the calling fiber of the control loop.
LogAnswer performLogCommand(PlatformClient &platform, std::string_view kind, std::string_view log,
                            const LogCommand &command);

} // namespace gypsumdale
