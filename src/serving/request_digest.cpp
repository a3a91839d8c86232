#include <gypsumdale/serving/request_digest.hpp>
#include <gypsumdale/settings/account_table.hpp>

#include <cstddef> // size_t
#include <string> // string, to_string

namespace gypsumdale {

namespace {

/// Number of characters, four bits each, of a digest.
constexpr std::size_t digestLength = 32;

/// Adds a field with its length, so that no two lists of fields give the same text.
void addField(std::string &text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

} // namespace

RequestDigest digestOf(const RequestIdentity &identity)
{
    std::string text;
    text.reserve(identity.m_target.size() + identity.m_body.size() + 128);
    addField(text, identity.m_account.text());
    addField(text, identity.m_host);
    addField(text, identity.m_method);
    addField(text, identity.m_target);
    addField(text, identity.m_body);
    return RequestDigest(sha256Hex(text).substr(0, digestLength));
}

} // namespace gypsumdale
