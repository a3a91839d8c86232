#pragma once

#include <gypsumdale/core/clock.hpp>

namespace gypsumdale {

/// Tracks which of the data needed for decisions about requests a newly started process has
/// received.
///
/// After a power failure callers return as soon as a VM accepts their connections, some
/// milliseconds before the store has sent it anything. If refused, their requests are late, and a
/// request that is retried only once may be lost; if held for that moment, they are served.
class StartupKnowledge
{
public:
    explicit StartupKnowledge(TimePoint startedAt)
        : m_startedAt(startedAt)
    {}

    void recordConfiguration() { m_hasConfiguration = true; }
    void recordUpstreams() { m_hasUpstreams = true; }

    /// Returns whether a request should wait for missing data. One that arrives after the store
    /// should have answered isn't held: another VM may be able to serve it.
    bool shouldWaitForStartup(TimePoint now) const
    {
        const bool isComplete = m_hasConfiguration && m_hasUpstreams;
        return !isComplete && now < m_startedAt + maxWait;
    }

private:
    /// The store's answers arrive 8 to 25 ms after the start when all VMs start at once. The
    /// shortest latency targets are 100 ms: a request held longer than that would be late in any
    /// case.
    static constexpr Duration maxWait = std::chrono::milliseconds(100);

    TimePoint m_startedAt;
    bool m_hasConfiguration = false;
    bool m_hasUpstreams = false;
};

} // namespace gypsumdale
