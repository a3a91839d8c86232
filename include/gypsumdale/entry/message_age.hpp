#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // min
#include <optional> // optional

namespace gypsumdale {

/// A moment on the clock of one process, which no other can read.
struct ClockMark
{
    /// The process's start, as a wall time in milliseconds.
    WallMillis m_process = 0;
    TimePoint m_time{};
};

/// What a message says of the last one that its sender had from the receiver.
struct ClockEcho
{
    ClockMark m_mark;
    /// Between the sender's hearing of the mark and its own message, on the sender's clock.
    Duration m_heldFor{};
};

/// What a message carries so that its age can be told.
struct MessageStamp
{
    std::optional<ClockMark> m_mark;
    std::optional<ClockEcho> m_echo;
};

/// The last mark of a peer that was heard, to be echoed.
class LastPeerTimestamp
{
public:
    /// Constant.
    void recordReceived(const ClockMark &mark, TimePoint now)
    {
        m_mark = mark;
        m_lastReceivedAt = now;
    }

    /// Returns the echo for a message that is sent now; nothing before the first mark. Constant.
    std::optional<ClockEcho> echo(TimePoint now) const
    {
        if (!m_mark)
            return std::nullopt;
        return ClockEcho{*m_mark, now - m_lastReceivedAt};
    }

private:
    std::optional<ClockMark> m_mark;
    TimePoint m_lastReceivedAt{};
};

/// Tells messages of a peer that were overtaken by a later one: each side begins exchanges, and
/// what was given up as late may still arrive.
class SupersededFilter
{
public:
    /// Takes in when a message was sent. Returns false if one of the same process that was sent
    /// later has been taken in. Constant.
    bool take(const ClockMark &mark)
    {
        const bool isSameProcess = m_newest && m_newest->m_process == mark.m_process;
        if (isSameProcess && mark.m_time < m_newest->m_time)
            return false;
        m_newest = mark;
        return true;
    }

private:
    std::optional<ClockMark> m_newest;
};

/// Returns a moment of this process's clock after which a message was sent, however long it was
/// under way or lay unread; nothing if it echoes no mark of this process. Constant.
inline std::optional<TimePoint> sentAfter(const std::optional<ClockEcho> &echo, WallMillis process,
                                          TimePoint now)
{
    if (!echo || echo->m_mark.m_process != process)
        return std::nullopt;
    return std::min(echo->m_mark.m_time + echo->m_heldFor, now);
}

} // namespace gypsumdale
