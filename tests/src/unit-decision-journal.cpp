#include <gypsumdale/observe/decision_journal.hpp>

#include <catch2/catch.hpp>

#include <string> // string, to_string

using namespace gypsumdale;

TEST_CASE("decision journal")
{
    DecisionJournal journal(NodeId("olten-a-1"), {4, 2});
    const RequestId request("q-1");
    const UpstreamId upstream("r-1");

    SECTION("tells the history of one subject, oldest first")
    {
        journal.record(10, request, Decision::Accepted, DecisionReason::Profile, "phone");
        journal.record(11, RequestId("q-2"), Decision::Refused, DecisionReason::QueueFull);
        journal.record(12, request, Decision::Routed, DecisionReason::FreeSlot, "r-1");
        journal.record(13, upstream, Decision::Leaving, DecisionReason::ReclaimNotice);
        const auto events = journal.history(request);
        REQUIRE(events.size() == 2);
        CHECK(events[0].m_at == 10);
        CHECK(events[0].m_detail == "phone");
        CHECK(events[1].m_what == Decision::Routed);
        CHECK(events[1].m_node == NodeId("olten-a-1"));
        CHECK(journal.history(DecisionSubject::Upstream, "r-1").size() == 1);
        CHECK(journal.history(DecisionSubject::Request, "r-1").empty());
    }

    SECTION("keeps the latest events and forgets the oldest first")
    {
        journal.record(1, request, Decision::Accepted);
        journal.record(2, RequestId("q-2"), Decision::Accepted);
        for (int at = 3; at <= 6; ++at)
            journal.record(at, request, Decision::Retried);
        CHECK(journal.size() == 4);
        CHECK(journal.history(request).front().m_at == 3);
        CHECK(journal.history(RequestId("q-2")).empty());
    }

    SECTION("keeps upstreams apart from a rush of requests")
    {
        journal.record(1, upstream, Decision::Joined);
        for (int i = 0; i < 100; ++i)
            journal.record(2, RequestId(std::to_string(i)), Decision::Accepted);
        CHECK(journal.history(upstream).size() == 1);
    }

    SECTION("cuts a long detail and refuses a long subject")
    {
        journal.record(1, request, Decision::Failed, DecisionReason::Internal,
                       std::string(1000, 'd'));
        CHECK(journal.history(request).front().m_detail
              == std::string(maxDecisionDetailBytes, 'd'));
        const RequestId longest(std::string(maxDecisionSubjectBytes + 1, 'r'));
        journal.record(1, longest, Decision::Accepted);
        CHECK(journal.history(longest).empty());
        CHECK(journal.refusedEvents() == 1);
    }

    SECTION("writes a history as JSON without credentials or broken text")
    {
        journal.record(10, request, Decision::NotRun, DecisionReason::PlatformDown,
                       "Bearer abc \xff");
        CHECK(toJson(journal.history(request))
              == "{\"events\":[{\"atMillis\":10,\"node\":\"olten-a-1\",\"what\":\"not-run\","
                 "\"why\":\"platform-down\",\"detail\":\"Bearer [redacted] \\ufffd\"}]}");
        CHECK(toJson({}) == "{\"events\":[]}");
    }
}

TEST_CASE("decision names")
{
    for (int value = 0; value <= static_cast<int>(Decision::Released); ++value)
        CHECK(decisionName(static_cast<Decision>(value)) != "unknown");
    for (int value = 0; value <= static_cast<int>(DecisionReason::Internal); ++value)
        CHECK(decisionReasonName(static_cast<DecisionReason>(value)) != "unknown");
    CHECK(decisionSubjectFrom("upstream") == DecisionSubject::Upstream);
    CHECK_FALSE(decisionSubjectFrom("vm").has_value());
}

TEST_CASE("the journal's memory stays within its bound")
{
    // Guards against a memory leak: if the index kept subjects whose events are overwritten, a node
    // that runs for months would run out of memory for requests.
    const JournalLimits limits{1000, 100};
    DecisionJournal journal(NodeId("n"), limits);
    const std::string padding(maxDecisionSubjectBytes - 6, 'x');
    std::size_t most = 0;
    for (int i = 0; i < 20000; ++i) {
        const std::string id = padding + std::to_string(100000 + i);
        journal.record(i, RequestId(id), Decision::Accepted, DecisionReason::None, padding);
        journal.record(i, UpstreamId(id), Decision::Joined, DecisionReason::None, padding);
        most = std::max(most, journal.memoryBytes());
    }
    CHECK(journal.size() == 1100);
    CHECK(most <= journalMemoryBound(limits));
    CHECK(journalMemoryBound(JournalLimits()) < std::size_t{16} * 1024 * 1024);
}
