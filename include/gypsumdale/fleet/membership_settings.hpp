#pragma once

#include <gypsumdale/fleet/node.hpp>

#include <chrono> // milliseconds
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

/// How a node keeps in touch with the others. Made by MembershipSettingsBuilder.
struct MembershipSettings
{
    NodeIdentity m_self;
    std::vector<NodeIdentity> m_seeds;
    /// The shortest time between two exchanges with the same node.
    Duration m_heartbeatInterval = std::chrono::milliseconds(200);
    Duration m_longestInterval = std::chrono::seconds(5);
    /// What heartbeats may cost, sent and received together; the interval grows to keep to it.
    double m_bytesPerSecond = 12000;
    /// Silence, in heartbeat intervals, after which a node is suspect, and after which it may be
    /// held for dead.
    int m_suspectAfter = 4;
    int m_deadAfter = 12;
    /// The most of a gap between two ticks that counts as listening; see Membership.
    Duration m_longestTickGap = std::chrono::milliseconds(250);
    Duration m_summaryInterval = std::chrono::seconds(2);
    /// After how many summaries the list of nodes is sent again although it did not change.
    int m_summariesPerNodeList = 10;
    /// How long a dead node that neither settings nor the VM list name is remembered.
    Duration m_forgetAfter = std::chrono::minutes(10);
};

/// Builds MembershipSettings; whatever is not set keeps its default.
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
