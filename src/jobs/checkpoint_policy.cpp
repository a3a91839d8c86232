#include <gypsumdale/jobs/checkpoint_policy.hpp>

#include <gypsumdale/core/result.hpp>

#include <algorithm> // max, min
#include <cmath> // sqrt

namespace gypsumdale {

namespace {

constexpr double secondsPerHour = 3600;
/// Longer than any job lives, so that a loss rate of zero never makes a checkpoint due.
constexpr double longestSeconds = 86'400;

Duration boundedDuration(double seconds)
{
    return fromSeconds(std::min(seconds, longestSeconds));
}

CheckpointPolicy makeEveryTokens(const CheckpointSettings &settings)
{
    return EveryTokens{settings.m_everyTokens};
}

CheckpointPolicy makeEveryInterval(const CheckpointSettings &settings)
{
    return EveryInterval{settings.m_interval};
}

CheckpointPolicy makeCostAware(const CheckpointSettings &settings)
{
    const double shortest =
            settings.m_writesPerSecond > 0 ? 1 / settings.m_writesPerSecond : longestSeconds;
    return CostAware{settings.m_lossesPerHour / secondsPerHour, settings.m_writeCost,
                     settings.m_tokenCost, boundedDuration(shortest)};
}

CheckpointPolicy makeAtEndOnly(const CheckpointSettings & /*settings*/)
{
    return AtEndOnly{};
}

const Registration<CheckpointPolicy, const CheckpointSettings &> everyTokens{"every-tokens",
                                                                             makeEveryTokens};
const Registration<CheckpointPolicy, const CheckpointSettings &> everyInterval{"every-interval",
                                                                               makeEveryInterval};
const Registration<CheckpointPolicy, const CheckpointSettings &> costAware{"cost-aware",
                                                                           makeCostAware};
const Registration<CheckpointPolicy, const CheckpointSettings &> atEnd{"at-end", makeAtEndOnly};

} // namespace

Duration optimalInterval(const CostAware &policy, double tokensPerSecond)
{
    const double lossPerSecondSquared =
            policy.m_lossesPerSecond * policy.m_tokenCost * tokensPerSecond;
    if (lossPerSecondSquared <= 0)
        return boundedDuration(longestSeconds);
    const Duration optimum =
            boundedDuration(std::sqrt(2 * policy.m_writeCost / lossPerSecondSquared));
    return std::max(optimum, policy.m_minInterval);
}

bool isCheckpointDue(const CheckpointPolicy &policy, const CheckpointLoad &load)
{
    if (load.m_unsavedTokens <= 0)
        return false;
    return std::visit(Overloaded{
                              [&load](const EveryTokens &every) {
                                  return load.m_unsavedTokens
                                         >= every.m_tokens * load.m_runningJobs;
                              },
                              [&load](const EveryInterval &every) {
                                  return load.m_sinceLastWrite >= every.m_interval;
                              },
                              [&load](const CostAware &aware) {
                                  return load.m_sinceLastWrite
                                         >= optimalInterval(aware, load.m_tokensPerSecond);
                              },
                              [](const AtEndOnly &) { return false; },
                      },
                      policy);
}

} // namespace gypsumdale
