#include <gypsumdale/serving/serving_view.hpp>

#include <algorithm> // min, stable_sort, transform
#include <cctype> // tolower
#include <utility> // move

namespace gypsumdale {

namespace {

std::string hostKey(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return key;
}

bool hasLongerPrefix(const ServingRoute *left, const ServingRoute *right)
{
    return left->m_pathPrefix.size() > right->m_pathPrefix.size();
}

} // namespace

ServingView::ServingView(ServingConfig config)
    : m_config(std::move(config))
{
    for (const ServingRoute &route : m_config.m_routes) {
        m_routesByHost[hostKey(route.m_host)].push_back(&route);
        notePause(route);
    }
    for (auto &[host, routes] : m_routesByHost)
        std::stable_sort(routes.begin(), routes.end(), hasLongerPrefix);
    for (const ClientAccount &account : m_config.m_accounts) {
        for (const std::string &key : account.m_keys)
            m_accountsByKey.emplace(key, &account);
    }
}

void ServingView::notePause(const ServingRoute &route)
{
    if (route.m_kind != RouteRepeatSafety::Stream || route.m_pauseTarget <= Duration::zero())
        return;
    for (const WeightedService &target : route.m_services) {
        Duration &shortest =
                m_shortestPauses.try_emplace(target.m_service, route.m_pauseTarget).first->second;
        shortest = std::min(shortest, route.m_pauseTarget);
    }
}

Duration ServingView::shortestPause(const ServiceId &service) const
{
    const auto found = m_shortestPauses.find(service);
    return found == m_shortestPauses.end() ? Duration::zero() : found->second;
}

ServingRoutePointer ServingView::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(hostKey(host));
    if (found == m_routesByHost.end())
        return nullptr;
    for (const ServingRoute *route : found->second) {
        if (path.starts_with(route->m_pathPrefix))
            return share(route);
    }
    return nullptr;
}

ClientAccountPointer ServingView::findAccount(std::string_view key) const
{
    const auto found = m_accountsByKey.find(key);
    return found == m_accountsByKey.end() ? nullptr : share(found->second);
}

ServingServicePointer ServingView::findService(const ServiceId &service) const
{
    const auto found = m_config.m_services.find(service);
    return found == m_config.m_services.end() ? nullptr : share(&found->second);
}

} // namespace gypsumdale
