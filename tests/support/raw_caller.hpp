#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint16_t
#include <string> // string
#include <string_view> // string_view
#include <utility> // exchange

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace gypsumdale::testing {

/// Ends the head of a message.
inline constexpr std::string_view headEnd = "\r\n\r\n";

/// Caller's connection on loopback whose bytes a test writes itself.
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

    /// Returns everything that arrives until the connection ends.
    std::string readToEnd()
    {
        boost::system::error_code error;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_input), error);
        return std::exchange(m_input, std::string());
    }

    /// Returns what arrives up to a text, or until the connection ends.
    std::string readUntil(std::string_view text)
    {
        boost::system::error_code error;
        const std::size_t size = boost::asio::read_until(
                m_socket, boost::asio::dynamic_buffer(m_input), text, error);
        const std::string read = m_input.substr(0, size);
        m_input.erase(0, size);
        return read;
    }

    /// Returns as many bytes, or what arrives of them before the connection ends.
    std::string readBytes(std::size_t count)
    {
        boost::system::error_code error;
        if (m_input.size() < count)
            boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_input),
                              boost::asio::transfer_exactly(count - m_input.size()), error);
        const std::string read = m_input.substr(0, count);
        m_input.erase(0, read.size());
        return read;
    }

    void close() { m_socket.close(); }

    /// Returns one answer with a stated length, or the part of it that arrived before the
    /// connection ended.
    std::string readAnswer()
    {
        boost::system::error_code error;
        const std::size_t headSize = boost::asio::read_until(
                m_socket, boost::asio::dynamic_buffer(m_input), headEnd, error);
        const std::size_t lengthAt = m_input.find(lengthName);
        if (error || lengthAt > headSize)
            return std::exchange(m_input, std::string());
        const std::size_t size =
                headSize + std::stoul(m_input.substr(lengthAt + lengthName.size()));
        if (m_input.size() < size)
            boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_input),
                              boost::asio::transfer_exactly(size - m_input.size()), error);
        const std::string answer = m_input.substr(0, size);
        m_input.erase(0, size);
        return answer;
    }

private:
    static constexpr std::string_view lengthName = "Content-Length: ";

    std::string m_input;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket{m_context};
};

} // namespace gypsumdale::testing
