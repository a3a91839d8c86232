#pragma once

#include <compare> // strong_ordering
#include <cstddef> // size_t
#include <functional> // hash
#include <string> // string
#include <utility> // move

namespace gypsumdale {

/// Strongly typed name. The tag makes names of different kinds, such as those of members and
/// upstreams, incompatible types.
template <typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string text)
        : m_text(std::move(text))
    {}

    const std::string &text() const { return m_text; }
    bool isEmpty() const { return m_text.empty(); }

    friend bool operator==(const Id &, const Id &) = default;
    friend std::strong_ordering operator<=>(const Id &left, const Id &right)
    {
        return left.m_text <=> right.m_text;
    }

private:
    std::string m_text;
};

/// Name of one process of the system (an entry VM), such as "olten-a-1".
using NodeId = Id<struct NodeIdTag>;
/// Name of one process that serves requests: the runner of a model engine or an instance of a plain
/// service.
using UpstreamId = Id<struct UpstreamIdTag>;
/// Name of one machine of the fleet, as the cloud assigns it.
using VmId = Id<struct VmIdTag>;
/// Name of a data centre, which is also the zone by which the cloud sets prices.
using DataCentreId = Id<struct DataCentreIdTag>;
using RegionId = Id<struct RegionIdTag>;
/// Name of a consortium member. All callers of a member share one account and one share of the
/// capacity.
using MemberId = Id<struct MemberIdTag>;
/// Name of a client account. All callers of an account share one set of keys and one quota.
using AccountId = Id<struct AccountIdTag>;
using ProfileId = Id<struct ProfileIdTag>;
/// Name of a kind of upstream, as requests specify it, such as "gypsum-llm" or "trade-app".
using ServiceId = Id<struct ServiceIdTag>;
/// Version of an upstream's software, as it reports it; empty where unknown. Streams don't go on
/// between versions.
using SoftwareVersion = Id<struct SoftwareVersionTag>;
using RequestId = Id<struct RequestIdTag>;
using JobId = Id<struct JobIdTag>;
/// Digest of what a request asks for and by whom. Attempts with different ids have the same digest
/// if they are the same request.
using RequestDigest = Id<struct RequestDigestTag>;

} // namespace gypsumdale

template <typename Tag>
struct std::hash<gypsumdale::Id<Tag>>
{
    std::size_t operator()(const gypsumdale::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};
