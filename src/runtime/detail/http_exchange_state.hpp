#pragma once

#include <gypsumdale/runtime/http_client.hpp>

#include <runtime/detail/connection_pool.hpp>
#include <runtime/detail/deadline_watch.hpp>
#include <runtime/detail/message_parser.hpp>
#include <runtime/detail/stream.hpp>

#include <algorithm> // min
#include <cstddef> // size_t
#include <memory> // shared_ptr, unique_ptr, weak_ptr
#include <optional> // optional
#include <span> // span
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

/// State of an exchange, from the first byte of the request to the last byte of the answer.
struct HttpExchange::State
{
    using Parser = detail::MessageParser<false>;

    /// Takes the memory that limits all answers together, or null, and the time by which the answer
    /// must be complete.
    State(const HttpCall &call, std::shared_ptr<detail::Stream> stream,
          const std::shared_ptr<detail::ConnectionPool> &pool,
          const std::shared_ptr<BodyMemory> &memory, detail::SteadyTime latest);
    ~State();
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    std::optional<CallFailure> send(const HttpCall &call);
    std::optional<CallFailure> readHeader(Duration timeout);
    /// Returns false if neither the header nor a failure has come by the deadline. Leaves the
    /// connection open then.
    bool awaitHeader(detail::SteadyTime deadline);
    bool awaitBody(detail::SteadyTime deadline);
    void keepRest(std::span<const boost::asio::const_buffer> buffers);
    /// Writes what send() has left. Returns false if that takes longer than until the deadline.
    bool sendRest(detail::SteadyTime deadline);
    void interrupt();
    /// Waits for input until the deadline. Takes what has arrived by then, also if this thread was
    /// held up beyond it.
    detail::StreamStatus fillBy(detail::SteadyTime deadline);
    CallResult<std::optional<std::string>> read(Duration silenceTimeout);
    CallResult<std::string> readBody();
    CallResult<std::string> collectBody();
    void cancel();

    bool hasHeader() const;
    /// Returns whether read() needs no further input.
    bool hasNext() const;
    void startParser();
    /// Parses the input received so far. Returns a failure if it is not HTTP.
    std::optional<CallFailure> parse();
    CallFailure fail(ErrorId id, std::string_view what);
    CallFailure fail(detail::StreamStatus status);
    CallFailure failAborted();
    void finish();
    bool endsByClose(detail::StreamStatus status);
    CallFailure failTooLarge(std::string_view what = "the answer is too large");
    CallFailure failMalformed(const std::string &what);
    CallFailure failWithoutMemory();
    /// Returns the end of a period that begins now, at most that of the whole exchange.
    detail::SteadyTime limited(Duration period) const
    {
        return std::min(detail::deadlineAfter(period), m_latest);
    }

    Endpoint m_endpoint;
    std::shared_ptr<detail::Stream> m_stream;
    std::weak_ptr<detail::ConnectionPool> m_pool;
    std::unique_ptr<Parser> m_parser;
    /// Null if the call has no delivery deadline.
    std::shared_ptr<detail::DeadlineWatch> m_watch;
    std::shared_ptr<BodyShare> m_share;
    Duration m_silenceTimeout;
    detail::SteadyTime m_latest;
    std::size_t m_maxBodyBytes;
    SendPhase m_phase = SendPhase::NothingSent;
    /// Number of bytes of the request that were not written to the kernel.
    std::size_t m_unsent = 0;
    /// The end of the request, where it could not be written in time.
    std::string m_rest;
    bool m_isInterrupted = false;
    bool m_isHead;
    bool m_closeAfterAnswer;
    bool m_acceptsCloseDelimited;
    bool m_finished = false;
    bool m_cancelled = false;
    /// The first failure, which every later read returns again.
    std::optional<CallFailure> m_failure;
};

} // namespace gypsumdale
