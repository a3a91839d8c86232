#include <gypsumdale/policy/fair_queue.hpp>

#include <algorithm> // clamp, max, min, sort, stable_sort
#include <iterator> // distance, next, prev
#include <limits> // numeric_limits
#include <utility> // move

/// In which order queued requests are served.
namespace gypsumdale {

namespace {

/// With a reserved share of 1 the higher classes would get nothing.
constexpr double maxReservedShare = 0.9;
/// Number of requests that a class's reserve covers at most.
constexpr double reserveRequests = 2.0;

} // namespace

void FairQueue::setLimits(double priorityLead, double maxCredit, double returnCredit)
{
    m_settings.m_priorityLead = priorityLead;
    m_settings.m_maxCredit = maxCredit;
    m_settings.m_returnCredit = returnCredit;
}

void FairQueue::setClassShares(const std::map<int, double> &shares)
{
    for (auto &[priority, reserve] : m_reserves)
        reserve.m_share = 0.0;
    for (const auto &[priority, share] : shares)
        m_reserves[priority].m_share = std::clamp(share, 0.0, maxReservedShare);
}

void FairQueue::addClassCredit(int priority, double tokens)
{
    m_reserves[priority].m_credit += tokens;
}

void FairQueue::setExtrapolation(double factor, Duration span)
{
    m_counters.setExtrapolation(factor, span);
}

void FairQueue::addOffset(const MemberId &member, double service)
{
    m_counters.addOffset(member, service);
}

std::optional<MemberId> FairQueue::chooseMember(const MemberFilter &canRun)
{
    double least = std::numeric_limits<double>::max();
    std::vector<const MemberId *> ready;
    for (const auto &[id, member] : m_members) {
        if (member.m_waiting == 0 || !canRun(id))
            continue;
        ready.push_back(&id);
        least = std::min(least, m_counters.service(id));
    }
    if (ready.empty())
        return std::nullopt;
    m_virtualTime = std::max(m_virtualTime, least);
    const MemberId *best = nullptr;
    int bestPriority = 0;
    for (const MemberId *id : ready) {
        const double service = m_counters.service(*id);
        if (service > least + m_settings.m_priorityLead)
            continue;
        const int priority = chooseLane(m_members.at(*id));
        const bool isBetter = best == nullptr || priority < bestPriority
                              || (priority == bestPriority && service < m_counters.service(*best));
        if (!isBetter)
            continue;
        best = id;
        bestPriority = priority;
    }
    return *best;
}

int FairQueue::chooseLane(const Member &member) const
{
    switch (m_settings.m_classOrder) {
    case ClassOrder::Ageing:
        return chooseByAge(member);
    case ClassOrder::ReservedShare:
        return chooseByCredit(member);
    case ClassOrder::DemandShare:
        return chooseByReserve(member);
    case ClassOrder::Strict:
        break;
    }
    return member.m_lanes.begin()->first;
}

int FairQueue::chooseByCredit(const Member &member) const
{
    for (const auto &[priority, lane] : member.m_lanes) {
        if (lane.m_credit >= static_cast<double>(expectedCost(lane.m_requests.front()))
            && lane.m_credit > 0.0)
            return priority;
    }
    return member.m_lanes.begin()->first;
}

bool FairQueue::hasReserveFor(int priority, const WaitingRequest &request) const
{
    const auto found = m_reserves.find(priority);
    return found != m_reserves.end() && found->second.m_credit > 0.0
           && found->second.m_credit >= static_cast<double>(expectedCost(request));
}

int FairQueue::chooseByReserve(const Member &member) const
{
    const auto first = member.m_lanes.begin();
    for (auto lane = std::next(first); lane != member.m_lanes.end(); ++lane) {
        if (hasReserveFor(lane->first, lane->second.m_requests.front()))
            return lane->first;
    }
    return first->first;
}

/// Returns the class whose requests are served last: the least urgent one, unless its only request
/// has a reserve.
int FairQueue::lastLane(const Member &member) const
{
    const auto last = std::prev(member.m_lanes.end());
    if (last == member.m_lanes.begin() || last->second.m_requests.size() > 1
        || !hasReserveFor(last->first, last->second.m_requests.front()))
        return last->first;
    return std::prev(last)->first;
}

void FairQueue::updateReserves(int chosen, std::uint64_t cost)
{
    const auto tokens = static_cast<double>(cost);
    ClassReserve &own = m_reserves[chosen];
    own.m_limit = std::max(own.m_limit, reserveRequests * tokens);
    own.m_credit = std::max(0.0, own.m_credit - tokens);
    for (auto &[priority, reserve] : m_reserves)
        reserve.m_credit = std::min(reserve.m_credit + tokens * reserve.m_share,
                                    std::max(reserve.m_limit, reserveRequests * tokens));
}

std::optional<WaitingRequest> FairQueue::removeLast()
{
    const auto served = [this](const MemberId &id, const Member &member) {
        std::uint64_t queued = 0;
        for (const auto &[priority, lane] : member.m_lanes)
            queued += lane.m_tokens;
        return m_counters.service(id) + static_cast<double>(queued) / m_counters.weight(id);
    };
    double most = std::numeric_limits<double>::lowest();
    for (const auto &[id, member] : m_members) {
        if (member.m_waiting > 0)
            most = std::max(most, served(id, member));
    }
    Member *last = nullptr;
    int lastPriority = 0;
    double lastServed = 0.0;
    for (auto &[id, member] : m_members) {
        if (member.m_waiting == 0)
            continue;
        const double own = served(id, member);
        if (own < most - m_settings.m_priorityLead)
            continue;
        const int priority = lastLane(member);
        const bool isLater = last == nullptr || priority > lastPriority
                             || (priority == lastPriority && own > lastServed);
        if (!isLater)
            continue;
        last = &member;
        lastPriority = priority;
        lastServed = own;
    }
    if (last == nullptr)
        return std::nullopt;
    Lane &lane = last->m_lanes[lastPriority];
    WaitingRequest request = std::move(lane.m_requests.back());
    lane.m_requests.pop_back();
    removeFromTotals(*last, lane, request);
    if (lane.m_requests.empty())
        last->m_lanes.erase(lastPriority);
    return request;
}

std::vector<MemberId> FairQueue::order() const
{
    std::vector<MemberId> ids;
    for (const auto &[id, member] : m_members) {
        if (member.m_waiting > 0)
            ids.push_back(id);
    }
    std::stable_sort(ids.begin(), ids.end(), [this](const MemberId &left, const MemberId &right) {
        return m_counters.service(left) < m_counters.service(right);
    });
    return ids;
}

int FairQueue::chooseByAge(const Member &member) const
{
    int best = member.m_lanes.begin()->first;
    TimePoint bestKey = TimePoint::max();
    for (const auto &[priority, lane] : member.m_lanes) {
        const TimePoint key =
                lane.m_requests.front().m_arrivedAt + m_settings.m_ageingStep * priority;
        if (key >= bestKey)
            continue;
        best = priority;
        bestKey = key;
    }
    return best;
}

void FairQueue::updateCredits(Member &member, int chosen, std::uint64_t cost) const
{
    const auto tokens = static_cast<double>(cost);
    Lane &lane = member.m_lanes[chosen];
    lane.m_credit = std::max(0.0, lane.m_credit - tokens);
    const auto lower = member.m_lanes.upper_bound(chosen);
    const auto count = static_cast<double>(std::distance(lower, member.m_lanes.end()));
    if (count == 0.0)
        return;
    const double share = m_settings.m_reservedShare;
    const double each = tokens * share / (1.0 - share) / count;
    for (auto at = lower; at != member.m_lanes.end(); ++at)
        at->second.m_credit += each;
}

const WaitingRequest &FairQueue::frontOf(const Front &front) const
{
    return m_members.at(front.m_member).m_lanes.at(front.m_priority).m_requests.front();
}

/// Returns the front to serve in place of the chosen one: one that would otherwise miss its latency
/// target, if every request that it goes before still meets its own.
FairQueue::Front FairQueue::yieldToUrgent(Front chosen, TimePoint now,
                                          const MemberFilter &canRun) const
{
    if (m_turnInterval <= Duration::zero())
        return chosen;
    const double least = m_counters.service(chosen.m_member);
    TimePoint earliest = now + 2 * m_turnInterval;
    if (frontOf(chosen).m_startBy <= earliest)
        return chosen;
    Front best = chosen;
    for (const auto &[id, member] : m_members) {
        if (member.m_waiting == 0 || !canRun(id))
            continue;
        if (m_counters.service(id) > least + m_settings.m_priorityLead)
            continue;
        for (const auto &[priority, lane] : member.m_lanes) {
            const TimePoint startBy = lane.m_requests.front().m_startBy;
            if (startBy < now || startBy >= earliest || !canYield(chosen, priority, now))
                continue;
            best = Front{id, priority};
            earliest = startBy;
        }
    }
    return best;
}

/// Returns whether the chosen request and all requests that are more urgent than a class still meet
/// their latency targets if a request of the class goes first.
bool FairQueue::canYield(const Front &chosen, int priority, TimePoint now) const
{
    std::vector<TimePoint> startBys{frontOf(chosen).m_startBy};
    for (const auto &[id, member] : m_members) {
        for (const auto &[lanePriority, lane] : member.m_lanes) {
            if (lanePriority >= priority)
                break;
            for (const WaitingRequest &request : lane.m_requests)
                startBys.push_back(request.m_startBy);
        }
    }
    std::sort(startBys.begin(), startBys.end());
    TimePoint start = now + m_turnInterval;
    for (const TimePoint startBy : startBys) {
        if (startBy < start)
            return false;
        start += m_turnInterval;
    }
    return true;
}

} // namespace gypsumdale
