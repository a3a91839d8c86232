#pragma once

#include <gypsumdale/core/clock.hpp>

#include <runtime/detail/async_wait.hpp>
#include <runtime/detail/loop_core.hpp>

#include <array> // array
#include <chrono> // steady_clock
#include <cstddef> // size_t
#include <functional> // function
#include <memory> // enable_shared_from_this, unique_ptr
#include <span> // span
#include <string> // string

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace gypsumdale::detail {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Returns the time after a duration from now; a duration too long to be added means never.
inline SteadyTime deadlineAfter(Duration duration)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    return duration < SteadyTime::max() - now ? now + duration : SteadyTime::max();
}

/// Why an operation of a stream ended.
enum class StreamStatus {
    Good,
    /// The other side has ended its sending; only where no byte came.
    Ended,
    /// The connection failed, or could not be opened.
    Broken,
    TimedOut,
    /// Closed on this side, by another fiber or by the loop's end.
    Closed,
};

/// One TCP connection of a loop, used by its fibers: one reader and one writer at a time. Input
/// collects in a buffer of its own. Each call suspends the calling fiber; an operation whose time
/// is over is cancelled and leaves the connection open, so that a last answer can still be sent.
/// The limits are real time, not the pausable clock.
class Stream
    : public Closable
    , public std::enable_shared_from_this<Stream>
{
public:
    /// Created on the loop's thread.
    explicit Stream(LoopCore &core);

    /// Takes over a connected, non-blocking socket; leaves it to the caller on failure.
    bool adopt(int nativeSocket);

    /// Broken means that the other host refused: nothing listens there. A network that knows no way
    /// says nothing of the other side, and counts as TimedOut.
    StreamStatus connect(const boost::asio::ip::tcp::endpoint &endpoint, Duration timeout);

    /// Appends what has come to the buffer; waits for it. Takes over a read that watch() left
    /// outstanding.
    StreamStatus fill(SteadyTime deadline);

    /// Writes all of the buffers, gathered; each time the other side takes nothing for the timeout
    /// ends it, and so does the latest time. Leaves in the buffers what was not written, so that a
    /// further call goes on.
    StreamStatus write(std::span<boost::asio::const_buffer> buffers, Duration timeout,
                       SteadyTime latest = SteadyTime::max());

    /// Begins a read in the background whose outcome the next fill() returns. If it finds the
    /// connection ended or broken, onEnd is called at once from the loop. Pass nullptr to be told
    /// no more.
    void watch(std::function<void()> onEnd);

    /// Moves the deadline of the fill() that waits, if there is one, to an earlier time.
    void shortenDeadline(SteadyTime deadline);

    /// Tells whether the other side has closed the connection or sent something unasked. Costs one
    /// system call.
    bool isQuietAndOpen();

    /// Ends sending, then discards input until the other side closes, for a bounded time and number
    /// of bytes. Without it, closing with unread input resets the connection, which can destroy an
    /// answer that the other side hasn't read yet.
    void closeGently();

    /// Says whether close() resets the connection: what the kernel still holds, or a path that has
    /// fallen silent, then never arrives.
    void resetOnClose(bool isOn) { m_resetsOnClose = isOn; }

    void close() override;
    bool isClosed() const { return m_closed; }

    boost::beast::flat_buffer &input() { return m_input; }
    std::string remoteAddress() const;

private:
    /// A read that watch() began. It has a buffer of its own, as the parser may take bytes out of
    /// the input while the read is under way, and is outlasted by the stream, which its handler
    /// holds.
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
    StreamStatus statusOf(const boost::system::error_code &error) const;
    void startDeadline(SteadyTime deadline);
    void stopDeadline();
    void armTimer(SteadyTime at);
    void onTimer();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    SteadyTime m_deadline = SteadyTime::max();
    SteadyTime m_timerAt = SteadyTime::max();
    boost::beast::flat_buffer m_input;
    std::size_t m_readSize;
    std::unique_ptr<ReadAhead> m_ahead;
    /// Wakes the fiber that waits in fill() for the read that watch() began.
    AsyncWait *m_aheadWaiter = nullptr;
    std::function<void()> m_onEnd;
    bool m_timedOut = false;
    bool m_closed = false;
    bool m_resetsOnClose = false;
};

} // namespace gypsumdale::detail
