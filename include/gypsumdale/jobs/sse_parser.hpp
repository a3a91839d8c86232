#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/jobs/answer_assembler.hpp>

#include <cstddef> // size_t
#include <functional> // function
#include <string> // string
#include <string_view> // string_view
#include <variant> // variant

namespace gypsumdale {

/// The `[DONE]` marker that ends a stream.
struct EndMarker
{};

/// The meaning of one server-sent event of an engine.
using EngineEvent = std::variant<TokenEvent, EndMarker>;

/// Splits a body that arrives in pieces into the data of server-sent events. A piece may end
/// anywhere, also inside a line ending or a UTF-8 sequence. Buffers at most one event.
class SseParser
{
public:
    static constexpr std::size_t defaultLimit = std::size_t{256} * 1024;

    /// `limit` is the maximum size in bytes of one line and of the data of one event.
    explicit SseParser(std::size_t limit = defaultLimit);

    /// Parses one piece and passes the data of each complete event to `onData`; the view is valid
    /// during the call only. Stops and fails with RequestTooLarge on a line or an event above the
    /// limit, or with the error that `onData` returns. After a failure, all further calls fail.
    /// Complexity: linear in the size of the piece.
    Result<Done> feed(std::string_view piece,
                      const std::function<Result<Done>(std::string_view)> &onData);

    /// Returns whether the body may end here, that is, no event is partly read. Complexity:
    /// constant.
    bool isBetweenEvents() const;

private:
    Result<Done> processLine(std::string_view line,
                             const std::function<Result<Done>(std::string_view)> &onData);
    Result<Done> fail(Error error);

    std::size_t m_limit;
    std::string m_partialLine;
    std::string m_data;
    bool m_hasData = false;
    bool m_skipLineFeed = false;
    bool m_atStart = true;
    bool m_failed = false;
    Error m_error;
};

/// Parses the data of an engine's events. The expected shape is scanned without building a
/// document. Anything else is parsed by a full JSON parser; both give the same result for every
/// input.
class EngineEventReader
{
public:
    /// Parses the data of one event. The views are valid until the next call and as long as `data`.
    /// Fails with UpstreamFailed if the data is not a chat completion event or is an error reported
    /// by the engine. Complexity: linear.
    Result<EngineEvent> read(std::string_view data);

private:
    std::string m_text;
    std::string m_attempt;
    std::string m_finishReason;
};

} // namespace gypsumdale
