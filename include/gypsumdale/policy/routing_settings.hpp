#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint32_t

namespace gypsumdale {

/// What the routing policies can be told. Weights are seconds of first-token time that one unit of
/// the matter is worth.
struct RoutingSettings
{
    /// Bytes of prompt in one block of prefixBlocks(), and the tokens such a block stands for.
    std::size_t m_blockBytes = 256;
    std::uint32_t m_blockTokens = 64;
    /// How many blocks to remember for an upstream; the oldest go first.
    std::size_t m_blocksPerUpstream = 4096;
    /// After this long a remembered block counts for nothing.
    Duration m_prefixMaxAge = std::chrono::minutes(10);
    /// Prompt tokens a second that an upstream computes, until measured.
    double m_prefillTokensPerSecond = 8000.0;
    /// What each request already there delays the first token by, until measured.
    Duration m_delayPerQueuedRequest = std::chrono::milliseconds(20);
    /// Seconds that a currency unit an hour is worth.
    double m_priceWeight = 0.0;
    /// Seconds that the certainty of a reclaim within the hour is worth, per 1000 tokens expected.
    double m_reclaimWeight = 0.05;
    /// Seconds that one recent failure is worth.
    double m_failureWeight = 0.2;
    /// How many random candidates are compared besides those that hold the prefix.
    std::size_t m_randomCandidates = 2;
};

} // namespace gypsumdale
