#pragma once

#include <gypsumdale/runtime/http_message.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <iterator> // distance
#include <string> // string
#include <utility> // exchange

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace gypsumdale::detail {

/// Parses one HTTP/1.1 message from the pieces in which it arrives. Header and body are written
/// directly to their final place; the body accumulates until takeBody().
///
/// The parser's own limit of a header counts only the bytes that it holds back, so that a header
/// that arrives field by field, a chunk extension or a trailer could grow without end. parse()
/// limits all bytes of a message that are not its body.
template <bool isRequest>
class MessageParser : public boost::beast::http::basic_parser<isRequest>
{
public:
    /// Takes the limit of the bytes that are not the body, and how many of them came with earlier
    /// messages that share it.
    explicit MessageParser(std::size_t framingLimit, std::size_t framingBytes = 0)
        : m_framingLimit(framingLimit)
        , m_framingBytes(framingBytes)
    {
        this->eager(true);
        this->header_limit(static_cast<std::uint32_t>(framingLimit));
    }

    /// Parses the input received so far and returns how much of it was used. The error is need_more
    /// until the message has ended, and header_limit beyond the limit of the bytes that are not the
    /// body.
    std::size_t parse(const boost::asio::const_buffer &input, boost::beast::error_code &error)
    {
        const std::uint64_t bodyBefore = m_bodyBytes;
        const std::size_t used = this->put(input, error);
        m_framingBytes += used - static_cast<std::size_t>(m_bodyBytes - bodyBefore);
        if (error && error != boost::beast::http::error::need_more)
            return used;
        const bool isElementTooLong = error && input.size() - used > m_framingLimit;
        if (isElementTooLong || m_framingBytes > m_framingLimit + framingPerBodyByte * m_bodyBytes)
            error = boost::beast::http::error::header_limit;
        return used;
    }

    /// Returns the number of bytes so far that are not the body.
    std::size_t framingBytes() const { return m_framingBytes; }

    const std::string &method() const { return m_method; }
    const std::string &target() const { return m_target; }
    int status() const { return m_status; }
    /// Returns 10 for HTTP/1.0 and 11 for HTTP/1.1.
    int version() const { return m_version; }
    HttpHeaders &headers() { return m_headers; }
    bool hasBody() const { return !m_body.empty(); }
    std::size_t bodyBytes() const { return m_body.size(); }
    /// Returns the bytes that the buffer of the body occupies.
    std::size_t bodyCapacity() const { return m_body.capacity(); }
    std::string takeBody() { return std::exchange(m_body, std::string()); }

private:
    /// Allowed bytes around each byte of the body, which covers chunks of one byte with short
    /// extensions.
    static constexpr std::uint64_t framingPerBodyByte = 16;
    /// Range of the valid status codes (RFC 9110, section 15). Three other digits, such as 000, are
    /// sent by servers in trouble and say nothing of what became of the request.
    static constexpr int minStatus = 100;
    static constexpr int maxStatus = 599;

    using Verb = boost::beast::http::verb;
    using Field = boost::beast::http::field;
    using Text = boost::beast::string_view;
    using ErrorCode = boost::beast::error_code;

    void on_request_impl(Verb, Text method, Text target, int version, ErrorCode &) override
    {
        m_version = version;
        m_method.assign(method.data(), method.size());
        m_target.assign(target.data(), target.size());
    }
    void on_response_impl(int status, Text, int, ErrorCode &error) override
    {
        m_status = status;
        if (status < minStatus || status > maxStatus)
            error = boost::beast::http::error::bad_status;
    }
    void on_field_impl(Field field, Text name, Text value, ErrorCode &error) override
    {
        // Fields after the body (trailers) are not part of the header.
        if (this->is_header_done())
            return;
        if (!isRequest && field == Field::transfer_encoding && !isUndone(value))
            error = boost::beast::http::error::bad_transfer_encoding;
        m_headers.add(std::string(name), std::string(value));
    }
    void on_header_impl(ErrorCode &) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &) override {}
    std::size_t on_body_impl(Text body, ErrorCode &) override { return append(body); }
    void on_chunk_header_impl(std::uint64_t, Text, ErrorCode &) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, Text body, ErrorCode &) override
    {
        return append(body);
    }
    void on_finish_impl(ErrorCode &) override {}

    /// Returns whether the parser undoes a body's transfer coding. The field concerns one
    /// connection and isn't passed on, so that nobody behind the parser could undo another one.
    static bool isUndone(Text transferCodings)
    {
        const boost::beast::http::opt_token_list codings(transferCodings);
        if (!boost::beast::http::validate_list(codings)
            || std::distance(codings.begin(), codings.end()) != 1)
            return false;
        const Text coding = *codings.begin();
        return boost::beast::iequals(coding, "chunked")
               || boost::beast::iequals(coding, "identity");
    }

    std::size_t append(Text body)
    {
        m_body.append(body.data(), body.size());
        m_bodyBytes += body.size();
        return body.size();
    }

    std::size_t m_framingLimit;
    std::size_t m_framingBytes;
    std::uint64_t m_bodyBytes = 0;

    std::string m_method;
    std::string m_target;
    int m_status = 0;
    int m_version = 11;
    HttpHeaders m_headers;
    std::string m_body;
};

} // namespace gypsumdale::detail
