#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <functional> // function
#include <vector> // vector

namespace gypsumdale {

/// Which upstreams of a service to try a connection to before this VM believes that it is cut off
/// from the service: all of them, in batches that double, those without a failure first. Several
/// failures in a row also happen where many upstreams are down and the path is whole; one
/// connection then shows it.
class ReachCheck
{
public:
    using RandomDraw = std::function<std::uint64_t()>;

    ReachCheck() = default;
    /// `failed` returns whether a connection to an upstream has failed lately.
    ReachCheck(const std::vector<PooledUpstreamPointer> &upstreams,
               const std::function<bool(const UpstreamId &)> &failed, const RandomDraw &draw);

    /// Returns the next batch to try at once; empty if all were tried. Complexity: linear in the
    /// batch.
    std::vector<PooledUpstreamPointer> nextBatch();

private:
    std::vector<PooledUpstreamPointer> m_order;
    std::size_t m_next = 0;
    std::size_t m_batchSize = 2;
};

} // namespace gypsumdale
