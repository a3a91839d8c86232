#include <gypsumdale/serving/event_splitter.hpp>

#include <algorithm> // min
#include <cstddef> // size_t
#include <utility> // move

namespace gypsumdale {

namespace {

constexpr std::string_view idField = "id:";

/// Returns the length of the first complete event including the blank line that ends it, or npos.
std::size_t eventEnd(std::string_view text)
{
    std::size_t lineStart = 0;
    for (;;) {
        const std::size_t newline = text.find('\n', lineStart);
        if (newline == std::string_view::npos)
            return std::string_view::npos;
        std::string_view line = text.substr(lineStart, newline - lineStart);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        lineStart = newline + 1;
        if (line.empty())
            return lineStart;
    }
}

std::optional<std::string> idOf(std::string_view event)
{
    std::optional<std::string> id;
    while (!event.empty()) {
        const std::size_t newline = event.find('\n');
        std::string_view line = event.substr(0, newline);
        event.remove_prefix(newline == std::string_view::npos ? event.size() : newline + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        id = std::string(line);
    }
    return id;
}

} // namespace

std::vector<StreamEvent> EventSplitter::push(std::string_view piece)
{
    m_pending += piece;
    std::vector<StreamEvent> events;
    std::string_view rest = m_pending;
    for (;;) {
        const std::size_t end = eventEnd(rest);
        if (end == std::string_view::npos)
            break;
        const std::string_view bytes = rest.substr(0, end);
        events.push_back({std::string(bytes), idOf(bytes)});
        rest.remove_prefix(end);
    }
    m_pending = std::string(rest);
    return events;
}

void EventBoundary::push(std::string_view piece)
{
    // An event ends with a blank line, of at most three bytes with the end of the line before.
    constexpr std::size_t tailSize = 3;
    m_tail += piece.substr(piece.size() - std::min(piece.size(), tailSize));
    if (m_tail.size() > tailSize)
        m_tail.erase(0, m_tail.size() - tailSize);
}

bool EventBoundary::isWithinEvent() const
{
    return !m_tail.empty() && !m_tail.ends_with("\n\n") && !m_tail.ends_with("\n\r\n");
}

} // namespace gypsumdale
