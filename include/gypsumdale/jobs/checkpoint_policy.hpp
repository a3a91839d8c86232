#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/registry.hpp>

#include <cstdint> // int64_t
#include <string> // string
#include <variant> // variant

namespace gypsumdale {

/// What a checkpoint costs and saves, for the policies that weigh it.
struct CheckpointSettings
{
    std::int64_t m_everyTokens = 256;
    Duration m_interval = std::chrono::seconds(5);
    /// Losses of an owner per hour without a hand-over: crashes, and notices too short.
    double m_lossesPerHour = 0.05;
    /// Cost of one write to the platform, in the unit of the next line.
    double m_writeCost = 20;
    /// Cost of one token generated again.
    double m_tokenCost = 1;
    /// Checkpoint writes a second that this node may make: its share of the platform's rate.
    double m_writesPerSecond = 1;
};

/// What a policy sees of a node's jobs when it decides. Group commit writes the progress of all
/// jobs in one record batch, so one decision stands for all.
struct CheckpointLoad
{
    /// Tokens generated and not yet written, over all jobs of the node.
    std::int64_t m_unsavedTokens = 0;
    std::int64_t m_runningJobs = 0;
    /// Tokens a second over all jobs of the node.
    double m_tokensPerSecond = 0;
    /// Since the last checkpoint write of the node.
    Duration m_sinceLastWrite{};
};

/// A checkpoint once the node's jobs have that many unsaved tokens each, on average.
struct EveryTokens
{
    std::int64_t m_tokens = 256;
};

struct EveryInterval
{
    Duration m_interval{};
};

/// The first-order optimum of Young (1974) and Daly (2006): with losses at rate r and a write that
/// costs c, an interval T costs c/T for writes and r*v*T/2 for tokens done again (v: cost of the
/// tokens of one second); the sum is least at T = sqrt(2c / (r*v)). Never shorter than the node's
/// share of the platform's writes allows.
struct CostAware
{
    double m_lossesPerSecond = 0;
    double m_writeCost = 0;
    double m_tokenCost = 0;
    Duration m_minInterval{};
};

/// Only at the end of an answer.
struct AtEndOnly
{};

using CheckpointPolicy = std::variant<EveryTokens, EveryInterval, CostAware, AtEndOnly>;

/// Policies by the name that settings choose them with: "every-tokens", "every-interval",
/// "cost-aware", "at-end".
using CheckpointPolicies = Registry<CheckpointPolicy, const CheckpointSettings &>;

/// Tells whether the node's jobs are due for a checkpoint. Constant.
bool isCheckpointDue(const CheckpointPolicy &policy, const CheckpointLoad &load);

/// Returns the interval that the cost-aware policy aims at for a rate of tokens. Constant.
Duration optimalInterval(const CostAware &policy, double tokensPerSecond);

} // namespace gypsumdale
