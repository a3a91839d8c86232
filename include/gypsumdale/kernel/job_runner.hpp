#pragma once

#include <gypsumdale/kernel/job_driver.hpp>
#include <gypsumdale/kernel/traffic.hpp>

#include <atomic> // atomic
#include <cstdint> // uint64_t
#include <map> // map
#include <memory> // shared_ptr
#include <utility> // pair

namespace gypsumdale {

/// Runs the attempts of durable jobs on the traffic threads. start() and cancel() are called on the
/// control loop, which also owns the list of running attempts.
class JobRunner
{
public:
    explicit JobRunner(Traffic &traffic);

    /// Returns the functions for the JobDriver.
    AttemptCallbacks callbacks();

private:
    class Attempt;

    void start(const StartAttempt &command);
    void cancel(const CancelAttempt &command);

    Traffic &m_traffic;
    std::map<std::pair<JobId, std::uint64_t>, std::shared_ptr<Attempt>> m_running;
};

} // namespace gypsumdale
