#include <gypsumdale/observe/utc_text.hpp>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono> // floor, milliseconds, seconds, system_clock

namespace gypsumdale {

std::string toUtcText(WallMillis at)
{
    using Seconds = std::chrono::sys_time<std::chrono::seconds>;
    const std::chrono::sys_time<std::chrono::milliseconds> moment{std::chrono::milliseconds(at)};
    const Seconds second = std::chrono::floor<std::chrono::seconds>(moment);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(second)),
                       (moment - second).count());
}

} // namespace gypsumdale
