#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstdint> // uint32_t, uint64_t
#include <vector> // vector

namespace gypsumdale {

/// Properties of a queued request that the policies use.
struct WaitingRequest
{
    RequestId m_id;
    MemberId m_member;
    ProfileId m_profile;
    /// Priority class by profile; 0 is served first.
    int m_priority = 0;
    TimePoint m_arrivedAt{};
    /// Deadline of the first token. The request is dropped from the queue once it can't be met.
    TimePoint m_firstTokenDeadline = TimePoint::max();
    /// Latest time to leave the queue at which its latency target is still met. A request lets
    /// another one go first that would otherwise miss its own.
    TimePoint m_startBy = TimePoint::max();
    std::uint32_t m_promptTokens = 0;
    /// Expected length of the answer in tokens; an estimate, corrected at the end.
    std::uint32_t m_expectedTokens = 0;
    /// Rolling hashes of the prompt's blocks, from prefixBlocks(); empty for plain services.
    std::vector<std::uint64_t> m_prefixBlocks;
    /// Upstreams that failed this request before; used again only if no other is left.
    std::vector<UpstreamId> m_triedUpstreams;
};

/// Returns the estimated cost of a request in tokens, before anything is known of its answer.
/// Complexity: constant.
inline std::uint64_t expectedCost(const WaitingRequest &request)
{
    return std::uint64_t{request.m_promptTokens} + request.m_expectedTokens;
}

} // namespace gypsumdale
