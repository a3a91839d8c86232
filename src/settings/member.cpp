#include "detail/schema.hpp"

#include <gypsumdale/settings/member.hpp>

#include <algorithm> // find

namespace gypsumdale {

namespace {

using namespace detail;

constexpr std::size_t maxKeys = 32;
constexpr std::size_t maxNames = 256;

const Schema<Member> &memberSchema()
{
    static const auto schema = [] {
        const auto asText = [](const std::string &hash) {
            return hash;
        };
        Schema<Member> table;
        table.key("weight", &Member::m_weight, NumberKind(0, 1000),
                  "share relative to other members'; 0 takes the fleet's default")
                .key("concurrency", &Member::m_concurrency, IntegerKind(0, 1000000),
                     "requests in flight over the fleet; 0 means no limit of its own")
                .required("key-hashes", &Member::m_keyHashes, ListKind(HashKind(), maxKeys, asText),
                          "SHA-256 of each of its keys")
                .key("profiles", &Member::m_profiles, idList<ProfileId>(maxNames),
                     "the profiles it may use; empty means all")
                .key("services", &Member::m_services, idList<ServiceId>(maxNames),
                     "the services it may use; empty means all")
                .key("disabled", &Member::m_disabled, FlagKind(),
                     "refuses all its requests when true");
        return table;
    }();
    return schema;
}

void checkContradictions(const Member &member, const YAML::Node &root, Reader &reader)
{
    const auto hashes = nodeAt(root, {"key-hashes"});
    if (member.m_keyHashes.empty() && !member.m_disabled && hashes.IsSequence()
        && hashes.size() == 0)
        reader.add(ErrorId::SettingsContradiction, hashes,
                   "a member without keys can't send requests", "set disabled: true instead");
}

template <typename IdType>
bool allows(const std::vector<IdType> &allowed, const IdType &id)
{
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), id) != allowed.end();
}

} // namespace

bool Member::allowsProfile(const ProfileId &profile) const
{
    return allows(m_profiles, profile);
}

bool Member::allowsService(const ServiceId &service) const
{
    return allows(m_services, service);
}

Checked<Member> checkMember(const MemberId &id, std::string_view text, const std::string &document)
{
    Member member;
    member.m_id = id;
    return checkDocument(memberSchema(), member, text, document, checkContradictions);
}

KeyReferences memberReference()
{
    KeyReferences keys;
    memberSchema().describe({}, keys);
    return keys;
}

} // namespace gypsumdale
