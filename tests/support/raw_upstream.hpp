#pragma once

#include "support/raw_caller.hpp"

#include <chrono> // milliseconds
#include <cstdint> // uint16_t
#include <functional> // function
#include <mutex> // lock_guard, mutex
#include <string> // string
#include <string_view> // string_view
#include <thread> // jthread, this_thread::sleep_for
#include <utility> // move

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <fmt/format.h>

namespace gypsumdale::testing {

/// How an upstream ends its connections.
enum class ConnectionEnd {
    Close,
    Reset,
};

/// Upstream on loopback that ends each connection after its answer. Unless a test gives its answers
/// byte by byte, they have neither a length nor chunks. It serves one request at a time.
class RawUpstream
{
public:
    /// Returns the bytes of the answer to a request, whose head is given.
    using Answer = std::function<std::string(const std::string &request)>;

    RawUpstream()
        : m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_server([this](const std::stop_token &stop) { serve(stop); })
    {}

    ~RawUpstream()
    {
        m_server.request_stop();
        RawCaller().connect(port());
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    void setBody(const std::string &body)
    {
        const std::lock_guard lock(m_mutex);
        m_body = body;
    }

    /// Lets the test give the bytes of the next answers, and how their connections end, and after
    /// which pause.
    void answerWith(Answer answer, ConnectionEnd end, std::chrono::milliseconds pause = {})
    {
        const std::lock_guard lock(m_mutex);
        m_answer = std::move(answer);
        m_end = end;
        m_pause = pause;
    }

    static std::string fieldOf(const std::string &request, std::string_view name)
    {
        const std::size_t at = request.find(name);
        if (at == std::string::npos)
            return {};
        const std::size_t begin = at + name.size();
        return request.substr(begin, request.find("\r\n", begin) - begin);
    }

private:
    void serve(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            boost::system::error_code error;
            boost::asio::ip::tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (!error)
                answer(socket);
        }
    }

    void answer(boost::asio::ip::tcp::socket &socket)
    {
        boost::system::error_code error;
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), headEnd, error);
        const std::lock_guard lock(m_mutex);
        const std::string text = m_answer ? m_answer(request) : closeDelimited(request);
        boost::asio::write(socket, boost::asio::buffer(text), error);
        std::this_thread::sleep_for(m_pause);
        if (m_end == ConnectionEnd::Reset)
            socket.set_option(boost::asio::socket_base::linger(true, 0), error);
        else
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, error);
        socket.close(error);
    }

    std::string closeDelimited(const std::string &request) const
    {
        return fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                           "Gypsumdale-Request-Id: {}\r\n"
                           "Gypsumdale-Response-Signature: s\r\nConnection: close\r\n\r\n{}",
                           fieldOf(request, "Gypsumdale-Request-Id: "), m_body);
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::mutex m_mutex;
    std::string m_body;
    Answer m_answer;
    ConnectionEnd m_end = ConnectionEnd::Close;
    std::chrono::milliseconds m_pause{};
    std::jthread m_server;
};

} // namespace gypsumdale::testing
