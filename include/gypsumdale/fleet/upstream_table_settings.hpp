#pragma once

#include <gypsumdale/fleet/route_scope.hpp>

#include <chrono> // milliseconds, minutes, seconds
#include <cstddef> // size_t
#include <utility> // move

namespace gypsumdale {

/// How the table tracks upstreams. Created by UpstreamTableSettingsBuilder.
struct UpstreamTableSettings
{
    NodeId m_self;
    DataCentreId m_dataCentre;
    /// Number of nodes that probe an upstream.
    std::size_t m_owners = 2;
    /// Up to this number of nodes, each node reports its requests in flight to all others; above
    /// it, each reports them to the owners only, which report the sum.
    std::size_t m_fullMeshLimit = 12;
    /// Minimum time between two probes of an upstream by one owner.
    Duration m_probeInterval = std::chrono::milliseconds(500);
    Duration m_longestProbeInterval = std::chrono::seconds(10);
    /// Budget of probes: the interval grows with the number of upstreams that this node owns.
    double m_probesPerSecond = 10;
    /// Consecutive failed probes after which an owner counts an upstream as suspect.
    int m_suspectAfterFailures = 2;
    /// How long this node avoids an upstream that failed one of its own requests.
    Duration m_failurePenalty = std::chrono::seconds(2);
    /// Maximum time between two reports of an owner about an upstream, changed or not.
    Duration m_reportInterval = std::chrono::seconds(5);
    /// Silence after which no earlier report about an upstream is valid any more: it is suspect.
    Duration m_longestSilence = std::chrono::seconds(20);
    /// Silence after which a VM that the list no longer shows counts as gone.
    Duration m_goneAfter = std::chrono::seconds(3);
    /// Maximum lag of the VM list: a VM first seen within this time after its zone's notice gets no
    /// work until this time has passed.
    Duration m_listLag = std::chrono::seconds(30);
    /// How long notices are retained after their deadline, to recognise late copies.
    Duration m_noticeRetention = std::chrono::minutes(10);
    RemoteScope m_remoteScope = RemoteScope::WhenFull;
    /// Summaries older than this are not used for routing.
    Duration m_longestSummaryAge = std::chrono::seconds(10);
};

/// Builds UpstreamTableSettings; unset fields keep their defaults.
class UpstreamTableSettingsBuilder
{
public:
    UpstreamTableSettingsBuilder &self(NodeId node, DataCentreId dataCentre)
    {
        m_settings.m_self = std::move(node);
        m_settings.m_dataCentre = std::move(dataCentre);
        return *this;
    }
    UpstreamTableSettingsBuilder &probeInterval(Duration interval)
    {
        m_settings.m_probeInterval = interval;
        return *this;
    }
    UpstreamTableSettingsBuilder &probesPerSecond(double probes)
    {
        m_settings.m_probesPerSecond = probes;
        return *this;
    }
    UpstreamTableSettingsBuilder &failurePenalty(Duration penalty)
    {
        m_settings.m_failurePenalty = penalty;
        return *this;
    }
    UpstreamTableSettingsBuilder &goneAfter(Duration silence)
    {
        m_settings.m_goneAfter = silence;
        return *this;
    }
    UpstreamTableSettingsBuilder &listLag(Duration lag)
    {
        m_settings.m_listLag = lag;
        return *this;
    }
    UpstreamTableSettingsBuilder &remoteScope(RemoteScope scope)
    {
        m_settings.m_remoteScope = scope;
        return *this;
    }
    UpstreamTableSettings build() const { return m_settings; }

private:
    UpstreamTableSettings m_settings;
};

} // namespace gypsumdale
