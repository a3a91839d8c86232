#pragma once

#include <gypsumdale/runtime/http_client.hpp>

#include <runtime/detail/stream.hpp>

#include <deque> // deque
#include <map> // map
#include <memory> // enable_shared_from_this, shared_ptr

#include <boost/asio/steady_timer.hpp>

namespace gypsumdale::detail {

/// The idle connections of one client, by endpoint; used on its loop only. A connection that idled
/// too long is never handed out, as something between the two ends may have lost track of it.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    explicit ConnectionPool(LoopCore &core);

    /// Takes the connection that idled least, or nullptr. One that the other side has closed, or
    /// has sent something on, is dropped. Linear in the dropped ones.
    std::shared_ptr<Stream> take(const Endpoint &endpoint);

    /// Keeps a connection whose last message has ended cleanly. Logarithmic.
    void keep(const Endpoint &endpoint, std::shared_ptr<Stream> stream);

    /// Closes all idle connections to an endpoint. Linear in them.
    void forget(const Endpoint &endpoint);

    /// Closes all idle connections; what is kept later is closed at once. Linear.
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
