#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstdint> // uint32_t, uint64_t
#include <vector> // vector

namespace gypsumdale {

/// What the policies need to know of a request that waits for an upstream.
struct WaitingRequest
{
    RequestId m_id;
    MemberId m_member;
    ProfileId m_profile;
    /// The class by profile; 0 is served first.
    int m_priority = 0;
    TimePoint m_arrivedAt{};
    /// When the first token has to be out; the request is given up once this can't be met.
    TimePoint m_firstTokenDeadline = TimePoint::max();
    std::uint32_t m_promptTokens = 0;
    /// How many tokens the answer is likely to have; only a guess, corrected at the end.
    std::uint32_t m_expectedTokens = 0;
    /// Rolling hashes of the prompt's blocks, from prefixBlocks(); empty for plain services.
    std::vector<std::uint64_t> m_prefixBlocks;
    /// Upstreams that have failed this request already; used again only if no other is left.
    std::vector<UpstreamId> m_triedUpstreams;
};

/// What a request costs before anything is known of its answer, in tokens. Constant.
inline std::uint64_t expectedCost(const WaitingRequest &request)
{
    return std::uint64_t{request.m_promptTokens} + request.m_expectedTokens;
}

} // namespace gypsumdale
