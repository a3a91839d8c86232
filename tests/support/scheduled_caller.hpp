#pragma once

#include <algorithm> // min
#include <chrono> // milliseconds, steady_clock
#include <cstddef> // size_t
#include <cstdint> // uint16_t
#include <cstdlib> // strtoul
#include <deque> // deque
#include <string> // string
#include <string_view> // string_view
#include <utility> // move, pair
#include <vector> // vector

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace gypsumdale::testing {

/// An answer that a caller received; status 0 if no head arrived.
struct ReceivedAnswer
{
    int m_status = 0;
    bool m_isWhole = false;
};

/// Returns the answers in what a connection has brought, which have a stated length or chunks.
inline std::vector<ReceivedAnswer> splitAnswers(std::string_view input)
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr std::string_view lengthName = "Content-Length: ";
    constexpr std::string_view lastChunk = "0\r\n\r\n";
    constexpr std::size_t statusAt = sizeof("HTTP/1.1 ") - 1;
    std::vector<ReceivedAnswer> answers;
    while (!input.empty()) {
        const std::size_t headSize = input.find(headEnd);
        if (headSize == std::string_view::npos)
            return answers;
        const std::string head(input.substr(0, headSize + headEnd.size()));
        input.remove_prefix(head.size());
        ReceivedAnswer &answer = answers.emplace_back();
        answer.m_status = static_cast<int>(std::strtoul(head.c_str() + statusAt, nullptr, 10));
        const std::size_t lengthAt = head.find(lengthName);
        if (lengthAt != std::string::npos) {
            const std::size_t length =
                    std::strtoul(head.c_str() + lengthAt + lengthName.size(), nullptr, 10);
            answer.m_isWhole = input.size() >= length;
            input.remove_prefix(std::min(length, input.size()));
            continue;
        }
        while (!answer.m_isWhole) {
            const std::size_t sizeEnd = input.find("\r\n");
            if (sizeEnd == std::string_view::npos)
                return answers;
            const std::string digits(input.substr(0, sizeEnd));
            const std::size_t size = std::strtoul(digits.c_str(), nullptr, 16);
            const std::size_t whole = size == 0 ? lastChunk.size() : sizeEnd + 2 + size + 2;
            if (input.size() < whole)
                return answers;
            answer.m_isWhole = size == 0;
            input.remove_prefix(whole);
        }
    }
    return answers;
}

/// Caller's connection on loopback that sends bytes at planned times and reads until it ends.
class ScheduledCaller
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit ScheduledCaller(boost::asio::io_context &context)
        : m_context(context)
        , m_socket(context)
    {}

    /// Returns false if nobody accepts connections there.
    bool connect(std::uint16_t port)
    {
        boost::system::error_code error;
        m_socket.connect({boost::asio::ip::make_address("127.0.0.1"), port}, error);
        m_isConnected = !error;
        return m_isConnected;
    }

    /// Names the next request of the connection.
    void expect(std::string id) { m_ids.push_back(std::move(id)); }
    const std::vector<std::string> &ids() const { return m_ids; }

    /// Plans bytes at a time since the zero of the schedule.
    void writeAt(std::chrono::milliseconds at, std::string text)
    {
        m_writes.emplace_back(at, std::move(text));
    }

    void start(TimePoint zero)
    {
        for (const auto &[at, text] : m_writes) {
            auto &timer = m_timers.emplace_back(m_context, zero + at);
            timer.async_wait([this, &text](const boost::system::error_code &) { write(text); });
        }
        boost::asio::async_read(m_socket, boost::asio::dynamic_buffer(m_input),
                                [](const boost::system::error_code &, std::size_t) {});
    }

    /// Connects as soon as somebody accepts connections, until a time; the connection is then the
    /// zero of the schedule.
    void startWhenAccepted(std::uint16_t port, TimePoint from, TimePoint until)
    {
        m_timers.clear();
        auto &timer = m_timers.emplace_back(m_context, from);
        timer.async_wait([this, port, until](const boost::system::error_code &) {
            const TimePoint now = std::chrono::steady_clock::now();
            if (connect(port)) {
                start(now);
                return;
            }
            m_socket.close();
            if (now < until)
                startWhenAccepted(port, now + std::chrono::milliseconds(1), until);
        });
    }
    bool isConnected() const { return m_isConnected; }

    std::vector<ReceivedAnswer> answers() const { return splitAnswers(m_input); }

private:
    void write(const std::string &text)
    {
        boost::system::error_code error;
        boost::asio::write(m_socket, boost::asio::buffer(text), error);
    }

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::vector<std::pair<std::chrono::milliseconds, std::string>> m_writes;
    std::deque<boost::asio::steady_timer> m_timers;
    std::vector<std::string> m_ids;
    std::string m_input;
    bool m_isConnected = false;
};

} // namespace gypsumdale::testing
