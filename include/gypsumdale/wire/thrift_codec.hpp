#pragma once

#include <gypsumdale/core/result.hpp>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint> // uint8_t
#include <memory> // make_shared
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::wire {

/// Encodes a generated Thrift structure in the compact protocol. Complexity: linear in its size.
template <typename Structure>
std::string encode(const Structure &value)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes a structure. Fails with PeerMalformed on bytes that are not such a structure, and then
/// allocates no more than the size of the input suggests. Complexity: linear in the size of the
/// input.
template <typename Structure>
Result<Structure> decode(std::string_view bytes)
{
    using apache::thrift::transport::TMemoryBuffer;
    // TMemoryBuffer only reads the bytes, but its interface takes a non-const pointer.
    auto *start = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
    auto buffer = std::make_shared<TMemoryBuffer>(start, static_cast<std::uint32_t>(bytes.size()),
                                                  TMemoryBuffer::OBSERVE);
    const auto limit = static_cast<std::int32_t>(bytes.size());
    apache::thrift::protocol::TCompactProtocol protocol(buffer, limit, limit);
    Structure value;
    try {
        value.read(&protocol);
    } catch (const std::exception &) {
        return Error{ErrorId::PeerMalformed, "not a well-formed message"};
    }
    return value;
}

} // namespace gypsumdale::wire
