#include <gypsumdale/policy/slot_share.hpp>

#include <algorithm> // min
#include <chrono> // milliseconds
#include <utility> // pair
#include <vector> // vector

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace gypsumdale;

namespace {

using Changes = std::vector<std::pair<TimePoint, std::uint32_t>>;

constexpr Duration keep = std::chrono::milliseconds(100);

TimePoint atMillis(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

/// Reference implementation that checks all changes.
std::uint32_t leastOf(const Changes &changes, TimePoint since)
{
    if (changes.empty() || changes.front().first > since)
        return 0;
    std::uint32_t least = changes.back().second;
    for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
        least = std::min(least, change->second);
        if (change->first <= since)
            break;
    }
    return least;
}

} // namespace

TEST_CASE("The least in flight is that of all changes", "[slot-share]")
{
    const bool holds = rc::check("as a search of all changes says", [] {
        InFlightHistory history;
        Changes changes;
        int now = 0;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 30), rc::gen::inRange(0, 8)));
        for (const auto &[pause, inFlight] : steps) {
            now += pause;
            history.note(atMillis(now), static_cast<std::uint32_t>(inFlight), keep);
            changes.emplace_back(atMillis(now), static_cast<std::uint32_t>(inFlight));
            for (int back = 0; back <= 100; ++back) {
                const TimePoint since = atMillis(now - back);
                RC_ASSERT(history.minimumSince(since) == leastOf(changes, since));
            }
        }
    });
    CHECK(holds);
}
