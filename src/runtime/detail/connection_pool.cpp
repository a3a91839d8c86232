#include <runtime/detail/connection_pool.hpp>

#include <chrono> // seconds, steady_clock
#include <iterator> // next
#include <utility> // move

namespace gypsumdale::detail {

namespace {

/// Shorter than the idle timeouts of common servers and of load balancers on the path.
constexpr Duration maxIdleTime = std::chrono::seconds(15);
constexpr std::size_t maxIdlePerEndpoint = 128;

} // namespace

ConnectionPool::ConnectionPool(LoopCore &core)
    : m_sweepTimer(core.m_context)
{}

std::shared_ptr<Stream> ConnectionPool::acquire(const Endpoint &endpoint)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end())
        return nullptr;
    const SteadyTime oldest = std::chrono::steady_clock::now() - maxIdleTime;
    std::deque<Idle> &connections = found->second;
    while (!connections.empty()) {
        const Idle idle = std::move(connections.back());
        connections.pop_back();
        if (idle.m_since > oldest && idle.m_stream->isIdleAndOpen())
            return idle.m_stream;
        idle.m_stream->close();
    }
    return nullptr;
}

void ConnectionPool::release(const Endpoint &endpoint, std::shared_ptr<Stream> stream)
{
    if (m_closed) {
        stream->close();
        return;
    }
    std::deque<Idle> &connections = m_idle[endpoint];
    connections.push_back(Idle{std::move(stream), std::chrono::steady_clock::now()});
    if (connections.size() > maxIdlePerEndpoint) {
        connections.front().m_stream->close();
        connections.pop_front();
    }
    scheduleSweep();
}

void ConnectionPool::closeAll(const Endpoint &endpoint)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end())
        return;
    for (const Idle &idle : found->second)
        idle.m_stream->close();
    m_idle.erase(found);
}

void ConnectionPool::close()
{
    m_closed = true;
    m_sweepTimer.cancel();
    while (!m_idle.empty())
        closeAll(Endpoint(m_idle.begin()->first));
}

void ConnectionPool::scheduleSweep()
{
    if (m_sweepScheduled)
        return;
    m_sweepScheduled = true;
    m_sweepTimer.expires_after(maxIdleTime);
    m_sweepTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<ConnectionPool> self = weak.lock();
        if (self && !error)
            self->sweep();
    });
}

/// Closes the connections that were idle for too long, and removes endpoints that have none left.
void ConnectionPool::sweep()
{
    m_sweepScheduled = false;
    const SteadyTime oldest = std::chrono::steady_clock::now() - maxIdleTime;
    for (auto next = m_idle.begin(); next != m_idle.end();) {
        std::deque<Idle> &connections = next->second;
        while (!connections.empty() && connections.front().m_since <= oldest) {
            connections.front().m_stream->close();
            connections.pop_front();
        }
        next = connections.empty() ? m_idle.erase(next) : std::next(next);
    }
    if (!m_idle.empty())
        scheduleSweep();
}

} // namespace gypsumdale::detail
