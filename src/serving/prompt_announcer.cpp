#include <gypsumdale/serving/prompt_announcer.hpp>

#include <algorithm> // count_if, max

namespace gypsumdale {

namespace {

/// In a small fleet a prompt that takes longer to read is told: until the next exchange, a quarter
/// of a second later, peers would send theirs to the same engine, and its streams would wait for
/// all of them in a row.
constexpr Duration longReading = std::chrono::milliseconds(100);
/// Shorter ones are not worth a word anywhere: they are read before it has come round.
constexpr Duration shortReading = std::chrono::milliseconds(20);
/// Words of all VMs in a second. Each VM hears all of them, so that they are bounded by what
/// control may take of a VM's link and processor.
constexpr double wordsPerSecond = 30;
/// A VM's longest prompts are taken from this: some 50 of a VM that gets five in a second.
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

/// Tells whether a prompt is one of those that this VM has words for.
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
