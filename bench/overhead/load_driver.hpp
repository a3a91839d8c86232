#pragma once

#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_client.hpp>

#include <atomic> // atomic
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <functional> // function
#include <latch> // latch
#include <memory> // unique_ptr
#include <vector> // vector

namespace gypsumdale::overhead {

/// Results of the requests of one loop. Accessed only on that loop while a block runs.
struct Record
{
    /// Times in microseconds: of complete answers, to the first token, and of each streamed event.
    std::vector<double> m_whole;
    std::vector<double> m_firstToken;
    std::vector<double> m_event;
    std::uint64_t m_events = 0;
    std::uint64_t m_failures = 0;
    /// Requests that were not sent because too many were open.
    std::uint64_t m_unsent = 0;
};

/// One request of a block; suspends the fiber until the answer is complete.
using Work = std::function<void(HttpClient &, Record &)>;

/// Generates load on several loops at once.
class LoadDriver
{
public:
    explicit LoadDriver(int loops);

    /// Runs up to `count` requests, at most `parallel` at a time; starts none after `time`.
    Record closedLoop(int parallel, std::size_t count, Duration time, const Work &work);

    /// Starts requests at random times with the given rate per second, independent of the end of
    /// earlier ones, and waits for all of them.
    Record openLoop(double rate, Duration time, const Work &work);

private:
    struct Loop
    {
        explicit Loop(int number);

        FiberLoop m_loop;
        HttpClient m_client;
        Record m_record;
        std::size_t m_open = 0;
    };

    void generate(Loop &loop, double rate, Duration time, const Work &work);
    Record collect();

    std::vector<std::unique_ptr<Loop>> m_loops;
    std::uint64_t m_blocks = 0;
};

} // namespace gypsumdale::overhead
