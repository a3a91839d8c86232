#include "support/crash_world.hpp"

#include <catch2/catch.hpp>

#include <atomic> // atomic
#include <chrono> // milliseconds, seconds
#include <csignal> // SIGKILL
#include <cstddef> // size_t
#include <string> // string
#include <thread> // jthread, sleep_for
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr int vms = 3;
/// Most upstreams that requests with one part may end.
constexpr int toleratedEnds = 5;
constexpr int attempts = 20;
constexpr std::chrono::milliseconds betweenAttempts{250};
constexpr std::chrono::milliseconds betweenCrashes{400};
constexpr std::chrono::milliseconds afterFailure{100};

/// Sends requests with the part that crashes its upstreams to all VMs in turn.
void sendCrashing(CrashWorld &world)
{
    for (int attempt = 0; attempt < attempts; ++attempt) {
        world.sendCrashingPart(static_cast<std::size_t>(attempt) % world.nodeCount());
        std::this_thread::sleep_for(betweenAttempts);
    }
}

/// Clients that send requests with the same first part to all VMs, one after the other.
class PromptCallers
{
public:
    explicit PromptCallers(CrashWorld &world)
    {
        for (std::size_t index = 0; index < world.nodeCount(); ++index) {
            m_threads.emplace_back([this, &world, index](const std::stop_token &stop) {
                while (!stop.stop_requested())
                    count(world.isPromptServed(index));
            });
        }
    }

    void stop() { m_threads.clear(); }
    int sent() const { return m_sent; }
    int served() const { return m_served; }

private:
    void count(bool isServed)
    {
        ++m_sent;
        m_served += isServed ? 1 : 0;
        if (!isServed)
            std::this_thread::sleep_for(afterFailure);
    }

    std::atomic<int> m_sent = 0;
    std::atomic<int> m_served = 0;
    std::vector<std::jthread> m_threads;
};

void checkPromptsServedEverywhere(CrashWorld &world)
{
    for (std::size_t index = 0; index < world.nodeCount(); ++index)
        CHECK(world.isPromptServed(index));
}

} // namespace

// Guards against a part of prompts that ends one upstream after the other, in requests of which no
// two are alike.
TEST_CASE("a prompt part that crashes its upstreams ends five of them and no sixth")
{
    CrashWorld world(vms);
    sendCrashing(world);
    CHECK(world.ends() <= toleratedEnds);
    checkPromptsServedEverywhere(world);
}

// Guards against requests being rejected that share other parts and the client account with ones
// that crash their upstreams.
TEST_CASE("requests that share a first part with ones that crash upstreams are served")
{
    CrashWorld world(vms);
    PromptCallers callers(world);
    sendCrashing(world);
    CHECK(world.ends() <= toleratedEnds);
    checkPromptsServedEverywhere(world);
    callers.stop();
    CAPTURE(callers.sent(), callers.served());
    CHECK(10 * callers.served() >= 9 * callers.sent());
}

// Guards against a part that is taken for the cause of crashes because all requests hold it.
TEST_CASE("prompts at upstreams that crash by themselves are never rejected for it")
{
    CrashWorld world(vms);
    PromptCallers callers(world);
    for (std::size_t crash = 0; crash < 12; ++crash) {
        world.crash(crash % CrashWorld::defaultUpstreams);
        std::this_thread::sleep_for(betweenCrashes);
    }
    callers.stop();
    CAPTURE(callers.sent(), callers.served());
    CHECK(10 * callers.served() >= 9 * callers.sent());
    checkPromptsServedEverywhere(world);
}

// Guards against a VM that starts and doesn't know what the others know.
TEST_CASE("a VM that starts later doesn't send a part that crashes its upstreams")
{
    CrashWorld world(vms);
    for (int attempt = 0; attempt < 5; ++attempt)
        world.sendCrashingPart(0);
    const int before = world.ends();
    world.node(1).m_process->send(SIGKILL);
    world.waitUntil("ended", [&] { return world.node(1).m_process->exited(); });
    world.start(world.node(1));
    world.waitUntil("ready again", [&] { return world.isReady(world.node(1)); });
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const EntryAnswer answer = world.sendCrashingPart(1);
    CHECK(answer.m_status == 503);
    CHECK_FALSE(answer.m_headers.value("Retry-After").empty());
    CHECK(world.ends() == before);
}

// Guards against a part of an event being taken for a delivery, which would prove the part
// harmless.
TEST_CASE("a prompt part that crashes its upstreams within an event is found")
{
    const std::string target = GENERATE("/draft/x", "/stream/x");
    CrashWorld world(vms);
    world.writePartialEvents();
    world.configureWithoutMoves(2);
    for (int attempt = 0; attempt < attempts; ++attempt) {
        world.sendCrashingPart(static_cast<std::size_t>(attempt) % world.nodeCount(), target);
        std::this_thread::sleep_for(betweenAttempts);
    }
    CAPTURE(target);
    CHECK(world.ends() <= toleratedEnds);
}
