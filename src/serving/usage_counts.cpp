#include <gypsumdale/serving/usage_counts.hpp>

#include <utility> // move

namespace gypsumdale {

WindowNumber UsageCounts::windowAt(WallMillis wall) const
{
    return wall / std::chrono::duration_cast<std::chrono::milliseconds>(m_span).count();
}

void UsageCounts::add(const AccountId &account, WallMillis wall)
{
    ++m_own[windowAt(wall)][account];
}

void UsageCounts::setPeer(const std::string &incarnation, WindowNumber window, WindowCounts counts)
{
    m_peers[window][incarnation] = std::move(counts);
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

void UsageCounts::forgetBefore(WindowNumber window)
{
    m_own.erase(m_own.begin(), m_own.lower_bound(window));
    m_peers.erase(m_peers.begin(), m_peers.lower_bound(window));
}

} // namespace gypsumdale
