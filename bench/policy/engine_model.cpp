#include "bench/policy/engine_model.hpp"

#include <algorithm> // max, min
#include <utility> // move

namespace gypsumdale::bench {

EngineModel::EngineModel(EngineSpeed speed)
    : m_speed(speed)
{}

std::uint32_t EngineModel::add(const WaitingRequest &request)
{
    const std::uint32_t cached = std::min(lookUp(request.m_prefixBlocks) * m_speed.m_blockTokens,
                                          request.m_promptTokens);
    Job job;
    job.m_request = request.m_id;
    job.m_prefillLeft = std::max(request.m_promptTokens - cached, 1U);
    job.m_tokensLeft = std::max(request.m_expectedTokens, 1U);
    m_jobs.push_back(std::move(job));
    return cached;
}

std::uint32_t EngineModel::lookUp(const std::vector<std::uint64_t> &blocks)
{
    std::uint32_t found = 0;
    bool isPrefix = true;
    for (const std::uint64_t block : blocks) {
        const auto known = m_cache.find(block);
        isPrefix = isPrefix && known != m_cache.end();
        found += isPrefix ? 1U : 0U;
    }
    for (std::size_t left = blocks.size(); left > 0; --left) {
        const std::uint64_t block = blocks[left - 1];
        const auto known = m_cache.find(block);
        if (known != m_cache.end())
            m_recency.erase(known->second);
        m_recency.push_front(block);
        m_cache[block] = m_recency.begin();
    }
    while (m_cache.size() > m_speed.m_cacheBlocks) {
        m_cache.erase(m_recency.back());
        m_recency.pop_back();
    }
    return found;
}

std::uint32_t EngineModel::running() const
{
    return std::min(static_cast<std::uint32_t>(m_jobs.size()), m_speed.m_slots);
}

std::uint32_t EngineModel::queued() const
{
    return static_cast<std::uint32_t>(m_jobs.size()) - running();
}

std::uint32_t EngineModel::prefillInStep() const
{
    std::uint32_t all = 0;
    for (std::uint32_t at = 0; at < running(); ++at)
        all += m_jobs[at].m_prefillLeft;
    return std::min(all, m_speed.m_prefillChunk);
}

Duration EngineModel::stepTime() const
{
    if (m_jobs.empty())
        return Duration{};
    const double seconds = prefillInStep() / m_speed.m_prefillTokensPerSecond;
    return m_speed.m_stepBase + m_speed.m_stepPerRequest * running()
           + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::vector<EngineOutput> EngineModel::step()
{
    std::vector<EngineOutput> outputs;
    std::uint32_t prefill = prefillInStep();
    for (std::uint32_t at = 0; at < running(); ++at) {
        Job &job = m_jobs[at];
        const std::uint32_t done = std::min(prefill, job.m_prefillLeft);
        prefill -= done;
        job.m_prefillLeft -= done;
        if (job.m_prefillLeft > 0)
            continue;
        --job.m_tokensLeft;
        outputs.push_back(EngineOutput{job.m_request, !job.m_hasBegun, job.m_tokensLeft == 0});
        job.m_hasBegun = true;
    }
    std::erase_if(m_jobs, [](const Job &job) { return job.m_tokensLeft == 0; });
    return outputs;
}

} // namespace gypsumdale::bench
