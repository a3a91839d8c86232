#pragma once

#include "standins/fault_plan.hpp"
#include "standins/lifetime.hpp"
#include "standins/object_store.hpp"
#include "standins/rate_limiter.hpp"

#include <gypsumdale/runtime/http_server.hpp>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <cstdint> // uint64_t
#include <map> // map
#include <string> // string

namespace gypsumdale::standins {

/// Settings of the platform stand-in.
struct PlatformSettings
{
    double m_writesPerSecond = 400;
    double m_readsPerSecond = 2000;
    Duration m_latency = std::chrono::milliseconds(2);
    StoreLimits m_limits;
};

/// Serves the object API of docs/PLATFORM.md on an ObjectStore. All calls run on one loop.
class PlatformServer
{
public:
    PlatformServer(PlatformSettings settings, const Clock &clock);

    void handle(const HttpRequest &request, HttpResponder &responder);

    Lifetime &lifetime() { return m_lifetime; }
    FaultPlan &faults() { return m_faults; }

private:
    struct Target;

    void answer(const HttpRequest &request, const Target &target, HttpResponder &responder);
    bool passesFaults(const std::string &line, HttpResponder &responder);
    bool withinRate(const Target &target, const std::string &line);
    HttpReply perform(const HttpRequest &request, const Target &target);
    HttpReply put(const HttpRequest &request, const Target &target);
    HttpReply remove(const HttpRequest &request, const Target &target);
    HttpReply list(const HttpRequest &request, const Target &target) const;
    HttpReply watch(const HttpRequest &request, const Target &target, HttpResponder &responder);
    HttpReply answerCounters() const;

    const Clock &m_clock;
    PlatformSettings m_settings;
    ObjectStore m_store;
    RateLimiter m_writes;
    RateLimiter m_reads;
    FaultPlan m_faults;
    Lifetime m_lifetime;
    std::map<std::string, std::uint64_t> m_calls; ///< number of calls by "CALL KIND"
    std::uint64_t m_writeCount = 0;
    std::uint64_t m_readCount = 0;
    std::uint64_t m_limitedCount = 0;
    std::uint64_t m_waitingWatches = 0;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
};

} // namespace gypsumdale::standins
