#include <runtime/detail/frame_stream.hpp>

#include <array> // array
#include <cstdint> // uint32_t

#include <boost/endian/conversion.hpp>

namespace gypsumdale::detail {

namespace {

namespace asio = boost::asio;

constexpr std::size_t prefixBytes = 4;
/// Largest input capacity that a connection keeps between frames.
constexpr std::size_t maxRetainedCapacity = std::size_t{256} * 1024;

StreamStatus fillTo(Stream &stream, std::size_t size, const FrameLimits &limits)
{
    while (stream.input().size() < size) {
        const StreamStatus status = stream.fill(limits.nextDeadline());
        if (status != StreamStatus::Good)
            return status;
    }
    return StreamStatus::Good;
}

/// Counts the bytes of a frame that was received in part; the connection is closed afterwards.
StreamStatus countPartialFrame(Stream &stream, FrameCounters &counters, StreamStatus status)
{
    counters.m_bytesReceived += stream.input().size();
    return status;
}

} // namespace

FrameTraffic FrameCounters::read() const
{
    return FrameTraffic{m_framesSent, m_framesReceived, m_bytesSent, m_bytesReceived};
}

FrameRead readFrame(Stream &stream, FrameCounters &counters, std::size_t maxBytes,
                    const FrameLimits &limits)
{
    boost::beast::flat_buffer &input = stream.input();
    StreamStatus status = fillTo(stream, prefixBytes, limits);
    if (status != StreamStatus::Good)
        return countPartialFrame(stream, counters, status);
    const std::size_t length =
            boost::endian::load_big_u32(static_cast<const unsigned char *>(input.data().data()));
    if (length > maxBytes)
        return FrameTooLong();
    status = fillTo(stream, prefixBytes + length, limits);
    if (status != StreamStatus::Good)
        return countPartialFrame(stream, counters, status);
    const char *begin = static_cast<const char *>(input.data().data()) + prefixBytes;
    std::string frame(begin, length);
    input.consume(prefixBytes + length);
    if (input.capacity() > maxRetainedCapacity)
        input.shrink_to_fit();
    ++counters.m_framesReceived;
    counters.m_bytesReceived += prefixBytes + length;
    return frame;
}

StreamStatus writeFrame(Stream &stream, FrameCounters &counters, std::string_view frame,
                        const FrameLimits &limits)
{
    std::array<unsigned char, prefixBytes> prefix;
    boost::endian::store_big_u32(prefix.data(), static_cast<std::uint32_t>(frame.size()));
    std::array<asio::const_buffer, 2> buffers = {asio::buffer(prefix),
                                                 asio::buffer(frame.data(), frame.size())};
    const StreamStatus status = stream.write(buffers, limits.m_silence, limits.m_deadline);
    counters.m_bytesSent += prefixBytes + frame.size() - asio::buffer_size(buffers);
    if (status == StreamStatus::Good)
        ++counters.m_framesSent;
    return status;
}

} // namespace gypsumdale::detail
