#include <gypsumdale/policy/admission.hpp>

#include <catch2/catch.hpp>

#include <string> // string, to_string

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
const MemberId anna("anna");
const MemberId bruno("bruno");
const NodeId self("olten-a-1");
const NodeId peer("olten-a-2");

WaitingRequest makeRequest(const std::string &id, const MemberId &member = anna)
{
    WaitingRequest request;
    request.m_id = RequestId(id);
    request.m_member = member;
    request.m_profile = ProfileId("phone");
    request.m_arrivedAt = start;
    request.m_promptTokens = 100;
    request.m_expectedTokens = 100;
    return request;
}

UpstreamReport makeUpstream(const std::string &name, std::uint32_t slots,
                            const std::string &dataCentre = "olten-a")
{
    UpstreamReport state;
    state.m_upstream = UpstreamId(name);
    state.m_incarnation = 1;
    state.m_dataCentre = DataCentreId(dataCentre);
    state.m_region = RegionId("ch-mittelland");
    state.m_slots = slots;
    return state;
}

AdmissionController makeController(AdmissionSettings settings = {})
{
    return AdmissionController::Builder()
            .node(self)
            .dataCentre(DataCentreId("olten-a"))
            .region(RegionId("ch-mittelland"))
            .settings(settings)
            .seed(1)
            .build();
}

std::vector<UpstreamId> dispatchesOf(const AdmissionCommands &commands)
{
    std::vector<UpstreamId> result;
    for (const AdmissionCommand &command : commands) {
        if (const auto *dispatch = std::get_if<Dispatch>(&command))
            result.push_back(dispatch->m_upstream);
    }
    return result;
}

std::vector<Refuse> refusalsOf(const AdmissionCommands &commands)
{
    std::vector<Refuse> result;
    for (const AdmissionCommand &command : commands) {
        if (const auto *refuse = std::get_if<Refuse>(&command))
            result.push_back(*refuse);
    }
    return result;
}

/// Submits this number of requests and returns how many were dispatched.
std::size_t submitMany(AdmissionController &controller, int count, TimePoint now,
                       const MemberId &member = anna)
{
    std::size_t dispatched = 0;
    for (int at = 0; at < count; ++at) {
        const std::string id = member.text() + std::to_string(now.time_since_epoch().count() + at);
        dispatched += dispatchesOf(controller.submit(makeRequest(id, member), now)).size();
    }
    return dispatched;
}

} // namespace

TEST_CASE("requests go out while there are slots")
{
    AdmissionController controller = makeController();
    controller.updateUpstream(makeUpstream("a", 2), start);
    CHECK(submitMany(controller, 3, start) == 2);
    CHECK(controller.queue().waiting() == 1);
    CHECK(controller.inFlightAt(UpstreamId("a")) == 2);

    SECTION("an end frees a slot, a doubled end frees no second one")
    {
        const RequestId first("anna" + std::to_string(start.time_since_epoch().count()));
        const auto more = controller.finishAttempt(first, AttemptEnd::Completed, start + 1s);
        CHECK(dispatchesOf(more).size() == 1);
        CHECK(controller.finishAttempt(first, AttemptEnd::Completed, start + 1s).empty());
        CHECK(controller.inFlight() == 2);
    }
    SECTION("tokens are charged as they come and corrected at the end")
    {
        const RequestId first("anna" + std::to_string(start.time_since_epoch().count()));
        controller.tokens(first, 30, start + 1s);
        CHECK(controller.ownLoad().m_tokens.at(anna) == 230);
        controller.usage(first, 110, 40);
        CHECK(controller.ownLoad().m_tokens.at(anna) == 250);
        CHECK(controller.ownLoad().m_inFlight.at(UpstreamId("a")) == 2);
    }
    SECTION("a member at its limit lets others pass")
    {
        controller.setMembers({MemberShare{anna, 1.0, 2}});
        controller.updateUpstream(makeUpstream("b", 2), start);
        CHECK(controller.poll(start).empty());
        CHECK(submitMany(controller, 1, start, bruno) == 1);
        CHECK(controller.queue().waiting(anna) == 1);
    }
    SECTION("a drain refuses what waits and what comes")
    {
        const auto refused = refusalsOf(controller.drain(start));
        REQUIRE(refused.size() == 1);
        CHECK(refused[0].m_error == ErrorId::Draining);
        CHECK(refusalsOf(controller.submit(makeRequest("new"), start)).size() == 1);
    }
}

TEST_CASE("a leaving upstream gets nothing")
{
    // An upstream's VM is reclaimed. Its last load report is delayed and arrives after the notice;
    // it must not put the upstream back into use, as requests sent there would be lost seconds
    // later.
    AdmissionController controller = makeController();
    UpstreamReport state = makeUpstream("a", 4);
    state.m_isLeaving = true;
    controller.updateUpstream(state, start);
    state.m_isLeaving = false;
    controller.updateUpstream(state, start);
    const auto refused = refusalsOf(controller.submit(makeRequest("r"), start));
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].m_error == ErrorId::NoUpstream);

    SECTION("a new incarnation is another matter")
    {
        state.m_incarnation = 2;
        controller.updateUpstream(state, start);
        CHECK(submitMany(controller, 1, start) == 1);
    }
    SECTION("what waits is answered when the last one leaves")
    {
        controller.updateUpstream(makeUpstream("b", 1), start);
        CHECK(submitMany(controller, 3, start) == 1);
        controller.removeUpstream(UpstreamId("b"));
        CHECK(refusalsOf(controller.poll(start)).size() == 2);
        CHECK(controller.inFlightAt(UpstreamId("b")) == 1);
    }
}

TEST_CASE("what can't be in time is refused at once with a time to come back")
{
    AdmissionController controller = makeController();
    controller.updateUpstream(makeUpstream("a", 1), start);
    // A backlog that is served at a rate of one request, 200 tokens, per 100 ms.
    submitMany(controller, 31, start);
    TimePoint now = start;
    for (int at = 0; at < 10; ++at) {
        now += 100ms;
        const std::string id = "anna" + std::to_string(start.time_since_epoch().count() + at);
        controller.finishAttempt(RequestId(id), AttemptEnd::Completed, now);
    }
    REQUIRE(controller.queue().waiting() == 20);
    const Duration estimate = controller.estimateWait(anna, 0, now);
    CHECK(estimate > 1500ms);
    CHECK(estimate < 2500ms);
    WaitingRequest request = makeRequest("late");
    request.m_arrivedAt = now;

    SECTION("past the target")
    {
        request.m_firstTokenDeadline = now + 1s;
        const auto refused = refusalsOf(controller.submit(request, now));
        REQUIRE(refused.size() == 1);
        CHECK(refused[0].m_error == ErrorId::DeadlineUnreachable);
        CHECK(refused[0].m_retryAfter >= 1500ms);
        CHECK(refused[0].m_retryAfter < 3500ms);
    }
    SECTION("within the target it waits")
    {
        request.m_firstTokenDeadline = now + 5s;
        CHECK(controller.submit(request, now).empty());
        CHECK(controller.cancel(request.m_id));
    }
    SECTION("another member isn't made to wait for this one's rush")
    {
        request.m_member = bruno;
        request.m_firstTokenDeadline = now + 1s;
        CHECK(controller.submit(request, now).empty());
    }
}

TEST_CASE("headroom is kept for members that have less than their share")
{
    // Anna's burst fills every slot with long drafts. Without headroom, Bruno's one call finds no
    // free slot and waits until a draft ends, although he used none of his share.
    AdmissionSettings settings;
    settings.m_headroom = 0.25;
    AdmissionController controller = makeController(settings);
    controller.setMembers({MemberShare{anna}, MemberShare{bruno}});
    controller.updateUpstream(makeUpstream("a", 8), start);
    CHECK(submitMany(controller, 10, start) == 6);
    CHECK(submitMany(controller, 3, start, bruno) == 2);
    CHECK(controller.queue().waiting() == 5);
}

TEST_CASE("headroom doesn't keep a member from catching up")
{
    // Anna's requests reach all entry VMs, Bruno's only this one. He already has half of the slots
    // here; if he were limited to them, he would never get his half of the data centre.
    AdmissionSettings settings;
    settings.m_headroom = 0.25;
    AdmissionController controller = makeController(settings);
    controller.setNodes({self, peer});
    controller.setMembers({MemberShare{anna}, MemberShare{bruno}});
    controller.updateUpstream(makeUpstream("a", 16), start);
    controller.mergePeer(peer, 1, NodeLoad{}, start);
    controller.mergePeer(peer, 1, NodeLoad{{{anna, 20000}}, {{UpstreamId("a"), 8}}}, start);
    CHECK(submitMany(controller, 10, start, bruno) == 8);
}

TEST_CASE("the queue is bounded")
{
    AdmissionSettings settings;
    settings.m_maxWaiting = 4;
    settings.m_maxWaitingPerMember = 3;
    AdmissionController controller = makeController(settings);
    controller.updateUpstream(makeUpstream("a", 1), start);
    submitMany(controller, 4, start);
    const auto over = refusalsOf(controller.submit(makeRequest("over"), start));
    REQUIRE(over.size() == 1);
    CHECK(over[0].m_error == ErrorId::MemberOverLimit);
    submitMany(controller, 1, start, bruno);
    const auto room = refusalsOf(controller.submit(makeRequest("bruno", bruno), start));
    REQUIRE(room.size() == 1);
    CHECK(room[0].m_error == ErrorId::QueueFull);
    CHECK(controller.queue().waiting(bruno) == 2);
    CHECK(controller.queue().waiting(anna) == 2);
}

TEST_CASE("entry VMs share an upstream's slots without an arbiter")
{
    AdmissionController controller = makeController();
    controller.setNodes({self, peer});
    controller.updateUpstream(makeUpstream("a", 16), start);

    SECTION("a silent peer keeps its share")
    {
        CHECK(submitMany(controller, 20, start) == 8);
    }
    SECTION("idle slots of a peer are borrowed step by step, but for its reserve")
    {
        controller.mergePeer(peer, 1, NodeLoad{}, start);
        CHECK(submitMany(controller, 20, start) == 8);
        std::size_t total = 8;
        TimePoint now = start;
        for (int at = 0; at < 10; ++at) {
            now += 500ms;
            controller.mergePeer(peer, 1, NodeLoad{}, now);
            total += dispatchesOf(controller.poll(now)).size();
        }
        CHECK(total == 11);
    }
    SECTION("a heartbeat of a dead incarnation is ignored")
    {
        controller.mergePeer(peer, 2, NodeLoad{{}, {{UpstreamId("a"), 8}}}, start);
        controller.mergePeer(peer, 1, NodeLoad{}, start);
        CHECK(controller.candidates(start)[0].m_peersInFlight == 8);
        controller.mergePeer(peer, 2, NodeLoad{{}, {{UpstreamId("a"), 2}}}, start);
        CHECK(controller.candidates(start)[0].m_peersInFlight == 4);
        controller.poll(start + 1s);
        CHECK(controller.candidates(start)[0].m_peersInFlight == 8);
        controller.setNodes({});
        CHECK(controller.candidates(start)[0].m_peersInFlight == 0);
    }
}

TEST_CASE("another data centre's upstreams are used when the own ones are full")
{
    AdmissionController controller = makeController();
    controller.updateUpstream(makeUpstream("near", 2), start);
    UpstreamReport far = makeUpstream("far", 8, "olten-b");
    controller.updateUpstream(far, start);
    CHECK(submitMany(controller, 4, start) == 2);
    far.m_running = 2;
    far.m_reportedAt = start;
    controller.updateUpstream(far, start);
    CHECK(dispatchesOf(controller.poll(start))
          == std::vector<UpstreamId>{UpstreamId("far"), UpstreamId("far")});
    far.m_running = 8;
    far.m_reportedAt = start + 1s;
    controller.updateUpstream(far, start + 1s);
    CHECK(submitMany(controller, 1, start + 1s) == 0);
}

TEST_CASE("an upstream that fails in a row is passed over")
{
    AdmissionController controller = makeController();
    controller.updateUpstream(makeUpstream("bad", 1), start);
    controller.updateUpstream(makeUpstream("good", 1), start);
    for (int at = 0; at < 40; ++at) {
        const std::string id = "r" + std::to_string(at);
        for (const UpstreamId &upstream : dispatchesOf(controller.submit(makeRequest(id), start))) {
            const bool isBad = upstream == UpstreamId("bad");
            controller.finishAttempt(RequestId(id),
                                     isBad ? AttemptEnd::Failed : AttemptEnd::Completed, start);
        }
    }
    CHECK(controller.isEjected(UpstreamId("bad")));
    CHECK(submitMany(controller, 2, start + 1s) == 1);
}
