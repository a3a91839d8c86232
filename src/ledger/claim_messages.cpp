#include <gypsumdale/ledger/claim_messages.hpp>

#include <fmt/format.h>
#include <openssl/sha.h>

#include <algorithm> // copy_n

namespace gypsumdale {

Digest digestOf(std::string_view bytes)
{
    std::array<std::uint8_t, SHA256_DIGEST_LENGTH> whole{};
    SHA256(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size(), whole.data());
    Digest digest{};
    std::copy_n(whole.begin(), digest.size(), digest.begin());
    return digest;
}

Digest keyDigest(const MemberId &member, std::string_view key)
{
    return digestOf(fmt::format("{}:{}{}", member.text().size(), member.text(), key));
}

std::string shardName(ShardNumber shard)
{
    return fmt::format("{:04}", shard);
}

} // namespace gypsumdale
