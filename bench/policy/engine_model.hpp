#pragma once

#include <gypsumdale/policy/waiting_request.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint32_t, uint64_t
#include <list> // list
#include <unordered_map> // unordered_map
#include <vector> // vector

namespace gypsumdale::bench {

/// Speed and size of a model engine. A step prefills up to one chunk of prompt tokens and generates
/// one token for each running request.
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

/// Output of one step for one request: a token, or the end of the request.
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

    /// Adds a request, which queues if no slot is free. Returns the number of cached prompt tokens.
    std::uint32_t add(const WaitingRequest &request);

    /// Returns the duration of the next step, or zero if the engine is idle.
    Duration stepTime() const;
    /// Performs the step whose duration stepTime() returned.
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
