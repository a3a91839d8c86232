#include <gypsumdale/serving/service_gate.hpp>

#include <catch2/catch.hpp>

#include <limits> // numeric_limits
#include <map> // map
#include <string> // string, to_string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
const MemberId acme("acme");
const MemberId burgdorf("burgdorf");

RoomInputs roomOf(std::int64_t slots, std::int64_t inFlight, std::size_t nodes = 1)
{
    RoomInputs room;
    room.m_slots = slots;
    room.m_inFlight = inFlight;
    room.m_nodes = nodes;
    room.m_reporting = nodes;
    return room;
}

GateRequest requestOf(const MemberId &account, int priority = 0, std::int64_t tokens = 1000)
{
    GateRequest request;
    request.m_account = account;
    request.m_priority = priority;
    request.m_tokens = tokens;
    request.m_latencyTarget = 2s;
    request.m_deadline = start + 1h;
    return request;
}

/// A gate whose window of two requests is full, and where a request takes 100 ms.
struct FullGate
{
    FullGate()
    {
        for (int request = 0; request < 10; ++request) {
            const TurnDecision done = m_gate.arrive(requestOf(acme), start - 1s);
            m_gate.finish(done.m_turn, 1000, start - 900ms);
        }
        m_gate.setRoom(roomOf(2, 2), start);
        for (int request = 0; request < 2; ++request)
            m_running.push_back(m_gate.arrive(requestOf(acme), start).m_turn);
    }

    /// Ends a request in flight and returns which one is placed in its stead.
    TurnDecision next(TimePoint now)
    {
        m_gate.finish(m_running.back(), 1000, now);
        m_running.pop_back();
        for (const TurnDecision &decision : m_gate.takeTurns(now)) {
            if (decision.m_verdict != TurnVerdict::Placed)
                continue;
            m_running.push_back(decision.m_turn);
            return decision;
        }
        return {};
    }

    ServiceGate m_gate;
    std::vector<RequestId> m_running;
};

} // namespace

TEST_CASE("whether a service is short of slots")
{
    ServiceRoom room;

    SECTION("begins at nine tenths of the slots and ends below eight")
    {
        CHECK_FALSE(room.update(roomOf(100, 89), start));
        CHECK(room.update(roomOf(100, 90), start) == RoomChange::SlotsInUse);
        CHECK_FALSE(room.update(roomOf(100, 80), start));
        CHECK(room.isShort());
        CHECK(room.update(roomOf(100, 79), start) == RoomChange::SlotsFree);
        CHECK(room.wasShortWithin(1s, start + 1s));
        CHECK_FALSE(room.wasShortWithin(1s, start + 2s));
    }
    SECTION("is not asked without an upstream")
    {
        room.update(roomOf(2, 2), start);
        CHECK(room.update(roomOf(0, 2), start) == RoomChange::NoSlots);
    }
    SECTION("gives a VM its share by demand, and one request at least")
    {
        RoomInputs inputs = roomOf(100, 100, 4);
        inputs.m_ownDemand = 10;
        inputs.m_fleetDemand = 100;
        room.update(inputs, start);
        CHECK(room.window() == 10);
        inputs.m_slots = 3;
        room.update(inputs, start);
        CHECK(room.window() == 1);
    }
    SECTION("does not end because the peers are cut off")
    {
        // Guards against a VM that takes the slots of silent peers for free ones.
        room.update(roomOf(100, 100, 4), start);
        RoomInputs inputs = roomOf(100, 30, 4);
        inputs.m_reporting = 1;
        CHECK_FALSE(room.update(inputs, start));
        inputs.m_inFlight = 10;
        CHECK(room.update(inputs, start) == RoomChange::SlotsFree);
    }
}

TEST_CASE("a service that is not short")
{
    ServiceGate gate;
    gate.setRoom(roomOf(100, 50), start);

    SECTION("has every request placed at once, and nothing to report")
    {
        for (int request = 0; request < 200; ++request) {
            const TurnDecision decision = gate.arrive(requestOf(acme), start);
            CHECK(decision.m_verdict == TurnVerdict::Placed);
            CHECK(decision.m_reason == TurnReason::EnoughSlots);
        }
        CHECK(gate.takeTurns(start).empty());
        CHECK_FALSE(gate.report(start));
    }
    SECTION("places all that waited when the shortage ends")
    {
        FullGate full;
        for (int request = 0; request < 3; ++request)
            full.m_gate.arrive(requestOf(acme), start);
        full.m_gate.setRoom(roomOf(100, 2), start + 10ms);
        const auto turns = full.m_gate.takeTurns(start + 10ms);
        REQUIRE(turns.size() == 3);
        for (const TurnDecision &turn : turns)
            CHECK(turn.m_reason == TurnReason::EnoughSlots);
    }
}

TEST_CASE("the order of those that wait")
{
    FullGate full;
    ServiceGate &gate = full.m_gate;
    const auto arrive = [&gate](const GateRequest &request, TimePoint now = start) {
        return gate.arrive(request, now).m_turn;
    };

    SECTION("serves the account first that was served less")
    {
        ServiceTurnsReport report;
        gate.setPeer("other", 1, report);
        report.m_served[acme] = 1'000'000;
        gate.setPeer("other", 1, report);
        arrive(requestOf(acme));
        const RequestId second = arrive(requestOf(burgdorf));
        CHECK(full.next(start + 10ms).m_turn == second);
    }
    SECTION("serves the urgent request of an account first")
    {
        arrive(requestOf(acme, 2));
        const RequestId urgent = arrive(requestOf(acme, 0), start + 1ms);
        CHECK(full.next(start + 10ms).m_turn == urgent);
    }
    SECTION("does not starve the less urgent class")
    {
        int lower = 0;
        std::map<RequestId, int> priorities;
        for (int turn = 0; turn < 60; ++turn) {
            const TimePoint now = start + turn * 50ms;
            priorities[arrive(requestOf(acme, 0), now)] = 0;
            priorities[arrive(requestOf(acme, 2), now)] = 2;
            gate.setRoom(roomOf(2, 2), now);
            lower += priorities[full.next(now).m_turn] == 2 ? 1 : 0;
        }
        // A quarter of the average, which is half of the turns.
        CHECK(lower >= 8);
        CHECK(lower <= 30);
    }
    SECTION("lets a request go first that would miss its target")
    {
        GateRequest patient = requestOf(acme, 0);
        patient.m_latencyTarget = 5s;
        arrive(patient);
        GateRequest hasty = requestOf(acme, 2);
        hasty.m_latencyTarget = 90ms;
        gate.setRoom(roomOf(2, 2), start);
        const RequestId turn = arrive(hasty);
        CHECK(full.next(start + 10ms).m_turn == turn);
    }
    SECTION("does not let it go first if the urgent one would miss its own")
    {
        GateRequest urgent = requestOf(acme, 0);
        urgent.m_latencyTarget = 90ms;
        GateRequest hasty = requestOf(acme, 2);
        hasty.m_latencyTarget = 80ms;
        const RequestId first = arrive(urgent);
        gate.setRoom(roomOf(2, 2), start);
        arrive(hasty);
        CHECK(full.next(start + 10ms).m_turn == first);
    }
    SECTION("takes contradictory priorities and weights as the nearest that make sense")
    {
        GateRequest odd = requestOf(acme, -7);
        odd.m_weight = std::numeric_limits<double>::quiet_NaN();
        const RequestId urgent = arrive(odd);
        odd = requestOf(acme, 1000);
        odd.m_weight = -3;
        arrive(odd);
        CHECK(gate.waiting() == 2);
        const RequestId first = full.next(start + 10ms).m_turn;
        CHECK(first == urgent);
        CHECK_FALSE(full.next(start + 20ms).m_turn.isEmpty());
    }
}

TEST_CASE("the bounds of a wait")
{
    FullGate full;
    ServiceGate &gate = full.m_gate;
    gate.setRoom(roomOf(2, 2), start);

    SECTION("are half of the latency target beyond the forecast")
    {
        GateRequest request = requestOf(acme);
        request.m_latencyTarget = 300ms;
        const TurnDecision decision = gate.arrive(request, start);
        REQUIRE(decision.m_verdict == TurnVerdict::Waits);
        CHECK(decision.m_waitsUntil == start + decision.m_forecast + 150ms);
        CHECK(gate.takeTurns(decision.m_waitsUntil - 1ms).empty());
        const auto ended = gate.takeTurns(decision.m_waitsUntil);
        REQUIRE(ended.size() == 1);
        CHECK(ended[0].m_verdict == TurnVerdict::Rejected);
        CHECK(ended[0].m_reason == TurnReason::WaitedTooLong);
        CHECK(ended[0].m_retryAfter > 0ms);
    }
    SECTION("are one second at most")
    {
        GateRequest request = requestOf(acme);
        request.m_latencyTarget = 1h;
        CHECK(gate.arrive(request, start).m_waitsUntil == start + 1s);
    }
    SECTION("reject at once what can't begin before its deadline")
    {
        GateRequest request = requestOf(acme);
        request.m_deadline = start + 60ms;
        request.m_firstEventTime = 50ms;
        const TurnDecision decision = gate.arrive(request, start);
        CHECK(decision.m_verdict == TurnVerdict::Rejected);
        CHECK(decision.m_reason == TurnReason::TooMuchAhead);
    }
    SECTION("keep the queue to what is served in a second, and the account that was served less")
    {
        ServiceTurnsReport report;
        gate.setPeer("other", 1, report);
        report.m_served[acme] = 1'000'000;
        gate.setPeer("other", 1, report);
        gate.setRoom(roomOf(2, 2), start);
        std::size_t rejected = 0;
        for (int request = 0; request < 40; ++request) {
            const auto decision = gate.arrive(requestOf(acme), start);
            rejected += decision.m_verdict == TurnVerdict::Rejected ? 1 : 0;
        }
        CHECK(gate.waiting() <= 20);
        CHECK(rejected + gate.waiting() == 40);
        CHECK(gate.arrive(requestOf(burgdorf), start).m_verdict == TurnVerdict::Waits);
    }
}

TEST_CASE("a request that leaves the queue")
{
    FullGate full;
    ServiceGate &gate = full.m_gate;
    const RequestId turn = gate.arrive(requestOf(acme), start).m_turn;

    SECTION("because its caller is gone does so at once")
    {
        CHECK(gate.remove(turn));
        CHECK_FALSE(gate.remove(turn));
        CHECK(gate.waiting() == 0);
        CHECK(full.next(start + 10ms).m_turn.isEmpty());
    }
    SECTION("at a drain is rejected, and none waits after that")
    {
        const auto ended = gate.drain(start);
        REQUIRE(ended.size() == 1);
        CHECK(ended[0].m_turn == turn);
        CHECK(ended[0].m_reason == TurnReason::Draining);
        CHECK(gate.arrive(requestOf(acme), start).m_reason == TurnReason::Draining);
        gate.finish(full.m_running.back(), 1000, start);
        CHECK(gate.arrive(requestOf(acme), start).m_verdict == TurnVerdict::Placed);
    }
}

TEST_CASE("token counts")
{
    FullGate full;
    ServiceGate &gate = full.m_gate;

    SECTION("that can't be meant are limited")
    {
        for (const std::int64_t tokens :
             {std::int64_t{-5}, std::int64_t{0}, std::numeric_limits<std::int64_t>::max()})
            gate.arrive(requestOf(burgdorf, 0, tokens), start);
        CHECK(gate.waiting() == 3);
        for (int turn = 0; turn < 3; ++turn)
            full.next(start + turn * 10ms);
        CHECK(gate.report(start)->m_served.at(burgdorf) <= 1'003'000);
    }
    SECTION("are corrected by what was sent, and taken back if nothing ran")
    {
        const auto served = [&gate] {
            return gate.report(start)->m_served[acme];
        };
        const auto before = served();
        gate.finish(full.m_running[0], 5000, start);
        CHECK(served() == before + 4000);
        gate.finish(full.m_running[1], 0, start);
        const auto turn = gate.arrive(requestOf(acme), start);
        CHECK(turn.m_verdict == TurnVerdict::Placed);
        CHECK(served() == before + 4000);
    }
    SECTION("of a peer that restarts are not credited twice")
    {
        // Guards against an account that is served first again after each restart of a VM.
        ServiceTurnsReport report;
        report.m_served[burgdorf] = 5000;
        gate.setPeer("other", 1, report);
        report.m_served[burgdorf] = 9'000'000;
        gate.setPeer("other", 1, report);
        report.m_served[burgdorf] = 10;
        gate.setPeer("other", 2, report);
        report.m_served[burgdorf] = 0;
        gate.setPeer("other", 1, report);
        gate.arrive(requestOf(burgdorf), start);
        const RequestId lessServed = gate.arrive(requestOf(acme), start).m_turn;
        CHECK(full.next(start + 10ms).m_turn == lessServed);
    }
}
