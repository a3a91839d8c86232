#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // max
#include <atomic> // atomic
#include <chrono> // milliseconds, seconds, steady_clock
#include <cstdint> // uint16_t, uint64_t
#include <mutex> // lock_guard, mutex
#include <string> // string
#include <thread> // jthread, sleep_for
#include <utility> // move
#include <vector> // vector

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace gypsumdale::testing {

/// Bytes without an end: a beginning, then one unit again and again. "{id}" in the beginning stands
/// for the id of the request.
struct EndlessBytes
{
    std::string m_name;
    std::string m_begin;
    std::string m_unit;
    /// Time between two units.
    Duration m_pause{};
};

/// Server on loopback that answers each request with endless bytes, until its caller closes the
/// connection. It gives up after a time or a number of bytes, so that a caller that never closes
/// fails its test instead of blocking it.
class EndlessServer
{
public:
    /// With port 0, any free port is used.
    explicit EndlessServer(EndlessBytes bytes, std::uint16_t port = 0,
                           Duration patience = std::chrono::seconds(8))
        : m_bytes(std::move(bytes))
        , m_patience(patience)
        , m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), port})
    {
        m_acceptor.non_blocking(true);
        m_thread = std::jthread([this](const std::stop_token &stop) { accept(stop); });
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    /// Returns the largest number of bytes that one connection has taken, kernel buffers included.
    std::uint64_t mostBytes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_mostBytes;
    }
    int requests() const { return m_requests; }
    /// Returns the number of connections that were not closed by the caller in time.
    int givenUp() const { return m_givenUp; }
    int openConnections() const { return m_open; }

private:
    using Socket = boost::asio::ip::tcp::socket;
    static constexpr std::chrono::milliseconds poll{1};

    void accept(const std::stop_token &stop)
    {
        std::vector<std::jthread> connections;
        while (!stop.stop_requested()) {
            boost::system::error_code error;
            Socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (error) {
                std::this_thread::sleep_for(poll);
                continue;
            }
            connections.emplace_back(
                    [this, taken = std::move(socket)](const std::stop_token &stopped) mutable {
                        ++m_open;
                        answer(taken, stopped);
                        --m_open;
                    });
        }
    }

    void answer(Socket &socket, const std::stop_token &stop)
    {
        socket.non_blocking(true);
        socket.set_option(boost::asio::socket_base::send_buffer_size(sendBufferBytes));
        std::string request(requestBytes, '\0');
        boost::system::error_code error = boost::asio::error::would_block;
        std::size_t size = 0;
        while (error == boost::asio::error::would_block && !stop.stop_requested()) {
            size = socket.read_some(boost::asio::buffer(request), error);
            if (error == boost::asio::error::would_block)
                std::this_thread::sleep_for(poll);
        }
        if (error)
            return;
        ++m_requests;
        request.resize(size);
        send(socket, stop, beginFor(request));
    }

    void send(Socket &socket, const std::stop_token &stop, std::string pending)
    {
        const auto end = std::chrono::steady_clock::now() + m_patience;
        std::uint64_t sent = 0;
        while (!stop.stop_requested()) {
            boost::system::error_code error;
            const std::size_t taken = socket.write_some(boost::asio::buffer(pending), error);
            sent += taken;
            recordBytes(sent);
            pending.erase(0, taken);
            if (error && error != boost::asio::error::would_block)
                return;
            if (std::chrono::steady_clock::now() > end || sent > maxBytes) {
                ++m_givenUp;
                return;
            }
            if (error)
                std::this_thread::sleep_for(poll);
            else if (m_bytes.m_pause > Duration::zero())
                std::this_thread::sleep_for(m_bytes.m_pause);
            if (pending.empty())
                pending = m_bytes.m_unit;
        }
    }

    void recordBytes(std::uint64_t sent)
    {
        const std::lock_guard lock(m_mutex);
        m_mostBytes = std::max(m_mostBytes, sent);
    }

    std::string beginFor(const std::string &request) const
    {
        const std::string field = "Gypsumdale-Request-Id: ";
        const std::string mark = "{id}";
        std::string begin = m_bytes.m_begin;
        const std::size_t at = begin.find(mark);
        const std::size_t found = request.find(field);
        if (at == std::string::npos || found == std::string::npos)
            return begin;
        const std::size_t from = found + field.size();
        return begin.replace(at, mark.size(),
                             request.substr(from, request.find("\r\n", from) - from));
    }

    static constexpr std::uint64_t maxBytes = std::uint64_t{96} * 1024 * 1024;
    static constexpr int sendBufferBytes = 32 * 1024;
    static constexpr std::size_t requestBytes = std::size_t{16} * 1024;

    EndlessBytes m_bytes;
    Duration m_patience;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex;
    std::uint64_t m_mostBytes = 0;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_givenUp = 0;
    std::atomic<int> m_open = 0;
    std::jthread m_thread;
};

} // namespace gypsumdale::testing
