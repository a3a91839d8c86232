#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/settings/checker.hpp>

#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// Member of the consortium: its share, its limits and its keys.
struct Member
{
    MemberId m_id;
    /// Share relative to other members' shares; zero selects the fleet's default.
    double m_weight = 0;
    /// Maximum number of requests in flight over the whole fleet; 0 means no limit for this member.
    int m_concurrency = 0;
    /// SHA-256 of each key in lower-case hexadecimal. Keys are long and random, so that the
    /// preimage of an unsalted hash can't be found by search.
    std::vector<std::string> m_keyHashes;
    /// Profiles that the member may use; empty means all.
    std::vector<ProfileId> m_profiles;
    std::vector<ServiceId> m_services;
    bool m_disabled = false;

    bool allowsProfile(const ProfileId &profile) const;
    bool allowsService(const ServiceId &service) const;
};

/// Reads and checks the settings of a member; see checkProfile.
Checked<Member> checkMember(const MemberId &id, std::string_view text, const std::string &document);

KeyReferences memberReference();

} // namespace gypsumdale
