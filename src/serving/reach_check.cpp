#include <gypsumdale/serving/reach_check.hpp>

#include <algorithm> // min, stable_partition
#include <cstddef> // ptrdiff_t
#include <iterator> // next
#include <utility> // swap

namespace gypsumdale {

ReachCheck::ReachCheck(const std::vector<PooledUpstreamPointer> &upstreams,
                       const std::function<bool(const UpstreamId &)> &failed,
                       const RandomDraw &draw)
    : m_order(upstreams)
{
    for (std::size_t left = m_order.size(); left > 1; --left)
        std::swap(m_order[left - 1], m_order[draw() % left]);
    std::stable_partition(m_order.begin(), m_order.end(),
                          [&failed](const PooledUpstreamPointer &upstream) {
                              return !failed(upstream->m_record.m_id);
                          });
}

std::vector<PooledUpstreamPointer> ReachCheck::nextBatch()
{
    const std::size_t end = std::min(m_next + m_batchSize, m_order.size());
    std::vector<PooledUpstreamPointer> batch(
            std::next(m_order.begin(), static_cast<std::ptrdiff_t>(m_next)),
            std::next(m_order.begin(), static_cast<std::ptrdiff_t>(end)));
    m_next = end;
    m_batchSize *= 2;
    return batch;
}

} // namespace gypsumdale
