#pragma once

#include <gypsumdale/jobs/answer_assembler.hpp>
#include <gypsumdale/jobs/sse_parser.hpp>
#include <gypsumdale/observe/metrics.hpp>
#include <gypsumdale/runtime/http_client.hpp>

#include <cstdint> // int64_t
#include <optional> // optional
#include <string> // string

namespace gypsumdale {

/// One attempt at an engine: the request and its timeouts.
struct EngineAttempt
{
    Endpoint m_endpoint;
    /// Name of the attempt, which the engine repeats in every event.
    std::string m_name;
    std::string m_body;
    Duration m_headerTimeout = std::chrono::seconds(30);
    Duration m_silenceTimeout = std::chrono::seconds(10);
};

/// Adds the number of events dropped during a finished answer to the metrics.
void countDroppedEvents(Metrics &metrics, const AnswerAssembler &assembler);

/// Failure of an attempt before its answer was complete.
struct EngineFailure
{
    Error m_error;
    SendPhase m_phase = SendPhase::NothingSent;
    /// The engine reported that it did not start, or that the request itself is invalid.
    bool m_isRefusedBeforeStart = false;
    bool m_isPermanent = false;
};

/// Result of reading one piece of the stream.
struct EngineProgress
{
    /// Number of the answer's tokens before and after this piece.
    std::int64_t m_firstNewToken = 0;
    std::int64_t m_tokenCount = 0;
    bool m_isComplete = false;
};

template <typename Value>
using EngineResult = std::variant<Value, EngineFailure>;

/// Reads the stream of one attempt into an assembler. Used by one fiber of a traffic loop; cancel()
/// may be called from another fiber of that loop.
class EngineCall
{
public:
    EngineCall(HttpClient &client, AnswerAssembler &assembler);

    /// Sends the request and waits for the header of the answer.
    EngineResult<Done> open(const EngineAttempt &attempt);

    /// Waits for the next piece and processes its events. Must not be called again once the answer
    /// is complete.
    EngineResult<EngineProgress> read();

    /// Closes the connection, so that the engine stops. A concurrent read fails with Cancelled.
    void cancel();

private:
    EngineFailure failed(Error error) const;
    EngineResult<Done> refused(const HttpExchange &exchange) const;
    Result<Done> processEvent(std::string_view data);
    EngineResult<EngineProgress> endOfBody();

    HttpClient &m_client;
    AnswerAssembler &m_assembler;
    SseParser m_parser;
    EngineEventReader m_reader;
    std::string m_name;
    std::optional<HttpExchange> m_exchange;
    bool m_isCancelled = false;
};

} // namespace gypsumdale
