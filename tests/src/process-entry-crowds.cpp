#include "support/caller_crowd.hpp"
#include "support/entry_world.hpp"

#include <catch2/catch.hpp>

#include <cstddef> // size_t
#include <string> // string

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
/// Memory and descriptors of the smallest VM. Some descriptors are kept for other uses.
constexpr std::size_t vmMemory = 160 * mebibyte;
constexpr std::size_t vmDescriptors = 4100 - 200;
/// Memory from which the process can bear a second crowd.
constexpr std::size_t settledMemory = vmMemory / 2;
constexpr std::size_t bodyLimit = mebibyte;
constexpr std::size_t bodyClients = 200;
constexpr std::size_t headClients = 2500;
constexpr Duration slowAnswer = std::chrono::seconds(2);
/// Connections to upstreams that a process may keep after a crowd, and some for other uses.
constexpr std::size_t keptConnections = 32;

/// One VM with a lowered limit of bodies. Its upstreams answer large bodies late.
struct CrowdWorld : EntryWorld
{
    CrowdWorld()
    {
        Json config = configuration(2, {"key"});
        config["limits"] = {{"max-body-bytes", bodyLimit}};
        store().put("config", "main", config);
        waitUntil("the limit is in force", [this] {
            return fullLog(node()).find("\"config_version\":2") != std::string::npos;
        });
        behave([](const HttpRequest &request, HttpResponder &responder,
                  const HttpHeaders &headers) {
            const bool isOfCrowd = request.m_body.size() == bodyLimit
                                   && request.m_headers.value("Gypsumdale-Request-Id") != "full";
            if (isOfCrowd)
                sleepFiber(slowAnswer);
            responder.send({200, headers, "answer"});
        });
    }

    ChildProcess &process() { return *node().m_process; }
};

} // namespace

// Guards against a process that a crowd of clients ends by using up its memory.
TEST_CASE("a crowd of large requests leaves a process within its memory")
{
    const CrowdBody body = GENERATE(CrowdBody::OneByteShort, CrowdBody::LargeChunks,
                                    CrowdBody::SmallChunks, CrowdBody::EndlessChunks,
                                    CrowdBody::FarTooLong, CrowdBody::Whole, CrowdBody::HeadOnly);
    INFO("each sends: " << enumName(crowdBodyNames, body));
    CrowdWorld world;
    const std::size_t calmDescriptors = world.process().openDescriptors();
    CallerCrowd crowd(body, bodyLimit, body == CrowdBody::HeadOnly ? headClients : bodyClients);
    crowd.send(world.node().m_callerPort);
    CHECK(world.process().openDescriptors() < vmDescriptors);
    CHECK(world.call(world.node(), "/again/x", "ordinary").m_status == 200);
    crowd.leave();
    world.waitUntil("the crowd's requests are over", [&] {
        return world.process().openDescriptors() <= calmDescriptors + keptConnections;
    });
    CHECK(world.callWith(world.node(), "/again/x", "full", std::string(bodyLimit, 'a'), 20000)
                  .m_status
          == 200);
    CHECK_FALSE(world.process().exited());
    CHECK(world.process().peakMemory() < vmMemory);
    CHECK(world.process().residentMemory() < settledMemory);
}
