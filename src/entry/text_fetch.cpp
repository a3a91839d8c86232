#include <gypsumdale/entry/text_fetch.hpp>

#include <algorithm> // max, min

namespace gypsumdale {

namespace {

/// Failures after which the pause grows no more.
constexpr int mostDoublings = 4;
/// A pause is between so many and twice so many parts of a hundred of itself.
constexpr unsigned leastPercent = 50;
constexpr unsigned percentSpan = 101;
constexpr int wholePercent = 100;

} // namespace

std::optional<std::string> TextFetch::begin(const TextFetchState &need,
                                            const std::vector<TextSource> &sources, TimePoint now)
{
    std::vector<const TextSource *> ahead;
    for (const TextSource &source : sources) {
        if (source.m_version > need.m_ownVersion)
            ahead.push_back(&source);
    }
    if (ahead.empty()) {
        m_behindSince.reset();
        return std::nullopt;
    }
    if (m_isUnderWay || isLeftToStore(need, now) || now < m_pausedUntil)
        return std::nullopt;
    if (ahead.size() > 1)
        std::erase_if(ahead,
                      [this](const auto *source) { return source->m_address == m_lastAsked; });
    m_lastAsked = ahead[m_random(static_cast<std::uint32_t>(ahead.size()))]->m_address;
    m_isUnderWay = true;
    return m_lastAsked;
}

/// Tells whether the store is about to bring what peers tell of.
bool TextFetch::isLeftToStore(const TextFetchState &need, TimePoint now)
{
    if (!m_behindSince || m_behindAt != need.m_ownVersion) {
        m_behindSince = now;
        m_behindAt = need.m_ownVersion;
    }
    if (need.m_isStoreLost)
        return false;
    return !need.m_storeHeadStart || now - *m_behindSince < *need.m_storeHeadStart;
}

void TextFetch::onFetched()
{
    m_isUnderWay = false;
    m_failures = 0;
    m_pausedUntil = TimePoint{};
}

void TextFetch::onFailed(TimePoint now)
{
    m_isUnderWay = false;
    m_pausedUntil = now + nextPause();
}

Duration TextFetch::nextPause()
{
    const Duration whole = std::min(initialBackoff * (1 << m_failures), maxBackoff);
    m_failures = std::min(m_failures + 1, mostDoublings);
    const auto percent = static_cast<int>(leastPercent + m_random(percentSpan));
    return whole * percent / wholePercent;
}

} // namespace gypsumdale
