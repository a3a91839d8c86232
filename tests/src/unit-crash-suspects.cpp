#include <gypsumdale/serving/crash_elements.hpp>
#include <gypsumdale/serving/crash_quarantine.hpp>
#include <gypsumdale/serving/crash_suspects.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono> // hours, milliseconds, minutes
#include <optional> // optional
#include <string> // string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const ServiceId service("llm");
const TimePoint start{1h};

CrashElements elements(const std::string &request, const std::vector<std::string> &parts)
{
    return crashElementsOf(RequestDigest(request), "m", parts);
}

CrashElements part(const std::string &name)
{
    return {CrashElement("part:m:" + name)};
}

/// Records ends a while apart, each with the same suspected runs.
class Recorder
{
public:
    void end(const std::vector<SuspectRun> &runs)
    {
        m_now += 200ms;
        const UpstreamId id(fmt::format("u-{}", ++m_ends));
        m_suspects.record({{id, 0}, service, m_now, runs}, m_now);
    }

    std::optional<CrashElements> cause(const std::vector<CrashElements> &known = {}) const
    {
        return m_suspects.findCause(service, known);
    }

    CrashSuspects m_suspects;

private:
    TimePoint m_now = start;
    int m_ends = 0;
};

} // namespace

TEST_CASE("elements of requests")
{
    const CrashElements one = elements("r1", {"a", "b", "c"});
    CHECK(one.size() == 4);
    CHECK(holdsAll(one, part("b")));
    CHECK_FALSE(holdsAll(part("b"), one));
    CHECK(commonElements(one, elements("r2", {"a", "d"})) == part("a"));
    CHECK(holdsWholeRequest(one));
    CHECK_FALSE(holdsWholeRequest(part("b")));
    CHECK(commonElements(one, crashElementsOf(RequestDigest("r2"), "other", {"a"})).empty());
}

TEST_CASE("the cause of ends is what their runs have in common")
{
    Recorder recorder;
    recorder.end({{elements("r1", {"a", "x", "1"}), true}});
    recorder.end({{elements("r2", {"b", "x", "2"}), true}});
    CHECK_FALSE(recorder.cause());
    recorder.end({{elements("r3", {"a", "x", "3"}), true}});
    CHECK(recorder.cause() == part("x"));
    CHECK_FALSE(recorder.cause({part("x")}));
}

// Guards against a part being rejected that nothing but its company speaks against.
TEST_CASE("of parts that were always together all are needed")
{
    Recorder recorder;
    for (const std::string number : {"1", "2", "3"})
        recorder.end({{elements("r" + number, {"x", "y", number}), true}});
    CrashElements both = part("x");
    both.merge(part("y"));
    REQUIRE(recorder.cause() == both);

    SECTION("until runs with one of them have delivered something")
    {
        recorder.m_suspects.clear(part("y"));
        CHECK(recorder.cause({both}) == part("x"));
    }
    SECTION("until runs with only one of them end upstreams")
    {
        recorder.end({{elements("r4", {"x", "4"}), true}});
        CHECK_FALSE(recorder.cause({both}));
        recorder.end({{elements("r5", {"x", "5"}), true}});
        CHECK(recorder.cause({both}) == part("x"));
    }
}

TEST_CASE("what has delivered something is not the cause")
{
    Recorder recorder;
    for (int end = 0; end < 6; ++end)
        recorder.end({{elements(fmt::format("r{}", end), {"a"}), true}});
    recorder.m_suspects.clear(part("a"));
    CHECK_FALSE(recorder.cause());
}

TEST_CASE("runs that had not begun are suspected only where none had")
{
    Recorder recorder;
    for (const std::string number : {"1", "2", "3"}) {
        recorder.end({{elements("r" + number, {"x"}), true}, {elements("waiting", {"w"}), false}});
    }
    CHECK(recorder.cause() == part("x"));
}

TEST_CASE("ends that nothing explains ask for more ends")
{
    Recorder recorder;
    for (int end = 0; end < 4; ++end) {
        recorder.end({{elements(fmt::format("r{}", end), {"x"}), true}});
        recorder.end({});
        CHECK_FALSE(recorder.cause());
    }
    recorder.end({{elements("r4", {"x"}), true}});
    CHECK(recorder.cause() == part("x"));
}

// Guards against one request being found whose attempts went to upstreams that crashed by
// themselves, where others were as suspicious.
TEST_CASE("one request among others at the same ends asks for more ends")
{
    Recorder recorder;
    for (int end = 0; end < 4; ++end) {
        CHECK_FALSE(recorder.cause());
        recorder.end({{elements("same", {}), true}, {elements(fmt::format("r{}", end), {}), true}});
    }
    CHECK(recorder.cause() == elements("same", {}));
}

TEST_CASE("two explanations of the same ends exclude each other")
{
    Recorder recorder;
    for (int end = 0; end < 3; ++end) {
        recorder.end({{elements(fmt::format("a{}", end), {"x"}), true},
                      {elements(fmt::format("b{}", end), {"y"}), true}});
    }
    CHECK_FALSE(recorder.cause());
    recorder.end({{elements("a4", {"x"}), true}});
    CHECK(recorder.cause() == part("x"));
}

TEST_CASE("reports of one end by several VMs are joined")
{
    CrashSuspects suspects;
    const UpstreamProcess process{UpstreamId("u"), 5};
    suspects.record({process, service, start, {{elements("r1", {"x"}), false}}}, start);
    suspects.record({process, service, start, {{elements("r1", {"x"}), true}}}, start);
    const auto ends = suspects.endsWith(part("x"));
    REQUIRE(ends.size() == 1);
    REQUIRE(ends.front().m_runs.size() == 1);
    CHECK(ends.front().m_runs.front().m_hasBegun);
    CHECK(suspects.endCount(part("x")) == 1);
}

TEST_CASE("a quarantine")
{
    CrashQuarantine quarantine;
    const QuarantineEntry first = quarantine.add(service, part("x"), false, start);
    CHECK(first.m_until > start);
    CHECK(quarantine.causes(service).size() == 1);
    CHECK_FALSE(quarantine.isExpired(service, part("x"), start));
    CHECK(quarantine.isExpired(service, part("x"), first.m_until));

    SECTION("is longer each time")
    {
        const Duration before = first.m_until - start;
        const QuarantineEntry again = quarantine.add(service, part("x"), false, first.m_until);
        CHECK(again.m_times == 2);
        CHECK(again.m_until - first.m_until == 2 * before);
    }
    SECTION("ends when a request with all elements has delivered something")
    {
        CHECK(quarantine.lift(elements("r", {"x", "y"})) == 1);
        CHECK(quarantine.lift(elements("r", {"x", "y"})) == 0);
        CHECK(quarantine.causes(service).empty());
    }
    SECTION("is taken over by peers, also its end")
    {
        CrashQuarantine peer;
        CHECK(peer.merge(first, start));
        CHECK_FALSE(peer.merge(first, start));
        quarantine.lift(part("x"));
        CHECK(peer.merge(quarantine.sharedEntries().front(), start));
        CHECK(peer.causes(service).empty());
        CHECK_FALSE(peer.merge(first, start));
    }
    SECTION("that is narrower replaces a wider one")
    {
        CrashElements both = part("x");
        both.merge(part("y"));
        quarantine.add(service, both, false, start);
        quarantine.add(service, part("x"), false, start);
        CHECK(quarantine.causes(service) == std::vector<CrashElements>{part("x")});
    }
    SECTION("found by one VM alone isn't told")
    {
        quarantine.add(service, part("z"), true, start);
        CHECK(quarantine.entries().size() == 2);
        CHECK(quarantine.sharedEntries().size() == 1);
    }
    SECTION("is forgotten after a while")
    {
        quarantine.expire(first.m_until + 11min);
        CHECK(quarantine.entries().empty());
    }
}
