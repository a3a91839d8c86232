#include <gypsumdale/serving/usage_counts.hpp>

#include <algorithm> // max
#include <set> // set
#include <utility> // move

namespace gypsumdale {

namespace {

/// Age of the last report from which a VM may have ended: several exchanges were lost.
constexpr Duration silenceTimeout = std::chrono::milliseconds(1200);

} // namespace

WindowNumber UsageCounts::windowAt(WallMillis wall) const
{
    return wall / std::chrono::duration_cast<std::chrono::milliseconds>(m_span).count();
}

void UsageCounts::add(const AccountId &account, WallMillis wall)
{
    ++m_own[windowAt(wall)][account];
}

void UsageCounts::setPeer(const std::string &node, std::int64_t incarnation, WindowNumber window,
                          WindowCounts counts, TimePoint now)
{
    LastReport &lastReport = m_lastReports[node];
    if (incarnation >= lastReport.m_incarnation)
        lastReport = LastReport{incarnation, now};
    mergeEnded({processName(node, incarnation), window, std::move(counts)});
}

void UsageCounts::mergeEnded(const EndedProcessUsage &ended)
{
    WindowCounts &known = m_peers[ended.m_window][ended.m_process];
    for (const auto &[account, count] : ended.m_counts) {
        std::int64_t &held = known[account];
        held = std::max(held, count);
    }
}

std::vector<EndedProcessUsage> UsageCounts::ended(TimePoint now) const
{
    std::set<std::string> reporting;
    for (const auto &[node, lastReport] : m_lastReports) {
        if (now - lastReport.m_at < silenceTimeout)
            reporting.insert(processName(node, lastReport.m_incarnation));
    }
    std::vector<EndedProcessUsage> result;
    for (const auto &[window, processes] : m_peers) {
        for (const auto &[process, counts] : processes) {
            if (!reporting.contains(process))
                result.push_back({process, window, counts});
        }
    }
    return result;
}

WindowCounts UsageCounts::total(WindowNumber window) const
{
    WindowCounts sum;
    if (const auto own = m_own.find(window); own != m_own.end())
        sum = own->second;
    const auto peers = m_peers.find(window);
    if (peers == m_peers.end())
        return sum;
    for (const auto &[incarnation, counts] : peers->second) {
        for (const auto &[account, count] : counts)
            sum[account] += count;
    }
    return sum;
}

void UsageCounts::removeBefore(WindowNumber window)
{
    m_own.erase(m_own.begin(), m_own.lower_bound(window));
    m_peers.erase(m_peers.begin(), m_peers.lower_bound(window));
}

} // namespace gypsumdale
