#include <gypsumdale/settings/account_table.hpp>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace gypsumdale {

namespace {

/// All refusals have the same text, which must not reveal whether a member or a part of a key
/// exists.
Error refused()
{
    return {ErrorId::CredentialRefused, "the credential was refused"};
}

int digitValue(char digit)
{
    return digit <= '9' ? digit - '0' : digit - 'a' + 10;
}

/// Parses 64 hexadecimal digits, already validated by the settings check. Returns false for another
/// length.
bool parseHash(const std::string &text, Sha256 &hash)
{
    if (text.size() != 2 * hash.size())
        return false;
    for (std::size_t i = 0; i < hash.size(); ++i)
        hash[i] = static_cast<std::uint8_t>(digitValue(text[2 * i]) * 16
                                            + digitValue(text[2 * i + 1]));
    return true;
}

std::vector<Sha256> parseHashes(const std::vector<std::string> &texts)
{
    std::vector<Sha256> hashes;
    for (const auto &text : texts) {
        Sha256 hash{};
        if (parseHash(text, hash))
            hashes.push_back(hash);
    }
    return hashes;
}

/// Compares the presented hash with every stored one, also after a match, each in constant time:
/// returning early would reveal the position of the match in the table.
bool matchesAny(const std::vector<Sha256> &hashes, const Sha256 &presented)
{
    unsigned matches = 0;
    for (const auto &hash : hashes)
        matches |= static_cast<unsigned>(
                CRYPTO_memcmp(hash.data(), presented.data(), presented.size()) == 0);
    return matches != 0;
}

} // namespace

Sha256 sha256(std::string_view text)
{
    Sha256 hash{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), hash.data());
    return hash;
}

std::string sha256Hex(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (const auto byte : sha256(text)) {
        hex += digits[byte >> 4];
        hex += digits[byte & 15];
    }
    return hex;
}

void AccountTable::set(const Member &member)
{
    m_accounts[member.m_id] = {parseHashes(member.m_keyHashes), member.m_disabled};
}

void AccountTable::remove(const MemberId &member)
{
    m_accounts.erase(member);
}

Result<MemberId> AccountTable::authenticate(std::string_view key) const
{
    const auto presented = sha256(key);
    std::vector<const MemberId *> holders;
    for (const auto &[member, account] : m_accounts) {
        const bool matches = matchesAny(account.m_hashes, presented);
        if (matches && !account.m_disabled)
            holders.push_back(&member);
    }
    // A key in two members' settings would charge one member for the other's requests.
    if (holders.size() != 1)
        return refused();
    return *holders.front();
}

OperatorTable::OperatorTable(const std::vector<std::string> &hashes)
    : m_hashes(parseHashes(hashes))
{}

Result<Done> OperatorTable::authenticate(std::string_view credential) const
{
    if (!matchesAny(m_hashes, sha256(credential)))
        return refused();
    return Done();
}

} // namespace gypsumdale
