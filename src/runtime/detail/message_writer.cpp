#include <runtime/detail/message_writer.hpp>

#include <algorithm> // any_of
#include <array> // array
#include <iterator> // back_inserter

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

namespace gypsumdale::detail {

namespace {

/// Fields that define the end of a message or the reuse of the connection; only this side may set
/// them.
constexpr std::array<std::string_view, 6> framingFields = {
        "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive", "Trailer", "Upgrade",
};

bool isFramingField(std::string_view name)
{
    return std::any_of(framingFields.begin(), framingFields.end(), [name](std::string_view field) {
        return boost::beast::iequals(name, field);
    });
}

/// Appends a text with each character that could end its line replaced by a space. Otherwise a
/// value could inject further fields or a second message.
void appendOnOneLine(std::string &out, std::string_view text)
{
    for (const char character : text) {
        const bool breaksLine = character == '\r' || character == '\n' || character == '\0';
        out.push_back(breaksLine ? ' ' : character);
    }
}

void appendFields(std::string &out, const HttpHeaders &headers)
{
    for (const auto &[name, value] : headers.fields()) {
        if (name.empty() || isFramingField(name))
            continue;
        appendOnOneLine(out, name);
        out += ": ";
        appendOnOneLine(out, value);
        out += "\r\n";
    }
}

void appendLength(std::string &out, BodyLength length)
{
    if (length.m_bytes)
        fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n", *length.m_bytes);
    else
        out += "Transfer-Encoding: chunked\r\n";
}

} // namespace

std::string answerHead(int status, const HttpHeaders &headers, BodyLength length, bool keepAlive)
{
    const auto reason = boost::beast::http::obsolete_reason(
            boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    std::string head;
    fmt::format_to(std::back_inserter(head), "HTTP/1.1 {} {}\r\n", status,
                   std::string_view(reason.data(), reason.size()));
    appendFields(head, headers);
    if (!isBodyless(status))
        appendLength(head, length);
    if (!keepAlive)
        head += "Connection: close\r\n";
    head += "\r\n";
    return head;
}

std::string requestHead(std::string_view method, std::string_view target, std::string_view host,
                        const HttpHeaders &headers, std::size_t bodyBytes)
{
    std::string head;
    head += method;
    head += ' ';
    appendOnOneLine(head, target);
    head += " HTTP/1.1\r\n";
    if (!headers.find("Host"))
        fmt::format_to(std::back_inserter(head), "Host: {}\r\n", host);
    appendFields(head, headers);
    const bool hasBody = bodyBytes > 0 || method == "POST" || method == "PUT" || method == "PATCH";
    if (hasBody)
        fmt::format_to(std::back_inserter(head), "Content-Length: {}\r\n", bodyBytes);
    head += "\r\n";
    return head;
}

bool isBodyless(int status)
{
    return status / 100 == 1 || status == 204 || status == 304;
}

} // namespace gypsumdale::detail
