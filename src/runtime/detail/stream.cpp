#include <runtime/detail/stream.hpp>

#include <algorithm> // min
#include <cerrno> // errno
#include <utility> // move

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/error.hpp>

namespace gypsumdale::detail {

namespace {

using boost::system::error_code;
namespace asio = boost::asio;

constexpr std::size_t minReadBytes = std::size_t{4} * 1024;
constexpr std::size_t maxReadBytes = std::size_t{64} * 1024;
/// Unparsed input that may accumulate while a connection is watched.
constexpr std::size_t maxReadAheadBytes = std::size_t{64} * 1024;
constexpr Duration gracefulCloseTimeout = std::chrono::seconds(1);
constexpr std::size_t gracefulCloseMaxBytes = std::size_t{1024} * 1024;

std::size_t totalSize(std::span<const asio::const_buffer> buffers)
{
    std::size_t size = 0;
    for (const asio::const_buffer &buffer : buffers)
        size += buffer.size();
    return size;
}

/// Removes the bytes written from the front of a sequence of buffers.
void consume(std::span<asio::const_buffer> &buffers, std::size_t bytes)
{
    while (!buffers.empty() && bytes >= buffers.front().size()) {
        bytes -= buffers.front().size();
        buffers.front() += buffers.front().size();
        buffers = buffers.subspan(1);
    }
    if (!buffers.empty())
        buffers.front() += bytes;
}

} // namespace

Stream::Stream(LoopCore &core)
    : m_socket(core.m_context)
    , m_timer(core.m_context)
    , m_readSize(minReadBytes)
{
    core.m_closables.push_back(*this);
}

bool Stream::adopt(int nativeSocket)
{
    error_code error;
    m_socket.assign(asio::ip::tcp::v4(), nativeSocket, error);
    if (error)
        return false;
    m_socket.non_blocking(true, error);
    m_socket.set_option(asio::ip::tcp::no_delay(true), error);
    return true;
}

StreamStatus Stream::connect(const asio::ip::tcp::endpoint &endpoint, Duration timeout)
{
    error_code error;
    m_socket.open(endpoint.protocol(), error);
    if (error)
        return StreamStatus::Broken;
    m_socket.non_blocking(true, error);
    m_socket.set_option(asio::ip::tcp::no_delay(true), error);
    startDeadline(deadlineAfter(timeout));
    AsyncWait wait;
    m_socket.async_connect(endpoint, wait.handler());
    error = wait.wait();
    stopDeadline();
    const StreamStatus status = statusOf(error);
    // The other side has accepted the connection and reset it before it was used.
    if (error == asio::error::connection_reset && !m_closed && !m_timedOut)
        return StreamStatus::Ended;
    const bool isRefused = error == asio::error::connection_refused;
    return status == StreamStatus::Broken && !isRefused ? StreamStatus::TimedOut : status;
}

StreamStatus Stream::fill(SteadyTime deadline)
{
    if (m_closed)
        return StreamStatus::Closed;
    if (m_readAhead && (m_readAhead->m_active || m_readAhead->m_failed))
        return awaitReadAhead(deadline);
    if (std::chrono::steady_clock::now() >= deadline)
        return StreamStatus::TimedOut;
    startDeadline(deadline);
    m_isFilling = true;
    AsyncWait wait;
    m_socket.async_read_some(m_input.prepare(m_readSize), wait.handler());
    const error_code error = wait.wait();
    m_isFilling = false;
    stopDeadline();
    m_input.commit(wait.bytes());
    if (wait.bytes() == m_readSize)
        m_readSize = std::min(2 * m_readSize, maxReadBytes);
    return statusOf(error);
}

StreamStatus Stream::awaitReadAhead(SteadyTime deadline)
{
    if (m_readAhead->m_active) {
        startDeadline(deadline);
        AsyncWait wait;
        m_readAheadWaiter = &wait;
        wait.wait();
        m_readAheadWaiter = nullptr;
        stopDeadline();
    }
    if (!m_readAhead->m_failed)
        return StreamStatus::Good;
    const StreamStatus status = statusOf(m_readAhead->m_error);
    // The wait timed out, but the connection has not failed; data that arrives later can still be
    // read.
    if (status == StreamStatus::TimedOut)
        m_readAhead->m_failed = false;
    return status;
}

StreamStatus Stream::write(std::span<asio::const_buffer> buffers, Duration timeout,
                           SteadyTime latest)
{
    std::size_t remaining = totalSize(buffers);
    while (remaining > 0) {
        if (m_closed)
            return StreamStatus::Closed;
        error_code error;
        const std::size_t written = m_socket.write_some(buffers, error);
        consume(buffers, written);
        remaining -= written;
        if (!error)
            continue;
        if (error != asio::error::would_block)
            return statusOf(error);
        startDeadline(std::min(deadlineAfter(timeout), latest));
        AsyncWait wait;
        m_socket.async_wait(asio::ip::tcp::socket::wait_write, wait.handler());
        error = wait.wait();
        stopDeadline();
        if (error)
            return statusOf(error);
    }
    return StreamStatus::Good;
}

void Stream::watch(std::function<void()> onEnd)
{
    m_onEnd = std::move(onEnd);
    if (!m_onEnd || m_closed)
        return;
    if (!m_readAhead)
        m_readAhead = std::make_unique<ReadAhead>();
    if (!m_readAhead->m_active && !m_readAhead->m_failed)
        beginReadAhead();
}

void Stream::beginReadAhead()
{
    m_readAhead->m_active = true;
    m_socket.async_read_some(
            asio::buffer(m_readAhead->m_bytes),
            [self = shared_from_this()](const error_code &error, std::size_t bytes) {
                self->finishReadAhead(error, bytes);
            });
}

void Stream::finishReadAhead(const error_code &error, std::size_t bytes)
{
    m_readAhead->m_active = false;
    const std::size_t copied =
            asio::buffer_copy(m_input.prepare(bytes), asio::buffer(m_readAhead->m_bytes), bytes);
    m_input.commit(copied);
    m_readAhead->m_error = error;
    m_readAhead->m_failed = static_cast<bool>(error);
    if (m_readAheadWaiter) {
        m_readAheadWaiter->handler()(error, bytes);
        return;
    }
    if (!m_onEnd)
        return;
    if (m_readAhead->m_failed)
        std::exchange(m_onEnd, nullptr)();
    else if (m_input.size() < maxReadAheadBytes)
        beginReadAhead();
}

Stream::Pending Stream::peek()
{
    char byte = 0;
    const ssize_t peeked = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (peeked > 0)
        return Pending::Input;
    if (peeked == 0)
        return m_hasFailed ? Pending::Failure : Pending::End;
    const error_code error(errno, boost::system::system_category());
    if (error == asio::error::would_block)
        return Pending::Nothing;
    rememberFailure(error);
    return Pending::Failure;
}

bool Stream::isIdleAndOpen()
{
    return !m_closed && m_input.size() == 0 && peek() == Pending::Nothing;
}

bool Stream::hasUnread()
{
    return !m_closed && peek() != Pending::Nothing;
}

bool Stream::hasEnded()
{
    if (m_closed)
        return false;
    const Pending pending = peek();
    return pending == Pending::End || pending == Pending::Failure;
}

std::optional<std::size_t> Stream::unacknowledged()
{
    int bytes = 0;
    if (m_closed || ::ioctl(m_socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0)
        return std::nullopt;
    return static_cast<std::size_t>(bytes);
}

void Stream::closeGracefully()
{
    error_code error;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    const SteadyTime deadline = deadlineAfter(gracefulCloseTimeout);
    std::size_t discarded = 0;
    while (discarded < gracefulCloseMaxBytes) {
        discarded += m_input.size();
        m_input.clear();
        if (fill(deadline) != StreamStatus::Good)
            break;
    }
    close();
}

void Stream::close()
{
    if (m_closed)
        return;
    m_closed = true;
    m_onEnd = nullptr;
    error_code error;
    if (m_resetsOnClose)
        m_socket.set_option(asio::socket_base::linger(true, 0), error);
    m_socket.close(error);
    m_timer.cancel();
}

std::string Stream::remoteAddress() const
{
    error_code error;
    const asio::ip::tcp::endpoint endpoint = m_socket.remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
}

/// Remembers that the connection has failed, if an error says so. A broken pipe doesn't: it may
/// come of writing after the other side's orderly end, which stays one for what is read.
void Stream::rememberFailure(const error_code &error)
{
    const bool isOfConnection = error != asio::error::eof && error != asio::error::operation_aborted
                                && error != asio::error::broken_pipe;
    m_hasFailed = m_hasFailed || isOfConnection;
}

StreamStatus Stream::statusOf(const error_code &error)
{
    if (!error)
        return StreamStatus::Good;
    rememberFailure(error);
    if (m_closed)
        return StreamStatus::Closed;
    if (m_timedOut)
        return StreamStatus::TimedOut;
    if (error == asio::error::eof && !m_hasFailed)
        return StreamStatus::Ended;
    return StreamStatus::Broken;
}

void Stream::startDeadline(SteadyTime deadline)
{
    m_timedOut = false;
    m_deadline = deadline;
    // A timer that expires earlier stays as it is: onTimer() arms it again when the deadline is
    // later.
    if (deadline < m_timerAt)
        armTimer(deadline);
}

void Stream::shortenDeadline(SteadyTime deadline)
{
    if (deadline < m_deadline)
        startDeadline(deadline);
}

void Stream::interrupt()
{
    if (m_isFilling && !m_closed)
        expire();
}

void Stream::stopDeadline()
{
    m_deadline = SteadyTime::max();
}

void Stream::armTimer(SteadyTime at)
{
    m_timerAt = at;
    m_timer.expires_at(at);
    m_timer.async_wait([weak = weak_from_this()](const error_code &error) {
        if (error)
            return;
        if (const std::shared_ptr<Stream> self = weak.lock())
            self->onTimer();
    });
}

void Stream::onTimer()
{
    m_timerAt = SteadyTime::max();
    if (m_deadline == SteadyTime::max() || m_closed)
        return;
    if (std::chrono::steady_clock::now() < m_deadline) {
        armTimer(m_deadline);
        return;
    }
    expire();
}

/// Ends the operation that waits as timed out.
void Stream::expire()
{
    m_timedOut = true;
    m_deadline = SteadyTime::max();
    error_code error;
    m_socket.cancel(error);
}

} // namespace gypsumdale::detail
