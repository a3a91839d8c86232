#include <gypsumdale/entry/text_fetch.hpp>

#include <algorithm> // max, min

namespace gypsumdale {

namespace {

/// Number of failures after which the backoff doesn't grow further.
constexpr int maxDoublings = 4;
/// Jitter: a backoff is multiplied by minPercent up to minPercent + percentSpan - 1 percent.
constexpr unsigned minPercent = 50;
constexpr unsigned percentSpan = 101;
constexpr int fullPercent = 100;

} // namespace

std::optional<std::string> TextFetch::begin(const TextFetchState &state,
                                            const std::vector<TextSource> &sources, TimePoint now)
{
    std::vector<const TextSource *> ahead;
    for (const TextSource &source : sources) {
        if (source.m_version > state.m_ownVersion)
            ahead.push_back(&source);
    }
    if (ahead.empty()) {
        m_behindSince.reset();
        return std::nullopt;
    }
    if (m_isUnderWay || waitsForStore(state, now) || now < m_backoffUntil)
        return std::nullopt;
    if (ahead.size() > 1)
        std::erase_if(ahead,
                      [this](const auto *source) { return source->m_address == m_lastAsked; });
    m_lastAsked = ahead[m_random(static_cast<std::uint32_t>(ahead.size()))]->m_address;
    m_isUnderWay = true;
    return m_lastAsked;
}

/// Returns whether the store is expected to provide the version that peers report.
bool TextFetch::waitsForStore(const TextFetchState &state, TimePoint now)
{
    if (!m_behindSince || m_behindVersion != state.m_ownVersion) {
        m_behindSince = now;
        m_behindVersion = state.m_ownVersion;
    }
    if (state.m_isStoreLost)
        return false;
    return !state.m_storeHeadStart || now - *m_behindSince < *state.m_storeHeadStart;
}

void TextFetch::onFetched()
{
    m_isUnderWay = false;
    m_failures = 0;
    m_backoffUntil = TimePoint{};
}

void TextFetch::onFailed(TimePoint now)
{
    m_isUnderWay = false;
    m_backoffUntil = now + nextBackoff();
}

Duration TextFetch::nextBackoff()
{
    const Duration backoff = std::min(initialBackoff * (1 << m_failures), maxBackoff);
    m_failures = std::min(m_failures + 1, maxDoublings);
    const auto percent = static_cast<int>(minPercent + m_random(percentSpan));
    return backoff * percent / fullPercent;
}

} // namespace gypsumdale
