#pragma once

#include <gypsumdale/observe/metric_names.hpp>

#include <array> // array
#include <span> // span

namespace gypsumdale::detail {

/// Bounds of the buckets shown on the metrics page, in milliseconds and ascending. They are a small
/// subset of the recorded buckets that includes the latency targets, because each bound is one line
/// per member or class.
struct PageBounds
{
    std::span<const int> m_ofProfile;
    std::span<const int> m_ofMember;
};

inline constexpr std::array profileFirstTokenMillis = {100, 350, 1500, 5000};
inline constexpr std::array memberFirstTokenMillis = {350, 1500};
inline constexpr std::array profileBetweenTokensMillis = {20, 51, 200};
inline constexpr std::array memberBetweenTokensMillis = {51};
inline constexpr std::array profileQueueingMillis = {10, 100, 1000};
inline constexpr std::array memberQueueingMillis = {100};
inline constexpr std::array profileTotalMillis = {500, 2500, 20000};
inline constexpr std::array memberTotalMillis = {2500};

/// Returns the bounds used for the histograms of a latency. They are the same in every process, so
/// that buckets of several VMs can be added up. Complexity: constant.
constexpr PageBounds pageBounds(Latency latency)
{
    switch (latency) {
    case Latency::FirstToken:
        return {profileFirstTokenMillis, memberFirstTokenMillis};
    case Latency::BetweenTokens:
        return {profileBetweenTokensMillis, memberBetweenTokensMillis};
    case Latency::Queueing:
        return {profileQueueingMillis, memberQueueingMillis};
    case Latency::Total:
        return {profileTotalMillis, memberTotalMillis};
    }
    return {};
}

} // namespace gypsumdale::detail
