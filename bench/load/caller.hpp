#pragma once

#include "bench/load/recorder.hpp"
#include "bench/load/workload.hpp"

#include <gypsumdale/runtime/http_client.hpp>

#include <string> // string
#include <vector> // vector

namespace gypsumdale::load {

/// Targets, members and request classes of a caller.
struct CallerSettings
{
    std::vector<Endpoint> m_targets;
    std::vector<MemberKey> m_members;
    std::vector<RequestClass> m_classes;
    /// Name of the run, part of the idempotency keys, so that the keys of two runs differ.
    std::string m_run;
    Duration m_timeout = std::chrono::seconds(60);
};

/// Sends requests and checks their answers. Calls run in a fiber of the client's loop; `start` is
/// the start of the run.
class Caller
{
public:
    Caller(const CallerSettings &settings, FiberLoop &loop, const Clock &clock);

    Outcome call(const Arrival &arrival, TimePoint start);

private:
    HttpCall prepare(const Arrival &arrival) const;
    void readStream(HttpExchange &exchange, const Arrival &arrival, TimePoint scheduled,
                    Outcome &outcome);
    void readCompleteAnswer(HttpExchange &exchange, Outcome &outcome);

    const CallerSettings &m_settings;
    HttpClient m_client;
    const Clock &m_clock;
};

} // namespace gypsumdale::load
