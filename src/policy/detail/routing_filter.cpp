#include "policy/detail/routing_filter.hpp"

#include <algorithm> // any_of, copy_if, find, max
#include <iterator> // back_inserter

namespace gypsumdale::detail {

namespace {

template <typename Predicate>
CandidatePointers filtered(const CandidatePointers &candidates, Predicate predicate)
{
    CandidatePointers result;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(result), predicate);
    return result;
}

bool hasFreeSlot(const Candidate &candidate)
{
    return estimatedLoad(candidate) < candidate.m_slots;
}

bool canServe(const RoutingRequest &request, const Candidate &candidate)
{
    return hasFreeSlot(candidate) && candidate.m_firstToken <= request.m_firstTokenTimeLeft;
}

bool someCanServe(const RoutingRequest &request, const CandidatePointers &candidates)
{
    return std::any_of(candidates.begin(), candidates.end(),
                       [&request](const Candidate *one) { return canServe(request, *one); });
}

bool wasTried(const RoutingRequest &request, const Candidate &candidate)
{
    const auto &tried = request.m_triedUpstreams;
    return std::find(tried.begin(), tried.end(), candidate.m_upstream) != tried.end();
}

} // namespace

CandidatePointers eligibleCandidates(const RoutingRequest &request,
                                     std::span<const Candidate> candidates)
{
    CandidatePointers remaining;
    for (const Candidate &candidate : candidates) {
        if (!candidate.m_isLeaving)
            remaining.push_back(&candidate);
    }
    CandidatePointers untried = filtered(
            remaining, [&request](const Candidate *one) { return !wasTried(request, *one); });
    if (untried.empty())
        untried = remaining;
    CandidatePointers local = filtered(untried, [&request](const Candidate *one) {
        return one->m_dataCentre == request.m_dataCentre;
    });
    // Slow upstreams nearby stay eligible; otherwise they would never be measured again.
    if (someCanServe(request, local))
        return filtered(local, [](const Candidate *one) { return hasFreeSlot(*one); });
    CandidatePointers region = filtered(untried, [&request](const Candidate *one) {
        return one->m_region == request.m_region && canServe(request, *one);
    });
    if (!region.empty())
        return region;
    return untried;
}

double relativeLoad(const Candidate &candidate)
{
    const double slots = std::max(candidate.m_slots, 1U);
    return (estimatedLoad(candidate) + candidate.m_recentFailures) / slots;
}

} // namespace gypsumdale::detail
