#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstdint> // uint64_t

namespace gypsumdale {

/// Measures how many tokens a second a queue's dispatches stand for while something waits.
class ServiceRate
{
public:
    explicit ServiceRate(Duration halfLife = std::chrono::seconds(3));

    /// Notes work dispatched. Time in which nothing waits says nothing of the capacity and is left
    /// out. Constant.
    void recordServed(std::uint64_t tokens, TimePoint now, bool isBacklogged);

    /// Returns tokens a second, or 0 while too little was seen.
    double tokensPerSecond() const;

private:
    double m_halfLife;
    double m_tokens = 0.0;
    double m_seconds = 0.0;
    TimePoint m_lastAt{};
    bool m_wasBacklogged = false;
};

} // namespace gypsumdale
