#pragma once

#include <gypsumdale/fleet/node.hpp>

#include <chrono> // milliseconds
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

/// How a node exchanges heartbeats with the others. Created by MembershipSettingsBuilder.
struct MembershipSettings
{
    NodeIdentity m_self;
    std::vector<NodeIdentity> m_seeds;
    /// Minimum time between two exchanges with the same node.
    Duration m_heartbeatInterval = std::chrono::milliseconds(200);
    Duration m_longestInterval = std::chrono::seconds(5);
    /// Byte budget of heartbeats, sent and received together; the interval grows to stay within it.
    double m_bytesPerSecond = 12000;
    /// Silence, in heartbeat intervals, after which a node is suspect, and after which it may be
    /// declared dead.
    int m_suspectAfter = 4;
    int m_deadAfter = 12;
    /// Maximum part of a gap between two ticks that counts as running time; see ActiveTimeClock.
    Duration m_longestTickGap = std::chrono::milliseconds(250);
    Duration m_summaryInterval = std::chrono::seconds(2);
    /// Number of summaries after which the list of nodes is sent again although it did not change.
    int m_summariesPerNodeList = 10;
    /// How long a dead node is retained that neither the settings nor the VM list name.
    Duration m_forgetAfter = std::chrono::minutes(10);
};

/// Builds MembershipSettings; unset fields keep their defaults.
class MembershipSettingsBuilder
{
public:
    MembershipSettingsBuilder &self(NodeIdentity identity)
    {
        m_settings.m_self = std::move(identity);
        return *this;
    }
    MembershipSettingsBuilder &seed(NodeIdentity identity)
    {
        m_settings.m_seeds.push_back(std::move(identity));
        return *this;
    }
    MembershipSettingsBuilder &heartbeatInterval(Duration interval)
    {
        m_settings.m_heartbeatInterval = interval;
        return *this;
    }
    MembershipSettingsBuilder &longestInterval(Duration interval)
    {
        m_settings.m_longestInterval = interval;
        return *this;
    }
    MembershipSettingsBuilder &bytesPerSecond(double bytes)
    {
        m_settings.m_bytesPerSecond = bytes;
        return *this;
    }
    MembershipSettingsBuilder &suspectAfter(int intervals)
    {
        m_settings.m_suspectAfter = intervals;
        return *this;
    }
    MembershipSettingsBuilder &deadAfter(int intervals)
    {
        m_settings.m_deadAfter = intervals;
        return *this;
    }
    MembershipSettingsBuilder &summaryInterval(Duration interval)
    {
        m_settings.m_summaryInterval = interval;
        return *this;
    }
    MembershipSettings build() const { return m_settings; }

private:
    MembershipSettings m_settings;
};

} // namespace gypsumdale
