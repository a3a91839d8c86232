#include <gypsumdale/policy/fair_queue.hpp>

#include <catch2/catch.hpp>

#include <string> // string, to_string

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
const MemberId anna("anna");
const MemberId bruno("bruno");
const MemberId carla("carla");

WaitingRequest makeRequest(const std::string &id, const MemberId &member, int priority = 0)
{
    WaitingRequest request;
    request.m_id = RequestId(id);
    request.m_member = member;
    request.m_priority = priority;
    request.m_arrivedAt = start;
    request.m_promptTokens = 100;
    return request;
}

void fill(FairQueue &queue, const MemberId &member, int count, int priority = 0)
{
    for (int at = 0; at < count; ++at)
        queue.enqueue(
                makeRequest(member.text() + std::to_string(priority * 1000 + at), member, priority),
                start);
}

/// Takes requests from the queue and returns how many were the member's.
int takeOf(FairQueue &queue, const MemberId &member, int count)
{
    int own = 0;
    for (int at = 0; at < count; ++at)
        own += queue.next(start)->m_member == member ? 1 : 0;
    return own;
}

FairQueueSettings exact()
{
    FairQueueSettings settings;
    settings.m_priorityLead = 0.0;
    return settings;
}

} // namespace

TEST_CASE("members take turns by weighted service")
{
    FairQueue queue(exact());

    SECTION("a rush of one leaves the other its half")
    {
        // With first come, first served, Bruno's one small request would wait behind a hundred
        // requests that Anna sent at once.
        fill(queue, anna, 100);
        fill(queue, bruno, 10);
        CHECK(takeOf(queue, bruno, 10) == 5);
    }
    SECTION("weights set the proportion")
    {
        queue.setWeight(anna, 3.0);
        fill(queue, anna, 40);
        fill(queue, bruno, 40);
        CHECK(takeOf(queue, anna, 40) == 30);
    }
    SECTION("generated tokens count")
    {
        fill(queue, anna, 10);
        fill(queue, bruno, 10);
        queue.charge(anna, 500);
        CHECK(takeOf(queue, bruno, 5) == 5);
    }
    SECTION("an overcharge is set off against the next charges")
    {
        queue.charge(anna, 500);
        queue.correctCharge(anna, 500, 200);
        queue.charge(anna, 250);
        CHECK(queue.ownCounts().at(anna) == 500);
        queue.charge(anna, 100);
        CHECK(queue.ownCounts().at(anna) == 550);
    }
    SECTION("an undercharge is charged at once")
    {
        queue.correctCharge(anna, 100, 130);
        CHECK(queue.ownCounts().at(anna) == 30);
    }
    SECTION("the filter passes members over")
    {
        fill(queue, anna, 1);
        const auto none = [](const MemberId &) {
            return false;
        };
        CHECK_FALSE(queue.next(start, none));
        CHECK(queue.waiting() == 1);
    }
}

TEST_CASE("a member that was away has no unbounded credit")
{
    // Bruno is idle while Anna works for hours. If his old count were kept, he would get all slots
    // after his return until he has caught up with her.
    FairQueueSettings settings = exact();

    SECTION("by what this node served")
    {
        FairQueue queue(settings);
        fill(queue, anna, 500);
        takeOf(queue, anna, 400);
        fill(queue, bruno, 50);
        CHECK(takeOf(queue, anna, 40) == 20);
    }
    SECTION("by what only peers served")
    {
        settings.m_maxCredit = 1000.0;
        FairQueue queue(settings);
        queue.mergePeer(NodeId("b"), 1, {});
        queue.mergePeer(NodeId("b"), 1, {{anna, 1'000'000}});
        fill(queue, bruno, 50);
        fill(queue, anna, 50);
        CHECK(takeOf(queue, bruno, 30) == 20);
    }
}

TEST_CASE("peers' counts are merged")
{
    FairQueue queue(exact());
    const NodeId peer("b");
    queue.mergePeer(peer, 5, {{anna, 1000}});

    SECTION("the first message is the base")
    {
        CHECK(queue.service(anna) == 0.0);
    }
    SECTION("growth counts once, late and doubled messages don't")
    {
        queue.mergePeer(peer, 5, {{anna, 1500}});
        queue.mergePeer(peer, 5, {{anna, 1500}});
        queue.mergePeer(peer, 5, {{anna, 1200}});
        queue.mergePeer(peer, 5, {{anna, 1600}});
        CHECK(queue.service(anna) == 600.0);
        CHECK(queue.ownCounts().empty());
    }
    SECTION("a restarted peer starts anew and gives nothing back")
    {
        queue.mergePeer(peer, 5, {{anna, 1500}});
        queue.mergePeer(peer, 6, {{anna, 40}});
        CHECK(queue.service(anna) == 540.0);
        queue.mergePeer(peer, 5, {{anna, 1900}});
        CHECK(queue.service(anna) == 540.0);
    }
}

TEST_CASE("classes of a member share its turns")
{
    SECTION("reserved share: phone calls first, drafts are not starved")
    {
        FairQueue queue;
        fill(queue, anna, 100, 0);
        fill(queue, anna, 100, 2);
        int drafts = 0;
        CHECK(queue.next(start)->m_priority == 0);
        for (int at = 0; at < 50; ++at)
            drafts += queue.next(start)->m_priority == 2 ? 1 : 0;
        CHECK(drafts == 10);
    }
    SECTION("strict starves the drafts")
    {
        FairQueueSettings settings;
        settings.m_classOrder = ClassOrder::Strict;
        FairQueue queue(settings);
        fill(queue, anna, 20, 0);
        fill(queue, anna, 1, 2);
        for (int at = 0; at < 20; ++at)
            CHECK(queue.next(start)->m_priority == 0);
    }
    SECTION("ageing: a draft that waited long enough goes first")
    {
        FairQueueSettings settings;
        settings.m_classOrder = ClassOrder::Ageing;
        FairQueue queue(settings);
        WaitingRequest late = makeRequest("late", anna, 0);
        late.m_arrivedAt = start + 11s;
        fill(queue, anna, 1, 2);
        queue.enqueue(late, start + 11s);
        CHECK(queue.next(start + 11s)->m_priority == 2);
    }
    SECTION("a phone call passes another member's drafts within the lead only")
    {
        FairQueue queue;
        fill(queue, bruno, 5, 2);
        fill(queue, anna, 5, 0);
        queue.charge(anna, 1000);
        CHECK(queue.next(start)->m_member == anna);
        queue.charge(anna, 2000);
        CHECK(queue.next(start)->m_member == bruno);
    }
}

TEST_CASE("requests that can't be in time are given up at once")
{
    FairQueue queue(exact());
    WaitingRequest urgent = makeRequest("urgent", anna);
    urgent.m_firstTokenDeadline = start + 500ms;

    SECTION("by the clock")
    {
        queue.enqueue(urgent, start);
        CHECK(queue.expire(start + 499ms).empty());
        const auto given = queue.expire(start + 500ms);
        REQUIRE(given.size() == 1);
        CHECK(given[0].m_request == urgent.m_id);
        CHECK(queue.waiting() == 0);
        CHECK(queue.waitingTokens() == 0);
    }
    SECTION("by the work ahead, with the time to come back")
    {
        fill(queue, anna, 10);
        queue.enqueue(urgent, start);
        CHECK(queue.expire(start, 2001.0).empty());
        const auto given = queue.expire(start, 1000.0);
        REQUIRE(given.size() == 1);
        CHECK(given[0].m_retryAfter == 1s);
        CHECK(queue.waiting() == 10);
    }
    SECTION("a rival's rush ahead doesn't count beyond its share")
    {
        fill(queue, bruno, 100);
        queue.enqueue(urgent, start);
        CHECK(queue.expire(start, 1000.0).empty());
    }
    SECTION("by the time its first token takes")
    {
        queue.enqueue(urgent, start);
        CHECK(queue.expire(start, 0.0, [](const WaitingRequest &) { return 600ms; }).size() == 1);
    }
}

TEST_CASE("requests leave the queue once")
{
    FairQueue queue(exact());
    fill(queue, anna, 3);
    fill(queue, bruno, 1);

    SECTION("cancel")
    {
        CHECK(queue.cancel(RequestId("anna1")));
        CHECK_FALSE(queue.cancel(RequestId("anna1")));
        CHECK(queue.waiting(anna) == 2);
    }
    SECTION("a doubled id waits once")
    {
        queue.enqueue(makeRequest("anna1", anna), start);
        CHECK(queue.waiting() == 4);
    }
    SECTION("a retry goes before what arrived after it")
    {
        WaitingRequest retried = makeRequest("old", anna);
        retried.m_arrivedAt = start - 1s;
        queue.enqueue(retried, start);
        CHECK(queue.next(start)->m_id == RequestId("old"));
    }
    SECTION("room is made by the member that waits with most")
    {
        CHECK(queue.evictFor(carla)->m_id == RequestId("anna2"));
        CHECK_FALSE(queue.evictFor(anna));
    }
    SECTION("all at once")
    {
        CHECK(queue.removeAllWaiting().size() == 4);
        CHECK(queue.waiting() == 0);
        CHECK_FALSE(queue.next(start));
    }
}
