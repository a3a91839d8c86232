#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/runtime/body_memory.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_message.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint16_t, uint64_t
#include <functional> // function
#include <memory> // shared_ptr, unique_ptr
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// Writes the answer to one request, from the fiber that handles it. Each call suspends the fiber
/// until the kernel has accepted the bytes, so a slow caller delays only its own answer.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    /// Sends a complete answer. Returns false if the caller is gone.
    virtual bool send(const HttpReply &reply) = 0;

    /// Begins a streamed (chunked) answer. Returns false if the caller is gone.
    virtual bool begin(int status, const HttpHeaders &headers) = 0;

    /// Sends one chunk of a streamed answer at once. Returns false if the caller is gone, or if
    /// isTooLargeToBuffer().
    virtual bool write(std::string_view chunk) = 0;

    /// Ends a streamed answer. The connection of a stream that is never finished is closed, so that
    /// its reader sees a truncated body and no false end. Returns false if the caller is gone.
    virtual bool finish() = 0;

    /// Discards a streamed answer of which no byte was sent, because it is buffered for a caller
    /// that can't read chunks; another answer may be sent instead. Returns false if it is too late.
    virtual bool takeBack() { return false; }

    /// Returns whether a streamed answer has failed because it grew too large to be buffered for a
    /// caller that can't read chunks. takeBack() then still succeeds.
    virtual bool isTooLargeToBuffer() const { return false; }

    /// Closes the connection without sending anything more, as the end of the process would. The
    /// stand-ins use it to cause failures. Does nothing if the answer has no connection of its own.
    virtual void abandon() {}

    /// Returns whether the caller is known to have closed its connection. A caller that shut down
    /// its sending side counts as gone: HTTP callers do not shut down one direction only, and
    /// waiting for a reset would let work continue for nobody. Complexity: constant.
    virtual bool isCallerGone() const = 0;

    /// Registers an action that runs on the loop's thread when the caller closes its connection
    /// before the answer is finished, or at once if it already has. Used to cancel work upstream.
    /// The action runs within the event loop and must not suspend. It is not called if a write
    /// detects the closure first, as that write returns false. Pass nullptr to unregister.
    virtual void onCallerGone(std::function<void()> action) = 0;
};

using HttpHandler = std::function<void(const HttpRequest &, HttpResponder &)>;

/// Limits on the size and duration of a caller's requests.
struct HttpLimits
{
    std::size_t m_headerBytes = std::size_t{16} * 1024;
    std::size_t m_bodyBytes = std::size_t{1024} * 1024;
    /// Size of a streamed answer that is buffered for a caller that can't read chunks.
    std::size_t m_bufferedAnswerBytes = std::size_t{8} * 1024 * 1024;
    std::size_t m_connections = 4096;
    /// Time limit for one request to arrive completely, from its first byte.
    Duration m_readTimeout = std::chrono::seconds(15);
    /// Time limit for a kept-alive connection to stay idle between requests.
    Duration m_idleTimeout = std::chrono::seconds(60);
    /// Time limit for the caller's side to accept a write.
    Duration m_writeTimeout = std::chrono::seconds(30);
};

/// Counts the bytes of messages that a server received and sent.
struct HttpTraffic
{
    std::uint64_t m_bytesReceived = 0;
    std::uint64_t m_bytesSent = 0;
};

/// An HTTP/1.1 server on one or more loops. Each connection stays on one loop, and a fiber there
/// handles each of its requests. Malformed, oversized and slow requests are answered with 400, 413,
/// 431 or 408 and a JSON error body without reaching the handler.
class HttpServer
{
public:
    /// Stops accepting and closes all connections. Handlers that still run see that their caller is
    /// gone. The loops must outlive the server.
    ~HttpServer();
    HttpServer(HttpServer &&) noexcept;
    HttpServer &operator=(HttpServer &&) noexcept;

    /// Returns the port in use, also if port 0 was requested.
    std::uint16_t port() const;

    /// Changes the limits for future requests. Safe from any thread.
    void limitTo(const HttpLimits &limits);

    /// Adds "Connection: close" to every answer from now on, while requests and new connections are
    /// still accepted: callers reconnect elsewhere by themselves, and no request is refused. Safe
    /// from any thread.
    void announceClose();

    /// Closes the listening socket and idle connections; answers in progress continue, each with
    /// "Connection: close". Connections that the kernel has completed but not handed over are
    /// accepted first, and a connection that has sent no request yet is given a second to do so.
    /// Safe from any thread.
    void stopAccepting();

    /// Closes the connections whose answer is not finished; their handlers see that the caller is
    /// gone. Safe from any thread.
    void abortAnswers();

    /// Returns whether a connection is open or may still be accepted. The latter holds until
    /// stopAccepting() has taken effect and the connections that the kernel had completed by then
    /// are handed over. Safe from any thread.
    bool hasCallers() const;

    /// Returns the number of requests of which a part was received. Safe from any thread.
    std::size_t requestsArriving() const;

    /// Returns the number of requests so far whose connection ended before they were whole. Safe
    /// from any thread.
    std::size_t requestsBrokenOff() const;

    /// Returns the number of requests so far that were refused as there was no memory for them.
    /// Safe from any thread.
    std::size_t requestsWithoutMemory() const;

    /// Returns the number of requests whose answer is not finished. Safe from any thread.
    std::size_t requestsInFlight() const;

    /// Returns the number of open connections, including those just accepted. Safe from any thread.
    std::size_t connections() const;

    /// Returns the bytes of requests read and of answers passed to the kernel, including headers
    /// and parts of interrupted messages. Safe from any thread.
    HttpTraffic traffic() const;

private:
    friend class HttpServerBuilder;
    struct State;
    explicit HttpServer(std::shared_ptr<State> state);
    std::shared_ptr<State> m_state;
};

/// Builds an HttpServer: `HttpServerBuilder().listenOn("127.0.0.1",
/// 0).runOn({&loop}).handleWith(f)`.
class HttpServerBuilder
{
public:
    HttpServerBuilder &listenOn(std::string address, std::uint16_t port);
    HttpServerBuilder &runOn(std::vector<FiberLoop *> loops);
    HttpServerBuilder &handleWith(HttpHandler handler);
    HttpServerBuilder &limitTo(HttpLimits limits);

    /// Limits all answers together that are buffered for callers that can't read chunks.
    HttpServerBuilder &bufferIn(std::shared_ptr<BodyMemory> memory);

    /// Limits all requests together that are held, while they arrive and until their answers end.
    /// One for which there is no room is refused with 503 and Retry-After, and has not run.
    HttpServerBuilder &receiveIn(std::shared_ptr<BodyMemory> memory);

    /// Opens the socket and starts accepting. The loops may be started before or after. Fails with
    /// AddressInUse and then leaves nothing open.
    Result<HttpServer> build();

private:
    std::string m_address = "127.0.0.1";
    std::uint16_t m_port = 0;
    std::vector<FiberLoop *> m_loops;
    HttpHandler m_handler;
    HttpLimits m_limits;
    std::shared_ptr<BodyMemory> m_memory;
    std::shared_ptr<BodyMemory> m_requestMemory;
};

} // namespace gypsumdale
