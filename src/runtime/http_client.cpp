#include <gypsumdale/runtime/http_client.hpp>

#include <runtime/detail/call_failure.hpp>
#include <runtime/detail/connection_pool.hpp>
#include <runtime/detail/deadline_watch.hpp>
#include <runtime/detail/message_parser.hpp>
#include <runtime/detail/message_writer.hpp>
#include <runtime/detail/stream.hpp>

#include <array> // array
#include <utility> // exchange, move

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <fmt/format.h>

namespace gypsumdale {

namespace {

using detail::connectFailure;
using detail::connectionReset;
using detail::deadlinePassed;
using detail::failure;
using detail::nameOf;
using detail::Stream;
using detail::StreamStatus;
namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::uint32_t maxAnswerHeaderBytes = 64 * 1024;
/// Class of the interim answers (1xx), which precede the final answer.
constexpr int interimStatusClass = 1;
/// Interval at which a request that the other side doesn't read is checked for an early answer.
constexpr Duration earlyAnswerCheckInterval = std::chrono::milliseconds(50);

} // namespace

/// State of an exchange, from the first byte of the request to the last byte of the answer.
struct HttpExchange::State
{
    using Parser = detail::MessageParser<false>;

    State(const HttpCall &call, std::shared_ptr<Stream> stream,
          const std::shared_ptr<detail::ConnectionPool> &pool);
    ~State();
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    std::optional<CallFailure> send(const HttpCall &call);
    std::optional<CallFailure> readHeader(Duration timeout);
    CallResult<std::optional<std::string>> read(Duration silenceTimeout);
    void cancel();

    /// Parses the input received so far. Returns a failure if it is not HTTP.
    std::optional<CallFailure> parse();
    CallFailure fail(ErrorId id, std::string_view what);
    CallFailure fail(StreamStatus status);
    CallFailure failAborted();
    void finish();
    bool endsByClose(StreamStatus status);

    Endpoint m_endpoint;
    std::shared_ptr<Stream> m_stream;
    std::weak_ptr<detail::ConnectionPool> m_pool;
    std::unique_ptr<Parser> m_parser;
    /// Null if the call has no delivery deadline.
    std::shared_ptr<detail::DeadlineWatch> m_watch;
    Duration m_silenceTimeout;
    SendPhase m_phase = SendPhase::NothingSent;
    /// Number of bytes of the request that were not written to the kernel.
    std::size_t m_unsent = 0;
    bool m_isHead;
    bool m_closeAfterAnswer;
    bool m_acceptsCloseDelimited;
    bool m_finished = false;
    bool m_cancelled = false;
    /// The first failure, which every later read returns again.
    std::optional<CallFailure> m_failure;
};

HttpExchange::State::State(const HttpCall &call, std::shared_ptr<Stream> stream,
                           const std::shared_ptr<detail::ConnectionPool> &pool)
    : m_endpoint(call.m_endpoint)
    , m_stream(std::move(stream))
    , m_pool(pool)
    , m_silenceTimeout(call.m_silenceTimeout)
    , m_isHead(call.m_method == "HEAD")
    , m_closeAfterAnswer(call.m_closeAfterAnswer)
    , m_acceptsCloseDelimited(call.m_acceptsCloseDelimited)
{
    m_stream->resetOnClose(true);
    if (call.m_term)
        m_watch = std::make_shared<detail::DeadlineWatch>(*detail::LoopCore::current(), call.m_term,
                                                          m_stream);
}

/// Closes the connection unless the message has ended, so that the connection's next request can't
/// read the rest of this answer. Request bytes still in transit are dropped with it.
HttpExchange::State::~State()
{
    if (!m_finished)
        m_stream->close();
}

std::optional<CallFailure> HttpExchange::State::send(const HttpCall &call)
{
    const std::string head = detail::requestHead(call.m_method, call.m_target, nameOf(m_endpoint),
                                                 call.m_headers, call.m_body.size());
    std::array<asio::const_buffer, 2> buffers = {asio::buffer(head), asio::buffer(call.m_body)};
    const std::size_t size = asio::buffer_size(buffers);
    // A failed write proves nothing about what the other side has read.
    m_phase = SendPhase::MayHaveBeenRead;
    const detail::SteadyTime deadline = detail::deadlineAfter(call.m_headerTimeout);
    if (m_watch)
        m_watch->begin();
    for (;;) {
        const StreamStatus status = m_stream->write(buffers, earlyAnswerCheckInterval, deadline);
        if (status == StreamStatus::Good) {
            if (m_watch)
                m_watch->markWritten();
            return std::nullopt;
        }
        if (status != StreamStatus::TimedOut || std::chrono::steady_clock::now() >= deadline) {
            m_unsent = asio::buffer_size(buffers);
            if (m_unsent == size && status == StreamStatus::Broken)
                m_phase = SendPhase::NothingSent;
            return fail(status);
        }
        // An upstream may answer before it has read a long body, and stop reading. Waiting for it
        // to read the rest would last for the whole timeout although the answer is already there.
        if (!m_stream->isIdleAndOpen()) {
            m_closeAfterAnswer = true;
            return std::nullopt;
        }
    }
}

std::optional<CallFailure> HttpExchange::State::readHeader(Duration timeout)
{
    const detail::SteadyTime deadline = detail::deadlineAfter(timeout);
    do {
        m_parser = std::make_unique<Parser>();
        m_parser->header_limit(maxAnswerHeaderBytes);
        m_parser->body_limit(boost::none);
        m_parser->skip(m_isHead);
        while (!m_parser->is_header_done()) {
            if (m_stream->input().size() == 0 || m_parser->got_some()) {
                const StreamStatus status = m_stream->fill(deadline);
                if (status != StreamStatus::Good)
                    return fail(status);
                m_phase = SendPhase::AnswerStarted;
                if (m_watch)
                    m_watch->end();
            }
            if (std::optional<CallFailure> malformed = parse())
                return malformed;
        }
    } while (m_parser->status() / 100 == interimStatusClass);
    return std::nullopt;
}

std::optional<CallFailure> HttpExchange::State::parse()
{
    boost::beast::error_code error;
    const std::size_t used = m_parser->put(m_stream->input().data(), error);
    m_stream->input().consume(used);
    if (error && error != http::error::need_more)
        return fail(ErrorId::UpstreamFailed, "the answer is malformed: " + error.message());
    if (m_parser->is_done() && m_parser->status() / 100 != interimStatusClass)
        finish();
    return std::nullopt;
}

CallResult<std::optional<std::string>> HttpExchange::State::read(Duration silenceTimeout)
{
    for (;;) {
        if (m_parser->hasBody())
            return m_parser->takeBody();
        if (m_finished)
            return std::nullopt;
        if (m_cancelled)
            return fail(StreamStatus::Closed);
        if (m_failure)
            return *m_failure;
        const StreamStatus status = m_stream->fill(detail::deadlineAfter(silenceTimeout));
        if (endsByClose(status))
            continue;
        if (status != StreamStatus::Good)
            return fail(status);
        if (const std::optional<CallFailure> malformed = parse(); malformed && !m_parser->hasBody())
            return *malformed;
    }
}

/// Returns whether the end of the connection is the proper end of the answer.
bool HttpExchange::State::endsByClose(StreamStatus status)
{
    if (status != StreamStatus::Ended || !m_acceptsCloseDelimited || !m_parser->need_eof())
        return false;
    boost::beast::error_code error;
    m_parser->put_eof(error);
    if (error)
        return false;
    m_closeAfterAnswer = true;
    finish();
    return true;
}

void HttpExchange::State::cancel()
{
    if (m_finished)
        return;
    m_cancelled = true;
    m_stream->close();
}

CallFailure HttpExchange::State::fail(StreamStatus status)
{
    if (m_watch && m_watch->hasAborted())
        return failAborted();
    if (m_cancelled || status == StreamStatus::Closed)
        return fail(ErrorId::Cancelled, "cancelled");
    if (status == StreamStatus::TimedOut)
        return fail(ErrorId::UpstreamSilent, "no answer in time");
    if (m_phase == SendPhase::AnswerStarted)
        return fail(ErrorId::AnswerTruncated, "the connection closed during the answer");
    return fail(ErrorId::ConnectionClosed, "the connection closed before the answer");
}

CallFailure HttpExchange::State::failAborted()
{
    const std::size_t bytes = m_watch->unacknowledged() + m_unsent;
    CallFailure failed =
            fail(ErrorId::TermOver,
                 fmt::format("the delivery deadline passed with {} bytes unacknowledged", bytes));
    failed.m_unacknowledgedBytes = bytes;
    m_failure = failed;
    return failed;
}

CallFailure HttpExchange::State::fail(ErrorId id, std::string_view what)
{
    m_stream->close();
    if (!m_failure)
        m_failure = failure(m_phase, id, m_endpoint, what);
    return *m_failure;
}

/// Returns the connection to the pool after the proper end of the message, unless it must not be
/// reused.
void HttpExchange::State::finish()
{
    if (m_finished)
        return;
    m_finished = true;
    m_stream->resetOnClose(false);
    const std::shared_ptr<detail::ConnectionPool> pool = m_pool.lock();
    const bool isReusable = m_parser->keep_alive() && m_stream->input().size() == 0;
    if (pool && isReusable && !m_cancelled && !m_closeAfterAnswer)
        pool->release(m_endpoint, m_stream);
    else
        m_stream->close();
}

HttpExchange::HttpExchange(std::unique_ptr<State> state)
    : m_state(std::move(state))
{}

HttpExchange::~HttpExchange() = default;
HttpExchange::HttpExchange(HttpExchange &&) noexcept = default;
HttpExchange &HttpExchange::operator=(HttpExchange &&) noexcept = default;

int HttpExchange::status() const
{
    return m_state->m_parser->status();
}

const HttpHeaders &HttpExchange::headers() const
{
    return m_state->m_parser->headers();
}

CallResult<std::optional<std::string>> HttpExchange::read()
{
    return m_state->read(m_state->m_silenceTimeout);
}

CallResult<std::optional<std::string>> HttpExchange::read(Duration silenceTimeout)
{
    return m_state->read(silenceTimeout);
}

void HttpExchange::cancel()
{
    m_state->cancel();
}

void CallCancellation::cancel()
{
    m_isCancelled = true;
    if (const std::function<void()> close = std::exchange(m_close, nullptr))
        close();
}

struct HttpClient::State
{
    FiberLoop &m_loop;
    std::shared_ptr<detail::ConnectionPool> m_pool;
};

HttpClient::HttpClient(FiberLoop &loop)
    : m_state(std::make_shared<State>(State{loop, nullptr}))
{}

HttpClient::~HttpClient()
{
    if (!m_state->m_pool)
        return;
    asio::post(m_state->m_loop.context(), [pool = m_state->m_pool] { pool->close(); });
}

/// Enables the call's cancellation to close its connection.
void HttpClient::attach(const HttpCall &call, const std::shared_ptr<detail::Stream> &stream)
{
    if (!call.m_cancellation)
        return;
    call.m_cancellation->m_close = [weak = std::weak_ptr<Stream>(stream)] {
        if (const std::shared_ptr<Stream> open = weak.lock())
            open->close();
    };
}

/// Opens a connection within the call's connect timeout and delivery deadline.
std::optional<CallFailure> HttpClient::connect(const HttpCall &call,
                                               const std::shared_ptr<detail::Stream> &stream)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(call.m_endpoint.m_address, error);
    if (error)
        return connectFailure(call.m_endpoint, StreamStatus::Broken);
    attach(call, stream);
    DeliveryDeadline *term = call.m_term.get();
    if (term) {
        term->m_onShortened = [term, weak = std::weak_ptr<Stream>(stream)] {
            const std::shared_ptr<Stream> open = weak.lock();
            if (open && !term->maySend(Duration::zero()))
                open->close();
        };
    }
    const StreamStatus status =
            stream->connect({address, call.m_endpoint.m_port}, call.m_connectTimeout);
    if (term)
        term->m_onShortened = nullptr;
    if (status == StreamStatus::Good)
        return std::nullopt;
    stream->close();
    const bool isCancelled = call.m_cancellation && call.m_cancellation->isCancelled();
    if (term && !isCancelled && !term->maySend(Duration::zero()))
        return deadlinePassed(call.m_endpoint);
    return connectFailure(call.m_endpoint, status);
}

CallResult<HttpExchange> HttpClient::open(const HttpCall &call)
{
    detail::LoopCore &core = *detail::LoopCore::current();
    const std::shared_ptr<State> state = m_state;
    if (!state->m_pool)
        state->m_pool = std::make_shared<detail::ConnectionPool>(core);
    if (call.m_cancellation && call.m_cancellation->isCancelled())
        return connectFailure(call.m_endpoint, StreamStatus::Closed);
    std::shared_ptr<Stream> stream;
    if (!call.m_requiresNewConnection)
        stream = state->m_pool->acquire(call.m_endpoint);
    const detail::SteadyTime beganAt = std::chrono::steady_clock::now();
    if (!stream) {
        stream = std::make_shared<Stream>(core);
        if (std::optional<CallFailure> failed = connect(call, stream))
            return *std::move(failed);
        if (call.m_onConnected)
            call.m_onConnected();
    }
    if (call.m_term && !call.m_term->maySend(std::chrono::steady_clock::now() - beganAt)) {
        stream->close();
        return deadlinePassed(call.m_endpoint);
    }
    if (stream->hasEnded()) {
        stream->close();
        return connectionReset(call.m_endpoint);
    }
    attach(call, stream);
    auto exchange = std::make_unique<HttpExchange::State>(call, std::move(stream), state->m_pool);
    if (const std::optional<CallFailure> failed = exchange->send(call))
        return *failed;
    if (const std::optional<CallFailure> failed = exchange->readHeader(call.m_headerTimeout))
        return *failed;
    return HttpExchange(std::move(exchange));
}

ConnectOutcome HttpClient::tryConnect(const Endpoint &endpoint, Duration timeout)
{
    HttpCall call;
    call.m_endpoint = endpoint;
    call.m_connectTimeout = timeout;
    const auto stream = std::make_shared<Stream>(*detail::LoopCore::current());
    const std::optional<CallFailure> failure = connect(call, stream);
    stream->close();
    if (!failure)
        return ConnectOutcome::Connected;
    return failure->m_error.m_id == ErrorId::UpstreamUnreachable ? ConnectOutcome::Refused
                                                                 : ConnectOutcome::Unanswered;
}

CallResult<HttpReply> HttpClient::call(const HttpCall &call)
{
    CallResult<HttpExchange> opened = open(call);
    if (auto *failed = std::get_if<CallFailure>(&opened))
        return std::move(*failed);
    auto &exchange = std::get<HttpExchange>(opened);
    HttpReply reply;
    reply.m_status = exchange.status();
    reply.m_headers = exchange.headers();
    for (;;) {
        auto piece = exchange.read();
        if (auto *failed = std::get_if<CallFailure>(&piece))
            return std::move(*failed);
        auto &text = std::get<std::optional<std::string>>(piece);
        if (!text)
            return reply;
        if (reply.m_body.size() + text->size() > call.m_maxBodyBytes)
            return failure(SendPhase::AnswerStarted, ErrorId::UpstreamFailed, call.m_endpoint,
                           "the answer is too large");
        if (reply.m_body.empty())
            reply.m_body = std::move(*text);
        else
            reply.m_body += *text;
    }
}

void HttpClient::forget(const Endpoint &endpoint)
{
    if (m_state->m_pool)
        m_state->m_pool->closeAll(endpoint);
}

} // namespace gypsumdale
