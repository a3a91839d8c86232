#include <gypsumdale/policy/fair_queue.hpp>

#include <algorithm> // clamp, find_if, max, min, upper_bound
#include <iterator> // distance, make_move_iterator, prev
#include <limits> // numeric_limits
#include <utility> // move

namespace gypsumdale {

namespace {

/// With a reserved share of 1 the higher classes would get nothing.
constexpr double maxReservedShare = 0.9;

bool arrivedBefore(const WaitingRequest &left, const WaitingRequest &right)
{
    return left.m_arrivedAt < right.m_arrivedAt;
}

} // namespace

FairQueue::FairQueue(FairQueueSettings settings)
    : m_settings(settings)
{
    m_settings.m_reservedShare = std::clamp(m_settings.m_reservedShare, 0.0, maxReservedShare);
}

void FairQueue::setWeight(const MemberId &member, double weight)
{
    m_counters.setWeight(member, weight);
}

void FairQueue::enqueue(WaitingRequest request, TimePoint now)
{
    m_counters.advance(now);
    const MemberId id = request.m_member;
    if (!m_index.try_emplace(request.m_id, id).second)
        return;
    Member &member = m_members[id];
    if (member.m_waiting == 0) {
        const double creditLimit = m_counters.highestService() - m_settings.m_maxCredit;
        const double returnLimit = m_virtualTime - m_settings.m_returnCredit;
        m_counters.raiseService(id, std::max(returnLimit, creditLimit));
    }
    const std::uint64_t cost = expectedCost(request);
    Lane &lane = member.m_lanes[request.m_priority];
    lane.m_tokens += cost;
    m_waitingTokens += cost;
    ++member.m_waiting;
    const auto position = std::upper_bound(lane.m_requests.begin(), lane.m_requests.end(), request,
                                           arrivedBefore);
    lane.m_requests.insert(position, std::move(request));
}

std::optional<WaitingRequest> FairQueue::next(TimePoint now)
{
    return next(now, [](const MemberId &) { return true; });
}

std::optional<WaitingRequest> FairQueue::next(TimePoint now, const MemberFilter &canRun)
{
    m_counters.advance(now);
    const std::optional<MemberId> id = chooseMember(canRun);
    if (!id)
        return std::nullopt;
    const Front chosen = yieldToUrgent({*id, chooseLane(m_members[*id])}, now, canRun);
    Member &member = m_members[chosen.m_member];
    const std::uint64_t cost = expectedCost(frontOf(chosen));
    if (m_settings.m_classOrder == ClassOrder::DemandShare)
        updateReserves(chosen.m_priority, cost);
    else
        updateCredits(member, chosen.m_priority, cost);
    WaitingRequest request = popFront(chosen.m_member, chosen.m_priority);
    m_counters.charge(chosen.m_member, request.m_promptTokens);
    return request;
}

WaitingRequest FairQueue::popFront(const MemberId &id, int priority)
{
    Member &member = m_members[id];
    Lane &lane = member.m_lanes[priority];
    WaitingRequest request = std::move(lane.m_requests.front());
    lane.m_requests.pop_front();
    removeFromTotals(member, lane, request);
    if (lane.m_requests.empty())
        member.m_lanes.erase(priority);
    return request;
}

void FairQueue::removeFromTotals(Member &member, Lane &lane, const WaitingRequest &request)
{
    const std::uint64_t cost = expectedCost(request);
    lane.m_tokens -= cost;
    m_waitingTokens -= cost;
    --member.m_waiting;
    m_index.erase(request.m_id);
}

std::vector<ExpiredRequest> FairQueue::expire(TimePoint now, double tokensPerSecond,
                                              const FirstTokenEstimate &firstToken)
{
    std::vector<ExpiredRequest> result;
    const ExpiryInput input{now, tokensPerSecond, static_cast<double>(m_waitingTokens), firstToken};
    for (auto &[id, member] : m_members) {
        const double factor = shareFactor(id);
        double own = 0.0;
        for (auto &[priority, lane] : member.m_lanes)
            expireLane(member, lane, input, factor, own, result);
        std::erase_if(member.m_lanes,
                      [](const auto &entry) { return entry.second.m_requests.empty(); });
    }
    return result;
}

void FairQueue::expireLane(Member &member, Lane &lane, const ExpiryInput &input, double factor,
                           double &own, std::vector<ExpiredRequest> &result)
{
    std::deque<WaitingRequest> kept;
    for (WaitingRequest &request : lane.m_requests) {
        const double ahead = std::min(own * factor, input.m_allTokens);
        const Duration wait = input.m_tokensPerSecond > 0.0
                                      ? fromSeconds(ahead / input.m_tokensPerSecond)
                                      : Duration{};
        const Duration answer = input.m_firstToken ? input.m_firstToken(request) : Duration{};
        if (request.m_firstTokenDeadline - input.m_now > wait + answer) {
            own += static_cast<double>(expectedCost(request));
            kept.push_back(std::move(request));
            continue;
        }
        result.push_back(ExpiredRequest{request.m_id, wait});
        removeFromTotals(member, lane, request);
    }
    lane.m_requests = std::move(kept);
}

std::vector<WaitingRequest> FairQueue::removeAllWaiting()
{
    std::vector<WaitingRequest> result;
    for (auto &[id, member] : m_members) {
        for (auto &[priority, lane] : member.m_lanes)
            result.insert(result.end(), std::make_move_iterator(lane.m_requests.begin()),
                          std::make_move_iterator(lane.m_requests.end()));
        member = Member{};
    }
    m_index.clear();
    m_waitingTokens = 0;
    return result;
}

std::optional<WaitingRequest> FairQueue::evictFor(const MemberId &member)
{
    const auto load = [this](const MemberId &id) {
        return static_cast<double>(waiting(id)) / m_counters.weight(id);
    };
    MemberId longest = member;
    double longestLoad = load(member) + 1.0 / m_counters.weight(member);
    for (const auto &[id, entry] : m_members) {
        if (load(id) <= longestLoad)
            continue;
        longest = id;
        longestLoad = load(id);
    }
    if (longest == member)
        return std::nullopt;
    Member &entry = m_members[longest];
    const auto lane = std::prev(entry.m_lanes.end());
    WaitingRequest request = std::move(lane->second.m_requests.back());
    lane->second.m_requests.pop_back();
    removeFromTotals(entry, lane->second, request);
    if (lane->second.m_requests.empty())
        entry.m_lanes.erase(lane);
    return request;
}

bool FairQueue::cancel(const RequestId &request)
{
    const auto found = m_index.find(request);
    if (found == m_index.end())
        return false;
    Member &member = m_members[found->second];
    for (auto &[priority, lane] : member.m_lanes) {
        const auto at = std::find_if(
                lane.m_requests.begin(), lane.m_requests.end(),
                [&request](const WaitingRequest &waiting) { return waiting.m_id == request; });
        if (at == lane.m_requests.end())
            continue;
        const WaitingRequest taken = std::move(*at);
        lane.m_requests.erase(at);
        removeFromTotals(member, lane, taken);
        if (lane.m_requests.empty())
            member.m_lanes.erase(priority);
        return true;
    }
    return false;
}

void FairQueue::charge(const MemberId &member, std::uint64_t tokens)
{
    m_counters.charge(member, tokens);
}

void FairQueue::correctCharge(const MemberId &member, std::uint64_t charged, std::uint64_t actual)
{
    m_counters.correctCharge(member, charged, actual);
}

void FairQueue::mergePeer(const NodeId &peer, std::uint64_t incarnation, const TokenCounts &counts)
{
    m_counters.mergePeer(peer, incarnation, counts);
}

std::size_t FairQueue::waiting(const MemberId &member) const
{
    const auto found = m_members.find(member);
    return found == m_members.end() ? 0 : found->second.m_waiting;
}

double FairQueue::shareFactor(const MemberId &member) const
{
    const double own = m_counters.weight(member);
    double all = own;
    for (const auto &[id, entry] : m_members) {
        if (entry.m_waiting > 0 && id != member)
            all += m_counters.weight(id);
    }
    return all / own;
}

double FairQueue::tokensAhead(const MemberId &member, int priority) const
{
    const auto found = m_members.find(member);
    if (found == m_members.end())
        return 0.0;
    std::uint64_t own = 0;
    for (const auto &[lanePriority, lane] : found->second.m_lanes) {
        if (lanePriority <= priority)
            own += lane.m_tokens;
    }
    const double scaled = static_cast<double>(own) * shareFactor(member);
    return std::min(scaled, static_cast<double>(m_waitingTokens));
}

} // namespace gypsumdale
