#include <gypsumdale/runtime/http_message.hpp>

#include <algorithm> // min, ranges::any_of
#include <utility> // move

#include <boost/beast/core/string.hpp>
#include <boost/url/decode_view.hpp>
#include <boost/url/encoding_opts.hpp>
#include <boost/url/pct_string_view.hpp>

namespace gypsumdale {

namespace {

/// Decodes one name or value of a query, in which "+" stands for a space. Returns nothing if it is
/// malformed.
std::optional<std::string> decode(std::string_view encoded)
{
    const auto checked = boost::urls::make_pct_string_view(encoded);
    if (!checked)
        return std::nullopt;
    boost::urls::encoding_opts options;
    options.space_as_plus = true;
    return checked->decode(options);
}

} // namespace

void HttpHeaders::add(std::string name, std::string value)
{
    m_fields.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const
{
    for (const auto &[fieldName, fieldValue] : m_fields) {
        if (boost::beast::iequals(fieldName, name))
            return fieldValue;
    }
    return std::nullopt;
}

std::string_view HttpHeaders::value(std::string_view name) const
{
    return find(name).value_or(std::string_view());
}

bool namesContentCoding(const HttpHeaders &headers, std::string_view field)
{
    return std::ranges::any_of(headers.fields(), [field](const auto &entry) {
        const auto &[name, value] = entry;
        return boost::beast::iequals(name, field) && !value.empty()
               && !boost::beast::iequals(value, "identity");
    });
}

std::string_view HttpRequest::path() const
{
    return std::string_view(m_target).substr(0, m_target.find('?'));
}

std::optional<std::string> HttpRequest::parameter(std::string_view name) const
{
    const std::size_t start = m_target.find('?');
    if (start == std::string::npos)
        return std::nullopt;
    std::string_view query = std::string_view(m_target).substr(start + 1);
    query = query.substr(0, query.find('#'));
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (decode(pair.substr(0, equals)) != name)
            continue;
        if (equals == std::string_view::npos)
            return std::string();
        return decode(pair.substr(equals + 1));
    }
    return std::nullopt;
}

} // namespace gypsumdale
