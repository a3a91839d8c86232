#include <gypsumdale/policy/routing.hpp>

#include <catch2/catch.hpp>

#include <string> // string, to_string

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

Candidate makeCandidate(const std::string &name, std::uint32_t inFlight = 0,
                        const std::string &dataCentre = "olten-a")
{
    Candidate candidate;
    candidate.m_upstream = UpstreamId(name);
    candidate.m_dataCentre = DataCentreId(dataCentre);
    candidate.m_region = RegionId(dataCentre == "far" ? "elsewhere" : "ch-mittelland");
    candidate.m_slots = 10;
    candidate.m_ownInFlight = inFlight;
    return candidate;
}

RoutingRequest makeRequest(std::vector<std::uint64_t> blocks = {})
{
    RoutingRequest request;
    request.m_dataCentre = DataCentreId("olten-a");
    request.m_region = RegionId("ch-mittelland");
    request.m_promptTokens = 1000;
    request.m_prefixBlocks = std::move(blocks);
    return request;
}

std::vector<RoutingPolicy> allPolicies()
{
    std::vector<RoutingPolicy> result;
    for (const std::string &name : RoutingRegistry::instance().names())
        result.push_back(*RoutingRegistry::instance().make(name, RoutingSettings{}));
    return result;
}

} // namespace

TEST_CASE("all policies keep the common rules")
{
    pcg32 random(1);
    CHECK(RoutingRegistry::instance().names()
          == std::vector<std::string>{"least-outstanding", "power-of-two", "prefix-affinity",
                                      "round-robin"});
    CHECK_FALSE(RoutingRegistry::instance().make("none", RoutingSettings{}));
    for (RoutingPolicy &policy : allPolicies()) {
        RoutingRequest request = makeRequest();
        const auto pick = [&](const std::vector<Candidate> &candidates) {
            return choose(policy, request, candidates, start, random);
        };
        Candidate leaving = makeCandidate("leaving");
        leaving.m_isLeaving = true;
        const Candidate busy = makeCandidate("busy", 9);
        CHECK_FALSE(pick({}));
        CHECK_FALSE(pick({leaving}));
        CHECK(pick({leaving, busy}) == busy.m_upstream);

        request.m_triedUpstreams = {UpstreamId("busy")};
        CHECK(pick({busy}) == busy.m_upstream);
        CHECK(pick({busy, makeCandidate("other", 10)}) == UpstreamId("other"));
        request.m_triedUpstreams.clear();

        const Candidate region = makeCandidate("region", 0, "olten-b");
        const Candidate far = makeCandidate("far", 0, "far");
        CHECK(pick({far, region, busy}) == busy.m_upstream);
        CHECK(pick({far, region, makeCandidate("full", 10)}) == region.m_upstream);
        Candidate slow = makeCandidate("slow");
        slow.m_firstToken = 2s;
        request.m_firstTokenTimeLeft = 500ms;
        CHECK(pick({far, region, slow}) == region.m_upstream);
    }
}

TEST_CASE("load is what is known or reported, whichever is more")
{
    Candidate candidate = makeCandidate("a", 2);
    candidate.m_peersInFlight = 3;
    candidate.m_reportedRunning = 4;
    candidate.m_reportedQueued = 2;
    candidate.m_ownSinceReport = 1;
    CHECK(estimatedLoad(candidate) == 5);
    candidate.m_reportAge = 1s;
    CHECK(estimatedLoad(candidate) == 7);
}

TEST_CASE("power of two doesn't herd")
{
    // Ten requests arrive between two load reports. If all of them go to the upstream that was idle
    // in the last report, their callers wait while the other upstreams become idle.
    pcg32 random(7);
    std::vector<Candidate> candidates{makeCandidate("idle")};
    for (int at = 0; at < 9; ++at)
        candidates.push_back(makeCandidate("runner" + std::to_string(at), 3));
    RoutingPolicy policy = PowerOfTwo{};
    int toIdle = 0;
    for (int at = 0; at < 1000; ++at)
        toIdle += choose(policy, makeRequest(), candidates, start, random) == UpstreamId("idle");
    CHECK(toIdle < 300);
    CHECK(toIdle > 100);
}

TEST_CASE("prefix blocks")
{
    const std::string prompt(1000, 'x');
    CHECK(prefixBlocks(prompt, 256).size() == 3);
    CHECK(prefixBlocks(prompt.substr(0, 255), 256).empty());
    CHECK(prefixBlocks(prompt, 0).empty());
    std::string other = prompt;
    other[300] = 'y';
    const auto left = prefixBlocks(prompt, 256);
    const auto right = prefixBlocks(other, 256);
    CHECK(left[0] == right[0]);
    CHECK(left[1] != right[1]);
    CHECK(left[2] != right[2]);
}

TEST_CASE("prefix affinity")
{
    RoutingSettings settings;
    settings.m_prefixMaxAge = 60s;
    settings.m_blocksPerUpstream = 6;
    RoutingPolicy policy = PrefixAffinity(settings);
    pcg32 random(3);
    const std::vector<std::uint64_t> blocks{1, 2, 3, 4};
    const RoutingRequest request = makeRequest(blocks);
    const UpstreamId holder("holder");
    std::vector<Candidate> candidates;
    for (int at = 0; at < 20; ++at)
        candidates.push_back(makeCandidate("runner" + std::to_string(at)));
    candidates.push_back(makeCandidate("holder", 1));
    recordDispatch(policy, holder, request, start);
    const auto pick = [&](TimePoint now) {
        return choose(policy, request, candidates, now, random);
    };

    SECTION("goes where the prefix is, though it is a little busier")
    {
        CHECK(pick(start + 1s) == holder);
    }
    SECTION("but not at any load")
    {
        candidates.back().m_ownInFlight = 9;
        CHECK(pick(start + 1s) != holder);
    }
    SECTION("forgets with age, at a restart, and what was evicted")
    {
        CHECK(pick(start + 61s) != holder);
        SECTION("restart")
        {
            dropUpstreamState(policy, holder);
        }
        SECTION("eviction of the leading block")
        {
            applyCacheEvent(policy, CacheEvent{holder, {}, {1}, false}, start + 1s);
        }
        SECTION("later blocks push it out")
        {
            recordDispatch(policy, holder, makeRequest({11, 12, 13, 14, 15, 16}), start + 1s);
        }
        CHECK(pick(start + 2s) != holder);
    }
    SECTION("a gap in the events halves the life of what is remembered")
    {
        applyCacheEvent(policy, CacheEvent{holder, {}, {}, true}, start);
        CHECK(pick(start + 29s) == holder);
        CHECK(pick(start + 31s) != holder);
    }
    SECTION("learns from events of others' requests")
    {
        applyCacheEvent(policy, CacheEvent{UpstreamId("runner5"), blocks, {}, false}, start);
        CHECK(pick(start + 1s) == UpstreamId("runner5"));
    }
    SECTION("price, reclaim risk and failures count")
    {
        settings.m_priceWeight = 0.1;
        const PrefixAffinity affinity(settings);
        RoutingRequest longAnswer = makeRequest();
        longAnswer.m_expectedTokens = 2000;
        const Candidate plain = makeCandidate("plain");
        Candidate worse = plain;
        SECTION("price")
        {
            worse.m_pricePerHour = 2.0;
        }
        SECTION("risk")
        {
            worse.m_reclaimRisk = 0.3;
        }
        SECTION("failures")
        {
            worse.m_recentFailures = 1.0;
        }
        CHECK(affinity.score(longAnswer, plain, start) < affinity.score(longAnswer, worse, start));
    }
}
