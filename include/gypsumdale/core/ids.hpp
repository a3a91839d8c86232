#pragma once

#include <compare> // strong_ordering
#include <cstddef> // size_t
#include <functional> // hash
#include <string> // string
#include <utility> // move

namespace gypsumdale {

/// A name of one kind of thing, so that a member's name is never passed where an upstream's is
/// meant.
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

/// One process of the system (an entry VM), such as "olten-a-1".
using NodeId = Id<struct NodeIdTag>;
/// One process that serves requests: a model engine's runner or an instance of a plain service.
using UpstreamId = Id<struct UpstreamIdTag>;
/// One machine of the fleet, by the cloud's name for it.
using VmId = Id<struct VmIdTag>;
/// A data centre; the cloud's zone for prices.
using DataCentreId = Id<struct DataCentreIdTag>;
using RegionId = Id<struct RegionIdTag>;
/// A member of the consortium, whose callers share one account and one share.
using MemberId = Id<struct MemberIdTag>;
/// A client account: whose callers share one set of keys and one quota.
using AccountId = Id<struct AccountIdTag>;
using ProfileId = Id<struct ProfileIdTag>;
/// A kind of upstream that requests name, such as "gypsum-llm" or "trade-app".
using ServiceId = Id<struct ServiceIdTag>;
using RequestId = Id<struct RequestIdTag>;
using JobId = Id<struct JobIdTag>;

} // namespace gypsumdale

template <typename Tag>
struct std::hash<gypsumdale::Id<Tag>>
{
    std::size_t operator()(const gypsumdale::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};
