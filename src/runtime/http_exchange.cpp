#include <runtime/detail/call_failure.hpp>
#include <runtime/detail/http_exchange_state.hpp>
#include <runtime/detail/message_writer.hpp>

#include <array> // array
#include <span> // span
#include <utility> // move

#include <boost/beast/http/error.hpp>
#include <fmt/format.h>

namespace gypsumdale {

namespace {

using detail::nameOf;
using detail::Stream;
using detail::StreamStatus;
namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Limit of an answer's header, with the interim ones before it; chunk sizes, chunk extensions and
/// trailers count too, beyond what the size of the body explains.
constexpr std::size_t maxAnswerHeaderBytes = std::size_t{64} * 1024;
/// Class of the interim answers (1xx), which precede the final answer.
constexpr int interimStatusClass = 1;
/// Interval at which a request that the other side doesn't read is checked for an early answer.
constexpr Duration earlyAnswerCheckInterval = std::chrono::milliseconds(50);
/// Time limit for taking input that the kernel holds already.
constexpr Duration lateReadTimeout = std::chrono::milliseconds(100);

} // namespace

HttpExchange::State::State(const HttpCall &call, std::shared_ptr<Stream> stream,
                           const std::shared_ptr<detail::ConnectionPool> &pool,
                           const std::shared_ptr<BodyMemory> &memory, detail::SteadyTime latest)
    : m_endpoint(call.m_endpoint)
    , m_stream(std::move(stream))
    , m_pool(pool)
    , m_share(std::make_shared<BodyShare>(memory))
    , m_silenceTimeout(call.m_silenceTimeout)
    , m_latest(latest)
    , m_maxBodyBytes(call.m_maxBodyBytes)
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
    const detail::SteadyTime deadline = limited(call.m_headerTimeout);
    if (m_watch)
        m_watch->begin();
    for (;;) {
        const StreamStatus status = m_stream->write(buffers, earlyAnswerCheckInterval, deadline);
        if (status == StreamStatus::Good) {
            if (m_watch)
                m_watch->markWritten();
            return std::nullopt;
        }
        const bool isOver = std::chrono::steady_clock::now() >= deadline;
        if (status == StreamStatus::TimedOut && isOver) {
            keepRest(buffers);
            return std::nullopt;
        }
        if (status != StreamStatus::TimedOut) {
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

/// Keeps what was not written, to be written while the answer is awaited.
void HttpExchange::State::keepRest(std::span<const asio::const_buffer> buffers)
{
    m_unsent = asio::buffer_size(buffers);
    for (const asio::const_buffer &buffer : buffers)
        m_rest.append(static_cast<const char *>(buffer.data()), buffer.size());
}

bool HttpExchange::State::sendRest(detail::SteadyTime deadline)
{
    std::array<asio::const_buffer, 1> buffers = {asio::buffer(m_rest)};
    for (;;) {
        const StreamStatus status = m_stream->write(buffers, earlyAnswerCheckInterval, deadline);
        m_unsent = asio::buffer_size(buffers);
        if (status == StreamStatus::Good) {
            m_rest.clear();
            if (m_watch)
                m_watch->markWritten();
            return true;
        }
        if (status != StreamStatus::TimedOut) {
            fail(status);
            return true;
        }
        if (!m_stream->isIdleAndOpen()) {
            m_closeAfterAnswer = true;
            m_rest.clear();
            return true;
        }
        if (m_isInterrupted || std::chrono::steady_clock::now() >= deadline) {
            m_rest.erase(0, m_rest.size() - m_unsent);
            return false;
        }
    }
}

void HttpExchange::State::interrupt()
{
    m_isInterrupted = true;
    m_stream->interrupt();
}

std::optional<CallFailure> HttpExchange::State::readHeader(Duration timeout)
{
    if (!awaitHeader(limited(timeout)))
        return fail(StreamStatus::TimedOut);
    return m_failure;
}

StreamStatus HttpExchange::State::fillBy(detail::SteadyTime deadline)
{
    const StreamStatus status = m_stream->fill(deadline);
    if (status != StreamStatus::TimedOut || !m_stream->hasUnread())
        return status;
    return m_stream->fill(detail::deadlineAfter(lateReadTimeout));
}

bool HttpExchange::State::awaitHeader(detail::SteadyTime deadline)
{
    m_isInterrupted = false;
    if (!m_rest.empty() && !m_failure && !sendRest(deadline))
        return false;
    while (!m_failure && !hasHeader()) {
        if (!m_parser || m_parser->is_header_done())
            startParser();
        if (m_stream->input().size() == 0 || m_parser->got_some()) {
            const StreamStatus status = fillBy(deadline);
            if (status == StreamStatus::TimedOut)
                return false;
            if (status != StreamStatus::Good) {
                fail(status);
                return true;
            }
            m_phase = SendPhase::AnswerStarted;
            if (m_watch)
                m_watch->end();
        }
        parse();
    }
    return true;
}

/// Returns whether the header of the final answer has arrived.
bool HttpExchange::State::hasHeader() const
{
    return m_parser && m_parser->is_header_done() && m_parser->status() / 100 != interimStatusClass;
}

/// Begins the final answer, or the one after an interim answer.
void HttpExchange::State::startParser()
{
    const std::size_t earlierBytes = m_parser ? m_parser->framingBytes() : 0;
    m_parser = std::make_unique<Parser>(maxAnswerHeaderBytes, earlierBytes);
    m_parser->body_limit(boost::none);
    m_parser->skip(m_isHead);
}

bool HttpExchange::State::hasNext() const
{
    return m_failure || m_cancelled || m_finished || m_parser->hasBody();
}

bool HttpExchange::State::awaitBody(detail::SteadyTime deadline)
{
    if (!awaitHeader(deadline))
        return false;
    while (!hasNext()) {
        const StreamStatus status = fillBy(deadline);
        if (status == StreamStatus::TimedOut)
            return false;
        if (endsByClose(status))
            break;
        if (status != StreamStatus::Good)
            fail(status);
        else
            parse();
    }
    return true;
}

std::optional<CallFailure> HttpExchange::State::parse()
{
    boost::beast::error_code error;
    const std::size_t used = m_parser->parse(m_stream->input().data(), error);
    m_stream->input().consume(used);
    if (error == http::error::header_limit)
        return failTooLarge("the header, or the framing of the body, is too large");
    if (error && error != http::error::need_more)
        return failMalformed(error.message());
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
        const StreamStatus status = m_stream->fill(limited(silenceTimeout));
        if (endsByClose(status))
            continue;
        if (status != StreamStatus::Good)
            return fail(status);
        if (const std::optional<CallFailure> malformed = parse(); malformed && !m_parser->hasBody())
            return *malformed;
    }
}

CallResult<std::string> HttpExchange::State::readBody()
{
    auto body = collectBody();
    if (std::holds_alternative<CallFailure>(body))
        m_share->resize(0);
    return body;
}

CallResult<std::string> HttpExchange::State::collectBody()
{
    if (!m_finished && m_parser->content_length().value_or(0) > m_maxBodyBytes)
        return failTooLarge();
    std::string body;
    for (;;) {
        auto piece = read(m_silenceTimeout);
        if (auto *failed = std::get_if<CallFailure>(&piece))
            return std::move(*failed);
        auto &text = std::get<std::optional<std::string>>(piece);
        if (!text)
            return body;
        if (body.size() + text->size() > m_maxBodyBytes)
            return failTooLarge();
        if (!m_share->resize(body.size() + text->size()))
            return failWithoutMemory();
        if (body.empty())
            body = std::move(*text);
        else
            body += *text;
    }
}

CallFailure HttpExchange::State::failTooLarge(std::string_view what)
{
    fail(ErrorId::UpstreamFailed, what);
    m_failure->m_isAnswerTooLarge = true;
    return *m_failure;
}

CallFailure HttpExchange::State::failMalformed(const std::string &what)
{
    fail(ErrorId::UpstreamFailed, "the answer is malformed: " + what);
    m_failure->m_isMalformed = true;
    return *m_failure;
}

CallFailure HttpExchange::State::failWithoutMemory()
{
    fail(ErrorId::UpstreamFailed, "the memory for answers is used up");
    m_failure->m_isMemoryUsedUp = true;
    return *m_failure;
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
        m_failure = detail::failure(m_phase, id, m_endpoint, what);
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

bool HttpExchange::isCloseDelimited() const
{
    return m_state->m_parser->need_eof();
}

CallResult<std::optional<std::string>> HttpExchange::read()
{
    return m_state->read(m_state->m_silenceTimeout);
}

CallResult<std::optional<std::string>> HttpExchange::read(Duration silenceTimeout)
{
    return m_state->read(silenceTimeout);
}

CallResult<std::string> HttpExchange::readBody()
{
    return m_state->readBody();
}

std::shared_ptr<BodyShare> HttpExchange::share() const
{
    return m_state->m_share;
}

bool HttpExchange::awaitHeader(Duration limit)
{
    return m_state->awaitHeader(m_state->limited(limit));
}

bool HttpExchange::awaitBody(Duration limit)
{
    return m_state->awaitBody(m_state->limited(limit));
}

bool HttpExchange::hasHeader() const
{
    return !m_state->m_failure && m_state->hasHeader();
}

void HttpExchange::interrupt()
{
    m_state->interrupt();
}

std::optional<CallFailure> HttpExchange::failure() const
{
    return m_state->m_failure;
}

CallFailure HttpExchange::giveUp()
{
    return m_state->fail(StreamStatus::TimedOut);
}

void HttpExchange::cancel()
{
    m_state->cancel();
}

} // namespace gypsumdale
