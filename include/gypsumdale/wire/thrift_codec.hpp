#pragma once

#include <gypsumdale/core/result.hpp>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint> // uint8_t
#include <memory> // make_shared
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::wire {

/// Writes a generated Thrift structure in the compact protocol. Linear in its size.
template <typename Structure>
std::string encode(const Structure &value)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Reads a structure back. Fails with PeerMalformed, and without allocating more than the input's
/// size suggests, on bytes that are not one. Linear in the input.
template <typename Structure>
Result<Structure> decode(std::string_view bytes)
{
    using apache::thrift::transport::TMemoryBuffer;
    // TMemoryBuffer only observes the bytes; its interface lacks the const.
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
