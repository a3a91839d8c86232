#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/settings/entry_settings.hpp>

#include <cstddef> // size_t
#include <functional> // function
#include <optional> // optional

namespace gypsumdale {

/// Reads the settings anew; nothing where they can't be read or have findings, which the function
/// has told already.
using ReadEntrySettings = std::function<std::optional<EntrySettings>()>;

/// Runs one entry process until SIGTERM or SIGINT and a graceful shutdown. SIGHUP, or a change of
/// the settings file without it, reloads the settings. Fails at once if an address is taken.
/// Returns the number of requests that had to be cut.
Result<std::size_t> runEntryDaemon(const EntrySettings &settings, ReadEntrySettings readAgain);

} // namespace gypsumdale
