#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/jobs/answer_assembler.hpp>

#include <cstddef> // size_t
#include <functional> // function
#include <string> // string
#include <string_view> // string_view
#include <variant> // variant

namespace gypsumdale {

/// The `[DONE]` that ends a stream.
struct EndMarker
{};

/// What one server-sent event of an engine means.
using EngineEvent = std::variant<TokenEvent, EndMarker>;

/// Cuts a body that comes in pieces into the data of server-sent events. Pieces may end anywhere,
/// also inside a line ending or a UTF-8 sequence. Holds at most one event.
class SseParser
{
public:
    static constexpr std::size_t defaultLimit = std::size_t{256} * 1024;

    /// `limit` bounds the bytes of one line and of one event's data.
    explicit SseParser(std::size_t limit = defaultLimit);

    /// Takes one piece and hands each whole event's data to `onData`, whose view lives for the call
    /// only. Stops and fails with RequestTooLarge on a line or event beyond the limit, or with what
    /// `onData` returns as its error; a parser that has failed stays so. Linear in the piece.
    Result<Done> feed(std::string_view piece,
                      const std::function<Result<Done>(std::string_view)> &onData);

    /// Tells whether the body may end here: no event is left half read. Constant.
    bool isBetweenEvents() const;

private:
    Result<Done> takeLine(std::string_view line,
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

/// Reads the data of an engine's events. The known shape is scanned without building a document;
/// anything else goes through a full JSON parser, so that both say the same of every input.
class EngineEventReader
{
public:
    /// Reads one event's data. The views live until the next call and as long as `data`. Fails with
    /// UpstreamFailed on data that is no event of a chat completion or is an engine's error.
    /// Linear.
    Result<EngineEvent> read(std::string_view data);

private:
    std::string m_text;
    std::string m_attempt;
    std::string m_finishReason;
};

} // namespace gypsumdale
