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

/// Counts frames; read from any thread.
struct FrameCounters
{
    FrameTraffic read() const;

    std::atomic<std::uint64_t> m_framesSent = 0;
    std::atomic<std::uint64_t> m_framesReceived = 0;
    std::atomic<std::uint64_t> m_bytesSent = 0;
    std::atomic<std::uint64_t> m_bytesReceived = 0;
};

/// A frame announced to be longer than allowed.
struct FrameTooLong
{};

using FrameRead = std::variant<std::string, StreamStatus, FrameTooLong>;

/// When a frame must be whole, and how long its connection may be silent until then.
struct FrameLimits
{
    SteadyTime m_deadline;
    Duration m_silence = Duration::max();

    /// Returns when the next piece must have come.
    SteadyTime nextPiece() const { return std::min(m_deadline, deadlineAfter(m_silence)); }
};

/// Reads one frame whole. After anything but a frame the connection must be closed.
FrameRead readFrame(Stream &stream, FrameCounters &counters, std::size_t maxBytes,
                    const FrameLimits &limits);

/// Writes one frame. After a failure the connection must be closed.
StreamStatus writeFrame(Stream &stream, FrameCounters &counters, std::string_view frame,
                        const FrameLimits &limits);

} // namespace gypsumdale::detail
