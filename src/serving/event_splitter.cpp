#include <gypsumdale/serving/event_splitter.hpp>

#include <algorithm> // max, min
#include <cstddef> // size_t

namespace gypsumdale {

namespace {

constexpr std::string_view idField = "id:";
/// Memory that a stream keeps between its events. More, after a large one, is given back.
constexpr std::size_t maxIdleBytes = std::size_t{64} * 1024;

/// Returns where the last event in a text ends, or 0 if none does.
std::size_t lastEventEnd(std::string_view text)
{
    std::size_t end = 0;
    for (const std::string_view mark : {std::string_view("\n\n"), std::string_view("\n\r\n")}) {
        const std::size_t at = text.rfind(mark);
        if (at != std::string_view::npos)
            end = std::max(end, at + mark.size());
    }
    return end;
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
    const std::string_view text = m_pending;
    std::size_t eventBegin = 0;
    std::size_t newline = text.find('\n', m_searched);
    for (; newline != std::string_view::npos; newline = text.find('\n', newline + 1)) {
        std::string_view line = text.substr(m_lineBegin, newline - m_lineBegin);
        m_lineBegin = newline + 1;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.empty())
            continue;
        const std::string_view bytes = text.substr(eventBegin, m_lineBegin - eventBegin);
        events.push_back({std::string(bytes), idOf(bytes)});
        eventBegin = m_lineBegin;
    }
    m_pending.erase(0, eventBegin);
    if (m_pending.capacity() > maxIdleBytes && m_pending.size() < maxIdleBytes)
        m_pending.shrink_to_fit();
    m_lineBegin -= eventBegin;
    m_searched = m_pending.size();
    return events;
}

void EventBoundary::push(std::string_view piece)
{
    // An event ends with a blank line, of at most three bytes with the end of the line before.
    constexpr std::size_t tailSize = 3;
    const std::string border = m_tail + std::string(piece.substr(0, tailSize - 1));
    if (const std::size_t end = lastEventEnd(piece); end > 0)
        m_eventBytes = piece.size() - end;
    else if (const std::size_t after = lastEventEnd(border); after > 0)
        m_eventBytes = m_tail.size() + piece.size() - after;
    else
        m_eventBytes += piece.size();
    m_tail += piece.substr(piece.size() - std::min(piece.size(), tailSize));
    if (m_tail.size() > tailSize)
        m_tail.erase(0, m_tail.size() - tailSize);
}

bool EventBoundary::isWithinEvent() const
{
    return !m_tail.empty() && !m_tail.ends_with("\n\n") && !m_tail.ends_with("\n\r\n");
}

} // namespace gypsumdale
