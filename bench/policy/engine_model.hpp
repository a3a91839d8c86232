#pragma once

#include <gypsumdale/policy/waiting_request.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint32_t, uint64_t
#include <list> // list
#include <unordered_map> // unordered_map
#include <vector> // vector

namespace gypsumdale::bench {

/// How fast a model engine is. A step prefills up to a chunk of prompt tokens and gives each
/// running request one token.
struct EngineSpeed
{
    std::uint32_t m_slots = 16;
    double m_prefillTokensPerSecond = 10000.0;
    std::uint32_t m_prefillChunk = 512;
    Duration m_stepBase = std::chrono::milliseconds(12);
    Duration m_stepPerRequest = std::chrono::microseconds(800);
    std::size_t m_cacheBlocks = 1200;
    std::uint32_t m_blockTokens = 64;
};

/// A token, or the end, of a request in a step.
struct EngineOutput
{
    RequestId m_request;
    bool m_isFirst = false;
    bool m_isLast = false;
};

/// A continuous-batching engine with a prefix cache, advanced step by step.
class EngineModel
{
public:
    explicit EngineModel(EngineSpeed speed = {});

    /// Takes a request in; what exceeds the slots queues. Returns the prompt tokens found cached.
    std::uint32_t add(const WaitingRequest &request);

    /// Returns how long the next step takes, and zero if there is nothing to do.
    Duration stepTime() const;
    /// Does the step that stepTime() announced.
    std::vector<EngineOutput> step();

    std::uint32_t running() const;
    std::uint32_t queued() const;

private:
    struct Job
    {
        RequestId m_request;
        std::uint32_t m_prefillLeft = 0;
        std::uint32_t m_tokensLeft = 0;
        bool m_hasBegun = false;
    };

    std::uint32_t prefillInStep() const;
    std::uint32_t lookUp(const std::vector<std::uint64_t> &blocks);

    EngineSpeed m_speed;
    std::vector<Job> m_jobs;
    std::list<std::uint64_t> m_recency;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
};

} // namespace gypsumdale::bench
