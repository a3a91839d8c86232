#include <gypsumdale/ledger/claim_ledger.hpp>
#include <gypsumdale/ledger/preferred_node.hpp>

#include <support/claim_world.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;
using testing::ClaimNode;

namespace {

ClaimNode makeNode(const std::string &name, int life = 1)
{
    const std::string writer = fmt::format("{}#{}", name, life);
    return {name, life,
            ClaimLedgerBuilder(NodeId(name), writer)
                    .shards(1)
                    .writeInterval(0ms)
                    .retention(24h)
                    .maxAnswerBytes(16)};
}

const StoredAnswer booked{201, "application/json", "{\"booked\":3}"};

template <typename Kind>
bool is(const std::optional<ClaimResult> &result)
{
    return result && std::holds_alternative<Kind>(*result);
}

} // namespace

TEST_CASE("claim ledger")
{
    testing::MemoryClaimPlatform platform;
    ClaimNode a = makeNode("a");
    ClaimNode b = makeNode("b");
    Moment now{TimePoint(1h), 1'000'000'000};
    const auto elapse = [&now](std::chrono::milliseconds step) {
        now.m_now += step;
        now.m_wall += step.count();
    };
    const auto claim = [&](ClaimNode &node, const std::string &key, const std::string &body = "3",
                           const std::string &member = "bolt-gmbh") {
        const ClaimRequest request = node.request(member, key, body, now.m_now + 10s);
        const ClaimTicket ticket = node.m_ledger.begin(request, now);
        node.settle(platform, now);
        return node.result(ticket);
    };
    const ClaimRequest first = a.request("bolt-gmbh", "order-7", "3", now.m_now + 10s);
    const ClaimTicket ticket = a.m_ledger.begin(first, now);

    SECTION("a claim that stands runs once, and a resubmission anywhere gets its answer")
    {
        a.settle(platform, now);
        REQUIRE(is<Granted>(a.result(ticket)));
        CHECK(is<InProgressOrUnknown>(claim(a, "order-7")));
        CHECK(is<InProgressOrUnknown>(claim(b, "order-7")));
        CHECK(a.m_ledger.start(first.m_attempt, now));
        CHECK_FALSE(a.m_ledger.start(first.m_attempt, now));
        a.m_ledger.finish(first.m_attempt, Outcome::Done, booked, now);
        a.settle(platform, now);
        const auto again = claim(b, "order-7");
        REQUIRE(is<AlreadyDone>(again));
        CHECK(std::get<AlreadyDone>(*again).m_answer.m_body == booked.m_body);
        CHECK(is<KeyReused>(claim(b, "order-7", "4")));
        CHECK(is<Granted>(claim(b, "order-7", "3", "screw-ag")));
        CHECK(keyDigest(MemberId("a"), "bc") != keyDigest(MemberId("ab"), "c"));
    }

    SECTION("a paused holder can't claim behind its rival's back")
    {
        // The holder is suspended before its create is sent. The caller resubmits at another node,
        // which claims and runs the request. When the holder wakes up, its create finds the segment
        // of the other node.
        std::optional<ShardCommand> command = a.m_ledger.next(now);
        a.m_ledger.onAnswer(0, platform.perform(*command), now);
        command = a.m_ledger.next(now);
        REQUIRE(is<Granted>(claim(b, "order-7")));
        a.m_ledger.onAnswer(0, platform.perform(*command), now);
        a.settle(platform, now);
        CHECK(is<InProgressOrUnknown>(a.result(ticket)));
        CHECK_FALSE(a.m_ledger.start(first.m_attempt, now));
    }

    SECTION("a granted attempt that is started after its deadline is not sent and frees its key")
    {
        a.settle(platform, now);
        REQUIRE(is<Granted>(a.result(ticket)));
        elapse(11s);
        CHECK_FALSE(a.m_ledger.start(first.m_attempt, now));
        a.settle(platform, now);
        CHECK(is<Granted>(claim(b, "order-7")));
    }

    SECTION("a lost answer to the claim's create")
    {
        std::optional<ShardCommand> command = a.m_ledger.next(now);
        a.m_ledger.onAnswer(0, platform.perform(*command), now);
        command = a.m_ledger.next(now);

        SECTION("that took effect, or did not, is settled by reading back")
        {
            if (GENERATE(true, false))
                platform.perform(*command);
            a.m_ledger.onAnswer(0, LogAnswerLost{}, now);
            a.settle(platform, now);
            CHECK(is<Granted>(a.result(ticket)));
        }
        SECTION("that takes effect after the caller was told 'not run' ends as a free key")
        {
            // The platform does not answer until the claim timeout. The caller gets "not run"; then
            // the claim appears. Without the record that follows, the key would be unknown for a
            // day.
            a.m_ledger.onAnswer(0, LogAnswerLost{}, now);
            elapse(6s);
            a.m_ledger.advance(now);
            REQUIRE(is<NotRun>(a.result(ticket)));
            platform.perform(*command);
            a.settle(platform, now);
            CHECK_FALSE(a.m_ledger.start(first.m_attempt, now));
            CHECK(is<Granted>(claim(b, "order-7")));
        }
    }

    SECTION("after a restart of everybody a claim without outcome is unknown and not run again")
    {
        a.settle(platform, now);
        REQUIRE(is<Granted>(a.result(ticket)));
        ClaimNode fresh = makeNode("a", 2);
        elapse(1h);
        CHECK(is<InProgressOrUnknown>(claim(fresh, "order-7")));
        elapse(22h);
        CHECK(is<InProgressOrUnknown>(claim(fresh, "order-7")));
        // The retention counts from the last claim of the key, one hour after the first.
        elapse(3h);
        CHECK(is<Granted>(claim(fresh, "other")));
        CHECK(is<Granted>(claim(fresh, "order-7")));
    }

    SECTION("a refusal by the service frees the key, also for another body")
    {
        a.settle(platform, now);
        REQUIRE(a.m_ledger.start(first.m_attempt, now));
        a.m_ledger.finish(first.m_attempt, outcomeOf(CallPhase::RefusedBeforeStart), {}, now);
        a.settle(platform, now);
        CHECK(is<Granted>(claim(b, "order-7", "4")));
    }

    SECTION("an answer above the limit is not kept, its status is")
    {
        a.settle(platform, now);
        REQUIRE(a.m_ledger.start(first.m_attempt, now));
        const StoredAnswer large{200, "text/plain", std::string(17, 'x')};
        a.m_ledger.finish(first.m_attempt, outcomeOf(CallPhase::Answered), large, now);
        a.settle(platform, now);
        const auto again = claim(b, "order-7");
        REQUIRE(is<AlreadyDone>(again));
        CHECK(std::get<AlreadyDone>(*again).m_answer.m_status == 200);
        CHECK_FALSE(std::get<AlreadyDone>(*again).m_answer.m_body);
    }

    SECTION("during an outage a request is refused at once, with a time to come back")
    {
        a.m_ledger.next(now);
        a.m_ledger.onAnswer(0, LogRefused{3s}, now);
        const auto refused = a.result(ticket);
        REQUIRE(is<NotRun>(refused));
        CHECK(std::get<NotRun>(*refused).m_retryAfter == 3s);
        CHECK(is<NotRun>(claim(a, "another")));
        elapse(3s);
        CHECK(is<Granted>(claim(a, "order-7")));
    }

    SECTION("a forwarded claim whose reply is lost")
    {
        // The preferred node claims and grants for the sender, but the reply never arrives. Only
        // the sender could run the attempt; it abandons it and claims again by itself.
        const ClaimRequest request = b.request("bolt-gmbh", "order-8", "3", now.m_now + 10s);
        const ClaimTicket sent = b.m_ledger.beginForwarded(request, now);
        const ClaimTicket atA = a.m_ledger.beginForPeer(request, NodeId("b"), now);
        a.settle(platform, now);
        REQUIRE(is<Granted>(a.result(atA)));
        CHECK_FALSE(a.m_ledger.start(request.m_attempt, now));
        b.m_ledger.onForwardLost(sent, now);
        REQUIRE(is<NotRun>(b.result(sent)));
        b.m_ledger.onForwardResult(sent, Granted{request.m_attempt}, now);
        CHECK_FALSE(b.m_ledger.start(request.m_attempt, now));
        CHECK(is<Granted>(claim(b, "order-8")));
    }

    const auto runsWithoutAnswer = [&](ClaimNode &node, const std::string &key) {
        const auto result = claim(node, key);
        REQUIRE(is<Granted>(result));
        CHECK(node.m_ledger.start(std::get<Granted>(*result).m_attempt, now));
    };

    SECTION("a replay stays short: keys are restated and older segments go")
    {
        ClaimNode busy{"c", 1,
                       ClaimLedgerBuilder(NodeId("c"), "c#1")
                               .shards(1)
                               .writeInterval(0ms)
                               .compactionThreshold(16)};
        for (int count = 0; count < 40; ++count)
            runsWithoutAnswer(busy, fmt::format("k{}", count));
        elapse(11min);
        busy.m_ledger.advance(now);
        busy.settle(platform, now);
        CHECK(platform.m_logs[0].m_segments.size() < 30);
        CHECK(is<InProgressOrUnknown>(claim(b, "k0")));
        CHECK(is<InProgressOrUnknown>(claim(b, "k39")));
    }

    SECTION("the preferred node changes only for the shards of a node that left")
    {
        const std::vector<NodeId> all{NodeId("a"), NodeId("b"), NodeId("c")};
        const std::vector<NodeId> rest{NodeId("a"), NodeId("b")};
        CHECK_FALSE(preferredNode(0, {}));
        for (ShardNumber shard = 0; shard < 64; ++shard) {
            const auto before = preferredNode(shard, all);
            if (before != NodeId("c"))
                CHECK(preferredNode(shard, rest) == before);
        }
    }
}
