#include <gypsumdale/serving/prompt_announcer.hpp>

#include <algorithm> // count_if, max

namespace gypsumdale {

namespace {

/// Prefill time from which a prompt is announced in a small fleet. Until the next exchange, a
/// quarter of a second later, peers would send their prompts to the same engine, and its streams
/// would wait for all of them in a row.
constexpr Duration longReading = std::chrono::milliseconds(100);
/// Prompts with a shorter prefill are never announced: they are read before the announcement
/// arrives.
constexpr Duration shortReading = std::chrono::milliseconds(20);
/// Announcements per second of all VMs. Each VM receives all of them, so they are bounded by the
/// share of a VM's link and processor that control traffic may use.
constexpr double wordsPerSecond = 30;
/// Period in which a VM's prompts are ranked by length: some 50 prompts of a VM that receives five
/// per second.
constexpr Duration rankedSpan = std::chrono::seconds(10);

} // namespace

void PromptAnnouncer::setFleet(std::size_t vms, bool isSpreadOut)
{
    m_vms = std::max<std::size_t>(vms, 1);
    m_isSpreadOut = isSpreadOut;
}

bool PromptAnnouncer::shouldAnnounce(double ownTokens, double speed, TimePoint now)
{
    while (!m_placed.empty() && now - m_placed.front().m_at > rankedSpan)
        m_placed.pop_front();
    m_placed.push_back({now, ownTokens});
    if (speed <= 0)
        return false;
    const Duration reading = fromSeconds(ownTokens / speed);
    if (!m_isSpreadOut)
        return reading > longReading;
    return reading > shortReading && isAmongLongest(ownTokens);
}

/// Returns whether a prompt is among the longest that this VM may announce.
bool PromptAnnouncer::isAmongLongest(double ownTokens) const
{
    const double words = wordsPerSecond * toSeconds(rankedSpan) / static_cast<double>(m_vms);
    const auto longer =
            std::count_if(m_placed.begin(), m_placed.end(), [ownTokens](const Placed &placed) {
                return placed.m_tokens > ownTokens;
            });
    return static_cast<double>(longer) + 1 <= std::max(words, 1.0);
}

} // namespace gypsumdale
