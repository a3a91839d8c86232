#include <gypsumdale/runtime/frame_channel.hpp>

#include <runtime/detail/frame_stream.hpp>
#include <runtime/detail/listener.hpp>

#include <mutex> // adopt_lock, unique_lock
#include <set> // set
#include <utility> // exchange, move

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/timed_mutex.hpp>
#include <fmt/format.h>

namespace gypsumdale {

namespace {

using detail::FrameLimits;
using detail::SteadyTime;
using detail::Stream;
using detail::StreamStatus;

/// Time limit for a frame to arrive completely once it has begun, and for an answer to be accepted.
constexpr Duration frameTimeout = std::chrono::seconds(30);
/// Time without progress after which a peer that is sent a last answer counts as gone; afterwards
/// also the time limit for it to close the connection.
constexpr Duration lastAnswerIdleTimeout = std::chrono::seconds(3);

} // namespace

struct FrameServer::State : std::enable_shared_from_this<FrameServer::State>
{
    State(FiberLoop &loop, FrameHandler handler, std::size_t maxFrameBytes)
        : m_loop(loop)
        , m_handler(std::move(handler))
        , m_maxFrameBytes(maxFrameBytes)
    {}

    void serve(detail::NativeSocket &socket);
    bool answerOne(Stream &stream);
    bool writeLast(Stream &stream, const std::string &answer);
    void closeAll();

    FiberLoop &m_loop;
    FrameHandler m_handler;
    std::size_t m_maxFrameBytes;
    std::shared_ptr<detail::Listener> m_listener;
    detail::FrameCounters m_counters;
    std::set<std::shared_ptr<Stream>> m_streams;
};

void FrameServer::State::serve(detail::NativeSocket &socket)
{
    const auto stream = std::make_shared<Stream>(*detail::LoopCore::current());
    if (!stream->adopt(socket.get()))
        return;
    socket.release();
    m_streams.insert(stream);
    while (answerOne(*stream))
        continue;
    stream->close();
    m_streams.erase(stream);
}

bool FrameServer::State::answerOne(Stream &stream)
{
    const bool isWaiting = stream.input().size() == 0;
    if (isWaiting && stream.fill(SteadyTime::max()) != StreamStatus::Good)
        return false;
    detail::FrameRead read = detail::readFrame(stream, m_counters, m_maxFrameBytes,
                                               {detail::deadlineAfter(frameTimeout)});
    auto *frame = std::get_if<std::string>(&read);
    if (!frame)
        return false;
    const FrameAnswer answer = m_handler(std::move(*frame));
    if (answer.m_bytes.empty())
        return false;
    stream.resetOnClose(true);
    const bool isTaken = answer.m_held ? writeLast(stream, answer.m_bytes)
                                       : detail::writeFrame(stream, m_counters, answer.m_bytes,
                                                            {detail::deadlineAfter(frameTimeout)})
                                                 == StreamStatus::Good;
    stream.resetOnClose(!isTaken);
    return isTaken;
}

/// Writes an answer and waits until the peer has closed the connection, as written data may be in
/// transit for long. Always returns false, because the connection ends. A peer that has closed it
/// needs none of the data that the reset discards.
bool FrameServer::State::writeLast(Stream &stream, const std::string &answer)
{
    const FrameLimits limits{detail::deadlineAfter(frameTimeout), lastAnswerIdleTimeout};
    if (detail::writeFrame(stream, m_counters, answer, limits) == StreamStatus::Good)
        stream.fill(limits.nextDeadline());
    return false;
}

void FrameServer::State::closeAll()
{
    for (const std::shared_ptr<Stream> &stream : m_streams)
        stream->close();
}

Result<FrameServer> FrameServer::listen(FiberLoop &loop, const Endpoint &endpoint,
                                        FrameHandler handler, std::size_t maxFrameBytes)
{
    auto opened = detail::Listener::open(loop, endpoint.m_address, endpoint.m_port);
    if (!succeeded(opened))
        return errorOf(opened);
    auto state = std::make_shared<State>(loop, std::move(handler), maxFrameBytes);
    state->m_listener = valueOf(opened);
    state->m_listener->accept([state](std::shared_ptr<detail::NativeSocket> socket) {
        state->m_loop.spawn([state, socket = std::move(socket)] { state->serve(*socket); });
    });
    return FrameServer(std::move(state));
}

FrameServer::FrameServer(std::shared_ptr<State> state)
    : m_state(std::move(state))
{}

FrameServer::~FrameServer()
{
    if (!m_state)
        return;
    m_state->m_listener->postClose();
    boost::asio::post(m_state->m_loop.context(), [state = m_state] { state->closeAll(); });
}

FrameServer::FrameServer(FrameServer &&) noexcept = default;

FrameServer &FrameServer::operator=(FrameServer &&other) noexcept
{
    FrameServer taken(std::move(other));
    m_state.swap(taken.m_state);
    return *this;
}

std::uint16_t FrameServer::port() const
{
    return m_state->m_listener->port();
}

FrameTraffic FrameServer::traffic() const
{
    return m_state->m_counters.read();
}

struct FrameChannel::State
{
    State(FiberLoop &loop, Endpoint endpoint, std::size_t maxAnswerBytes)
        : m_loop(loop)
        , m_endpoint(std::move(endpoint))
        , m_maxAnswerBytes(maxAnswerBytes)
    {}

    Result<std::string> exchange(const std::string &frame, const FrameLimits &limits);
    Result<Done> ensureConnected(const FrameLimits &limits);
    Result<std::string> sendAndReceive(const std::string &frame, const FrameLimits &limits);
    Error fail(StreamStatus status, ErrorId otherwise, std::string_view what) const;
    void closeStream();

    FiberLoop &m_loop;
    Endpoint m_endpoint;
    std::size_t m_maxAnswerBytes;
    boost::fibers::timed_mutex m_turn;
    std::shared_ptr<Stream> m_stream;
    detail::FrameCounters m_counters;
    bool m_closed = false;
};

Result<std::string> FrameChannel::State::exchange(const std::string &frame,
                                                  const FrameLimits &limits)
{
    if (!m_turn.try_lock_until(limits.m_deadline))
        return fail(StreamStatus::TimedOut, ErrorId::Timeout, "waiting for earlier calls");
    const std::unique_lock<boost::fibers::timed_mutex> turn(m_turn, std::adopt_lock);
    const Result<Done> connected = ensureConnected(limits);
    if (!succeeded(connected))
        return errorOf(connected);
    const std::shared_ptr<Stream> stream = m_stream;
    stream->resetOnClose(true);
    Result<std::string> answer = sendAndReceive(frame, limits);
    if (succeeded(answer))
        stream->resetOnClose(false);
    else
        closeStream();
    return answer;
}

Result<Done> FrameChannel::State::ensureConnected(const FrameLimits &limits)
{
    if (m_closed)
        return fail(StreamStatus::Closed, ErrorId::Cancelled, "connecting");
    // A restarted peer has closed the connection; this is detected here, before anything is sent.
    if (m_stream && m_stream->isIdleAndOpen())
        return Done();
    closeStream();
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(m_endpoint.m_address, error);
    if (error)
        return fail(StreamStatus::Broken, ErrorId::PeerUnreachable, "connecting");
    m_stream = std::make_shared<Stream>(*detail::LoopCore::current());
    const std::shared_ptr<Stream> stream = m_stream;
    const Duration remaining = limits.nextDeadline() - std::chrono::steady_clock::now();
    const StreamStatus status = stream->connect({address, m_endpoint.m_port}, remaining);
    if (status == StreamStatus::Good)
        return Done();
    closeStream();
    return fail(status, ErrorId::PeerUnreachable, "connecting");
}

Result<std::string> FrameChannel::State::sendAndReceive(const std::string &frame,
                                                        const FrameLimits &limits)
{
    const std::shared_ptr<Stream> stream = m_stream;
    const StreamStatus sent = detail::writeFrame(*stream, m_counters, frame, limits);
    if (sent != StreamStatus::Good)
        return fail(sent, ErrorId::ConnectionClosed, "sending");
    detail::FrameRead read = detail::readFrame(*stream, m_counters, m_maxAnswerBytes, limits);
    return std::visit(
            Overloaded{
                    [](std::string &answer) -> Result<std::string> { return std::move(answer); },
                    [this](StreamStatus status) -> Result<std::string> {
                        return fail(status, ErrorId::ConnectionClosed, "awaiting the answer");
                    },
                    [this](detail::FrameTooLong) -> Result<std::string> {
                        return fail(StreamStatus::Broken, ErrorId::PeerMalformed,
                                    "the answer is too long");
                    },
            },
            read);
}

Error FrameChannel::State::fail(StreamStatus status, ErrorId otherwise, std::string_view what) const
{
    ErrorId id = otherwise;
    if (status == StreamStatus::TimedOut)
        id = ErrorId::Timeout;
    if (status == StreamStatus::Closed)
        id = ErrorId::Cancelled;
    return Error{id, fmt::format("peer {}:{}: {} ({})", m_endpoint.m_address, m_endpoint.m_port,
                                 what, errorName(id))};
}

void FrameChannel::State::closeStream()
{
    if (const std::shared_ptr<Stream> stream = std::exchange(m_stream, nullptr))
        stream->close();
}

FrameChannel::FrameChannel(FiberLoop &loop, Endpoint endpoint, std::size_t maxAnswerBytes)
    : m_state(std::make_shared<State>(loop, std::move(endpoint), maxAnswerBytes))
{}

FrameChannel::~FrameChannel()
{
    boost::asio::post(m_state->m_loop.context(), [state = m_state] {
        state->m_closed = true;
        state->closeStream();
    });
}

Result<std::string> FrameChannel::exchange(const std::string &frame, Duration timeout)
{
    const std::shared_ptr<State> state = m_state;
    return state->exchange(frame, {detail::deadlineAfter(timeout)});
}

Result<std::string> FrameChannel::exchange(const std::string &frame, const ExchangeLimits &limits)
{
    const std::shared_ptr<State> state = m_state;
    return state->exchange(frame, {detail::deadlineAfter(limits.m_total), limits.m_silence});
}

FrameTraffic FrameChannel::traffic() const
{
    return m_state->m_counters.read();
}

} // namespace gypsumdale
