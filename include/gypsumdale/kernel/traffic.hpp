#pragma once

#include <gypsumdale/kernel/control.hpp>
#include <gypsumdale/runtime/http_client.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <atomic> // atomic
#include <cstdint> // uint64_t
#include <memory> // unique_ptr
#include <vector> // vector

namespace gypsumdale {

/// One thread that moves bytes, with its own connections to upstreams.
struct TrafficThread
{
    explicit TrafficThread(int number)
        : m_loop("traffic-" + std::to_string(number))
        , m_client(m_loop)
    {}

    FiberLoop m_loop;
    HttpClient m_client;
};

/// What every request on the traffic threads works with.
class Traffic
{
public:
    Traffic(const Clock &clock, int threads);

    /// Joins the control side; called once, before any request.
    void attach(Control &control, FiberLoop &controlLoop);

    void start();

    std::vector<FiberLoop *> loops();
    /// Returns the thread that the calling fiber runs on.
    TrafficThread &current();
    /// Returns the threads in turn, for work that no caller's connection ties to one.
    TrafficThread &next();

    /// Runs the work on the control loop, with the control state, and waits for its result.
    template <typename Work>
    auto callControl(Work work)
    {
        return m_controlLoop->call(
                [this, work = std::move(work)]() mutable { return work(*m_control); });
    }

    /// Runs the work on the control loop some time soon.
    template <typename Work>
    void postToControl(Work work)
    {
        m_controlLoop->spawn([this, work = std::move(work)]() mutable { work(*m_control); });
    }

    const Clock &clock() const { return m_clock; }
    /// Returns the process's metrics, which any thread may write to.
    Metrics &metrics() { return *m_metrics; }
    TimePoint now() const { return m_clock.now(); }
    /// Returns an id that no other request of this process has.
    RequestId nextRequestId();
    Duration processorTime() const;

private:
    const Clock &m_clock;
    std::vector<std::unique_ptr<TrafficThread>> m_threads;
    Control *m_control = nullptr;
    Metrics *m_metrics = nullptr;
    FiberLoop *m_controlLoop = nullptr;
    std::atomic<std::uint64_t> m_requests = 0;
    std::atomic<std::size_t> m_next = 0;
    std::string m_idPrefix;
};

} // namespace gypsumdale
