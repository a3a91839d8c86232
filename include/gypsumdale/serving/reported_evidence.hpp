#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/canary_evidence.hpp>

#include <cstdint> // int64_t
#include <map> // map
#include <string> // string
#include <utility> // pair

namespace gypsumdale {

/// What VMs have reported of the answers that they count, and the rate of answers that follows.
class ReportedEvidence
{
public:
    /// Takes all that one process of a VM has counted since its start. Returns what it had not
    /// reported before. Complexity: n log n.
    CanaryEvidence add(const std::string &node, std::int64_t incarnation,
                       const CanaryEvidence &evidence, TimePoint now);

    /// Returns the answers per second over all VMs that report, or 0 while fewer than half of them
    /// were measured. Complexity: linear in the processes that ever reported.
    double rate(TimePoint now) const;

private:
    /// One process's reports.
    struct Reports
    {
        CanaryEvidence m_evidence;
        TimePoint m_firstAt{};
        TimePoint m_lastAt{};
        /// Answers that were counted after the first report, which may hold those of a longer time.
        std::int64_t m_answersSinceFirst = 0;
    };

    /// By VM and the incarnation of its process.
    std::map<std::pair<std::string, std::int64_t>, Reports> m_processes;
};

} // namespace gypsumdale
