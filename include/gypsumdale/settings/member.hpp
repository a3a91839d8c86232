#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/settings/checker.hpp>

#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// A member of the consortium: its share, its limits and who may speak for it.
struct Member
{
    MemberId m_id;
    /// The share relative to other members'; zero takes the fleet's default.
    double m_weight = 0;
    /// Requests in flight over the whole fleet; 0 means no limit of its own.
    int m_concurrency = 0;
    /// SHA-256 of each key in lower-case hexadecimal. Keys are random and long, so that a plain
    /// hash can't be searched.
    std::vector<std::string> m_keyHashes;
    /// What it may use; empty means all.
    std::vector<ProfileId> m_profiles;
    std::vector<ServiceId> m_services;
    bool m_disabled = false;

    bool allowsProfile(const ProfileId &profile) const;
    bool allowsService(const ServiceId &service) const;
};

/// Reads a member's settings whole; see checkProfile.
Checked<Member> checkMember(const MemberId &id, std::string_view text, const std::string &document);

KeyReferences memberReference();

} // namespace gypsumdale
