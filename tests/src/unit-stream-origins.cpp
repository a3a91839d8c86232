#include <gypsumdale/serving/stream_origins.hpp>

#include <catch2/catch.hpp>

#include <algorithm> // find
#include <chrono> // seconds
#include <set> // set
#include <string> // string, to_string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1000s};
const StreamOrigin firstVersion{ServiceId("s"), SoftwareVersion("v1")};
const StreamOrigin secondVersion{ServiceId("s"), SoftwareVersion("v2")};

StreamOriginRecord recordOf(const std::string &request, const StreamOrigin &origin,
                            Duration lifetime = 10s)
{
    StreamOriginRecord record;
    record.m_request = RequestId(request);
    record.m_origin = origin;
    record.m_source = "vm-1";
    record.m_recordedAt = start;
    record.m_expiresAt = start + lifetime;
    return record;
}

} // namespace

TEST_CASE("records of streams' origins")
{
    StreamOrigins origins(3);
    origins.record(recordOf("r-1", firstVersion), start);

    SECTION("are found until they expire")
    {
        const auto found = origins.find(RequestId("r-1"), start + 9s);
        REQUIRE(found);
        CHECK(found->m_origin == firstVersion);
        CHECK(found->isUsable());
        CHECK_FALSE(origins.find(RequestId("r-1"), start + 10s));
        CHECK_FALSE(origins.find(RequestId("r-2"), start));
    }
    SECTION("live on if they are recorded again")
    {
        origins.record(recordOf("r-1", firstVersion, 30s), start + 5s);
        CHECK(origins.find(RequestId("r-1"), start + 29s)->isUsable());
        origins.record(recordOf("r-1", firstVersion, 10s), start + 6s);
        CHECK(origins.find(RequestId("r-1"), start + 29s));
    }
    SECTION("can't be used where one id began at two versions")
    {
        origins.record(recordOf("r-1", secondVersion), start);
        CHECK_FALSE(origins.find(RequestId("r-1"), start)->isUsable());
        // Nor after a later report of one of them.
        origins.record(recordOf("r-1", firstVersion), start);
        CHECK_FALSE(origins.find(RequestId("r-1"), start)->isUsable());
    }
    SECTION("can't be used where the version isn't known")
    {
        origins.record(recordOf("r-2", {ServiceId("s"), SoftwareVersion()}), start);
        CHECK_FALSE(origins.find(RequestId("r-2"), start)->isUsable());
    }
    SECTION("are bounded: the one that expires next is dropped, and counted")
    {
        origins.record(recordOf("r-2", firstVersion, 5s), start);
        origins.record(recordOf("r-3", firstVersion), start);
        origins.record(recordOf("r-4", firstVersion), start);
        CHECK(origins.size() == 3);
        CHECK(origins.dropped() == 1);
        CHECK_FALSE(origins.find(RequestId("r-2"), start));
        CHECK(origins.find(RequestId("r-4"), start));
        // Expired ones make room without being counted.
        origins.record(recordOf("r-5", firstVersion, 60s), start + 20s);
        CHECK(origins.size() == 1);
        CHECK(origins.dropped() == 1);
    }
}

TEST_CASE("the holders of a stream's record")
{
    constexpr int vmCount = 12;
    std::vector<OriginHolder> vms;
    vms.reserve(vmCount);
    for (int number = 0; number < vmCount; ++number)
        vms.push_back({NodeId("vm-" + std::to_string(number)),
                       DataCentreId("dc-" + std::to_string(number % 3))});
    const auto dataCentreOf = [&vms](const NodeId &node) {
        const auto found = std::find_if(vms.begin(), vms.end(), [&node](const OriginHolder &vm) {
            return vm.m_node == node;
        });
        return found->m_dataCentre;
    };
    std::set<NodeId> first;
    for (int number = 0; number < 100; ++number) {
        const RequestId request("r-" + std::to_string(number));
        const std::vector<NodeId> ranked = rankOriginHolders(request, vms);
        REQUIRE(ranked.size() == vms.size());
        CHECK(std::set<NodeId>(ranked.begin(), ranked.end()).size() == vms.size());
        const std::set<DataCentreId> covered = {dataCentreOf(ranked[0]), dataCentreOf(ranked[1]),
                                                dataCentreOf(ranked[2])};
        CHECK(covered.size() == 3);
        first.insert(ranked[0]);

        // Other holders keep their place when one is gone.
        std::vector<OriginHolder> others = vms;
        std::erase_if(others, [&ranked](const OriginHolder &vm) { return vm.m_node == ranked[0]; });
        const std::vector<NodeId> remaining = rankOriginHolders(request, others);
        const auto end = remaining.begin() + 4;
        CHECK(std::find(remaining.begin(), end, ranked[1]) != end);
        CHECK(std::find(remaining.begin(), end, ranked[2]) != end);
    }
    // They are spread over all VMs.
    CHECK(first.size() == vms.size());
    CHECK(rankOriginHolders(RequestId("r-1"), {}).empty());
}

TEST_CASE("a stream's binding")
{
    StreamBinding binding;
    CHECK_FALSE(binding.requiredVersion());
    CHECK(binding.allows(secondVersion));
    CHECK(binding.bind(firstVersion));

    SECTION("stays what it was at first")
    {
        CHECK_FALSE(binding.bind(secondVersion));
        CHECK(binding.requiredVersion() == SoftwareVersion("v1"));
    }
    SECTION("allows the same service and version only")
    {
        CHECK(binding.allows(firstVersion));
        CHECK_FALSE(binding.allows(secondVersion));
        CHECK_FALSE(binding.allows({ServiceId("other"), SoftwareVersion("v1")}));
        CHECK_FALSE(binding.allows({ServiceId("s"), SoftwareVersion()}));
    }
    SECTION("to an unknown version allows nothing")
    {
        StreamBinding unknown;
        unknown.bind({ServiceId("s"), SoftwareVersion()});
        CHECK(unknown.requiredVersion() == SoftwareVersion());
        CHECK_FALSE(unknown.allows({ServiceId("s"), SoftwareVersion()}));
        CHECK_FALSE(unknown.allows(firstVersion));
    }
}
