#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_client.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint16_t, uint64_t
#include <functional> // function
#include <memory> // shared_ptr
#include <string> // string
#include <utility> // move

namespace gypsumdale {

/// Counts the frames and bytes exchanged with peers, for the control budget.
struct FrameTraffic
{
    std::uint64_t m_framesSent = 0;
    std::uint64_t m_framesReceived = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;

    FrameTraffic &operator+=(const FrameTraffic &other)
    {
        m_framesSent += other.m_framesSent;
        m_framesReceived += other.m_framesReceived;
        m_bytesSent += other.m_bytesSent;
        m_bytesReceived += other.m_bytesReceived;
        return *this;
    }
};

/// Answer to a frame; an empty one closes the connection.
struct FrameAnswer
{
    /// Not explicit, so that handlers can return the bytes alone.
    FrameAnswer(std::string bytes)
        : m_bytes(std::move(bytes))
    {}
    FrameAnswer(std::string bytes, std::shared_ptr<void> held)
        : m_bytes(std::move(bytes))
        , m_held(std::move(held))
    {}

    std::string m_bytes;
    /// Set for the last answer on a connection; null otherwise. Released once the peer has closed
    /// the connection, or has accepted nothing for so long that it counts as gone.
    std::shared_ptr<void> m_held;
};

/// Answers one frame from a peer with one frame. Runs in a fiber of the server's loop.
using FrameHandler = std::function<FrameAnswer(std::string frame)>;

/// Time limits of an exchange.
struct ExchangeLimits
{
    /// Longest time in which nothing is sent or received.
    Duration m_silence{};
    /// Longest total time.
    Duration m_total{};
};

/// Accepts connections from peers and answers their frames in the order of arrival. A frame is a
/// big-endian length of four bytes, followed by that many bytes; a frame longer than the limit
/// closes the connection.
class FrameServer
{
public:
    /// Opens the socket and starts accepting on the loop. Fails with AddressInUse.
    static Result<FrameServer> listen(FiberLoop &loop, const Endpoint &endpoint,
                                      FrameHandler handler, std::size_t maxFrameBytes);
    ~FrameServer();
    FrameServer(FrameServer &&) noexcept;
    FrameServer &operator=(FrameServer &&) noexcept;

    std::uint16_t port() const;
    FrameTraffic traffic() const;

private:
    struct State;
    explicit FrameServer(std::shared_ptr<State> state);
    std::shared_ptr<State> m_state;
};

/// Sends frames to one peer over one connection, which is opened on first use and again after a
/// failure. Used from fibers of one loop; concurrent calls run one after another.
class FrameChannel
{
public:
    /// Size limit of an answer where none is given.
    static constexpr std::size_t defaultMaxAnswerBytes = std::size_t{16} * 1024 * 1024;

    FrameChannel(FiberLoop &loop, Endpoint endpoint,
                 std::size_t maxAnswerBytes = defaultMaxAnswerBytes);
    ~FrameChannel();
    FrameChannel(const FrameChannel &) = delete;
    FrameChannel &operator=(const FrameChannel &) = delete;

    /// Sends a frame and returns the answer. A failure or a timeout resets the connection, so that
    /// a late answer can't be taken for the next frame's, and an abandoned frame doesn't delay
    /// later ones. The timeout covers waiting for earlier calls, connecting, sending and receiving
    /// the answer.
    Result<std::string> exchange(const std::string &frame, Duration timeout);
    /// As above, for an answer that may take long but makes progress.
    Result<std::string> exchange(const std::string &frame, const ExchangeLimits &limits);

    FrameTraffic traffic() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gypsumdale
