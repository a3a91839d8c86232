#include "bench/overhead/load_driver.hpp"

#include <pcg_random.hpp>

#include <chrono> // steady_clock
#include <random> // exponential_distribution
#include <string> // to_string
#include <utility> // exchange

namespace gypsumdale::overhead {

namespace {

using SteadyClock = std::chrono::steady_clock;

/// Limit of open requests on one loop, which protects the machine when the measured system stalls.
constexpr std::size_t maxOpenPerLoop = 500;

void append(std::vector<double> &to, const std::vector<double> &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

} // namespace

LoadDriver::Loop::Loop(int number)
    : m_loop("load-" + std::to_string(number))
    , m_client(m_loop)
{
    m_loop.start();
}

LoadDriver::LoadDriver(int loops)
{
    for (int number = 0; number < loops; ++number)
        m_loops.push_back(std::make_unique<Loop>(number));
}

Record LoadDriver::closedLoop(int parallel, std::size_t count, Duration time, const Work &work)
{
    const auto end = SteadyClock::now() + time;
    std::atomic<std::size_t> begun = 0;
    std::latch ended(parallel);
    for (int number = 0; number < parallel; ++number) {
        Loop &loop = *m_loops[static_cast<std::size_t>(number) % m_loops.size()];
        loop.m_loop.spawn([&] {
            while (SteadyClock::now() < end && begun++ < count)
                work(loop.m_client, loop.m_record);
            ended.count_down();
        });
    }
    ended.wait();
    return collect();
}

Record LoadDriver::openLoop(double rate, Duration time, const Work &work)
{
    ++m_blocks;
    std::latch ended(static_cast<std::ptrdiff_t>(m_loops.size()));
    for (const auto &loop : m_loops) {
        loop->m_loop.spawn([&, loop = loop.get()] {
            generate(*loop, rate / static_cast<double>(m_loops.size()), time, work);
            ended.count_down();
        });
    }
    ended.wait();
    return collect();
}

void LoadDriver::generate(Loop &loop, double rate, Duration time, const Work &work)
{
    pcg32 random(m_blocks, static_cast<std::uint64_t>(&loop == m_loops.front().get()));
    std::exponential_distribution<double> gap(rate);
    const auto begin = SteadyClock::now();
    auto due = begin;
    for (;;) {
        due += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
        if (due > begin + time)
            break;
        if (const auto now = SteadyClock::now(); due > now)
            sleepFiber(due - now);
        if (loop.m_open >= maxOpenPerLoop) {
            ++loop.m_record.m_unsent;
            continue;
        }
        ++loop.m_open;
        loop.m_loop.spawn([&loop, &work] {
            work(loop.m_client, loop.m_record);
            --loop.m_open;
        });
    }
    while (loop.m_open > 0)
        sleepFiber(std::chrono::milliseconds(1));
}

Record LoadDriver::collect()
{
    Record all;
    for (const auto &loop : m_loops) {
        const Record part = loop->m_loop.call([&] { return std::exchange(loop->m_record, {}); });
        append(all.m_whole, part.m_whole);
        append(all.m_firstToken, part.m_firstToken);
        append(all.m_event, part.m_event);
        all.m_events += part.m_events;
        all.m_failures += part.m_failures;
        all.m_unsent += part.m_unsent;
    }
    return all;
}

} // namespace gypsumdale::overhead
