#include <gypsumdale/serving/version_gate.hpp>

#include <catch2/catch.hpp>

#include <string> // to_string

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
const ServiceId service("llm");
const SoftwareVersion oldVersion("v1");
const SoftwareVersion newVersion("v2");

UpstreamRecord upstream(const std::string &id, const SoftwareVersion &version)
{
    UpstreamRecord record;
    record.m_id = UpstreamId(id);
    record.m_service = service;
    record.m_softwareVersion = version;
    return record;
}

std::map<UpstreamId, UpstreamRecord> upstreams(int olds, int news)
{
    std::map<UpstreamId, UpstreamRecord> list;
    for (int number = 0; number < olds; ++number) {
        const UpstreamRecord record = upstream("old" + std::to_string(number), oldVersion);
        list.emplace(record.m_id, record);
    }
    for (int number = 0; number < news; ++number) {
        const UpstreamRecord record = upstream("new" + std::to_string(number), newVersion);
        list.emplace(record.m_id, record);
    }
    return list;
}

std::map<ServiceId, VersionAccess> leased(double share, TimePoint until)
{
    VersionAccess access;
    access.m_open = {oldVersion};
    access.m_closed = {newVersion};
    access.m_lease = ExposureLease{newVersion, share, {UpstreamId("new0")}, until};
    return {{service, access}};
}

bool usesNew(const VersionGate &gate, double drawn = 0, TimePoint now = start)
{
    return gate.scope(service, drawn, false, now).allows(upstream("new0", newVersion));
}

bool usesOld(const VersionGate &gate, TimePoint now = start)
{
    return gate.scope(service, 1, false, now).allows(upstream("old0", oldVersion));
}

} // namespace

TEST_CASE("a version that nobody has vouched for gets nothing")
{
    VersionGate gate;
    gate.setUpstreams(upstreams(3, 0));
    CHECK_FALSE(gate.needsAnswer());
    gate.setUpstreams(upstreams(3, 3));
    CHECK(usesOld(gate));
    CHECK_FALSE(usesNew(gate));
    CHECK(gate.isUndecided());
}

TEST_CASE("a VM that starts in the middle of a roll-out uses the version of most upstreams")
{
    VersionGate gate;
    gate.setUpstreams(upstreams(3, 2));
    CHECK(usesOld(gate));
    CHECK_FALSE(usesNew(gate));
}

TEST_CASE("a version without a roll-out is used once the deciding VM has vouched for it")
{
    VersionGate gate;
    gate.setUpstreams(upstreams(3, 3));
    gate.setAccess({{service, VersionAccess{{oldVersion, newVersion}, {}, std::nullopt}}});
    CHECK(usesNew(gate));
    CHECK_FALSE(gate.needsAnswer());
}

TEST_CASE("a lease gives its part to its upstreams only, and ends by itself")
{
    VersionGate gate;
    gate.setUpstreams(upstreams(3, 3));
    gate.setAccess(leased(0.1, start + 1s));
    CHECK(usesNew(gate, 0.05));
    CHECK_FALSE(usesNew(gate, 0.15));
    CHECK_FALSE(gate.scope(service, 0.05, false, start).allows(upstream("new1", newVersion)));
    CHECK_FALSE(usesNew(gate, 0.05, start + 1s));
    CHECK(usesOld(gate, start + 1s));
}

TEST_CASE("a repeat is no canary, but goes to the new version after the handover")
{
    VersionGate gate;
    gate.setUpstreams(upstreams(3, 3));
    gate.setAccess(leased(0.1, start + 1s));
    CHECK_FALSE(gate.scope(service, 0, true, start).m_isCanary);
    gate.setAccess(leased(1, start + 1s));
    CHECK(gate.scope(service, 1, true, start).m_isCanary);
}

TEST_CASE("a version that was rolled back gets nothing though all others have gone")
{
    VersionGate gate;
    gate.setUpstreams(upstreams(3, 3));
    gate.setAccess({{service, VersionAccess{{oldVersion}, {newVersion}, std::nullopt}}});
    gate.setUpstreams(upstreams(0, 3));
    CHECK_FALSE(usesNew(gate));
}

TEST_CASE("a version that replaces all others is used where nobody decides")
{
    VersionGate gate;
    gate.setUpstreams(upstreams(3, 0));
    gate.setUpstreams(upstreams(0, 3));
    CHECK(usesNew(gate));
}

TEST_CASE("a VM that finds a version bad uses no further lease of it")
{
    VersionGate gate;
    gate.setUpstreams(upstreams(3, 3));
    gate.setAccess(leased(0.1, start + 1s));
    gate.distrust(service);
    CHECK_FALSE(usesNew(gate));
    gate.setAccess(leased(0.1, start + 2s));
    CHECK_FALSE(usesNew(gate));
}

TEST_CASE("a stream goes on at a leased version, and not at one that was rolled back")
{
    VersionGate gate;
    gate.setUpstreams(upstreams(3, 3));
    const UpstreamRecord target = upstream("new1", newVersion);
    gate.setAccess(leased(0.1, start + 1s));
    CHECK(gate.boundScope(service, newVersion, start).allows(target));
    CHECK_FALSE(gate.boundScope(service, newVersion, start + 1s).allows(target));
    CHECK(gate.boundScope(service, oldVersion, start).allows(upstream("old1", oldVersion)));
}
