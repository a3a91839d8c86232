#include <gypsumdale/serving/serving_view.hpp>

#include <catch2/catch.hpp>

#include <memory> // make_shared, weak_ptr
#include <string> // string
#include <string_view> // string_view
#include <utility> // move

using namespace gypsumdale;

namespace {

ServingRoute routeAt(std::string name, std::string host, std::string prefix)
{
    ServingRoute route;
    route.m_name = std::move(name);
    route.m_host = std::move(host);
    route.m_pathPrefix = std::move(prefix);
    return route;
}

ServingViewPointer viewOf(const ServingConfig &config)
{
    return std::make_shared<const ServingView>(config);
}

std::string routeName(const ServingViewPointer &view, std::string_view host, std::string_view path)
{
    const ServingRoutePointer route = view->findRoute(host, path);
    return route ? route->m_name : std::string();
}

} // namespace

TEST_CASE("the route of a request")
{
    ServingConfig config;
    config.m_routes = {routeAt("short", "a.example", "/x/"), routeAt("long", "a.example", "/x/y/"),
                       routeAt("other", "b.example", "/x/")};
    const ServingViewPointer view = viewOf(config);

    SECTION("is the one with the longest prefix of its host")
    {
        CHECK(routeName(view, "a.example", "/x/1") == "short");
        CHECK(routeName(view, "a.example", "/x/y/1") == "long");
        CHECK(routeName(view, "b.example", "/x/y/1") == "other");
    }
    SECTION("is none where no prefix begins the path")
    {
        CHECK(routeName(view, "a.example", "/z/").empty());
        CHECK(routeName(view, "a.example", "/xy").empty());
        CHECK(routeName(view, "c.example", "/x/1").empty());
    }
    SECTION("doesn't depend on the host's case or port")
    {
        CHECK(routeName(view, "A.Example:8080", "/x/1") == "short");
    }
}

TEST_CASE("the account of a key")
{
    ServingConfig config;
    ClientAccount account;
    account.m_id = AccountId("huber");
    account.m_keys = {"k1", "k2"};
    config.m_accounts = {account};
    const ServingViewPointer view = viewOf(config);
    CHECK(view->requiresKeys());
    REQUIRE(view->findAccount("k2"));
    CHECK(view->findAccount("k2")->m_id == AccountId("huber"));
    CHECK_FALSE(view->findAccount("k3"));
    CHECK_FALSE(view->findAccount(""));
    CHECK_FALSE(ServingView(ServingConfig()).requiresKeys());
}

// Guards against a request that reads freed memory: it keeps what it was judged by when a newer
// configuration replaces the one that nobody else uses.
TEST_CASE("a part of a configuration outlives the configuration's last other use")
{
    ServingConfig config;
    config.m_routes = {routeAt("route", "a.example", "/x/")};
    ClientAccount account;
    account.m_id = AccountId("huber");
    account.m_keys = {"k1"};
    config.m_accounts = {account};
    config.m_services[ServiceId("llm")].m_maxConnections = 7;
    ServingViewPointer view = viewOf(config);
    const std::weak_ptr<const ServingView> used = view;
    ServingRoutePointer route = view->findRoute("a.example", "/x/1");
    ClientAccountPointer owner = view->findAccount("k1");
    ServingServicePointer service = view->findService(ServiceId("llm"));
    view.reset();
    CHECK(route->m_name == "route");
    CHECK(owner->m_id == AccountId("huber"));
    CHECK(service->m_maxConnections == 7);
    route.reset();
    owner.reset();
    CHECK_FALSE(used.expired());
    service.reset();
    CHECK(used.expired());
}

TEST_CASE("the shortest pause of a service's streams")
{
    const auto streamWith = [](Duration pause, const char *service) {
        ServingRoute route = routeAt("r", "a.example", "/x/");
        route.m_kind = RouteRepeatSafety::Stream;
        route.m_pauseTarget = pause;
        route.m_services = {{ServiceId(service), 1}};
        return route;
    };
    ServingConfig config;
    config.m_routes = {streamWith(std::chrono::milliseconds(600), "llm"),
                       streamWith(std::chrono::milliseconds(400), "llm"),
                       streamWith(Duration::zero(), "llm"),
                       streamWith(std::chrono::milliseconds(200), "other")};
    const ServingViewPointer view = viewOf(config);
    CHECK(view->shortestPause(ServiceId("llm")) == std::chrono::milliseconds(400));
    CHECK(view->shortestPause(ServiceId("plain")) == Duration::zero());
}
