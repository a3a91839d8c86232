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

/// How the priority classes of one member take turns.
enum class ClassOrder {
    /// A higher class always goes first; lower ones can starve.
    Strict,
    /// Each class step counts as so much later an arrival.
    Ageing,
    /// A higher class goes first, but a share of the tokens is kept for the waiting lower ones.
    ReservedShare,
};

inline constexpr NameTable<ClassOrder, 3> classOrderNames = {{
        {ClassOrder::Strict, "strict"},
        {ClassOrder::Ageing, "ageing"},
        {ClassOrder::ReservedShare, "reserved-share"},
}};

struct FairQueueSettings
{
    ClassOrder m_classOrder = ClassOrder::ReservedShare;
    /// Which part of a member's tokens its waiting lower classes get at least.
    double m_reservedShare = 0.2;
    /// What one class step counts for under ageing.
    Duration m_ageingStep = std::chrono::seconds(5);
    /// By how many tokens of service a member may be ahead of the least served one and still have a
    /// request of a higher class go before the other's lower ones.
    double m_priorityLead = 2000.0;
    /// How many tokens of service a member that comes back may be behind the most served one; about
    /// two seconds of the data centre's tokens. Peers lift their idle members by their own view, so
    /// this bounds what the views can differ by.
    double m_maxCredit = 50000.0;
};

/// A request that left the queue because it could no longer be served in time.
struct ExpiredRequest
{
    RequestId m_request;
    Duration m_retryAfter{};
};

/// Requests waiting for one service, in the order of fair shares: first the members, by virtual
/// service, then the classes of the chosen member, then arrival.
class FairQueue
{
public:
    /// Tells when a request that would be dispatched at a time had its first token.
    using FirstTokenEstimate = std::function<Duration(const WaitingRequest &)>;
    /// Tells whether a member may have another request dispatched now.
    using MemberFilter = std::function<bool(const MemberId &)>;

    explicit FairQueue(FairQueueSettings settings = {});

    void setWeight(const MemberId &member, double weight);

    /// Adds a request, behind those of its member and class that arrived before it. A member that
    /// had none waiting is lifted to the virtual time, which follows the least served waiting
    /// member, and to the most credit allowed against the most served one. An id that waits already
    /// is left as it is. Linear in the requests that arrived later.
    void enqueue(WaitingRequest request, TimePoint now);

    /// Takes out the request to serve next, charges its prompt and returns it; nothing if none
    /// waits or the filter passes no member. Linear in the members and classes.
    std::optional<WaitingRequest> next(TimePoint now);
    std::optional<WaitingRequest> next(TimePoint now, const MemberFilter &mayRun);

    /// Takes out every request that can't have its first token in time any more, judged by the
    /// work ahead of it and the rate in tokens a second (0 while unknown: then only by the clock).
    /// The time to come back is when that work is likely to be done. Linear in the waiting ones.
    std::vector<ExpiredRequest> expire(TimePoint now, double tokensPerSecond = 0.0,
                                       const FirstTokenEstimate &firstToken = {});

    /// Takes out all waiting requests, for a drain. Linear.
    std::vector<WaitingRequest> removeAllWaiting();

    /// Takes out the request that is to make room for a new one of a member: the last one of the
    /// member with the most waiting for its weight. Nothing if that is the new one's own member.
    /// Linear in the members.
    std::optional<WaitingRequest> evictFor(const MemberId &member);

    /// Forgets a waiting request; false if it doesn't wait. Linear in the member's requests.
    bool cancel(const RequestId &request);

    /// Charges tokens as they come. Logarithmic.
    void charge(const MemberId &member, std::uint64_t tokens);

    /// Corrects an earlier charge, see TokenCounters.
    void correctCharge(const MemberId &member, std::uint64_t charged, std::uint64_t actual);

    void mergePeer(const NodeId &peer, std::uint64_t incarnation, const TokenCounts &counts);

    const TokenCounts &ownCounts() const { return m_counters.ownCounts(); }
    double service(const MemberId &member) const { return m_counters.service(member); }

    double highestService() const { return m_counters.highestService(); }

    std::size_t waiting() const { return m_index.size(); }
    std::size_t waiting(const MemberId &member) const;
    /// Returns the expected tokens of all that waits.
    std::uint64_t waitingTokens() const { return m_waitingTokens; }

    /// Estimates the tokens served before a new request of this member and class would be: its
    /// member's own ones ahead scaled by the member's share, but no more than all that waits.
    /// Linear in the members.
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

    /// What expire() judges by.
    struct Outlook
    {
        TimePoint m_now;
        double m_tokensPerSecond;
        double m_allTokens;
        const FirstTokenEstimate &m_firstToken;
    };

    std::optional<MemberId> chooseMember(const MemberFilter &mayRun);
    int chooseLane(const Member &member) const;
    int chooseByCredit(const Member &member) const;
    int chooseByAge(const Member &member) const;
    void settleCredits(Member &member, int chosen, std::uint64_t cost) const;
    WaitingRequest take(const MemberId &id, int priority);
    void forget(Member &member, Lane &lane, const WaitingRequest &request);
    void expireLane(Member &member, Lane &lane, const Outlook &outlook, double factor, double &own,
                    std::vector<ExpiredRequest> &result);
    double shareFactor(const MemberId &member) const;

    FairQueueSettings m_settings;
    TokenCounters m_counters;
    std::map<MemberId, Member> m_members;
    std::unordered_map<RequestId, MemberId> m_index;
    std::uint64_t m_waitingTokens = 0;
    double m_virtualTime = 0.0;
};

} // namespace gypsumdale
