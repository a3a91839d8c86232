#pragma once

#include <gypsumdale/runtime/frame_channel.hpp>

#include <runtime/detail/stream.hpp>

#include <algorithm> // min
#include <atomic> // atomic
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string> // string
#include <string_view> // string_view
#include <variant> // variant

namespace gypsumdale::detail {

/// Counters of frames and bytes; readable from any thread.
struct FrameCounters
{
    FrameTraffic read() const;

    std::atomic<std::uint64_t> m_framesSent = 0;
    std::atomic<std::uint64_t> m_framesReceived = 0;
    std::atomic<std::uint64_t> m_bytesSent = 0;
    std::atomic<std::uint64_t> m_bytesReceived = 0;
};

/// A frame whose announced length exceeds the limit.
struct FrameTooLong
{};

using FrameRead = std::variant<std::string, StreamStatus, FrameTooLong>;

/// Deadline of a complete frame, and the longest time without data until then.
struct FrameLimits
{
    SteadyTime m_deadline;
    Duration m_silence = Duration::max();

    /// Returns the time by which the next piece must have arrived.
    SteadyTime nextDeadline() const { return std::min(m_deadline, deadlineAfter(m_silence)); }
};

/// Reads one complete frame. If the result is not a frame, the connection must be closed.
FrameRead readFrame(Stream &stream, FrameCounters &counters, std::size_t maxBytes,
                    const FrameLimits &limits);

/// Writes one frame. After a failure the connection must be closed.
StreamStatus writeFrame(Stream &stream, FrameCounters &counters, std::string_view frame,
                        const FrameLimits &limits);

} // namespace gypsumdale::detail
