#pragma once

#include <gypsumdale/runtime/frame_channel.hpp>

#include <runtime/detail/stream.hpp>

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

/// Reads one frame whole. After anything but a frame the connection must be closed.
FrameRead readFrame(Stream &stream, FrameCounters &counters, std::size_t maxBytes,
                    SteadyTime deadline);

/// Writes one frame. After a failure the connection must be closed.
StreamStatus writeFrame(Stream &stream, FrameCounters &counters, std::string_view frame,
                        SteadyTime deadline);

} // namespace gypsumdale::detail
