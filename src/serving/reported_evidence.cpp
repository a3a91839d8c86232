#include <gypsumdale/serving/reported_evidence.hpp>

#include <cstddef> // size_t

namespace gypsumdale {

namespace {

/// Least time over which one process's rate is measured; it holds two of its reports.
constexpr Duration minMeasuredTime = std::chrono::milliseconds(300);
/// Age of the last report beyond which a process no longer counts.
constexpr Duration maxReportAge = std::chrono::seconds(2);

} // namespace

CanaryEvidence ReportedEvidence::add(const std::string &node, std::int64_t incarnation,
                                     const CanaryEvidence &evidence, TimePoint now)
{
    const auto [entry, isFirst] = m_processes.try_emplace({node, incarnation});
    Reports &reports = entry->second;
    CanaryEvidence increment = evidenceSince(reports.m_evidence, evidence);
    if (isFirst)
        reports.m_firstAt = now;
    else
        reports.m_answersSinceFirst += answersIn(increment);
    reports.m_evidence = evidence;
    reports.m_lastAt = now;
    return increment;
}

double ReportedEvidence::rate(TimePoint now) const
{
    std::size_t reporting = 0;
    std::size_t measured = 0;
    double sum = 0;
    for (const auto &[process, reports] : m_processes) {
        if (now - reports.m_lastAt > maxReportAge)
            continue;
        ++reporting;
        const Duration time = reports.m_lastAt - reports.m_firstAt;
        if (time < minMeasuredTime)
            continue;
        ++measured;
        sum += static_cast<double>(reports.m_answersSinceFirst) / toSeconds(time);
    }
    if (measured == 0 || 2 * measured < reporting)
        return 0;
    return sum * static_cast<double>(reporting) / static_cast<double>(measured);
}

} // namespace gypsumdale
