#pragma once

#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <pcg_random.hpp>

#include <cstdint> // int64_t
#include <string_view> // string_view

namespace gypsumdale::overhead {

inline constexpr int stampedEvents = 100;
inline constexpr int stampedSlots = 64;

/// Returns the monotonic time in nanoseconds; comparable between threads.
std::int64_t nanosNow();

/// Returns the time at which a stamped engine wrote an event, or zero if the event has no stamp.
std::int64_t stampIn(std::string_view event);

/// A model engine whose answers are streams of 100 events, one every 5 ms. The text of an event is
/// the time at which it was written, from which its receiver computes the transfer time.
class StampedEngine
{
public:
    /// Listens on the port; exits the program with status 1 if the port is in use.
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
