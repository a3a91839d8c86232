#pragma once

#include <gypsumdale/core/clock.hpp>

namespace gypsumdale {

/// What a process that has just started knows of all that requests are decided on. After a power
/// cut callers come back as soon as a VM takes their connections, some milliseconds before the
/// store has told it anything. Sent away, they are late, and one that comes back a single time may
/// be lost; kept for that moment they are served.
class StartupKnowledge
{
public:
    explicit StartupKnowledge(TimePoint startedAt)
        : m_startedAt(startedAt)
    {}

    void recordConfiguration() { m_knowsConfiguration = true; }
    void recordUpstreams() { m_knowsUpstreams = true; }

    /// Tells whether a request should wait for what is not known yet. One that comes later than the
    /// store needs is answered at once: another VM may know more.
    bool shouldWaitForStartup(TimePoint now) const
    {
        const bool isComplete = m_knowsConfiguration && m_knowsUpstreams;
        return !isComplete && now < m_startedAt + learningTime;
    }

private:
    /// The store's answers are there 8 to 25 ms after the start, on a VM that starts among all
    /// others. The shortest latency targets are 100 ms: kept for longer than that, a request would
    /// be late whatever comes.
    static constexpr Duration learningTime = std::chrono::milliseconds(100);

    TimePoint m_startedAt;
    bool m_knowsConfiguration = false;
    bool m_knowsUpstreams = false;
};

} // namespace gypsumdale
