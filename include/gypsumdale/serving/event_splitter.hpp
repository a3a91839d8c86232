#pragma once

#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// One whole event of a stream, as its bytes, with the id it carries.
struct StreamEvent
{
    std::string m_bytes;
    std::optional<std::string> m_id;
};

/// Cuts a stream (text/event-stream) into whole events, so that a stream that breaks off within an
/// event can be resumed after the last whole one.
class EventSplitter
{
public:
    /// Takes in a piece and returns the events that it completes. Linear in the piece.
    std::vector<StreamEvent> push(std::string_view piece);

    /// Tells whether an event has begun and not ended.
    bool hasPartial() const { return !m_pending.empty(); }

    /// Drops the begun event: what follows comes from another run.
    void reset() { m_pending.clear(); }

private:
    std::string m_pending;
};

} // namespace gypsumdale
