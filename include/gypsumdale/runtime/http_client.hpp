#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/runtime/call_term.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_message.hpp>

#include <compare> // strong_ordering
#include <cstddef> // size_t
#include <cstdint> // uint16_t
#include <functional> // function
#include <memory> // unique_ptr
#include <optional> // optional
#include <string> // string
#include <tuple> // tie

namespace gypsumdale {

namespace detail {
class Stream;
}

/// Where a server listens, by IP number.
struct Endpoint
{
    std::string m_address;
    std::uint16_t m_port = 0;

    friend bool operator==(const Endpoint &, const Endpoint &) = default;
    friend std::strong_ordering operator<=>(const Endpoint &left, const Endpoint &right)
    {
        return std::tie(left.m_address, left.m_port) <=> std::tie(right.m_address, right.m_port);
    }
};

/// How far a call got before it failed. Only NothingSent allows the claim that the request was not
/// run: from the first byte handed to the kernel on, the other side may have read it, however the
/// connection behaved afterwards.
enum class SendPhase {
    NothingSent,
    MayHaveBeenRead,
    AnswerBegun,
};

/// Why a call has no whole answer.
struct CallFailure
{
    Error m_error;
    SendPhase m_phase = SendPhase::NothingSent;
    /// Bytes of the request that the other side had not acknowledged as its term ended.
    std::size_t m_unacknowledged = 0;
};

template <typename T>
using CallResult = std::variant<T, CallFailure>;

/// Lets a fiber give up a call that another fiber of the same loop waits in, from before its
/// connection is open until its end.
class CallCancellation
{
public:
    /// Resets the call's connection, so that what is still under way of the request doesn't arrive;
    /// what waits on it returns with Cancelled. Calls made with it later fail at once.
    void cancel();
    bool isCancelled() const { return m_isCancelled; }

private:
    friend class HttpClient;
    std::function<void()> m_close;
    bool m_isCancelled = false;
};

/// A request to send.
struct HttpCall
{
    Endpoint m_endpoint;
    std::string m_method = "GET";
    std::string m_target = "/";
    HttpHeaders m_headers;
    std::string m_body;
    /// Time to connect.
    Duration m_connectTimeout = std::chrono::milliseconds(500);
    /// Time from the request's last byte to the answer's header.
    Duration m_headerTimeout = std::chrono::seconds(30);
    /// Longest silence between two pieces of the body.
    Duration m_silenceTimeout = std::chrono::seconds(30);
    /// Opens a connection of its own and never takes a pooled one, which may have gone silent while
    /// it idled. Required for requests that must not run twice.
    bool m_freshConnection = false;
    /// Closes the connection after the answer instead of keeping it for another call.
    bool m_closeAfter = false;
    /// Takes an answer with neither length nor chunks as whole if its connection was closed in
    /// order; one that was reset is truncated all the same. Only for callers that can tell a whole
    /// answer by other means, or whose upstreams reset what they break off.
    bool m_acceptsUnframed = false;
    /// Gives the call up from another fiber; may be null.
    std::shared_ptr<CallCancellation> m_cancellation;
    /// Until when the request may reach the other side; null where it may at any time.
    std::shared_ptr<CallTerm> m_term;
    /// Bounds the answer of HttpClient::call(), which holds it whole; open() passes pieces on and
    /// has no bound.
    std::size_t m_maxBodyBytes = std::size_t{8} * 1024 * 1024;
};

/// An answer that is being read piece by piece. Destroying it before the end resets the connection,
/// which tells the other side to cancel. All calls are made from fibers of the client's loop, but
/// cancel() may be called from another fiber of the same loop while one waits in read().
class HttpExchange
{
public:
    ~HttpExchange();
    HttpExchange(HttpExchange &&) noexcept;
    HttpExchange &operator=(HttpExchange &&) noexcept;

    int status() const;
    const HttpHeaders &headers() const;

    /// Returns the next piece of the body as soon as there is one, or nothing at the proper end. A
    /// connection that closes before the end of the message is a failure (AnswerTruncated), never
    /// an end, also for a body with neither length nor chunks, whose end can't be told from a cut;
    /// silence past the limit is UpstreamSilent; after cancel() it is Cancelled.
    CallResult<std::optional<std::string>> read();

    /// As read(), with a limit of its own on the silence.
    CallResult<std::optional<std::string>> read(Duration silenceTimeout);

    /// Resets the connection; a fiber that waits in read() returns at once with Cancelled.
    void cancel();

private:
    friend class HttpClient;
    struct State;
    explicit HttpExchange(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

/// Calls HTTP servers from the fibers of one loop. Keeps connections for reuse; a pooled connection
/// that proves closed before any byte of the answer is not retried by the client itself.
class HttpClient
{
public:
    explicit HttpClient(FiberLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request and returns once the answer's header has come. Fails with Timeout or
    /// UpstreamUnreachable where no connection came about, UpstreamSilent past the header's time,
    /// ConnectionClosed where the connection ended before the answer, AnswerTruncated within its
    /// header, UpstreamFailed for what is no HTTP, and TermOver where the call's term ended before
    /// the first byte was handed over (NothingSent) or before all of them were acknowledged.
    CallResult<HttpExchange> open(const HttpCall &call);

    /// Sends a request and returns the whole answer.
    CallResult<HttpReply> call(const HttpCall &call);

    /// Closes all pooled connections to an endpoint, after one of them proved silent. Linear in
    /// them.
    void forget(const Endpoint &endpoint);

private:
    static void attach(const HttpCall &call, const std::shared_ptr<detail::Stream> &stream);
    static std::optional<CallFailure> connect(const HttpCall &call,
                                              const std::shared_ptr<detail::Stream> &stream);

    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gypsumdale
