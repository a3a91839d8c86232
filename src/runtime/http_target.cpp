#include <gypsumdale/runtime/http_target.hpp>

#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <utility> // exchange

namespace gypsumdale {

std::string percentEncoded(std::string_view text)
{
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

std::optional<std::string> percentDecoded(std::string_view text)
{
    const auto encoded = boost::urls::make_pct_string_view(text);
    if (!encoded)
        return std::nullopt;
    return encoded->decode();
}

HttpTargetBuilder &HttpTargetBuilder::segment(std::string_view text)
{
    m_target += '/';
    m_target += percentEncoded(text);
    return *this;
}

HttpTargetBuilder &HttpTargetBuilder::segments(std::string_view text)
{
    m_target += '/';
    m_target += boost::urls::encode(text, boost::urls::unreserved_chars + '/');
    return *this;
}

HttpTargetBuilder &HttpTargetBuilder::parameter(std::string_view name, std::string_view value)
{
    m_target += std::exchange(m_hasQuery, true) ? '&' : '?';
    m_target += percentEncoded(name);
    m_target += '=';
    m_target += percentEncoded(value);
    return *this;
}

} // namespace gypsumdale
