#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/settings/member.hpp>

#include <array> // array
#include <cstdint> // uint8_t
#include <map> // map
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

using Sha256 = std::array<std::uint8_t, 32>;

/// Returns the SHA-256 of a text. Complexity: linear in the length of the text.
Sha256 sha256(std::string_view text);

/// Returns the SHA-256 of a text in lower-case hexadecimal, the format used in settings.
/// Complexity: linear in the length of the text.
std::string sha256Hex(std::string_view text);

/// Table of the members' key hashes, which identifies the member that presents a key.
///
/// A presented key is hashed, and its hash is compared with every stored one in constant time, so
/// that the duration reveals neither which member nor how much of a hash matched.
class AccountTable
{
public:
    /// Sets the keys of a member, replacing its previous ones. Complexity: linear in the number of
    /// its keys.
    void set(const Member &member);

    /// Removes a member. Complexity: logarithmic in the number of members.
    void remove(const MemberId &member);

    /// Returns the member that holds the key. Fails with CredentialRefused and always the same text
    /// if the key is unknown, its member is disabled or two members hold it. Complexity: linear in
    /// the number of all keys.
    Result<MemberId> authenticate(std::string_view key) const;

private:
    struct Account
    {
        std::vector<Sha256> m_hashes;
        bool m_disabled = false;
    };

    std::map<MemberId, Account> m_accounts;
};

/// Hashes of the operators' credentials of one process.
class OperatorTable
{
public:
    /// Constructs the table from validated hashes in hexadecimal, as NodeSettings holds them.
    explicit OperatorTable(const std::vector<std::string> &hashes);

    /// Fails with CredentialRefused unless one of the hashes belongs to the credential. Complexity:
    /// linear in the number of hashes.
    Result<Done> authenticate(std::string_view credential) const;

private:
    std::vector<Sha256> m_hashes;
};

} // namespace gypsumdale
