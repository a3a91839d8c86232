#include <gypsumdale/kernel/platform_client.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <catch2/catch.hpp>

#include <string> // string
#include <variant> // get_if
#include <vector> // vector

using namespace gypsumdale;

namespace {

/// Client of a platform that answers all calls alike and keeps what it was asked.
class PlatformWorld
{
public:
    explicit PlatformWorld(const std::string &answer)
        : m_loop("test")
        , m_server(valueOf(
                  HttpServerBuilder()
                          .runOn({&m_loop})
                          .handleWith([=, this](const HttpRequest &request, HttpResponder &reply) {
                              m_seen.push_back(request);
                              reply.send({200, {}, answer});
                          })
                          .build()))
        , m_client(m_loop)
        , m_platform(m_client, {"127.0.0.1", m_server.port()}, std::chrono::seconds(5))
    {
        m_loop.start();
    }
    ~PlatformWorld() { m_loop.stop(); }

    template <typename Call>
    auto call(Call call)
    {
        return m_loop.call([&] { return call(m_platform); });
    }
    /// Returns the requests that the platform received. Only between calls.
    const std::vector<HttpRequest> &seen() const { return m_seen; }

private:
    FiberLoop m_loop;
    std::vector<HttpRequest> m_seen;
    HttpServer m_server;
    HttpClient m_client;
    PlatformClient m_platform;
};

const std::string emptyList = R"({"version":9,"objects":[]})";

} // namespace

// Guards against a list of other objects than those asked for.
TEST_CASE("the prefix of a list reaches the platform as it is")
{
    PlatformWorld world(emptyList);
    for (const std::string prefix : {"a/b", "a&bodies=1", "a+b", "a=b", "a%41", "a b", "a#b", ""}) {
        INFO(prefix);
        world.call([&](auto &platform) { return platform.list("jobs", prefix, false); });
        CHECK(world.seen().back().parameter("prefix") == prefix);
        CHECK_FALSE(world.seen().back().parameter("bodies"));
        world.call([&](auto &platform) { return platform.list("jobs", prefix, true); });
        CHECK(world.seen().back().parameter("prefix") == prefix);
        CHECK(world.seen().back().parameter("bodies") == "1");
    }
}

TEST_CASE("names keep the slashes between their parts")
{
    PlatformWorld world("body");
    world.call([](auto &platform) { return platform.read("jobs", "a/b?c&d+e f"); });
    CHECK(world.seen().back().m_target == "/v1/objects/jobs/a/b%3Fc%26d%2Be%20f");
}
