#pragma once

#include <gypsumdale/runtime/http_server.hpp>

#include <runtime/detail/message_parser.hpp>
#include <runtime/detail/stream.hpp>

#include <atomic> // atomic
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <functional> // function
#include <memory> // shared_ptr
#include <span> // span
#include <string> // string
#include <string_view> // string_view

#include <boost/intrusive/list.hpp>

namespace gypsumdale::detail {

/// State shared by the connections of one server.
struct HttpService
{
    HttpHandler m_handler;
    HttpLimits m_limits;
    /// Of the answers that are buffered; null for no limit.
    std::shared_ptr<BodyMemory> m_memory;
    /// Of the requests, from their first byte to the end of their answer; null for no limit.
    std::shared_ptr<BodyMemory> m_requestMemory;
    /// Requests that were refused because there was no memory for them.
    std::atomic<std::size_t> m_requestsWithoutMemory = 0;
    std::atomic<std::size_t> m_connections = 0;
    std::atomic<std::size_t> m_requestsArriving = 0;
    std::atomic<std::size_t> m_requestsInFlight = 0;
    std::atomic<std::size_t> m_requestsBrokenOff = 0;
    std::atomic<std::uint64_t> m_bytesReceived = 0;
    std::atomic<std::uint64_t> m_bytesSent = 0;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_announcesClose = false;
};

/// One connection of a server, served by one fiber. It is also the responder of the request that is
/// currently handled.
class HttpConnection final
    : public HttpResponder
    , public boost::intrusive::list_base_hook<
              boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    /// The server has already counted the connection; the destructor decrements the count.
    HttpConnection(std::shared_ptr<Stream> stream, HttpService &service);
    ~HttpConnection() override;
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Serves requests until the connection ends.
    void serve();

    /// Closes the connection if it is between requests. One that has not sent a first request yet
    /// is given a short time to do so.
    void closeIfIdle();

    /// Closes the connection in any state.
    void close() { m_stream->close(); }

    /// Returns whether a request was passed to the handler and its answer is not finished.
    bool isAnswering() const { return m_isAnswering; }

    bool send(const HttpReply &reply) override;
    bool begin(int status, const HttpHeaders &headers) override;
    bool write(std::string_view chunk) override;
    bool finish() override;
    bool takeBack() override;
    bool isTooLargeToBuffer() const override { return m_isTooLargeToBuffer; }
    void abandon() override
    {
        m_callerGone = true;
        m_stream->close();
    }
    bool isCallerGone() const override { return m_callerGone; }
    void onCallerGone(std::function<void()> action) override;

private:
    using Parser = MessageParser<true>;

    /// State of the answer to the current request.
    enum class AnswerState {
        Owed,
        Streaming,
        Collecting,
        Complete,
    };

    bool serveRequest();
    bool closesBeforeCaller() const;
    bool awaitFirstByte();
    bool receiveRequest(Parser &parser, BodyShare &share);
    bool readRequest(Parser &parser, BodyShare &share);
    bool holds(const Parser &parser, BodyShare &share);
    void releaseInput();
    bool sendContinueIfAsked(Parser &parser);
    void refuse(const HttpReply &reply);
    void refuse(int status, ErrorId id, std::string_view message);
    void refuse(const boost::beast::error_code &error);
    void handle(const HttpRequest &request);
    void markCallerGone();
    bool isWithoutBody(int status) const;
    bool collect(std::string_view chunk);
    bool writeAll(std::span<boost::asio::const_buffer> buffers);
    bool keepsAlive() const;

    std::shared_ptr<Stream> m_stream;
    HttpService &m_service;
    std::function<void()> m_onCallerGone;
    HttpReply m_collected;
    AnswerState m_answer = AnswerState::Owed;
    std::size_t m_served = 0;
    bool m_isIdle = false;
    bool m_isAnswering = false;
    bool m_callerGone = false;
    bool m_callerKeepsAlive = false;
    bool m_callerReadsChunks = true;
    bool m_isHead = false;
    bool m_isStreamWithoutBody = false;
    bool m_sentClose = false;
    bool m_isTooLargeToBuffer = false;
};

} // namespace gypsumdale::detail
