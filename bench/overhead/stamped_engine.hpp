#pragma once

#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <pcg_random.hpp>

#include <cstdint> // int64_t
#include <string_view> // string_view

namespace gypsumdale::overhead {

inline constexpr int stampedEvents = 100;
inline constexpr int stampedSlots = 64;

/// Returns the monotonic time in nanoseconds, the same for all threads.
std::int64_t nanosNow();

/// Returns the time that an event of a stamped engine was written at, or zero if it has none.
std::int64_t stampIn(std::string_view event);

/// Answers as a model engine does, with streams of 100 events, one each 5 ms, whose text is the
/// time of writing. The reader of an event learns from it how long the event was under way.
class StampedEngine
{
public:
    /// Listens on that port; ends the program with status 1 if it is taken.
    explicit StampedEngine(std::uint16_t port);

private:
    void answer(const HttpRequest &request, HttpResponder &responder);
    void stream(const HttpRequest &request, HttpResponder &responder);

    FiberLoop m_loop;
    HttpServer m_server;
    pcg32 m_random;
    int m_running = 0;
};

} // namespace gypsumdale::overhead
