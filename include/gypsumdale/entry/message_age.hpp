#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // min
#include <optional> // optional

namespace gypsumdale {

/// A time on the clock of one process, which other processes can't read.
struct ClockMark
{
    /// Start of the process, as a wall time in milliseconds.
    WallMillis m_process = 0;
    TimePoint m_time{};
};

/// Returned clock timestamp of the last message that the sender received from the receiver.
struct ClockEcho
{
    ClockMark m_mark;
    /// Time between receipt of the timestamp and sending of this message, on the sender's clock.
    Duration m_heldFor{};
};

/// Fields of a message that allow its age to be computed.
struct MessageStamp
{
    std::optional<ClockMark> m_mark;
    std::optional<ClockEcho> m_echo;
};

/// The last clock timestamp received from a peer, to be echoed.
class LastPeerTimestamp
{
public:
    /// Complexity: constant.
    void recordReceived(const ClockMark &mark, TimePoint now)
    {
        m_mark = mark;
        m_lastReceivedAt = now;
    }

    /// Returns the echo for a message that is sent now; nothing before the first timestamp.
    /// Complexity: constant.
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

/// Detects messages of a peer that were superseded by a later one: both sides initiate exchanges,
/// and a message that was given up as late may still arrive.
class SupersededFilter
{
public:
    /// Records when a message was sent. Returns false if a later message of the same process has
    /// already been recorded. Complexity: constant.
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

/// Returns a time on this process's clock after which a message was sent, regardless of network
/// delay and of how long it waited to be read; nothing if it echoes no timestamp of this process.
inline std::optional<TimePoint> sentAfter(const std::optional<ClockEcho> &echo, WallMillis process,
                                          TimePoint now)
{
    if (!echo || echo->m_mark.m_process != process)
        return std::nullopt;
    return std::min(echo->m_mark.m_time + echo->m_heldFor, now);
}

} // namespace gypsumdale
