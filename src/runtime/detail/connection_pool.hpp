#pragma once

#include <gypsumdale/runtime/http_client.hpp>

#include <runtime/detail/stream.hpp>

#include <deque> // deque
#include <map> // map
#include <memory> // enable_shared_from_this, shared_ptr

#include <boost/asio/steady_timer.hpp>

namespace gypsumdale::detail {

/// The idle connections of one client, by endpoint; used on its loop only. A connection that was
/// idle for too long is never handed out, because a middlebox on the path may have dropped its
/// state.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    explicit ConnectionPool(LoopCore &core);

    /// Returns the connection that was idle for the shortest time, or nullptr. Connections that the
    /// other side has closed or sent data on are dropped. Complexity: linear in the number of
    /// dropped ones.
    std::shared_ptr<Stream> acquire(const Endpoint &endpoint);

    /// Returns a connection to the pool after its last message has ended cleanly. Complexity:
    /// logarithmic.
    void release(const Endpoint &endpoint, std::shared_ptr<Stream> stream);

    /// Closes all idle connections to an endpoint. Complexity: linear in their number.
    void closeAll(const Endpoint &endpoint);

    /// Closes all idle connections; connections released later are closed at once. Complexity:
    /// linear.
    void close();

private:
    struct Idle
    {
        std::shared_ptr<Stream> m_stream;
        SteadyTime m_since;
    };

    void scheduleSweep();
    void sweep();

    boost::asio::steady_timer m_sweepTimer;
    std::map<Endpoint, std::deque<Idle>> m_idle;
    bool m_sweepScheduled = false;
    bool m_closed = false;
};

} // namespace gypsumdale::detail
