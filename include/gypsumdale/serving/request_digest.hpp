#pragma once

#include <gypsumdale/core/ids.hpp>

#include <string_view> // string_view

namespace gypsumdale {

/// What makes two requests the same, whatever their ids, and wherever they arrive.
struct RequestIdentity
{
    /// Empty on public routes.
    AccountId m_account;
    std::string_view m_host;
    std::string_view m_method;
    /// Path and query.
    std::string_view m_target;
    std::string_view m_body;
};

/// Returns the digest of a request. Its hash is cryptographic, so that no client account can make a
/// request with the digest of another account's. Complexity: linear in the length of the body.
RequestDigest digestOf(const RequestIdentity &identity);

} // namespace gypsumdale
