#include <gypsumdale/entry/connection_waiting.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>

#include <catch2/catch.hpp>

#include <chrono> // milliseconds, seconds
#include <memory> // make_unique, unique_ptr

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const ServiceId service("app");

/// Requests that wait for connections of one service, with a number of free ones.
struct Waiters
{
    Waiters() { m_clock.pause(); }

    std::unique_ptr<ConnectionWaiting::Place> join(int priority, Duration arrivedAfter = 0ms)
    {
        return std::make_unique<ConnectionWaiting::Place>(m_waiting, service, priority,
                                                          TimePoint{1h} + arrivedAfter,
                                                          [this] { return m_free > 0; });
    }
    void endOne()
    {
        ++m_free;
        m_waiting.recordEnd(service);
    }

    Clock m_clock;
    ConnectionWaiting m_waiting{m_clock};
    int m_free = 0;
};

} // namespace

TEST_CASE("a free connection goes to the most urgent request, then to the first that arrived")
{
    Waiters waiters;
    const auto late = waiters.join(2, 20ms);
    auto early = waiters.join(2, 10ms);
    auto urgent = waiters.join(0, 30ms);
    CHECK(waiters.m_waiting.count() == 3);
    waiters.endOne();
    CHECK(urgent->hasTurn());
    CHECK_FALSE(early->hasTurn());

    SECTION("and the next one only after that was placed, as its connection counts from then on")
    {
        waiters.endOne();
        CHECK_FALSE(early->hasTurn());
        --waiters.m_free;
        urgent.reset();
        CHECK(early->hasTurn());
        CHECK_FALSE(late->hasTurn());
    }
    SECTION("or to the next one if that gives up")
    {
        urgent.reset();
        CHECK(early->hasTurn());
        early.reset();
        CHECK(late->hasTurn());
    }
}

// Guards against a request that can use none of the free connections and holds up all others.
TEST_CASE("a request that can't be placed is passed over")
{
    Waiters waiters;
    const ConnectionWaiting::Place stuck(waiters.m_waiting, service, 0, TimePoint{1h},
                                         [] { return false; });
    const auto next = waiters.join(1);
    waiters.endOne();
    CHECK_FALSE(stuck.hasTurn());
    CHECK(next->hasTurn());
}

TEST_CASE("a free connection is noticed on arrival and after a change")
{
    Waiters waiters;
    const auto waiting = waiters.join(1);
    waiters.m_free = 1;
    SECTION("on arrival, the one that waits already goes first")
    {
        const auto arrival = waiters.join(1, 1ms);
        CHECK(waiting->hasTurn());
        CHECK_FALSE(arrival->hasTurn());
    }
    SECTION("after a change")
    {
        waiters.m_waiting.recordChange();
        CHECK(waiting->hasTurn());
    }
}

// Guards against requests that are held until their deadline, and callers that left but still wait.
TEST_CASE("a wait ends with the turn, the time or its cancellation")
{
    FiberLoop loop("test");
    loop.start();
    Waiters waiters;
    loop.call([&] {
        CHECK_FALSE(waiters.join(1)->wait(5ms));
        const auto place = waiters.join(1);
        loop.spawn([&] { waiters.endOne(); });
        CHECK(place->wait(10s));
        --waiters.m_free;
    });
    loop.call([&] {
        const auto place = waiters.join(1);
        loop.spawn([&] { place->cancel(); });
        CHECK_FALSE(place->wait(10s));
        // A connection that is free later goes to another one.
        const auto next = waiters.join(1, 1ms);
        waiters.endOne();
        CHECK_FALSE(place->hasTurn());
        CHECK(next->hasTurn());
    });
}

TEST_CASE("the expected wait follows from the requests ahead and the rate of ends")
{
    Waiters waiters;
    for (int ended = 0; ended < 50; ++ended)
        waiters.m_waiting.recordEnd(service);
    const auto first = waiters.join(1);
    const auto second = waiters.join(1, 1ms);
    CHECK(waiters.m_waiting.decide(service, 1, 1s).m_expected == 60ms);
    CHECK(waiters.m_waiting.decide(service, 0, 1s).m_expected == 20ms);
    CHECK(waiters.m_waiting.decide(service, 1, 50ms).m_verdict == ConnectionWaitVerdict::TooMany);
    waiters.m_clock.advance(2s);
    CHECK(waiters.m_waiting.decide(service, 1, 1s).m_verdict == ConnectionWaitVerdict::TooMany);
}
