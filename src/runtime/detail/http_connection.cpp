#include <runtime/detail/http_connection.hpp>

#include <runtime/detail/message_writer.hpp>

#include <algorithm> // min
#include <array> // array
#include <cstdint> // uint32_t
#include <exception> // exception
#include <utility> // exchange, move

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <fmt/format.h>

namespace gypsumdale::detail {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Time given to a connection to deliver a request that may be in transit when the connection would
/// otherwise be closed.
constexpr Duration finalReadGrace = std::chrono::seconds(1);

/// Time after which a caller may return whose request there was no memory for: most of the others
/// have been read by then.
constexpr std::string_view memoryRetryAfterSeconds = "1";
/// Capacity of an input buffer that a connection keeps between requests.
constexpr std::size_t maxIdleInputBytes = std::size_t{8} * 1024;

constexpr std::string_view chunkEnd = "\r\n";
constexpr std::string_view lastChunk = "0\r\n\r\n";
constexpr std::string_view continueHead = "HTTP/1.1 100 Continue\r\n\r\n";

asio::const_buffer bufferOf(std::string_view text)
{
    return {text.data(), text.size()};
}

HttpReply errorReply(int status, ErrorId id, std::string_view message)
{
    HttpReply reply;
    reply.m_status = status;
    reply.m_headers.add("Content-Type", "application/json");
    reply.m_body = fmt::format(R"({{"error":{{"id":{},"name":"{}","message":"{}"}}}})",
                               static_cast<int>(id), errorName(id), message);
    return reply;
}

} // namespace

HttpConnection::HttpConnection(std::shared_ptr<Stream> stream, HttpService &service)
    : m_stream(std::move(stream))
    , m_service(service)
{}

HttpConnection::~HttpConnection()
{
    m_stream->close();
    --m_service.m_connections;
}

void HttpConnection::serve()
{
    while (serveRequest())
        ++m_served;
    if (closesBeforeCaller())
        m_stream->closeGracefully();
}

/// Returns whether the last answer ends a connection that its caller meant to keep. What the caller
/// has sent since would reset it, with the end of an answer that is still under way.
bool HttpConnection::closesBeforeCaller() const
{
    return m_answer == AnswerState::Complete && m_callerKeepsAlive && m_sentClose && !m_callerGone;
}

void HttpConnection::closeIfIdle()
{
    if (!m_isIdle)
        return;
    if (m_served == 0)
        m_stream->shortenDeadline(deadlineAfter(finalReadGrace));
    else if (m_stream->isIdleAndOpen())
        m_stream->close();
}

bool HttpConnection::serveRequest()
{
    if (!awaitFirstByte())
        return false;
    Parser parser(m_service.m_limits.m_headerBytes);
    parser.body_limit(m_service.m_limits.m_bodyBytes);
    BodyShare share(m_service.m_requestMemory, BodyShare::freeRequestBytes);
    if (!receiveRequest(parser, share))
        return false;
    HttpRequest request;
    request.m_method = parser.method();
    request.m_target = parser.target();
    request.m_headers = std::move(parser.headers());
    request.m_body = parser.takeBody();
    request.m_remoteAddress = m_stream->remoteAddress();
    releaseInput();
    share.resize(request.m_body.capacity() + request.m_body.size());
    m_isHead = request.m_method == "HEAD";
    m_callerKeepsAlive = parser.keep_alive();
    m_callerReadsChunks = parser.version() >= 11;
    handle(request);
    return m_answer == AnswerState::Complete && !m_sentClose && !m_callerGone;
}

/// Waits for the first byte of a request. Returns false if none will arrive.
bool HttpConnection::awaitFirstByte()
{
    if (m_stream->input().size() > 0)
        return true;
    const bool stopping = m_service.m_stopping;
    // Here and below, the connection is not closed while a request that has arrived is still
    // unread: closing would reset the connection, and the caller would get no answer.
    if (stopping && m_served > 0 && m_stream->isIdleAndOpen())
        return false;
    const Duration limit = stopping ? finalReadGrace : m_service.m_limits.m_idleTimeout;
    m_isIdle = true;
    StreamStatus status = m_stream->fill(deadlineAfter(limit));
    m_isIdle = false;
    if (status == StreamStatus::TimedOut && !m_stream->isIdleAndOpen())
        status = m_stream->fill(deadlineAfter(finalReadGrace));
    return status == StreamStatus::Good;
}

/// Reads one complete request, which counts as arriving until then.
bool HttpConnection::receiveRequest(Parser &parser, BodyShare &share)
{
    ++m_service.m_requestsArriving;
    const bool isWhole = readRequest(parser, share);
    --m_service.m_requestsArriving;
    return isWhole;
}

/// Counts what a request occupies: the buffers of its input and body, and the copy of the body that
/// is sent to an upstream. Refuses the request and returns false if there is no memory for that.
bool HttpConnection::holds(const Parser &parser, BodyShare &share)
{
    const std::size_t copied = parser.bodyBytes();
    if (share.resize(m_stream->input().capacity() + parser.bodyCapacity() + copied))
        return true;
    ++m_service.m_requestsWithoutMemory;
    HttpReply reply =
            errorReply(503, ErrorId::MemoryUsedUp, "there is no memory for the request now");
    reply.m_headers.add("Retry-After", std::string(memoryRetryAfterSeconds));
    refuse(reply);
    return false;
}

/// Frees the buffer of a large request's input, unless the next request is in it.
void HttpConnection::releaseInput()
{
    const bool isLarge = m_stream->input().capacity() > maxIdleInputBytes;
    if (isLarge && m_stream->input().size() == 0)
        m_stream->input().shrink_to_fit();
}

/// Reads one complete request. On failure it has already sent an error answer if one is due.
bool HttpConnection::readRequest(Parser &parser, BodyShare &share)
{
    const SteadyTime deadline = deadlineAfter(m_service.m_limits.m_readTimeout);
    bool askedToContinue = false;
    for (;;) {
        boost::beast::error_code error;
        const std::size_t used = parser.parse(m_stream->input().data(), error);
        m_stream->input().consume(used);
        m_service.m_bytesReceived += used;
        if (error && error != http::error::need_more) {
            refuse(error);
            return false;
        }
        if (!holds(parser, share))
            return false;
        if (parser.is_done())
            return true;
        if (parser.is_header_done() && !std::exchange(askedToContinue, true)) {
            if (!sendContinueIfAsked(parser))
                return false;
        }
        const StreamStatus status = m_stream->fill(deadline);
        if (status == StreamStatus::TimedOut)
            refuse(408, ErrorId::RequestTooSlow, "the request did not arrive in time");
        else if (status != StreamStatus::Good)
            ++m_service.m_requestsBrokenOff;
        if (status != StreamStatus::Good)
            return false;
    }
}

bool HttpConnection::sendContinueIfAsked(Parser &parser)
{
    if (!boost::beast::iequals(parser.headers().value("Expect"), "100-continue"))
        return true;
    std::array<asio::const_buffer, 1> buffers = {bufferOf(continueHead)};
    return m_stream->write(buffers, m_service.m_limits.m_writeTimeout) == StreamStatus::Good;
}

void HttpConnection::refuse(const boost::beast::error_code &error)
{
    if (error == http::error::header_limit)
        refuse(431, ErrorId::RequestTooLarge, "the header is too large");
    else if (error == http::error::body_limit)
        refuse(413, ErrorId::RequestTooLarge, "the body is too large");
    else
        refuse(400, ErrorId::RequestMalformed, "the request is malformed");
}

void HttpConnection::refuse(int status, ErrorId id, std::string_view message)
{
    refuse(errorReply(status, id, message));
}

/// Refuses a request that was not read to its end, so that the connection can't be used any more.
void HttpConnection::refuse(const HttpReply &reply)
{
    m_answer = AnswerState::Owed;
    m_callerKeepsAlive = false;
    m_isHead = false;
    if (send(reply))
        m_stream->closeGracefully();
}

void HttpConnection::handle(const HttpRequest &request)
{
    m_answer = AnswerState::Owed;
    m_sentClose = false;
    m_isTooLargeToBuffer = false;
    m_isAnswering = true;
    ++m_service.m_requestsInFlight;
    m_stream->watch([this] { markCallerGone(); });
    try {
        m_service.m_handler(request, *this);
    } catch (const std::exception &) {
        // An exception from a handler must not end the process and with it all other connections.
        // The caller sees status 500 or a truncated answer, never a false end.
    }
    m_onCallerGone = nullptr;
    if (m_answer == AnswerState::Owed)
        send(errorReply(500, ErrorId::Internal, "the request was not answered"));
    m_stream->watch(nullptr);
    --m_service.m_requestsInFlight;
    m_isAnswering = false;
}

void HttpConnection::markCallerGone()
{
    m_callerGone = true;
    if (const std::function<void()> action = std::exchange(m_onCallerGone, nullptr))
        action();
}

void HttpConnection::onCallerGone(std::function<void()> action)
{
    m_onCallerGone = std::move(action);
    if (m_callerGone && m_onCallerGone)
        markCallerGone();
}

bool HttpConnection::send(const HttpReply &reply)
{
    if (m_answer != AnswerState::Owed)
        return false;
    m_answer = AnswerState::Complete;
    m_sentClose = !keepsAlive();
    const std::string head = answerHead(reply.m_status, reply.m_headers,
                                        BodyLength{reply.m_body.size()}, !m_sentClose);
    const std::string_view body =
            isWithoutBody(reply.m_status) ? std::string_view() : std::string_view(reply.m_body);
    std::array<asio::const_buffer, 2> buffers = {bufferOf(head), bufferOf(body)};
    return writeAll(buffers);
}

bool HttpConnection::begin(int status, const HttpHeaders &headers)
{
    if (m_answer != AnswerState::Owed)
        return false;
    if (!m_callerReadsChunks) {
        // Without chunks, a truncated answer would look complete, so a caller that uses HTTP/1.0
        // gets the answer in one piece with its length.
        m_collected = HttpReply{status, headers, std::string(),
                                std::make_shared<BodyShare>(m_service.m_memory)};
        m_answer = AnswerState::Collecting;
        return !m_callerGone;
    }
    m_answer = AnswerState::Streaming;
    m_isStreamWithoutBody = isWithoutBody(status);
    m_sentClose = !keepsAlive();
    const std::string head = answerHead(status, headers, BodyLength{}, !m_sentClose);
    std::array<asio::const_buffer, 1> buffers = {bufferOf(head)};
    return writeAll(buffers);
}

bool HttpConnection::write(std::string_view chunk)
{
    if (m_answer == AnswerState::Collecting)
        return collect(chunk);
    if (m_answer != AnswerState::Streaming)
        return false;
    // An empty chunk would mark the end of the body.
    if (chunk.empty() || m_isStreamWithoutBody)
        return !m_callerGone;
    std::array<char, 20> head;
    const auto headEnd = fmt::format_to_n(head.data(), head.size(), "{:x}\r\n", chunk.size());
    std::array<asio::const_buffer, 3> buffers = {asio::buffer(head.data(), headEnd.size),
                                                 bufferOf(chunk), bufferOf(chunkEnd)};
    return writeAll(buffers);
}

/// Returns whether an answer ends with its head. Its caller takes anything that follows for the
/// beginning of the next answer.
bool HttpConnection::isWithoutBody(int status) const
{
    return m_isHead || isBodyless(status);
}

/// Buffers a part of an answer. Gives up all of it once it is too large.
bool HttpConnection::collect(std::string_view chunk)
{
    const std::size_t size = m_collected.m_body.size() + chunk.size();
    const bool hasRoom = size <= m_service.m_limits.m_bufferedAnswerBytes && m_collected.m_share
                         && m_collected.m_share->resize(size);
    if (!hasRoom) {
        m_isTooLargeToBuffer = true;
        m_collected = HttpReply();
        return false;
    }
    m_collected.m_body += chunk;
    return !m_callerGone;
}

bool HttpConnection::finish()
{
    if (m_isTooLargeToBuffer)
        return false;
    if (m_answer == AnswerState::Collecting) {
        m_answer = AnswerState::Owed;
        return send(std::exchange(m_collected, HttpReply()));
    }
    if (m_answer != AnswerState::Streaming)
        return false;
    m_answer = AnswerState::Complete;
    if (m_isStreamWithoutBody)
        return !m_callerGone;
    std::array<asio::const_buffer, 1> buffers = {bufferOf(lastChunk)};
    return writeAll(buffers);
}

bool HttpConnection::takeBack()
{
    if (m_answer != AnswerState::Collecting)
        return false;
    m_collected = HttpReply();
    m_isTooLargeToBuffer = false;
    m_answer = AnswerState::Owed;
    return true;
}

bool HttpConnection::writeAll(std::span<asio::const_buffer> buffers)
{
    if (m_callerGone)
        return false;
    const std::size_t bytes = asio::buffer_size(buffers);
    const StreamStatus status = m_stream->write(buffers, m_service.m_limits.m_writeTimeout);
    m_service.m_bytesSent += bytes - asio::buffer_size(buffers);
    if (status == StreamStatus::Good)
        return true;
    // Part of a message may have been sent, so nothing else can follow on this connection.
    m_callerGone = true;
    m_stream->close();
    return false;
}

/// Returns whether the connection stays open after the answer that begins now. Before a planned
/// stop it does so only if the next request has been read already: a caller that sent both at once
/// would get no answer to the second one.
bool HttpConnection::keepsAlive() const
{
    const bool isEnding = m_service.m_stopping || m_service.m_announcesClose;
    return m_callerKeepsAlive && (!isEnding || m_stream->input().size() > 0);
}

} // namespace gypsumdale::detail
