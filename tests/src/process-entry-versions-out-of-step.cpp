#include "support/version_world.hpp"

#include <catch2/catch.hpp>

#include <csignal> // SIGCONT, SIGSTOP
#include <cstddef> // size_t
#include <deque> // deque
#include <set> // set
#include <string> // string
#include <thread> // sleep_for

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr int streamCount = 12;
constexpr std::chrono::seconds outOfStep(4);
const std::string newVersion = "v2";

/// How the first VM misses what the others learn.
enum class OutOfStep {
    /// It reaches neither the store nor its peers, nor they each other.
    CutOff,
    /// It doesn't reach the store.
    WithoutStore,
    /// Its process is stopped.
    Stopped,
};

/// Three VMs and two upstreams of each of two versions: the newer ones stand at the addresses of
/// two older ones, which left while the first VM was out of step.
class ReleaseWorld : public VersionWorld
{
public:
    explicit ReleaseWorld(OutOfStep kind)
        : VersionWorld(3, {"v1", "v1", "v1", "v1"})
        , m_kind(kind)
    {
        setOutOfStep(true);
        for (const std::size_t index : {2, 3})
            replaceUpstream(index, newVersion);
    }

    void setOutOfStep(bool isOutOfStep)
    {
        if (m_kind == OutOfStep::Stopped) {
            node(0).m_process->send(isOutOfStep ? SIGSTOP : SIGCONT);
            return;
        }
        const LinkFault fault = isOutOfStep ? LinkFault::Silence : LinkFault::None;
        node(0).m_storeLink->set(fault);
        if (m_kind == OutOfStep::WithoutStore)
            return;
        for (std::size_t index = 0; index < nodeCount(); ++index)
            node(index).m_peerLink->set(fault);
    }

    /// Lets streams begin at an upstream of the new version and break after their first events.
    std::deque<StreamCaller> beginAtNewVersion()
    {
        std::deque<StreamCaller> begun;
        waitUntil("streams have begun at the new version", [&] {
            StreamCaller &caller = begun.emplace_back("/stream/x");
            caller.attempt(node(1).m_callerPort, fmt::format("r-{}", ++m_sent));
            if (caller.received().m_versions != std::set<std::string>{newVersion})
                begun.pop_back();
            return begun.size() == streamCount;
        });
        return begun;
    }

    /// Lets the clients take their streams up at the first VM. Returns how many are whole then.
    int takeUp(std::deque<StreamCaller> &callers)
    {
        int whole = 0;
        for (StreamCaller &caller : callers) {
            if (!caller.received().m_isWhole)
                caller.attempt(node(0).m_callerPort, fmt::format("r-{}", ++m_sent));
            whole += caller.received().m_isWhole && !caller.received().m_hasGap ? 1 : 0;
        }
        return whole;
    }

private:
    OutOfStep m_kind;
    int m_sent = 0;
};

int mixedCount(const std::deque<StreamCaller> &callers)
{
    int mixed = 0;
    for (const StreamCaller &caller : callers)
        mixed += caller.received().m_versions.size() > 1 ? 1 : 0;
    return mixed;
}

} // namespace

// Guards against a VM that missed a release and takes up a stream of it at another version.
TEST_CASE("a VM that is out of step with a release goes on with its streams at no other version")
{
    const OutOfStep kind = GENERATE(OutOfStep::CutOff, OutOfStep::WithoutStore, OutOfStep::Stopped);
    CAPTURE(static_cast<int>(kind));
    ReleaseWorld world(kind);
    world.m_eventsPerRun = 1;
    std::deque<StreamCaller> callers = world.beginAtNewVersion();
    world.m_eventsPerRun = lastEvent;
    if (kind != OutOfStep::Stopped)
        world.takeUp(callers);
    CHECK(mixedCount(callers) == 0);

    std::this_thread::sleep_for(outOfStep);
    world.setOutOfStep(false);
    // At once, before it can have heard of the release.
    world.takeUp(callers);
    CHECK(mixedCount(callers) == 0);
    // And as soon as it is in step again.
    world.waitUntil("they have gone on", [&] { return world.takeUp(callers) == streamCount; });
    CHECK(mixedCount(callers) == 0);
}
