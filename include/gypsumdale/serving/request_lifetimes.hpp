#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstddef> // size_t
#include <set> // set
#include <vector> // vector

namespace gypsumdale {

/// Distribution of how long requests last, estimated from those observed over a time: the
/// Kaplan-Meier estimator with late entry (Kaplan and Meier, 1958). A request that is still under
/// way counts as lasting at least as long as it has, and one that began before the observation
/// counts from the age that it had then.
class RequestLifetimes
{
public:
    /// Adds a request that has ended. It was observed from one age on. Complexity: constant.
    void addEnded(Duration observedFrom, Duration lifetime);

    /// Adds a request that has not ended yet. Complexity: constant.
    void addUnderWay(Duration observedFrom, Duration age);

    /// Returns the lifetime that this part of all requests doesn't exceed. If more than the rest
    /// may last longer than any that has ended, it is the longest lifetime or age: a lower bound.
    /// Complexity: the number of ended requests times that of all.
    Duration percentile(double part) const;

    /// Returns the longest lifetime or age, zero without requests. Complexity: linear.
    Duration longest() const;

private:
    struct Observation
    {
        Duration m_from{};
        Duration m_until{};
        bool m_hasEnded = false;
    };

    /// Requests that last at least to an age.
    struct Counts
    {
        std::size_t m_lasting = 0;
        /// Those of them that were observed at that age, and that ended at it.
        std::size_t m_observed = 0;
        std::size_t m_ended = 0;
    };

    Counts countAt(Duration age) const;
    std::set<Duration> endings() const;

    std::vector<Observation> m_observations;
};

} // namespace gypsumdale
