#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/names.hpp>

#include <cstdint> // int64_t
#include <map> // map
#include <optional> // optional
#include <set> // set
#include <string> // string

namespace gypsumdale {

/// What is recorded in the store about a roll-out.
enum class RolloutState {
    /// Nothing is recorded yet.
    Ordered,
    Running,
    Succeeded,
    RolledBack,
};

inline constexpr NameTable<RolloutState, 4> rolloutStateNames = {{
        {RolloutState::Ordered, "ordered"},
        {RolloutState::Running, "running"},
        {RolloutState::Succeeded, "succeeded"},
        {RolloutState::RolledBack, "rolled-back"},
}};

/// An order to move a service's requests to a new software version. Upstreams of that version start
/// beside the others.
struct Rollout
{
    ServiceId m_service;
    SoftwareVersion m_target;
    /// Time from the order in which the new version is to be accepted or rolled back.
    Duration m_duration{};
    RolloutState m_state = RolloutState::Ordered;
    /// Revision at which the order was written first; the same as long as it isn't deleted.
    std::int64_t m_createdRevision = 0;
    std::int64_t m_revision = 0;

    bool isDecided() const
    {
        return m_state == RolloutState::Succeeded || m_state == RolloutState::RolledBack;
    }
};

/// All orders of the store at a revision, by the name of their object.
struct RolloutList
{
    std::int64_t m_revision = 0;
    std::map<std::string, Rollout> m_rollouts;
    /// Orders that can't be carried out, and why. If a target is named in one, no request is placed
    /// on it.
    std::map<std::string, std::string> m_unusable;
    std::map<ServiceId, std::set<SoftwareVersion>> m_unusableTargets;
};

/// Permission to place a part of a service's requests on upstreams of a new version. It ends by
/// itself, so that a VM that receives none places nothing there.
struct ExposureLease
{
    SoftwareVersion m_target;
    /// Fraction of the placements, from 0 to 1.
    double m_share = 0;
    /// Upstreams that may be used; empty for all of the target version.
    std::set<UpstreamId> m_upstreams;
    TimePoint m_validUntil{};
};

/// Which versions of a service requests are placed on.
struct VersionAccess
{
    /// Versions without a restriction.
    std::set<SoftwareVersion> m_open;
    /// Versions on which nothing is placed without a lease.
    std::set<SoftwareVersion> m_closed;
    std::optional<ExposureLease> m_lease;
};

} // namespace gypsumdale
