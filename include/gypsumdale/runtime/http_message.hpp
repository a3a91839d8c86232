#pragma once

#include <memory> // shared_ptr
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <utility> // pair
#include <vector> // vector

namespace gypsumdale {

class BodyShare;

/// Header fields in order of arrival. Names are compared case-insensitively.
class HttpHeaders
{
public:
    void add(std::string name, std::string value);
    /// Returns the first value of that name, or nothing. Complexity: linear.
    std::optional<std::string_view> find(std::string_view name) const;
    /// Returns the first value of that name, or an empty string. Complexity: linear.
    std::string_view value(std::string_view name) const;
    const std::vector<std::pair<std::string, std::string>> &fields() const { return m_fields; }

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

/// Returns whether a field that lists content codings, Content-Encoding or Accept-Encoding, names
/// one that changes the body. Complexity: linear in the number of fields.
bool namesContentCoding(const HttpHeaders &headers, std::string_view field);

/// A request as the server received it, with its complete body. The target includes the query, as
/// in "/v1/jobs/7?offset=3".
struct HttpRequest
{
    std::string m_method;
    std::string m_target;
    HttpHeaders m_headers;
    std::string m_body;
    std::string m_remoteAddress;

    /// Returns the target without its query. Complexity: linear.
    std::string_view path() const;
    /// Returns one decoded parameter of the query, or nothing. Complexity: linear.
    std::optional<std::string> parameter(std::string_view name) const;
};

/// A complete answer.
struct HttpReply
{
    int m_status = 200;
    HttpHeaders m_headers;
    std::string m_body;
    /// What the body of an answer that was received holds of the memory for answers; may be null.
    std::shared_ptr<BodyShare> m_share = nullptr;
};

} // namespace gypsumdale
