#pragma once

#include <gypsumdale/fleet/route_scope.hpp>

#include <chrono> // milliseconds, minutes, seconds
#include <cstddef> // size_t
#include <utility> // move

namespace gypsumdale {

/// How the table watches upstreams. Made by UpstreamTableSettingsBuilder.
struct UpstreamTableSettings
{
    NodeId m_self;
    DataCentreId m_dataCentre;
    /// How many nodes probe an upstream.
    std::size_t m_owners = 2;
    /// Up to so many nodes tell each other all their requests in flight; where there are more, each
    /// tells only the owners, who tell the sum.
    std::size_t m_fullMeshLimit = 12;
    /// The shortest time between two probes of an upstream by one owner.
    Duration m_probeInterval = std::chrono::milliseconds(500);
    Duration m_longestProbeInterval = std::chrono::seconds(10);
    /// What probes may cost: the interval grows with the upstreams this node owns.
    double m_probesPerSecond = 10;
    /// Failed probes in a row after which an owner holds an upstream for suspect.
    int m_suspectAfterFailures = 2;
    /// How long this node avoids an upstream that failed one of its own requests.
    Duration m_failurePenalty = std::chrono::seconds(2);
    /// An owner tells of an upstream at least this often, changed or not.
    Duration m_reportInterval = std::chrono::seconds(5);
    /// Silence after which nobody's word on an upstream counts any more: it is suspect.
    Duration m_longestSilence = std::chrono::seconds(20);
    /// Silence after which a VM that the list no longer shows counts as gone.
    Duration m_goneAfter = std::chrono::seconds(3);
    /// How long the VM list may lag: a VM first seen so soon after its zone's notice is held back.
    Duration m_listLag = std::chrono::seconds(30);
    /// How long notices are kept after their deadline, to recognise late copies.
    Duration m_noticeRetention = std::chrono::minutes(10);
    RemoteScope m_remoteScope = RemoteScope::WhenFull;
    /// Summaries older than this are not routed by.
    Duration m_longestSummaryAge = std::chrono::seconds(10);
};

/// Builds UpstreamTableSettings; whatever is not set keeps its default.
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
