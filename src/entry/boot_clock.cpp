#include <gypsumdale/entry/boot_clock.hpp>

#include <ctime> // clock_gettime

namespace gypsumdale {

TimePoint bootNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace gypsumdale
