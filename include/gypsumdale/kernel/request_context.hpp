#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/observe/metrics.hpp>
#include <gypsumdale/settings/fleet_settings.hpp>
#include <gypsumdale/settings/member.hpp>
#include <gypsumdale/settings/profile.hpp>

#include <memory> // shared_ptr

namespace gypsumdale {

/// Caller, profile and service of a request, resolved once at its arrival from the settings in
/// force at that time.
struct RequestContext
{
    RequestId m_id;
    std::shared_ptr<const Member> m_member;
    std::shared_ptr<const Profile> m_profile;
    ServiceId m_service;
    ServiceKind m_kind = ServiceKind::Model;
    TimePoint m_arrivedAt{};
    TimePoint m_deadline{};
    RequestSeries *m_series = nullptr;
};

/// Credential, profile and service that a caller states in its headers.
struct CallerHeaders
{
    std::string m_credential;
    ProfileId m_profile;
    ServiceId m_service;
    ServiceKind m_kind = ServiceKind::Model;
};

} // namespace gypsumdale
