#pragma once

#include <gypsumdale/core/names.hpp>
#include <gypsumdale/policy/token_counters.hpp>
#include <gypsumdale/policy/waiting_request.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <deque> // deque
#include <functional> // function
#include <map> // map
#include <optional> // optional
#include <unordered_map> // unordered_map
#include <vector> // vector

namespace gypsumdale {

/// How the priority classes of one member share its service.
enum class ClassOrder {
    /// A higher class always goes first; lower ones can starve.
    Strict,
    /// Each step to a lower class counts as a later arrival by m_ageingStep.
    Ageing,
    /// A higher class goes first, but a share of the tokens is reserved for the queued lower ones.
    ReservedShare,
    /// The same, with a reserve for each lower class that follows its demand and is kept by the
    /// process for all members, see setClassShares(). A process of a large fleet serves a member
    /// too seldom for a reserve by member.
    DemandShare,
};

inline constexpr NameTable<ClassOrder, 4> classOrderNames = {{
        {ClassOrder::Strict, "strict"},
        {ClassOrder::Ageing, "ageing"},
        {ClassOrder::ReservedShare, "reserved-share"},
        {ClassOrder::DemandShare, "demand-share"},
}};

struct FairQueueSettings
{
    ClassOrder m_classOrder = ClassOrder::ReservedShare;
    /// Minimum share of a member's tokens for its queued lower classes.
    double m_reservedShare = 0.2;
    /// Delay that one class step counts for under ageing.
    Duration m_ageingStep = std::chrono::seconds(5);
    /// Maximum lead of a member over the least served one, in tokens of service, at which its
    /// request of a higher class still goes before the other member's lower classes.
    double m_priorityLead = 2000.0;
    /// Maximum service, in tokens, that a returning member may be behind the most served one; about
    /// two seconds of the data centre's tokens. Each peer raises idle members by its own view, so
    /// this also bounds the difference between the views.
    double m_maxCredit = 50000.0;
    /// Service, in tokens, that a returning member may be behind the least served queued one. Its
    /// requests may have waited at the peers while none was queued here.
    double m_returnCredit = 0.0;
};

/// A request that left the queue because it can no longer be served in time.
struct ExpiredRequest
{
    RequestId m_request;
    Duration m_retryAfter{};
};

/// Queue of one service's requests with fair shares. Selects by member (least virtual service
/// first), then by the member's priority class, then by arrival.
class FairQueue
{
public:
    /// Returns the estimated time from dispatch to first token.
    using FirstTokenEstimate = std::function<Duration(const WaitingRequest &)>;
    /// Returns whether another request of the member may be dispatched now.
    using MemberFilter = std::function<bool(const MemberId &)>;

    explicit FairQueue(FairQueueSettings settings = {});

    void setWeight(const MemberId &member, double weight);

    /// Replaces the limits of the settings that are in tokens of service, which follow the rate of
    /// the service. Complexity: constant.
    void setLimits(double priorityLead, double maxCredit, double returnCredit);

    /// Replaces the shares of the served tokens that are reserved for the classes, for
    /// ClassOrder::DemandShare. Complexity: linear in the classes.
    void setClassShares(const std::map<int, double> &shares);

    /// Gives a class a part of its reserve, as if other classes had been served before. Complexity:
    /// logarithmic.
    void addClassCredit(int priority, double tokens);

    /// Sets the time between two requests that leave the queue; 0 if unknown, in which case no
    /// request goes before another by its latency target. Complexity: constant.
    void setTurnInterval(Duration interval) { m_turnInterval = interval; }

    /// See TokenCounters.
    void setExtrapolation(double factor, Duration span);
    void addOffset(const MemberId &member, double service);

    /// Adds a request behind those of its member and class that arrived earlier. A member without
    /// queued requests is raised to the virtual time, which follows the least served queued member,
    /// and to within the maximum credit of the most served member. An id that is queued already is
    /// ignored. Complexity: linear in the requests that arrived later.
    void enqueue(WaitingRequest request, TimePoint now);

    /// Removes and returns the request to serve next, and charges its prompt. Returns nothing if
    /// the queue is empty or the filter accepts no member. Complexity: linear in the members and
    /// classes.
    std::optional<WaitingRequest> next(TimePoint now);
    std::optional<WaitingRequest> next(TimePoint now, const MemberFilter &canRun);

    /// Removes every request that can no longer get its first token in time, based on the work
    /// ahead of it and the rate in tokens per second (0 if unknown: then only expired deadlines
    /// count). The retry-after is the time until that work is expected to be done. Complexity:
    /// linear in the queued requests.
    std::vector<ExpiredRequest> expire(TimePoint now, double tokensPerSecond = 0.0,
                                       const FirstTokenEstimate &firstToken = {});

    /// Removes and returns all queued requests, for a drain. Complexity: linear.
    std::vector<WaitingRequest> removeAllWaiting();

    /// Removes and returns a request in favour of a new one of the given member: the last request
    /// of the member with the most queued requests by weight. Returns nothing if that is the given
    /// member itself. Complexity: linear in the members.
    std::optional<WaitingRequest> evictFor(const MemberId &member);

    /// Removes and returns the request that would be served last, of the most served member.
    /// Returns nothing if none is queued. Complexity: linear in the members.
    std::optional<WaitingRequest> removeLast();

    /// Returns the members with queued requests in the order of their service, the least served one
    /// first. Complexity: n log n.
    std::vector<MemberId> order() const;

    /// Removes a queued request; returns false if it isn't queued. Complexity: linear in the
    /// member's requests.
    bool cancel(const RequestId &request);

    /// Charges generated tokens. Complexity: logarithmic.
    void charge(const MemberId &member, std::uint64_t tokens);

    /// Corrects an earlier charge, see TokenCounters.
    void correctCharge(const MemberId &member, std::uint64_t charged, std::uint64_t actual);

    void mergePeer(const NodeId &peer, std::uint64_t incarnation, const TokenCounts &counts);

    const TokenCounts &ownCounts() const { return m_counters.ownCounts(); }
    double service(const MemberId &member) const { return m_counters.service(member); }

    double highestService() const { return m_counters.highestService(); }

    std::size_t waiting() const { return m_index.size(); }
    std::size_t waiting(const MemberId &member) const;
    /// Returns the sum of the expected tokens of all queued requests.
    std::uint64_t waitingTokens() const { return m_waitingTokens; }

    /// Estimates the tokens served before a new request of this member and class: the member's own
    /// queued tokens ahead of it, scaled by the member's share, but at most all queued tokens.
    /// Complexity: linear in the members.
    double tokensAhead(const MemberId &member, int priority) const;

private:
    struct Lane
    {
        std::deque<WaitingRequest> m_requests;
        std::uint64_t m_tokens = 0;
        double m_credit = 0.0;
    };
    struct Member
    {
        std::map<int, Lane> m_lanes;
        std::size_t m_waiting = 0;
    };

    /// Input of expire() for one call.
    struct ExpiryInput
    {
        TimePoint m_now;
        double m_tokensPerSecond;
        double m_allTokens;
        const FirstTokenEstimate &m_firstToken;
    };

    /// The front request of one member and class.
    struct Front
    {
        MemberId m_member;
        int m_priority = 0;
    };

    /// The reserve of one class, in tokens.
    struct ClassReserve
    {
        double m_share = 0.0;
        double m_credit = 0.0;
        double m_limit = 0.0;
    };

    std::optional<MemberId> chooseMember(const MemberFilter &canRun);
    Front yieldToUrgent(Front chosen, TimePoint now, const MemberFilter &canRun) const;
    bool canYield(const Front &chosen, int priority, TimePoint now) const;
    const WaitingRequest &frontOf(const Front &front) const;
    int chooseByReserve(const Member &member) const;
    int lastLane(const Member &member) const;
    bool hasReserveFor(int priority, const WaitingRequest &request) const;
    void updateReserves(int chosen, std::uint64_t cost);
    int chooseLane(const Member &member) const;
    int chooseByCredit(const Member &member) const;
    int chooseByAge(const Member &member) const;
    void updateCredits(Member &member, int chosen, std::uint64_t cost) const;
    WaitingRequest popFront(const MemberId &id, int priority);
    void removeFromTotals(Member &member, Lane &lane, const WaitingRequest &request);
    void expireLane(Member &member, Lane &lane, const ExpiryInput &input, double factor,
                    double &own, std::vector<ExpiredRequest> &result);
    double shareFactor(const MemberId &member) const;

    FairQueueSettings m_settings;
    TokenCounters m_counters;
    std::map<MemberId, Member> m_members;
    std::unordered_map<RequestId, MemberId> m_index;
    std::uint64_t m_waitingTokens = 0;
    double m_virtualTime = 0.0;
    std::map<int, ClassReserve> m_reserves;
    Duration m_turnInterval{};
};

} // namespace gypsumdale
