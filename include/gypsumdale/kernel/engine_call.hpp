#pragma once

#include <gypsumdale/jobs/answer_assembler.hpp>
#include <gypsumdale/jobs/sse_parser.hpp>
#include <gypsumdale/observe/metrics.hpp>
#include <gypsumdale/runtime/http_client.hpp>

#include <cstdint> // int64_t
#include <optional> // optional
#include <string> // string

namespace gypsumdale {

/// One attempt at an engine: what to send and how long to wait.
struct EngineAttempt
{
    Endpoint m_endpoint;
    /// The attempt's name, which comes back in every event.
    std::string m_name;
    std::string m_body;
    Duration m_headerTimeout = std::chrono::seconds(30);
    Duration m_silenceTimeout = std::chrono::seconds(10);
};

/// Adds to the metrics how many events of a finished answer were dropped.
void countDroppedEvents(Metrics &metrics, const AnswerAssembler &assembler);

/// How an attempt ended without a whole answer.
struct EngineFailure
{
    Error m_error;
    SendPhase m_phase = SendPhase::NothingSent;
    /// The engine said that it did not begin, or that the request itself is at fault.
    bool m_isRefusedBeforeStart = false;
    bool m_isPermanent = false;
};

/// What one piece of the stream brought.
struct EngineProgress
{
    /// The answer's tokens before and after.
    std::int64_t m_firstNewToken = 0;
    std::int64_t m_tokenCount = 0;
    bool m_isComplete = false;
};

template <typename Value>
using EngineResult = std::variant<Value, EngineFailure>;

/// Reads one attempt's stream into an assembler. Used by one fiber of a traffic loop; cancel() may
/// come from another fiber of that loop.
class EngineCall
{
public:
    EngineCall(HttpClient &client, AnswerAssembler &assembler);

    /// Sends the request and waits for the answer's header.
    EngineResult<Done> open(const EngineAttempt &attempt);

    /// Waits for the next piece and takes its events in. Once the progress says whole there is
    /// nothing more to read.
    EngineResult<EngineProgress> read();

    /// Closes the connection, so that the engine stops; a read under way fails with Cancelled.
    void cancel();

private:
    EngineFailure failed(Error error) const;
    EngineResult<Done> refused(const HttpExchange &exchange) const;
    Result<Done> takeEvent(std::string_view data);
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
