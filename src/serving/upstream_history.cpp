#include <gypsumdale/serving/upstream_history.hpp>

#include <algorithm> // count_if, max, nth_element
#include <cstddef> // ptrdiff_t

namespace gypsumdale {

namespace {

/// Maximum number of recorded removals: more than occur in some seconds in the largest fleet, while
/// a follower is behind by a fraction of a second.
constexpr std::size_t maxRemovals = 1024;

} // namespace

void UpstreamHistory::record(const UpstreamId &upstream, bool isGone)
{
    Entry &entry = m_entries[upstream];
    m_goneCount += isGone ? 1 : 0;
    m_goneCount -= entry.m_isGone ? 1 : 0;
    entry = Entry{++m_newest, isGone};
    if (m_goneCount > maxRemovals)
        discardOldest();
}

void UpstreamHistory::recordReplacement()
{
    m_entries.clear();
    m_goneCount = 0;
    m_discardedTo = ++m_newest;
}

/// Discards the older half of the recorded removals.
void UpstreamHistory::discardOldest()
{
    std::vector<std::int64_t> numbers;
    for (const auto &[upstream, entry] : m_entries) {
        if (entry.m_isGone)
            numbers.push_back(entry.m_number);
    }
    const auto middle = numbers.begin() + static_cast<std::ptrdiff_t>(numbers.size() / 2);
    std::nth_element(numbers.begin(), middle, numbers.end());
    m_discardedTo = std::max(m_discardedTo, *middle);
    std::erase_if(m_entries, [this](const auto &item) {
        const Entry &entry = item.second;
        return entry.m_isGone && entry.m_number <= m_discardedTo;
    });
    m_goneCount = static_cast<std::size_t>(
            std::count_if(m_entries.begin(), m_entries.end(),
                          [](const auto &item) { return item.second.m_isGone; }));
}

std::optional<UpstreamDifferences> UpstreamHistory::since(std::int64_t number) const
{
    if (number < m_discardedTo || number > m_newest)
        return std::nullopt;
    UpstreamDifferences differences;
    for (const auto &[upstream, entry] : m_entries) {
        if (entry.m_number > number)
            (entry.m_isGone ? differences.m_gone : differences.m_changed).push_back(upstream);
    }
    return differences;
}

} // namespace gypsumdale
