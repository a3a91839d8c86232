#include "support/entry_world.hpp"
#include "support/narrow_link.hpp"

#include <catch2/catch.hpp>

#include <chrono> // duration, steady_clock
#include <csignal> // SIGKILL
#include <cstdint> // uint64_t
#include <string> // string
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr std::size_t nodeCount = 6;
/// Routes of about 500 bytes each, as the store sends them.
constexpr int furtherRoutes = 1100;
constexpr std::uint64_t configBytes = 500'000;
/// Configurations that may be sent to a VM before it is ready: one by a peer, one by the store, and
/// as much again for abandoned transfers and for the exchanges.
constexpr std::uint64_t configsAtMost = 4;
/// 10 Mbit/s, and a fifth of it, on which the text takes longer than any single timeout.
constexpr double linkBytesPerSecond = 1'250'000;
constexpr double crowdedLinkBytesPerSecond = 250'000;

/// Fleet with a large configuration, one VM of which receives everything over one narrow link.
class NarrowWorld
{
public:
    explicit NarrowWorld(double bytesPerSecond)
        : m_link(bytesPerSecond)
        , m_world(static_cast<int>(nodeCount), true)
    {
        m_world.configure(2, {"key"}, furtherRoutes);
        for (std::size_t index = 0; index < nodeCount; ++index)
            m_world.waitUntil("adopted", [this, index] { return holdsVersion(index, 2); });
        // All answers of the other VMs count, whoever receives them; they send little to each
        // other.
        for (std::size_t index = 1; index < nodeCount; ++index)
            m_world.node(index).m_peerLink->narrow(nullptr, &m_link);
        m_world.node().m_peerLink->narrow(&m_link, nullptr);
        m_world.node().m_storeLink->narrow(nullptr, &m_link);
        for (std::size_t index = 0; index < nodeCount; ++index)
            m_world.node(index).m_peerLink->resetAll();
    }

    EntryWorld::EntryNode &node() { return m_world.node(); }

    /// Kills the VM's process without notice, starts it again, and returns the number of bytes that
    /// entered the VM until it is ready.
    std::uint64_t restart(LinkFault storeFault)
    {
        node().m_process->send(SIGKILL);
        m_world.waitUntil("ended", [this] { return node().m_process->exited(); });
        node().m_storeLink->set(storeFault);
        const std::uint64_t before = m_link.bytes();
        m_world.start(node());
        m_world.waitUntil("ready", [this] { return m_world.isReady(node()); });
        return m_link.bytes() - before;
    }

    /// Cuts the running VM off from the store, writes a version, and returns the number of bytes
    /// that entered the VM until it has that version.
    std::uint64_t configureWithoutStore(int version)
    {
        node().m_storeLink->set(LinkFault::Silence);
        const std::uint64_t before = m_link.bytes();
        m_world.configure(version, {"key"}, furtherRoutes);
        m_world.waitUntil("told", [this, version] { return holdsVersion(0, version); });
        return m_link.bytes() - before;
    }

private:
    bool holdsVersion(std::size_t index, int version)
    {
        const std::string body = m_world.get(m_world.node(index).m_metricsPort, "/metrics").m_body;
        const std::string line = fmt::format("\ngypsumdale_config_version {}\n", version);
        return body.find(line) != std::string::npos;
    }

    NarrowLink m_link;
    EntryWorld m_world;
};

} // namespace

// Guards against peers that all send the full configuration at once, so that none of the transfers
// completes.
TEST_CASE("a VM behind a narrow link that the store doesn't answer gets the configuration")
{
    const double bytesPerSecond = GENERATE(linkBytesPerSecond, crowdedLinkBytesPerSecond);
    NarrowWorld world(bytesPerSecond);
    const std::uint64_t entered = world.restart(LinkFault::Silence);
    INFO("bytes entered: " << entered << " at " << bytesPerSecond << " a second");
    CHECK(entered < configsAtMost * configBytes);
}

// Guards against peers that fill the link on which the store's answer arrives.
TEST_CASE("a VM behind a narrow link reads the configuration from the store")
{
    const double bytesPerSecond = GENERATE(linkBytesPerSecond, crowdedLinkBytesPerSecond);
    NarrowWorld world(bytesPerSecond);
    const std::uint64_t entered = world.restart(LinkFault::None);
    INFO("bytes entered: " << entered << " at " << bytesPerSecond << " a second");
    CHECK(entered < configsAtMost * configBytes);
}

// Guards against a promise that holds in small fleets only, where texts are sent unrequested.
TEST_CASE("a VM that is cut off from the store gets a new version from one peer")
{
    NarrowWorld world(linkBytesPerSecond);
    const auto begunAt = std::chrono::steady_clock::now();
    const std::uint64_t entered = world.configureWithoutStore(3);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begunAt;
    INFO("bytes entered: " << entered << " in " << took.count() << " s");
    CHECK(entered < configsAtMost * configBytes);
}
