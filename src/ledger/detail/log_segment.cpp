#include "log_segment.hpp"

#include <gypsumdale/wire/thrift_codec.hpp>

#include <fmt/format.h>
#include <xxhash.h>

#include <cstdint> // int64_t
#include <utility> // move

namespace gypsumdale::detail {

std::string encodeSegment(wire::LogSegment &segment)
{
    segment.checksum = 0;
    const std::string unsummed = wire::encode(segment);
    segment.checksum = static_cast<std::int64_t>(XXH3_64bits(unsummed.data(), unsummed.size()));
    return wire::encode(segment);
}

Result<wire::LogSegment> decodeSegment(std::string_view body)
{
    Result<wire::LogSegment> decoded = wire::decode<wire::LogSegment>(body);
    if (!succeeded(decoded))
        return decoded;
    wire::LogSegment &segment = valueOf(decoded);
    const std::int64_t expected = segment.checksum;
    encodeSegment(segment);
    if (segment.checksum != expected)
        return Error{ErrorId::PeerMalformed, "the checksum does not match"};
    return decoded;
}

std::string segmentIdentity(const wire::LogSegment &segment)
{
    return fmt::format("{}/{}", segment.writer, segment.batch);
}

} // namespace gypsumdale::detail
