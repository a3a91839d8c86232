#pragma once

#include "standins/fault_plan.hpp"
#include "standins/lifetime.hpp"
#include "standins/run_log.hpp"

#include <gypsumdale/runtime/http_server.hpp>

#include <cstdint> // int64_t
#include <string> // string

namespace gypsumdale::standins {

/// Settings of a plain service stand-in.
struct ServiceSettings
{
    std::string m_name = "trade-app";
    Duration m_delay = std::chrono::milliseconds(5);
    int m_slots = 32;
    std::int64_t m_incarnation = 1;
};

/// A plain service: a call with any method and path runs once and returns its run count. All calls
/// run on one loop.
class ServiceServer
{
public:
    explicit ServiceServer(ServiceSettings settings);

    void handle(const HttpRequest &request, HttpResponder &responder);

    Lifetime &lifetime() { return m_lifetime; }
    FaultPlan &faults() { return m_faults; }

private:
    void run(const HttpRequest &request, HttpResponder &responder);
    bool passesFaults(const std::string &line, HttpResponder &responder);
    HttpReply answerLoad(const std::string &line);

    ServiceSettings m_settings;
    RunLog m_runs;
    FaultPlan m_faults;
    Lifetime m_lifetime;
    int m_running = 0;
};

} // namespace gypsumdale::standins
