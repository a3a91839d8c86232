#pragma once

#include <gypsumdale/runtime/http_message.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string> // string
#include <utility> // exchange

#include <boost/beast/http/basic_parser.hpp>

namespace gypsumdale::detail {

/// Parses one HTTP/1.1 message from the pieces in which it arrives. Header and body are written
/// directly to their final place; the body accumulates until takeBody().
template <bool isRequest>
class MessageParser : public boost::beast::http::basic_parser<isRequest>
{
public:
    MessageParser() { this->eager(true); }

    const std::string &method() const { return m_method; }
    const std::string &target() const { return m_target; }
    int status() const { return m_status; }
    /// Returns 10 for HTTP/1.0 and 11 for HTTP/1.1.
    int version() const { return m_version; }
    HttpHeaders &headers() { return m_headers; }
    bool hasBody() const { return !m_body.empty(); }
    std::string takeBody() { return std::exchange(m_body, std::string()); }

private:
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
    void on_response_impl(int status, Text, int, ErrorCode &) override { m_status = status; }
    void on_field_impl(Field, Text name, Text value, ErrorCode &) override
    {
        // Fields after the body (trailers) are not part of the header.
        if (!this->is_header_done())
            m_headers.add(std::string(name), std::string(value));
    }
    void on_header_impl(ErrorCode &) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &) override {}
    std::size_t on_body_impl(Text body, ErrorCode &) override
    {
        m_body.append(body.data(), body.size());
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, Text, ErrorCode &) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, Text body, ErrorCode &) override
    {
        m_body.append(body.data(), body.size());
        return body.size();
    }
    void on_finish_impl(ErrorCode &) override {}

    std::string m_method;
    std::string m_target;
    int m_status = 0;
    int m_version = 11;
    HttpHeaders m_headers;
    std::string m_body;
};

} // namespace gypsumdale::detail
