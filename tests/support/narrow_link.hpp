#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/socket_base.hpp>

#include <algorithm> // max
#include <chrono> // duration, steady_clock
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <mutex> // lock_guard, mutex

#include <netinet/tcp.h>

namespace gypsumdale::testing {

/// Link with a low byte rate that several proxies share. Bytes leave in the order in which they
/// were put in, whatever their connection. May be used from several threads.
class NarrowLink
{
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit NarrowLink(double bytesPerSecond)
        : m_bytesPerSecond(bytesPerSecond)
    {}

    /// Puts bytes into the link. Returns when they are through.
    Time pass(std::size_t bytes)
    {
        const std::lock_guard lock(m_mutex);
        m_bytes += bytes;
        const std::chrono::duration<double> takes(static_cast<double>(bytes) / m_bytesPerSecond);
        m_freeAt = std::max(m_freeAt, std::chrono::steady_clock::now())
                   + std::chrono::duration_cast<std::chrono::steady_clock::duration>(takes);
        return m_freeAt;
    }

    /// Returns the number of bytes put into the link so far.
    std::uint64_t bytes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_bytes;
    }

    /// Limits the buffers of a proxy's socket to about those of a narrow network, so that senders
    /// notice how narrow the link is; loopback would accept whole messages at once. To be called
    /// before the socket is connected or listens.
    template <typename Socket>
    static void shape(Socket &socket)
    {
        constexpr int receiveBytes = 32 * 1024;
        constexpr int segmentBytes = 1400;
        boost::system::error_code ignored;
        socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBytes), ignored);
        setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segmentBytes,
                   sizeof(segmentBytes));
    }

private:
    const double m_bytesPerSecond;
    mutable std::mutex m_mutex;
    Time m_freeAt{};
    std::uint64_t m_bytes = 0;
};

} // namespace gypsumdale::testing
