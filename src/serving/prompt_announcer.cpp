#include <gypsumdale/serving/prompt_announcer.hpp>

#include <algorithm> // count_if, max

namespace gypsumdale {

namespace {

/// Prefill time from which a prompt is announced in a small fleet. Until the next exchange, a
/// quarter of a second later, peers would send their prompts to the same engine, and its streams
/// would wait for all of them in a row.
constexpr Duration longPrefill = std::chrono::milliseconds(100);
/// Prompts with a shorter prefill are never announced: they are read before the announcement
/// arrives.
constexpr Duration shortPrefill = std::chrono::milliseconds(20);
/// Announcements per second of all VMs. Each VM receives all of them, so they are bounded by the
/// share of a VM's link and processor that control traffic may use.
constexpr double announcementsPerSecond = 30;
/// Period in which a VM's prompts are ranked by length: some 50 prompts of a VM that receives five
/// per second.
constexpr Duration rankingPeriod = std::chrono::seconds(10);

} // namespace

void PromptAnnouncer::setFleet(std::size_t fleetSize, bool isStretched)
{
    m_fleetSize = std::max<std::size_t>(fleetSize, 1);
    m_isStretched = isStretched;
}

bool PromptAnnouncer::shouldAnnounce(double ownTokens, double speed, TimePoint now)
{
    while (!m_placed.empty() && now - m_placed.front().m_at > rankingPeriod)
        m_placed.pop_front();
    m_placed.push_back({now, ownTokens});
    if (speed <= 0)
        return false;
    const Duration prefill = fromSeconds(ownTokens / speed);
    if (!m_isStretched)
        return prefill > longPrefill;
    return prefill > shortPrefill && isAmongLongest(ownTokens);
}

/// Returns whether a prompt is among the longest that this VM may announce.
bool PromptAnnouncer::isAmongLongest(double ownTokens) const
{
    const double announcements =
            announcementsPerSecond * toSeconds(rankingPeriod) / static_cast<double>(m_fleetSize);
    const auto longer =
            std::count_if(m_placed.begin(), m_placed.end(), [ownTokens](const Placed &placed) {
                return placed.m_tokens > ownTokens;
            });
    return static_cast<double>(longer) + 1 <= std::max(announcements, 1.0);
}

} // namespace gypsumdale
