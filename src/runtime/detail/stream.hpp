#pragma once

#include <gypsumdale/core/clock.hpp>

#include <runtime/detail/async_wait.hpp>
#include <runtime/detail/loop_core.hpp>

#include <array> // array
#include <chrono> // steady_clock
#include <cstddef> // size_t
#include <functional> // function
#include <memory> // enable_shared_from_this, unique_ptr
#include <optional> // optional
#include <span> // span
#include <string> // string

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace gypsumdale::detail {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Returns the time that is a duration from now; a duration too long to be added gives the maximum,
/// which means never.
inline SteadyTime deadlineAfter(Duration duration)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    return duration < SteadyTime::max() - now ? now + duration : SteadyTime::max();
}

/// Outcome of a stream's operation.
enum class StreamStatus {
    Good,
    /// The other side has ended sending; reported only if no byte was received, and never after the
    /// connection has failed.
    Ended,
    /// The connection failed or could not be opened.
    Broken,
    TimedOut,
    /// Closed on this side, by another fiber or by the end of the loop.
    Closed,
};

/// One TCP connection of a loop, used by its fibers: one reader and one writer at a time. Input
/// accumulates in the stream's own buffer. Each call suspends the calling fiber. An operation that
/// times out is cancelled but leaves the connection open, so that a last answer can still be sent.
/// The limits are real time, not the pausable clock.
class Stream
    : public Closable
    , public std::enable_shared_from_this<Stream>
{
public:
    /// Called on the loop's thread.
    explicit Stream(LoopCore &core);

    /// Takes over a connected, non-blocking socket; on failure the socket stays with the caller.
    bool adopt(int nativeSocket);

    /// Connects to an endpoint. Returns Broken if the other host refused, as nothing listens there.
    /// A missing network route says nothing about the other side and is returned as TimedOut.
    StreamStatus connect(const boost::asio::ip::tcp::endpoint &endpoint, Duration timeout);

    /// Waits for input and appends it to the buffer. Takes over a read that watch() left pending.
    /// After the deadline it times out also if input is there, so that a sender whose bytes never
    /// stop can't keep its reader beyond it.
    StreamStatus fill(SteadyTime deadline);

    /// Writes all buffers, gathered. Fails if the other side accepts nothing for the timeout, or at
    /// the `latest` time. Leaves unwritten bytes in the buffers, so that a further call can
    /// continue.
    StreamStatus write(std::span<boost::asio::const_buffer> buffers, Duration timeout,
                       SteadyTime latest = SteadyTime::max());

    /// Starts a read in the background; the next fill() returns its outcome. If it finds the
    /// connection ended or broken, onEnd is called at once from the loop. Pass nullptr to
    /// unregister.
    void watch(std::function<void()> onEnd);

    /// Moves the deadline of a waiting fill(), if any, to an earlier time.
    void shortenDeadline(SteadyTime deadline);

    /// Lets a waiting fill(), if any, return TimedOut.
    void interrupt();

    /// Returns whether the connection is open and holds no unread input: false once the other side
    /// has closed it or sent something unrequested. Costs one system call.
    bool isIdleAndOpen();
    /// Returns whether the kernel holds input or the end of the connection. Costs one system call.
    bool hasUnread();
    /// Returns whether the other side has closed or reset the connection, and no input is left.
    /// Costs one system call.
    bool hasEnded();

    /// Ends sending, then discards input until the other side closes, for a bounded time and number
    /// of bytes. Closing with unread input would reset the connection, which can destroy an answer
    /// that the other side hasn't read yet.
    void closeGracefully();

    /// Sets whether close() resets the connection. After a reset, data still held by the kernel or
    /// by a path that no longer delivers never arrives.
    void resetOnClose(bool isOn) { m_resetsOnClose = isOn; }

    /// Returns the number of written bytes that the other host has not acknowledged, or nothing if
    /// it is unknown. Costs one system call.
    std::optional<std::size_t> unacknowledged();

    void close() override;
    bool isClosed() const { return m_closed; }

    boost::beast::flat_buffer &input() { return m_input; }
    std::string remoteAddress() const;

private:
    /// What the kernel holds of the other side's data.
    enum class Pending {
        Nothing,
        Input,
        End,
        Failure,
    };

    /// A read started by watch(). It has its own buffer, because the parser may consume input while
    /// the read is pending. Its handler keeps the stream alive.
    struct ReadAhead
    {
        std::array<char, 2048> m_bytes;
        boost::system::error_code m_error;
        bool m_active = false;
        bool m_failed = false;
    };

    void beginReadAhead();
    void finishReadAhead(const boost::system::error_code &error, std::size_t bytes);
    StreamStatus awaitReadAhead(SteadyTime deadline);
    Pending peek();
    void rememberFailure(const boost::system::error_code &error);
    StreamStatus statusOf(const boost::system::error_code &error);
    void startDeadline(SteadyTime deadline);
    void stopDeadline();
    void armTimer(SteadyTime at);
    void onTimer();
    void expire();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    SteadyTime m_deadline = SteadyTime::max();
    SteadyTime m_timerAt = SteadyTime::max();
    boost::beast::flat_buffer m_input;
    std::size_t m_readSize;
    std::unique_ptr<ReadAhead> m_readAhead;
    /// Wakes the fiber that waits in fill() for the read started by watch().
    AsyncWait *m_readAheadWaiter = nullptr;
    std::function<void()> m_onEnd;
    bool m_isFilling = false;
    bool m_timedOut = false;
    /// The kernel reports the failure of a connection once, to whichever call comes first, and an
    /// orderly end after that.
    bool m_hasFailed = false;
    bool m_closed = false;
    bool m_resetsOnClose = false;
};

} // namespace gypsumdale::detail
