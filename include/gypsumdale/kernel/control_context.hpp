#pragma once

#include <gypsumdale/kernel/peer_link.hpp>
#include <gypsumdale/kernel/platform_client.hpp>
#include <gypsumdale/ledger/moment.hpp>
#include <gypsumdale/observe/decision_journal.hpp>
#include <gypsumdale/observe/log.hpp>
#include <gypsumdale/observe/metrics.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/settings/node_settings.hpp>

namespace gypsumdale {

/// Objects shared by all drivers of the control thread. All of them outlive the drivers.
struct ControlContext
{
    const NodeSettings &m_settings;
    FiberLoop &m_loop;
    const Clock &m_clock;
    Logger &m_log;
    Metrics &m_metrics;
    DecisionJournal &m_journal;
    HttpClient &m_http;
    PlatformClient &m_platform;
    PeerLink &m_peers;
    /// Incarnation of this process: the time of its start.
    Incarnation m_incarnation = 0;

    TimePoint now() const { return m_clock.now(); }
    WallMillis wallNow() const { return m_clock.wallNow(); }
    Moment moment() const { return momentOf(m_clock); }
};

} // namespace gypsumdale
