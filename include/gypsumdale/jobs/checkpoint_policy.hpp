#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/registry.hpp>

#include <cstdint> // int64_t
#include <string> // string
#include <variant> // variant

namespace gypsumdale {

/// Costs and limits of checkpoints, as input of the policies.
struct CheckpointSettings
{
    std::int64_t m_everyTokens = 256;
    Duration m_interval = std::chrono::seconds(5);
    /// Losses of an owner per hour without a hand-over: crashes, and reclaim notices that came too
    /// late.
    double m_lossesPerHour = 0.05;
    /// Cost of one write to the platform, in the unit of m_tokenCost.
    double m_writeCost = 20;
    /// Cost of generating one token again.
    double m_tokenCost = 1;
    /// Checkpoint writes per second that this node may make: its share of the platform's write
    /// rate.
    double m_writesPerSecond = 1;
};

/// State of a node's jobs when a policy decides. Group commit writes the progress of all jobs in
/// one batch of records, so that one decision applies to all jobs.
struct CheckpointLoad
{
    /// Tokens generated and not yet written, over all jobs of the node.
    std::int64_t m_unsavedTokens = 0;
    std::int64_t m_runningJobs = 0;
    /// Tokens per second over all jobs of the node.
    double m_tokensPerSecond = 0;
    /// Time since the last checkpoint write of the node.
    Duration m_sinceLastWrite{};
};

/// Writes a checkpoint when the node's jobs have this many unsaved tokens each, on average.
struct EveryTokens
{
    std::int64_t m_tokens = 256;
};

/// Writes a checkpoint at a fixed interval.
struct EveryInterval
{
    Duration m_interval{};
};

/// Writes checkpoints at the interval that costs least: the first-order optimum of Young (1974) and
/// Daly (2006).
///
/// With losses at rate r and a write that costs c, an interval T costs c/T for writes and r*v*T/2
/// for tokens generated again (v: cost of the tokens of one second). The sum is least at T =
/// sqrt(2c / (r*v)). The interval is never shorter than the node's share of the platform's writes
/// allows.
struct CostAware
{
    double m_lossesPerSecond = 0;
    double m_writeCost = 0;
    double m_tokenCost = 0;
    Duration m_minInterval{};
};

/// Writes nothing before the end of an answer.
struct AtEndOnly
{};

using CheckpointPolicy = std::variant<EveryTokens, EveryInterval, CostAware, AtEndOnly>;

/// Policies by their names in the settings: "every-tokens", "every-interval", "cost-aware",
/// "at-end".
using CheckpointPolicies = Registry<CheckpointPolicy, const CheckpointSettings &>;

/// Returns whether a checkpoint of the node's jobs is due. Complexity: constant.
bool isCheckpointDue(const CheckpointPolicy &policy, const CheckpointLoad &load);

/// Returns the target interval of the cost-aware policy at a rate of tokens. Complexity: constant.
Duration optimalInterval(const CostAware &policy, double tokensPerSecond);

} // namespace gypsumdale
