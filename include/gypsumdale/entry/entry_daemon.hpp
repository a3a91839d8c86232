#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/settings/entry_settings.hpp>

#include <cstddef> // size_t
#include <functional> // function
#include <optional> // optional

namespace gypsumdale {

/// Reads the settings again. Returns nothing if they can't be read or are invalid, which the
/// function has already reported.
using ReadEntrySettings = std::function<std::optional<EntrySettings>()>;

/// Runs one entry process until SIGTERM or SIGINT, followed by a graceful shutdown. SIGHUP, or a
/// change of the settings file, reloads the settings. Returns an error immediately if an address is
/// in use. Returns the number of requests that were cancelled at shutdown.
Result<std::size_t> runEntryDaemon(const EntrySettings &settings, ReadEntrySettings readAgain);

} // namespace gypsumdale
