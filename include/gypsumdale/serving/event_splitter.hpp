#pragma once

#include <cstddef> // size_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// Largest event of a stream that is passed on. One that is longer is no event, but bytes without
/// an end.
inline constexpr std::size_t maxEventBytes = std::size_t{1024} * 1024;

/// One complete event of a stream: its bytes and the id it carries.
struct StreamEvent
{
    std::string m_bytes;
    std::optional<std::string> m_id;
};

/// Splits a stream (text/event-stream) into complete events, so that a stream that breaks within an
/// event can be resumed after the last complete one.
class EventSplitter
{
public:
    /// Appends a piece and returns the events that it completes. Complexity: linear in the piece.
    std::vector<StreamEvent> push(std::string_view piece);

    /// Returns whether an event has begun and not ended.
    bool hasPartial() const { return !m_pending.empty(); }

    /// Returns the size of the event that has begun, all of which is held.
    std::size_t pendingBytes() const { return m_pending.size(); }

    /// Returns whether the event that has begun is longer than allowed; the stream must then be
    /// given up.
    bool isTooLong() const { return m_pending.size() > maxEventBytes; }

    /// Discards the incomplete event, because the following bytes belong to another run.
    void reset() { *this = EventSplitter(); }

private:
    std::string m_pending;
    /// Begin of the last line in it, and how far that was searched for its end.
    std::size_t m_lineBegin = 0;
    std::size_t m_searched = 0;
};

/// Tells whether a stream that is passed on as it comes stands between two events.
class EventBoundary
{
public:
    /// Takes note of a piece. Complexity: linear in the piece.
    void push(std::string_view piece);

    /// Returns whether the event that has begun is longer than allowed.
    bool isTooLong() const { return m_eventBytes > maxEventBytes; }

    /// Returns whether an event has begun and not ended.
    bool isWithinEvent() const;

private:
    /// The last bytes of the stream.
    std::string m_tail;
    /// Size of the event that has begun.
    std::size_t m_eventBytes = 0;
};

} // namespace gypsumdale
