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

/// Returns the SHA-256 of a text. Linear.
Sha256 sha256(std::string_view text);

/// Returns the SHA-256 of a text in lower-case hexadecimal, as settings carry it. Linear.
std::string sha256Hex(std::string_view text);

/// Who presented a credential: a member by one of its keys.
///
/// A key is hashed and the hash compared with every stored one in constant time, so that the time
/// taken tells neither which member nor how much of a hash matched.
class AccountTable
{
public:
    /// Puts a member's keys in, in place of those it had before. Linear in its keys.
    void set(const Member &member);

    /// Forgets a member. Logarithmic in the members.
    void remove(const MemberId &member);

    /// Returns the member that holds the key. Fails with CredentialRefused and one and the same
    /// text, whether the key is unknown, its member is disabled or two members hold it. Linear in
    /// all keys.
    Result<MemberId> authenticate(std::string_view key) const;

private:
    struct Account
    {
        std::vector<Sha256> m_hashes;
        bool m_disabled = false;
    };

    std::map<MemberId, Account> m_accounts;
};

/// The operators' credentials of one process.
class OperatorTable
{
public:
    /// Takes hashes in hexadecimal, as NodeSettings carries them after its check.
    explicit OperatorTable(const std::vector<std::string> &hashes);

    /// Fails with CredentialRefused unless one of the hashes is the credential's. Linear.
    Result<Done> authenticate(std::string_view credential) const;

private:
    std::vector<Sha256> m_hashes;
};

} // namespace gypsumdale
