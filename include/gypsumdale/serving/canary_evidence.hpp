#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <array> // array
#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <string> // string
#include <tuple> // tie

namespace gypsumdale {

/// Answers of one kind of request, counted by how they ended and by the time to their first event,
/// or to the whole answer of a plain service.
struct AnswerCounts
{
    /// Times are counted by powers of the square root of two, from one millisecond on.
    static constexpr std::size_t timeBins = 28;

    std::int64_t m_errors = 0;
    /// Answers without an error, by their time.
    std::array<std::int64_t, timeBins> m_times{};

    /// Returns the bin of a time. Complexity: constant.
    static std::size_t binOf(Duration time);

    void add(bool isError, Duration time);
    std::int64_t answers() const;
    /// Returns the bin of the median time, or nothing useful (0) without times.
    std::size_t medianBin() const;
    /// Returns the answers whose time falls into a bin or a later one.
    std::int64_t atLeast(std::size_t bin) const;

    AnswerCounts &operator+=(const AnswerCounts &other);
    AnswerCounts &operator-=(const AnswerCounts &other);
    friend bool operator==(const AnswerCounts &, const AnswerCounts &) = default;
};

/// Whose answers are counted: those of one new upstream, or of all upstreams of the other versions.
struct EvidenceKey
{
    std::string m_route;
    /// Empty for the control group.
    UpstreamId m_upstream;

    friend bool operator==(const EvidenceKey &, const EvidenceKey &) = default;
    friend bool operator<(const EvidenceKey &left, const EvidenceKey &right)
    {
        return std::tie(left.m_route, left.m_upstream) < std::tie(right.m_route, right.m_upstream);
    }
};

using CanaryEvidence = std::map<EvidenceKey, AnswerCounts>;

/// Returns the number of answers. Complexity: linear.
std::int64_t answersIn(const CanaryEvidence &evidence);

/// Returns what evidence holds beyond an earlier state of the same counters. Complexity: n log n.
CanaryEvidence evidenceSince(const CanaryEvidence &earlier, const CanaryEvidence &now);

} // namespace gypsumdale
