#pragma once

#include <gypsumdale/kernel/control.hpp>
#include <gypsumdale/kernel/requests_under_way.hpp>
#include <gypsumdale/runtime/http_client.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <atomic> // atomic
#include <cstdint> // uint64_t
#include <memory> // unique_ptr
#include <vector> // vector

namespace gypsumdale {

/// A thread that transfers requests and answers, with its own connections to upstreams.
struct TrafficThread
{
    explicit TrafficThread(int number)
        : m_loop("traffic-" + std::to_string(number))
        , m_client(m_loop)
    {}

    FiberLoop m_loop;
    HttpClient m_client;
};

/// The traffic threads, and what all requests on them share.
class Traffic
{
public:
    Traffic(const Clock &clock, int threads);

    /// Connects the control side. Must be called once, before any request.
    void attach(Control &control, FiberLoop &controlLoop);

    void start();

    std::vector<FiberLoop *> loops();
    /// Returns the thread on which the calling fiber runs.
    TrafficThread &current();
    /// Returns the threads in turn, for work that isn't bound to a caller's connection.
    TrafficThread &next();

    /// Runs the work on the control loop, with the control state, and waits for its result.
    template <typename Work>
    auto callControl(Work work)
    {
        return m_controlLoop->call(
                [this, work = std::move(work)]() mutable { return work(*m_control); });
    }

    /// Runs the work on the control loop later, without waiting.
    template <typename Work>
    void postToControl(Work work)
    {
        m_controlLoop->spawn([this, work = std::move(work)]() mutable { work(*m_control); });
    }

    const Clock &clock() const { return m_clock; }
    /// Returns the process's metrics, which any thread may update.
    Metrics &metrics() { return *m_metrics; }
    TimePoint now() const { return m_clock.now(); }
    /// Returns an id that is unique within this process.
    RequestId nextRequestId();
    Duration processorTime() const;
    /// Returns the callers' requests whose answers are not finished.
    RequestsUnderWay &requestsUnderWay() { return m_underWay; }

private:
    const Clock &m_clock;
    std::vector<std::unique_ptr<TrafficThread>> m_threads;
    Control *m_control = nullptr;
    Metrics *m_metrics = nullptr;
    FiberLoop *m_controlLoop = nullptr;
    std::atomic<std::uint64_t> m_requests = 0;
    std::atomic<std::size_t> m_next = 0;
    std::string m_idPrefix;
    RequestsUnderWay m_underWay;
};

} // namespace gypsumdale
