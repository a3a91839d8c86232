#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_message.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint16_t, uint64_t
#include <functional> // function
#include <memory> // unique_ptr
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// Writes the answer to one request, from the fiber that handles it. Each call suspends the fiber
/// until the bytes are with the kernel, so a slow caller slows its own answer only.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    /// Sends a whole answer. Returns false if the caller has gone.
    virtual bool send(const HttpReply &reply) = 0;

    /// Begins a streamed (chunked) answer. Returns false if the caller has gone.
    virtual bool begin(int status, const HttpHeaders &headers) = 0;

    /// Sends one chunk of a streamed answer at once. Returns false if the caller has gone.
    virtual bool write(std::string_view chunk) = 0;

    /// Ends a streamed answer. A stream that is never finished is cut, so that its reader sees a
    /// truncated body and no false end. Returns false if the caller has gone.
    virtual bool finish() = 0;

    /// Takes back a streamed answer of which no byte is out, as it is collected for a caller that
    /// can't read chunks; another may be sent in its place. Returns false if it is too late.
    virtual bool takeBack() { return false; }

    /// Closes the connection without a further byte, as the end of the process would. The stand-ins
    /// cause failures with it. Does nothing where an answer has no connection of its own.
    virtual void abandon() {}

    /// Tells whether the caller has closed its connection, as far as is known. The end of the
    /// caller's sending counts as gone: HTTP callers do not shut down one direction only, and to
    /// wait for a reset would let work go on for nobody. Constant.
    virtual bool callerGone() const = 0;

    /// Registers what to do, on the loop's thread, when the caller closes its connection while the
    /// answer is still owed; at once if it has. Used to cancel work upstream. The action runs
    /// within the event loop and must not suspend. Not called where a write finds out first, as
    /// that returns false. Pass nullptr to unregister.
    virtual void onCallerGone(std::function<void()> action) = 0;
};

using HttpHandler = std::function<void(const HttpRequest &, HttpResponder &)>;

/// Bounds on what a caller may send and how slowly.
struct HttpLimits
{
    std::size_t m_headerBytes = std::size_t{16} * 1024;
    std::size_t m_bodyBytes = std::size_t{1024} * 1024;
    std::size_t m_connections = 4096;
    /// Time for one request to arrive whole, from its first byte.
    Duration m_readTimeout = std::chrono::seconds(15);
    /// Time a kept-alive connection may idle between requests.
    Duration m_idleTimeout = std::chrono::seconds(60);
    /// Time for one write to be taken by the caller's side.
    Duration m_writeTimeout = std::chrono::seconds(30);
};

/// Counts the bytes of messages that a server took in and sent.
struct HttpTraffic
{
    std::uint64_t m_bytesReceived = 0;
    std::uint64_t m_bytesSent = 0;
};

/// An HTTP/1.1 server on one or several loops; each connection stays on one loop, and each request
/// is handled by a fiber there. Malformed, oversized and slow requests are answered with 400, 413,
/// 431 or 408 and a JSON error body without reaching the handler.
class HttpServer
{
public:
    /// Stops accepting and closes all connections. Handlers still running find their caller gone.
    /// The loops must outlive the server.
    ~HttpServer();
    HttpServer(HttpServer &&) noexcept;
    HttpServer &operator=(HttpServer &&) noexcept;

    /// Returns the port in use, also where 0 was asked for.
    std::uint16_t port() const;

    /// Takes other limits for the requests to come. Safe from any thread.
    void limitTo(const HttpLimits &limits);

    /// Says "Connection: close" on every answer from now on, while requests and new connections are
    /// still taken: callers move away by themselves, and no request meets a closed door. Safe from
    /// any thread.
    void announceClose();

    /// Closes the listening socket and idle connections; answers under way go on, each saying
    /// "Connection: close". Connections that the kernel has completed but not handed over are
    /// accepted first, and one that has brought no request yet is given a second for it. Safe from
    /// any thread.
    void stopAccepting();

    /// Closes the connections whose answer is not finished; its handler finds the caller gone. Safe
    /// from any thread.
    void cutAnswers();

    /// Tells whether somebody is connected, or may be yet: until stopAccepting() has taken effect,
    /// with what the kernel had completed until then. Safe from any thread.
    bool hasCallers() const;

    /// Returns the number of requests whose answer is not finished. Safe from any thread.
    std::size_t requestsInFlight() const;

    /// Returns the number of open connections, those included that were just accepted. Safe from
    /// any thread.
    std::size_t connections() const;

    /// Returns the bytes of requests read and of answers handed to the kernel, headers and parts of
    /// what was cut included. Safe from any thread.
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

    /// Opens the socket and begins to accept. The loops may be started before or after. Fails with
    /// AddressInUse, leaving nothing open.
    Result<HttpServer> build();

private:
    std::string m_address = "127.0.0.1";
    std::uint16_t m_port = 0;
    std::vector<FiberLoop *> m_loops;
    HttpHandler m_handler;
    HttpLimits m_limits;
};

} // namespace gypsumdale
