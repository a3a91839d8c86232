#include <gypsumdale/serving/rate_limit_share.hpp>

#include <algorithm> // clamp, max, min

namespace gypsumdale {

namespace {

/// An upstream bears half more than its limit over this time, and a few requests.
constexpr double borneSeconds = 4;
constexpr double borneExcess = 0.5;
/// Holders whatever the limit is, so that an upstream is in use when one of them is not. Fewer than
/// the requests that an upstream bears beside its limit: VMs may disagree on who the holders are.
constexpr std::size_t minHolders = 2;
/// Longest time for which unused permits are kept, where that is more than one.
constexpr double burstSeconds = 1;

double limitOf(const RateShareView &view)
{
    return std::clamp(view.m_limit, minRateLimit, maxRateLimit);
}

std::size_t vmsOf(const RateShareView &view)
{
    return std::max({view.m_vms, view.m_knownVms, std::size_t{1}});
}

} // namespace

std::size_t rateLimitHolders(const RateShareView &view)
{
    const auto borne = static_cast<std::size_t>(limitOf(view) * borneSeconds * borneExcess);
    return std::min(std::max<std::size_t>(view.m_knownVms, 1), borne + minHolders);
}

RateShare holderShare(const RateShareView &view)
{
    const auto known = static_cast<double>(std::max<std::size_t>(view.m_knownVms, 1));
    const double knownPart = known / static_cast<double>(vmsOf(view));
    RateShare share;
    share.m_perSecond = limitOf(view) * knownPart / static_cast<double>(rateLimitHolders(view));
    share.m_burst = std::max(1.0, share.m_perSecond * burstSeconds);
    return share;
}

RateShare unheardShare(const RateShareView &view)
{
    return {limitOf(view) / static_cast<double>(vmsOf(view)), 1};
}

} // namespace gypsumdale
