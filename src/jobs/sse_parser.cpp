#include <gypsumdale/jobs/sse_parser.hpp>

#include <algorithm> // min
#include <cstring> // memchr
#include <utility> // move

namespace gypsumdale {

namespace {

constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";
constexpr std::string_view dataField = "data";

/// Returns the offset of the first line ending, or npos.
std::size_t findLineEnd(std::string_view text)
{
    const void *lineFeed = std::memchr(text.data(), '\n', text.size());
    const std::size_t feedAt =
            lineFeed == nullptr
                    ? std::string_view::npos
                    : static_cast<std::size_t>(static_cast<const char *>(lineFeed) - text.data());
    const std::size_t searched = std::min(feedAt, text.size());
    const void *carriageReturn = std::memchr(text.data(), '\r', searched);
    if (carriageReturn == nullptr)
        return feedAt;
    return static_cast<std::size_t>(static_cast<const char *>(carriageReturn) - text.data());
}

} // namespace

SseParser::SseParser(std::size_t limit)
    : m_limit(limit)
{}

Result<Done> SseParser::fail(Error error)
{
    m_failed = true;
    m_error = std::move(error);
    return m_error;
}

Result<Done> SseParser::feed(std::string_view piece,
                             const std::function<Result<Done>(std::string_view)> &onData)
{
    if (m_failed)
        return m_error;
    while (!piece.empty()) {
        if (m_skipLineFeed) {
            m_skipLineFeed = false;
            if (piece.front() == '\n') {
                piece.remove_prefix(1);
                continue;
            }
        }
        const std::size_t end = findLineEnd(piece);
        const std::string_view head = piece.substr(0, std::min(end, piece.size()));
        if (m_partialLine.size() + head.size() > m_limit)
            return fail({ErrorId::RequestTooLarge, "a line of the event stream is too long"});
        if (end == std::string_view::npos) {
            m_partialLine.append(head);
            return Done{};
        }
        // A piece may end with a carriage return whose line feed begins the next piece.
        m_skipLineFeed = piece[end] == '\r';
        piece.remove_prefix(end + 1);
        Result<Done> processed = Done{};
        if (m_partialLine.empty()) {
            processed = processLine(head, onData);
        } else {
            m_partialLine.append(head);
            processed = processLine(m_partialLine, onData);
            m_partialLine.clear();
        }
        if (!succeeded(processed))
            return fail(errorOf(processed));
    }
    return Done{};
}

Result<Done> SseParser::processLine(std::string_view line,
                                    const std::function<Result<Done>(std::string_view)> &onData)
{
    if (m_atStart && line.starts_with(byteOrderMark))
        line.remove_prefix(byteOrderMark.size());
    m_atStart = false;
    if (line.empty()) {
        if (!m_hasData)
            return Done{};
        m_hasData = false;
        Result<Done> processed = onData(m_data);
        m_data.clear();
        return processed;
    }
    const std::size_t colon = line.find(':');
    if (line.substr(0, colon) != dataField)
        return Done{};
    std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (m_data.size() + value.size() > m_limit)
        return Error{ErrorId::RequestTooLarge, "an event of the stream is too long"};
    if (m_hasData)
        m_data.push_back('\n');
    m_data.append(value);
    m_hasData = true;
    return Done{};
}

bool SseParser::isBetweenEvents() const
{
    return m_partialLine.empty() && !m_hasData;
}

} // namespace gypsumdale
