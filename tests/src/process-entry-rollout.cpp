#include "support/entry_world.hpp"

#include <catch2/catch.hpp>

#include <atomic> // atomic
#include <chrono> // milliseconds, seconds
#include <csignal> // SIGKILL
#include <cstddef> // size_t
#include <optional> // optional
#include <string> // string
#include <thread> // thread
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr std::size_t firstNew = 2;
/// Long enough for a VM to take the duties over.
constexpr int durationSeconds = 14;

/// Two upstreams of each of two versions. The new ones are there only once a roll-out begins.
struct RolloutWorld : EntryWorld
{
    explicit RolloutWorld(int nodes)
        : EntryWorld(nodes, true, std::nullopt, {"v1", "v1", "v2", "v2"}, std::nullopt, true)
    {
        for (std::size_t index = firstNew; index < upstreamCount(); ++index)
            store().remove("servers", upstream(index).id());
        for (std::size_t index = 0; index < nodeCount(); ++index)
            waitUntil("the new version has gone",
                      [&] { return hasLogged(index, "upstream-left"); });
        waitUntil("a VM performs the duties", [&] { return leader().has_value(); });
    }

    ~RolloutWorld() { stopCallers(); }

    bool hasLogged(std::size_t index, const std::string &text)
    {
        return fullLog(node(index)).find(text) != std::string::npos;
    }

    std::optional<std::size_t> leader()
    {
        for (std::size_t index = 0; index < nodeCount(); ++index) {
            if (hasLogged(index, "lease-held"))
                return index;
        }
        return std::nullopt;
    }

    void startNew()
    {
        for (std::size_t index = firstNew; index < upstreamCount(); ++index)
            announce(upstream(index), "ready");
    }

    void order(const Json &spec) { store().put("rollouts", "app", spec); }
    void order() { order({{"service", "app"}, {"target", "v2"}, {"duration-s", durationSeconds}}); }

    std::string recorded()
    {
        const Json status = store().status("rollouts", "app");
        return status.is_object() ? status.value("state", std::string()) : std::string();
    }

    /// Callers that send requests to all VMs, one after the other.
    void startCallers(const std::string &target)
    {
        for (std::size_t caller = 0; caller < 2 * nodeCount(); ++caller) {
            m_callers.emplace_back([this, caller, target] {
                while (!m_isOver) {
                    const std::size_t index = caller % nodeCount();
                    const int number = ++m_requests;
                    call(node(index), target, fmt::format("{:016x}", number));
                    std::this_thread::sleep_for(std::chrono::milliseconds(15));
                }
            });
        }
    }

    void stopCallers()
    {
        m_isOver = true;
        for (std::thread &caller : m_callers)
            caller.join();
        m_callers.clear();
    }

    /// Makes the new version answer two of three requests with a status.
    void spoilNew(int status = 500)
    {
        for (std::size_t index = firstNew; index < upstreamCount(); ++index) {
            upstream(index).behave([this, status](const HttpRequest &, HttpResponder &responder,
                                                  const HttpHeaders &headers) {
                const bool isBad = ++m_atNew % 3 != 0;
                responder.send({isBad ? status : 200, headers, "new"});
            });
        }
    }

    std::size_t seenByNew()
    {
        std::size_t sum = 0;
        for (std::size_t index = firstNew; index < upstreamCount(); ++index)
            sum += upstream(index).seen().size();
        return sum;
    }

    std::atomic<int> m_requests = 0;

private:
    std::atomic<bool> m_isOver = false;
    std::atomic<int> m_atNew = 0;
    std::vector<std::thread> m_callers;
};

} // namespace

// Guards against a bad version that gets more than its part of the requests.
TEST_CASE("a bad version is rolled back, and gets nothing more")
{
    RolloutWorld world(3);
    world.spoilNew();
    world.startCallers("/once/a");
    world.order();
    world.startNew();
    world.waitUntil("it is rolled back", [&] { return world.recorded() == "rolled_back"; });
    // What was under way when the verdict was given arrives.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const std::size_t seen = world.seenByNew();
    CHECK(seen <= static_cast<std::size_t>(world.m_requests / 10 + 50));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    CHECK(world.seenByNew() == seen);
}

// Guards against a version that is accepted though most of its answers are none.
TEST_CASE("a version whose answers have a status that is none is rolled back")
{
    RolloutWorld world(3);
    world.spoilNew(999);
    world.startCallers("/once/a");
    world.order();
    world.startNew();
    world.waitUntil("it is decided on",
                    [&] { return !world.recorded().empty() && world.recorded() != "running"; });
    CHECK(world.recorded() == "rolled_back");
    CHECK(world.seenByNew() <= static_cast<std::size_t>(world.m_requests / 10 + 50));
}

// Guards against a good version that isn't accepted in time, or isn't used then.
TEST_CASE("a good version is accepted, and gets all requests")
{
    RolloutWorld world(3);
    world.startCallers("/once/a");
    world.order();
    world.startNew();
    world.waitUntil("it is accepted", [&] { return world.recorded() == "succeeded"; });
    world.stopCallers();
    const std::size_t seen = world.seenByNew();
    for (std::size_t index = 0; index < world.nodeCount(); ++index) {
        const std::string id = fmt::format("{:016x}", 0x1000000 + index);
        CHECK(world.call(world.node(index), "/once/b", id).m_status == 200);
    }
    CHECK(world.seenByNew() == seen + world.nodeCount());
}

// Guards against a roll-out that nobody goes on with when the VM that decides on it is killed.
TEST_CASE("a bad version is rolled back though the deciding VM is killed")
{
    RolloutWorld world(3);
    world.spoilNew();
    world.order();
    world.startNew();
    world.waitUntil("it is under way", [&] { return world.recorded() == "running"; });
    world.node(*world.leader()).m_process->send(SIGKILL);
    world.startCallers("/once/a");
    world.waitUntil("it is rolled back", [&] { return world.recorded() == "rolled_back"; });
    CHECK(world.seenByNew() <= static_cast<std::size_t>(world.m_requests / 10 + 50));
}

// Guards against requests that are placed on a version which an unusable order names.
TEST_CASE("an order that can't be carried out is logged, and its target gets nothing")
{
    RolloutWorld world(2);
    world.startCallers("/once/a");
    world.order({{"service", "app"}, {"target", "v2"}});
    world.startNew();
    world.waitUntil("it is logged",
                    [&] { return world.hasLogged(*world.leader(), "rollout-unusable"); });
    std::this_thread::sleep_for(std::chrono::seconds(1));
    CHECK(world.seenByNew() == 0);
    CHECK(world.recorded().empty());
}

// Guards against a roll-out that operators can neither see nor end.
TEST_CASE("operators see a roll-out at each VM, and roll it back from any")
{
    RolloutWorld world(2);
    world.startCallers("/once/a");
    world.order();
    world.startNew();
    const std::size_t other = 1 - *world.leader();
    const auto stage = [&] {
        const EntryAnswer answer = world.get(world.node(other).m_metricsPort, "/-/rollouts");
        const Json list = Json::parse(answer.m_body)["rollouts"];
        return list.empty() ? std::string() : list[0]["stage"].get<std::string>();
    };
    world.waitUntil("it is shown", [&] { return stage() == "canary"; });
    CHECK(world.post(world.node(other).m_metricsPort, "/-/rollouts/rollback/app").m_status == 200);
    world.waitUntil("it is rolled back", [&] { return world.recorded() == "rolled_back"; });
    world.waitUntil("that is shown", [&] { return stage() == "rolled-back"; });
    CHECK(world.post(world.node(other).m_metricsPort, "/-/rollouts/rollback/none").m_status == 404);
}

// Guards against a version without a roll-out that no request is placed on.
TEST_CASE("a version that serves beside another one without an order is used")
{
    RolloutWorld world(2);
    world.startCallers("/once/a");
    world.startNew();
    world.waitUntil("it is used", [&] { return world.seenByNew() > 0; });
}
