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

/// Answers one frame from a peer with one frame. Runs in a fiber of the server's loop; an empty
/// answer closes the connection.
using FrameHandler = std::function<std::string(std::string frame)>;

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

    /// Sends a frame and returns the answer. A failure or a timeout closes the connection, so that
    /// a late answer can't be taken for the next one's. The time covers waiting, connecting,
    /// sending and the answer.
    Result<std::string> exchange(const std::string &frame, Duration timeout);

    FrameTraffic traffic() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gypsumdale
