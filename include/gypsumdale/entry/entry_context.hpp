#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/entry/entry_traffic.hpp>
#include <gypsumdale/observe/log.hpp>
#include <gypsumdale/observe/metrics.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/settings/entry_settings.hpp>

#include <platform/store_client.hpp>

#include <cstdint> // int64_t

namespace gypsumdale {

/// State shared by the parts of the control thread.
struct EntryContext
{
    EntrySettings &m_settings;
    FiberLoop &m_loop;
    FiberLoop &m_trafficLoop;
    EntryTraffic &m_traffic;
    const Clock &m_clock;
    Logger &m_log;
    Metrics &m_metrics;
    HttpClient &m_client;
    platform::StoreClient &m_store;
    /// Distinguishes this process from earlier ones of the same VM.
    std::int64_t m_incarnation = 0;
    bool m_isStopping = false;

    TimePoint now() const { return m_clock.now(); }
};

/// Logs once when a dependency is lost and once when it is back.
class DependencyMonitor
{
public:
    DependencyMonitor(Logger &log, const char *name)
        : m_log(log)
        , m_name(name)
    {}

    void answered(TimePoint now)
    {
        if (m_isLost)
            m_log.info("dependency-regained",
                       {{LogField::Name, m_name},
                        {LogField::AgeMillis, toMillis(now - m_answeredAt)}});
        m_isLost = false;
        m_answeredAt = now;
    }

    void failed(const Error &error)
    {
        if (!m_isLost)
            m_log.warning("dependency-lost", {{LogField::Name, m_name},
                                              {LogField::ErrorName, errorName(error.m_id)},
                                              {LogField::Text, error.m_text}});
        m_isLost = true;
    }

    bool isLost() const { return m_isLost; }

private:
    Logger &m_log;
    const char *m_name;
    TimePoint m_answeredAt{};
    bool m_isLost = false;
};

} // namespace gypsumdale
