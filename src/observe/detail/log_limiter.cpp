#include <observe/detail/log_limiter.hpp>

#include <algorithm> // min
#include <chrono> // duration
#include <utility> // exchange

namespace gypsumdale::detail {

bool LogLimiter::admit(std::string_view event, TimePoint now)
{
    const auto full = static_cast<double>(m_rate.m_burst);
    const auto [entry, isNew] = m_buckets.try_emplace(event, Bucket{full, now, 0});
    Bucket &bucket = entry->second;
    if (!isNew)
        refill(bucket, now);
    if (bucket.m_tokens >= 1.0) {
        bucket.m_tokens -= 1.0;
        return true;
    }
    ++bucket.m_suppressed;
    ++m_total;
    return false;
}

void LogLimiter::refill(Bucket &bucket, TimePoint now) const
{
    const std::chrono::duration<double> passed = now - bucket.m_filledAt;
    const double filled = bucket.m_tokens + passed.count() * m_rate.m_perSecond;
    bucket.m_tokens = std::min(filled, static_cast<double>(m_rate.m_burst));
    bucket.m_filledAt = now;
}

std::uint64_t LogLimiter::takeSuppressed(std::string_view event)
{
    const auto found = m_buckets.find(event);
    return found == m_buckets.end() ? 0 : std::exchange(found->second.m_suppressed, 0);
}

std::vector<std::pair<std::string_view, std::uint64_t>> LogLimiter::takeAllSuppressed()
{
    std::vector<std::pair<std::string_view, std::uint64_t>> result;
    for (auto &[event, bucket] : m_buckets) {
        if (bucket.m_suppressed > 0)
            result.emplace_back(event, std::exchange(bucket.m_suppressed, 0));
    }
    return result;
}

} // namespace gypsumdale::detail
