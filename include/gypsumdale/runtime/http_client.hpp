#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/runtime/body_memory.hpp>
#include <gypsumdale/runtime/delivery_deadline.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_message.hpp>

#include <compare> // strong_ordering
#include <cstddef> // size_t
#include <cstdint> // uint16_t
#include <functional> // function
#include <memory> // shared_ptr, unique_ptr
#include <optional> // optional
#include <string> // string
#include <tuple> // tie

namespace gypsumdale {

namespace detail {
class Stream;
}

/// Address of a server: an IP address and a port.
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

/// Progress of a call before it failed. Only NothingSent proves that the request was not run: once
/// the first byte is passed to the kernel, the other side may have read it, whatever the connection
/// did afterwards.
enum class SendPhase {
    NothingSent,
    MayHaveBeenRead,
    AnswerStarted,
};

/// Reason why a call has no complete answer.
struct CallFailure
{
    Error m_error;
    SendPhase m_phase = SendPhase::NothingSent;
    /// Bytes of the request that the other side had not acknowledged when its delivery deadline
    /// passed.
    std::size_t m_unacknowledgedBytes = 0;
    /// What arrived is no answer in HTTP/1.1.
    bool m_isMalformed = false;
    /// The answer was given up because it exceeded a limit of its size.
    bool m_isAnswerTooLarge = false;
    /// The answer was given up because there was no room for it beside other answers.
    bool m_isMemoryUsedUp = false;
};

template <typename T>
using CallResult = std::variant<T, CallFailure>;

/// Cancels a call from another fiber of the same loop, from before its connection is open until its
/// end.
class CallCancellation
{
public:
    /// Resets the call's connection, so that request bytes still in transit don't arrive; the fiber
    /// that waits for the call gets Cancelled. Later calls made with this object fail at once.
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
    /// Time limit for connecting.
    Duration m_connectTimeout = std::chrono::milliseconds(500);
    /// Time limit from the last byte of the request to the header of the answer.
    Duration m_headerTimeout = std::chrono::seconds(30);
    /// Longest time between two pieces of the body.
    Duration m_silenceTimeout = std::chrono::seconds(30);
    /// Time limit of the whole exchange, from its start to the last byte of the answer, also while
    /// bytes keep arriving.
    Duration m_totalTimeout = Duration::max();
    /// Opens a new connection instead of taking a pooled one, which may have failed silently while
    /// it was idle. Required for requests that must not run twice.
    bool m_requiresNewConnection = false;
    /// Closes the connection after the answer instead of returning it to the pool.
    bool m_closeAfterAnswer = false;
    /// Accepts an answer with neither a length nor chunks as complete if its connection was closed
    /// in order; one whose connection was reset is truncated all the same. Only for callers that
    /// can recognise a complete answer by other means, or whose upstreams reset the connection when
    /// they abort an answer.
    bool m_acceptsCloseDelimited = false;
    /// Cancels the call from another fiber; may be null.
    std::shared_ptr<CallCancellation> m_cancellation;
    /// Called when a connection was opened, before anything is sent; may be empty.
    std::function<void()> m_onConnected;
    /// Delivery deadline of the request; null if there is none.
    std::shared_ptr<DeliveryDeadline> m_term;
    /// Size limit of a body that is buffered completely, by HttpClient::call() or
    /// HttpExchange::readBody(); one that is read in pieces has no limit.
    std::size_t m_maxBodyBytes = std::size_t{8} * 1024 * 1024;
};

/// An answer that is read piece by piece. Destroying it before the end resets the connection, which
/// makes the other side cancel. All calls are made from fibers of the client's loop; cancel() and
/// interrupt() may be called from another fiber of the same loop while one waits.
class HttpExchange
{
public:
    ~HttpExchange();
    HttpExchange(HttpExchange &&) noexcept;
    HttpExchange &operator=(HttpExchange &&) noexcept;

    /// Waits until the header has arrived or the exchange has failed. Returns false if neither
    /// happened within the limit or before interrupt(): the connection stays open, and the answer
    /// can still arrive.
    bool awaitHeader(Duration limit);

    /// Waits until the header has arrived and read() has something to return: a piece of the body,
    /// its end, or a failure. Returns false as awaitHeader() does.
    bool awaitBody(Duration limit);

    /// Ends another fiber's wait in awaitHeader() or awaitBody(), if there is one.
    void interrupt();

    bool hasHeader() const;

    /// Returns the reason for which the exchange has failed, or nothing if it has not.
    std::optional<CallFailure> failure() const;

    /// Status and headers of the answer; only once awaitHeader() has returned true without a
    /// failure.
    int status() const;
    const HttpHeaders &headers() const;

    /// Returns whether only the end of the connection ends the body, as it has neither a length nor
    /// chunks; under the same condition. False for an answer that never has a body.
    bool isCloseDelimited() const;

    /// Returns the next piece of the body as soon as it arrives, or nothing at the proper end. A
    /// connection that closes before the end of the message is a failure (AnswerTruncated), never
    /// an end. This includes a body with neither a length nor chunks, as its end can't be
    /// distinguished from a truncation. Fails with UpstreamSilent if nothing arrives within the
    /// limit or the call's total time is over, and with Cancelled after cancel().
    CallResult<std::optional<std::string>> read();

    /// As read(), with its own limit on the time without data.
    CallResult<std::optional<std::string>> read(Duration silenceTimeout);

    /// Reads the body to its end. Fails like read(), and with UpstreamFailed if it is larger than
    /// the call allows or there is no room for it beside other answers; the connection is then
    /// closed.
    CallResult<std::string> readBody();

    /// Returns what the body that readBody() has read holds of the client's memory for answers.
    /// Whoever keeps the body keeps this too.
    std::shared_ptr<BodyShare> share() const;

    /// Gives up an answer that has not come in time: closes the connection and returns
    /// UpstreamSilent, or the failure that came before.
    CallFailure giveUp();

    /// Resets the connection; a fiber that waits in read() returns at once with Cancelled.
    void cancel();

private:
    friend class HttpClient;
    struct State;
    explicit HttpExchange(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

/// What became of a connection that was tried.
enum class ConnectOutcome {
    Connected,
    /// The other host answered that nothing listens there.
    Refused,
    Unanswered,
};

/// Calls HTTP servers from the fibers of one loop. Keeps connections for reuse. The client itself
/// doesn't retry a call whose pooled connection proves closed before any byte of the answer.
class HttpClient
{
public:
    /// Without a memory, the answers that are read completely have no limit together.
    explicit HttpClient(FiberLoop &loop, std::shared_ptr<BodyMemory> memory = nullptr);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request and returns once the header of the answer has arrived. Fails with Timeout or
    /// UpstreamUnreachable if no connection could be opened, UpstreamSilent if the header did not
    /// arrive in time, ConnectionClosed if the connection ended before the answer (NothingSent if
    /// it did before the first byte was written), AnswerTruncated if it ended within the header,
    /// UpstreamFailed if the answer is not HTTP, has a status outside 100 to 599 or has more than
    /// 64 KiB of headers, interim ones included, and TermOver if the delivery deadline passed
    /// before the first byte was written (NothingSent) or before all bytes were acknowledged.
    CallResult<HttpExchange> open(const HttpCall &call);

    /// Sends a request and returns before the header of the answer has arrived, which the caller
    /// awaits. The header timeout limits only the time in which the request is written here; the
    /// rest of one that is taken more slowly is written while its answer is awaited. Fails as
    /// open() does.
    CallResult<HttpExchange> send(const HttpCall &call);

    /// Sends a request and returns the complete answer.
    CallResult<HttpReply> call(const HttpCall &call);

    /// Tries to open a connection within a time, and closes it.
    static ConnectOutcome tryConnect(const Endpoint &endpoint, Duration timeout);

    /// Returns whether a connection can be opened within a time, and closes it.
    static bool canConnect(const Endpoint &endpoint, Duration timeout)
    {
        return tryConnect(endpoint, timeout) == ConnectOutcome::Connected;
    }

    /// Closes all pooled connections to an endpoint, after one of them stopped responding.
    /// Complexity: linear in their number.
    void forget(const Endpoint &endpoint);

private:
    static void attach(const HttpCall &call, const std::shared_ptr<detail::Stream> &stream);
    static std::optional<CallFailure> connect(const HttpCall &call,
                                              const std::shared_ptr<detail::Stream> &stream);

    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gypsumdale
