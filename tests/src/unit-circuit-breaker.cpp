#include <gypsumdale/policy/circuit_breaker.hpp>

#include <catch2/catch.hpp>

#include <array> // array

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

/// Loops of one VM that each poll the same dependency.
struct Pollers
{
    static constexpr std::array<Duration, 4> everyLoop{150ms, 150ms, 400ms, 700ms};

    /// Polls for the given time; returns the number of calls made.
    int poll(Duration time, bool isAnswered)
    {
        int calls = 0;
        const TimePoint end = m_now + time;
        for (; m_now < end; m_now += 10ms) {
            for (const Duration every : everyLoop) {
                if ((m_now - start) % every != 0ms || !m_breaker.tryCall(m_now))
                    continue;
                ++calls;
                if (isAnswered)
                    m_breaker.onAnswered();
                else
                    m_breaker.onFailed(m_now, m_now);
            }
        }
        return calls;
    }

    CircuitBreaker m_breaker;
    TimePoint m_now = start;
};

} // namespace

TEST_CASE("a breaker lets every call through while they are answered")
{
    Pollers pollers;
    CHECK(pollers.poll(3s, true) > 50);
    CHECK_FALSE(pollers.m_breaker.isOpen());
}

TEST_CASE("all loops of a VM together call a dependency that fails about once a second")
{
    Pollers pollers;
    pollers.poll(2s, false);
    CHECK(pollers.poll(10s, false) <= 10);
}

TEST_CASE("a dependency that is back is called within the longest pause, and then as before")
{
    Pollers pollers;
    pollers.poll(10s, false);
    CHECK(pollers.poll(1s + 150ms, true) >= 1);
    CHECK_FALSE(pollers.m_breaker.isOpen());
    CHECK(pollers.poll(3s, true) > 50);
}

TEST_CASE("a single failure is followed by a short pause")
{
    CircuitBreaker breaker;
    breaker.onFailed(start, start);
    CHECK_FALSE(breaker.tryCall(start + 149ms));
    CHECK(breaker.tryCall(start + 150ms));
}

TEST_CASE("calls that were under way together lengthen the pause once")
{
    CircuitBreaker breaker;
    breaker.onFailed(start, start + 10ms);
    breaker.onFailed(start, start + 20ms);
    breaker.onFailed(start + 5ms, start + 30ms);
    CHECK(breaker.tryCall(start + 160ms));
}

TEST_CASE("a call that is long under way keeps no other from its turn")
{
    CircuitBreaker breaker;
    breaker.onFailed(start, start);
    REQUIRE(breaker.tryCall(start + 150ms));
    CHECK_FALSE(breaker.tryCall(start + 200ms));
    CHECK(breaker.tryCall(start + 300ms));
}
