#pragma once

#include <cstdint> // uint16_t
#include <string> // string
#include <string_view> // string_view

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace gypsumdale::testing {

/// A caller's connection on loopback whose bytes a test writes itself.
class RawCaller
{
public:
    /// Returns false if nobody accepts connections there.
    bool connect(std::uint16_t port)
    {
        boost::system::error_code error;
        m_socket.connect({boost::asio::ip::make_address("127.0.0.1"), port}, error);
        return !error;
    }

    void write(std::string_view text)
    {
        boost::system::error_code error;
        boost::asio::write(m_socket, boost::asio::buffer(text), error);
    }

    /// Returns all that comes until the connection ends.
    std::string readToEnd()
    {
        std::string answer;
        boost::system::error_code error;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(answer), error);
        return answer;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket{m_context};
};

} // namespace gypsumdale::testing
