#include <gypsumdale/entry/entry_crashes.hpp>
#include <gypsumdale/entry/peer_wire.hpp>
#include <gypsumdale/serving/crash_elements.hpp>

#include <entry_types.h>

#include <catch2/catch.hpp>

#include <chrono> // minutes, seconds
#include <string> // string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const ServiceId service("llm");
const ServiceId otherService("shop");

CrashElements part(const std::string &name)
{
    return {CrashElement("part:m:" + name)};
}

CrashElements request(const std::string &digest, const std::vector<std::string> &parts)
{
    return crashElementsOf(RequestDigest(digest), "m", parts);
}

struct Crashes
{
    Crashes() { m_clock.pause(); }

    void reject(Duration remaining, bool isTrialHere)
    {
        QuarantineEntry entry;
        entry.m_service = service;
        entry.m_elements = part("x");
        entry.m_times = 1;
        entry.m_until = m_clock.now() + remaining;
        entry.m_isTrialHere = isTrialHere;
        m_crashes.set({}, {entry});
    }

    Clock m_clock;
    EntryCrashes m_crashes{m_clock};
};

} // namespace

TEST_CASE("requests that hold all elements of an entry are rejected")
{
    Crashes world;
    CHECK_FALSE(world.m_crashes.hasQuarantine());
    world.reject(60s, true);
    const EntryCrashes &crashes = world.m_crashes;
    CHECK(crashes.hasQuarantine());
    CHECK(crashes.rejectedFor(service, request("r", {"a", "x"})) == Duration(60s));
    CHECK_FALSE(crashes.rejectedFor(service, request("r", {"a"})));
    CHECK_FALSE(crashes.rejectedFor(otherService, request("r", {"a", "x"})));
}

// Guards against every VM trying again what crashed its upstreams.
TEST_CASE("a rejected request is tried once, at one VM, after its time")
{
    Crashes world;
    EntryCrashes &crashes = world.m_crashes;
    const CrashElements lethal = request("r", {"x"});

    SECTION("not before")
    {
        world.reject(60s, true);
        CHECK_FALSE(crashes.takeTrial(service, lethal));
    }
    SECTION("not at other VMs")
    {
        world.reject(0s, false);
        CHECK_FALSE(crashes.takeTrial(service, lethal));
        CHECK(crashes.rejectedFor(service, lethal));
    }
    SECTION("once, until it is known what became of it")
    {
        world.reject(0s, true);
        CHECK(crashes.takeTrial(service, lethal));
        CHECK_FALSE(crashes.takeTrial(service, lethal));
        world.m_clock.advance(31s);
        world.reject(0s, true);
        CHECK(crashes.takeTrial(service, lethal));
    }
}

TEST_CASE("what has delivered something is proved for a while")
{
    Crashes world;
    EntryCrashes &crashes = world.m_crashes;
    crashes.recordProof(service, part("a"));
    CHECK(crashes.provenOf(service, request("r", {"a", "x"})) == part("a"));
    CHECK(crashes.provenOf(otherService, part("a")).empty());

    SECTION("as long as it goes on doing so")
    {
        for (int second = 0; second < 120; ++second) {
            world.m_clock.advance(1s);
            crashes.recordProof(service, part("a"));
        }
        CHECK(crashes.provenOf(service, part("a")) == part("a"));
    }
    SECTION("and then no longer")
    {
        world.m_clock.advance(61s);
        CHECK(crashes.provenOf(service, part("a")).empty());
        crashes.recordProof(service, part("b"));
        CHECK(crashes.provenOf(service, part("a")).empty());
    }
}

TEST_CASE("deliveries are passed on if they are news")
{
    Crashes world;
    EntryCrashes &crashes = world.m_crashes;
    int passedOn = 0;
    crashes.connect(nullptr, [&](const ServiceId &, const CrashElements &) { ++passedOn; });
    crashes.recordProof(service, part("a"));
    CHECK(passedOn == 0);
    crashes.set(part("a"), {});
    crashes.recordProof(service, part("a"));
    CHECK(passedOn == 1);
    world.reject(60s, false);
    crashes.recordProof(service, request("r", {"x"}));
    CHECK(passedOn == 2);
}

TEST_CASE("a request waits as long as one of its broken runs is judged")
{
    Crashes world;
    EntryCrashes &crashes = world.m_crashes;
    BrokenRun run;
    run.m_request = RequestId("r");
    crashes.recordBroken(run);
    CHECK_FALSE(crashes.mustWait(run.m_request));
    crashes.connect([](const BrokenRun &) {}, nullptr);
    crashes.recordBroken(run);
    crashes.recordBroken(run);
    crashes.endJudgement(run.m_request);
    CHECK(crashes.mustWait(run.m_request));
    crashes.endJudgement(run.m_request);
    CHECK_FALSE(crashes.mustWait(run.m_request));
}

TEST_CASE("ends and entries travel between VMs")
{
    const TimePoint sent{2h};
    const TimePoint received{5h};
    const UpstreamEnd end{{UpstreamId("u"), 7},
                          service,
                          sent - 2s,
                          {{request("r", {"x"}), true}, {part("y"), false}}};
    const UpstreamEnd decoded = decodeEnd(encodeEnd(end, sent), received);
    CHECK(decoded.m_process == end.m_process);
    CHECK(decoded.m_service == service);
    CHECK(decoded.m_endedAt == received - 2s);
    REQUIRE(decoded.m_runs.size() == 2);
    CHECK(decoded.m_runs[0].m_elements == request("r", {"x"}));
    CHECK(decoded.m_runs[0].m_hasBegun);
    CHECK_FALSE(decoded.m_runs[1].m_hasBegun);

    CrashQuarantine quarantine;
    quarantine.add(service, part("x"), false, sent);
    const auto entries =
            decodeQuarantine(encodeQuarantine(quarantine.sharedEntries(), sent + 10s), received);
    REQUIRE(entries.size() == 1);
    CHECK(entries[0].m_service == service);
    CHECK(entries[0].m_elements == part("x"));
    CHECK(entries[0].m_times == 1);
    CHECK(entries[0].m_until == received + 50s);
    CHECK_FALSE(entries[0].m_isLifted);
}

// Guards against entries that two VMs renew for each other with every exchange, never forgotten.
TEST_CASE("an entry whose time is over is no news, and is forgotten")
{
    TimePoint now{2h};
    CrashQuarantine one;
    CrashQuarantine other;
    one.add(service, part("x"), false, now);
    for (int second = 0; second < 900; ++second) {
        const auto toOther = decodeQuarantine(encodeQuarantine(one.sharedEntries(), now), now);
        for (const QuarantineEntry &entry : toOther)
            CHECK(other.merge(entry, now) == (second == 0));
        const auto back = decodeQuarantine(encodeQuarantine(other.sharedEntries(), now), now);
        for (const QuarantineEntry &entry : back)
            CHECK_FALSE(one.merge(entry, now));
        one.expire(now);
        other.expire(now);
        now += 1s;
    }
    CHECK(one.entries().empty());
    CHECK(other.entries().empty());
}
