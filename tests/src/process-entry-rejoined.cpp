#include "support/version_world.hpp"

#include <catch2/catch.hpp>

#include <array> // array
#include <chrono> // milliseconds
#include <csignal> // SIGKILL
#include <deque> // deque
#include <set> // set
#include <string> // string
#include <thread> // sleep_for

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr int vmCount = 3;
constexpr int streamCount = 9;
constexpr int attemptsPerStream = 5;

/// What becomes of the upstreams that began the streams while all VMs are dead.
enum class Release {
    /// Some of them stay beside those of another software version.
    Half,
    /// Others of another software version stand at their addresses.
    Whole,
    /// They have already left when the VMs die, and others stand at their addresses.
    WholeBefore,
    /// They start again as another software version under their own ids.
    SameIds,
};

constexpr std::array<Release, 4> releases = {Release::Half, Release::Whole, Release::WholeBefore,
                                             Release::SameIds};

/// VMs that are killed at once, all of them, while clients read streams.
struct RejoinWorld : VersionWorld
{
    RejoinWorld()
        : VersionWorld(vmCount, {"v1", "v1", "v1"})
    {}

    std::uint16_t portFor(int stream) { return node(stream % vmCount).m_callerPort; }

    void beginStreams()
    {
        m_staysOpen = true;
        for (int stream = 0; stream < streamCount; ++stream) {
            StreamCaller &caller = m_callers.emplace_back("/stream/x");
            REQUIRE(caller.begin(portFor(stream), fmt::format("r-{}", stream)));
        }
    }

    void replace(Release release)
    {
        const std::size_t count = release == Release::Half ? 1 : upstreamCount();
        for (std::size_t index = 0; index < count; ++index) {
            if (release == Release::SameIds)
                restartUpstream(index, "v2");
            else
                replaceUpstream(index, "v2");
        }
    }

    void killAll()
    {
        for (std::size_t index = 0; index < nodeCount(); ++index)
            node(index).m_process->send(SIGKILL);
        for (StreamCaller &caller : m_callers)
            caller.finish();
    }

    void startAll()
    {
        for (std::size_t index = 0; index < nodeCount(); ++index)
            start(node(index));
    }

    /// Takes a stream up at one VM after the other, from the moment at which its first one accepts
    /// connections.
    void takeUp(int stream)
    {
        StreamCaller &caller = m_callers[static_cast<std::size_t>(stream)];
        for (int attempt = 1; attempt <= attemptsPerStream && !isWhole(caller); ++attempt) {
            const std::string id = fmt::format("r-{}-{}", stream, attempt);
            int status = 0;
            waitUntil("it is answered", [&] {
                status = caller.attempt(portFor(stream + attempt), id);
                return status != 0;
            });
            CHECK((status == 200 || status == 503));
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    static bool isWhole(const StreamCaller &caller) { return caller.received().m_isWhole; }

    std::deque<StreamCaller> m_callers;
};

} // namespace

// Guards against streams joined from two software versions, which clients take up after all VMs
// died at once and with them every record of where the streams began.
TEST_CASE("streams that are taken up after the death of all VMs are never joined of two versions")
{
    const Release release = GENERATE(from_range(releases));
    CAPTURE(static_cast<int>(release));
    RejoinWorld world;
    world.beginStreams();
    if (release == Release::WholeBefore)
        world.replace(release);
    world.killAll();
    if (release != Release::WholeBefore)
        world.replace(release);
    world.m_staysOpen = false;
    world.m_eventsPerRun = lastEvent;
    world.startAll();
    for (int stream = 0; stream < streamCount; ++stream)
        world.takeUp(stream);
    for (const StreamCaller &caller : world.m_callers) {
        CHECK(caller.received().m_versions == std::set<std::string>{"v1"});
        CHECK_FALSE(caller.received().m_hasGap);
        // What doesn't go on says that it may be tried again.
        const bool isRejected = caller.lastAnswer().find("Retry-After: ") != std::string::npos;
        CHECK((RejoinWorld::isWhole(caller) || isRejected));
    }
    world.waitUntil("new streams begin", [&] {
        StreamCaller caller("/stream/x");
        caller.attempt(world.portFor(0), "next");
        return RejoinWorld::isWhole(caller);
    });
}
