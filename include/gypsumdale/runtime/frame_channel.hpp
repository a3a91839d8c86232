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

/// Counts what peers' frames cost, for the control budget.
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

/// What a frame is answered with; an empty one closes the connection.
struct FrameAnswer
{
    /// Not explicit, so that handlers may return just the bytes.
    FrameAnswer(std::string bytes)
        : m_bytes(std::move(bytes))
    {}
    FrameAnswer(std::string bytes, std::shared_ptr<void> held)
        : m_bytes(std::move(bytes))
        , m_held(std::move(held))
    {}

    std::string m_bytes;
    /// Of an answer that is the last on its connection: let go once the peer has closed that, or
    /// has taken nothing for so long that it won't.
    std::shared_ptr<void> m_held;
};

/// Answers one frame from a peer with one frame. Runs in a fiber of the server's loop.
using FrameHandler = std::function<FrameAnswer(std::string frame)>;

/// What ends an exchange.
struct ExchangeLimits
{
    /// Nothing was sent or came for so long.
    Duration m_silence{};
    /// It took so long in all.
    Duration m_total{};
};

/// Accepts connections from peers and answers their frames in the order they come. A frame is a
/// length of four bytes, big-endian, and that many bytes; longer ones than the limit close the
/// connection.
class FrameServer
{
public:
    /// Opens the socket and begins to accept on the loop. Fails with AddressInUse.
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

/// Sends frames to one peer over one connection, opened when first needed and again after a
/// failure. Used from fibers of one loop; calls wait their turn.
class FrameChannel
{
public:
    FrameChannel(FiberLoop &loop, Endpoint endpoint);
    ~FrameChannel();
    FrameChannel(const FrameChannel &) = delete;
    FrameChannel &operator=(const FrameChannel &) = delete;

    /// Sends a frame and returns the answer. A failure or a timeout resets the connection, so that
    /// neither a late answer can be taken for the next one's nor a frame that was given up takes
    /// room on the way of later ones. The time covers waiting, connecting, sending and the answer.
    Result<std::string> exchange(const std::string &frame, Duration timeout);
    /// The same for an answer that may take long but makes progress.
    Result<std::string> exchange(const std::string &frame, const ExchangeLimits &limits);

    FrameTraffic traffic() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gypsumdale
