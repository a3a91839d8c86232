#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstdint> // uint64_t

namespace gypsumdale {

/// Measures the rate, in tokens per second, at which a queue is served while requests are queued.
class ServiceRate
{
public:
    explicit ServiceRate(Duration halfLife = std::chrono::seconds(3));

    /// Records dispatched work. Times with an empty queue are left out, as they don't show the
    /// capacity. Complexity: constant.
    void recordServed(std::uint64_t tokens, TimePoint now, bool isBacklogged);

    /// Returns the tokens per second, or 0 if too little was measured.
    double tokensPerSecond() const;

private:
    double m_halfLife;
    double m_tokens = 0.0;
    double m_seconds = 0.0;
    TimePoint m_lastAt{};
    bool m_wasBacklogged = false;
};

} // namespace gypsumdale
