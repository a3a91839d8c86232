#pragma once

#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

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

    /// Discards the incomplete event, because the following bytes belong to another run.
    void reset() { m_pending.clear(); }

private:
    std::string m_pending;
};

/// Tells whether a stream that is passed on as it comes stands between two events.
class EventBoundary
{
public:
    /// Takes note of a piece. Complexity: constant.
    void push(std::string_view piece);

    /// Returns whether an event has begun and not ended.
    bool isWithinEvent() const;

private:
    /// The last bytes of the stream.
    std::string m_tail;
};

} // namespace gypsumdale
