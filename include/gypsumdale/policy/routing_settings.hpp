#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint32_t

namespace gypsumdale {

/// Settings of the routing policies. Weights are in seconds of first-token time per unit.
struct RoutingSettings
{
    /// Block size of prefixBlocks() in bytes, and the number of tokens counted for a block.
    std::size_t m_blockBytes = 256;
    std::uint32_t m_blockTokens = 64;
    /// Maximum number of blocks in the index for an upstream; the oldest are evicted.
    std::size_t m_blocksPerUpstream = 4096;
    /// Age after which a block in the index is ignored.
    Duration m_prefixMaxAge = std::chrono::minutes(10);
    /// Prompt tokens that an upstream processes per second, until measured.
    double m_prefillTokensPerSecond = 8000.0;
    /// Delay of the first token by each request already at the upstream, until measured.
    Duration m_delayPerQueuedRequest = std::chrono::milliseconds(20);
    /// Weight of one currency unit per hour.
    double m_priceWeight = 0.0;
    /// Weight of a certain reclaim within the hour, per 1000 expected tokens.
    double m_reclaimWeight = 0.05;
    /// Weight of one recent failure.
    double m_failureWeight = 0.2;
    /// Number of random candidates compared in addition to those that hold the prefix.
    std::size_t m_randomCandidates = 2;
};

} // namespace gypsumdale
