#pragma once

#include <gypsumdale/serving/service_gate.hpp>

#include <algorithm> // max, sort
#include <array> // array
#include <cmath> // abs, log
#include <cstddef> // size_t
#include <cstdint> // int64_t, uint64_t
#include <functional> // function
#include <map> // map, multimap
#include <string> // to_string
#include <vector> // vector

/// The gates of a fleet under a shortage, without a network: a third of the slots remains while
/// twice the usual load arrives, and one account sends six times its usual load.
namespace gypsumdale::testing::scarcity {

using namespace std::chrono_literals;

struct Play
{
    std::size_t m_vms = 77;
    std::size_t m_accounts = 16;
    Duration m_reportInterval = 1750ms;
    Duration m_length = 30s;
    bool m_isPartitioned = false;
    bool m_hasKills = false;
    std::uint64_t m_seed = 1;
};

struct Kind
{
    int m_priority;
    double m_perSecond;
    std::int64_t m_tokens;
    Duration m_held;
    Duration m_firstEvent;
    Duration m_target;
    Duration m_timeout;
};

/// Twice the usual load of the first customer.
inline const std::array<Kind, 2> kinds = {{
        {0, 2 * 94.3, 11992, 1000ms, 53ms, 800ms, 12s},
        {2, 2 * 566.0, 2368, 350ms, 15ms, 2000ms, 2500ms},
}};
inline constexpr std::int64_t allSlots = 864;
inline constexpr std::int64_t slotsLeft = 288;
inline constexpr Duration firstLoss = 3s;
inline constexpr Duration secondLoss = 6s;
inline constexpr Duration surgeFrom = 4s;
inline constexpr Duration measuredFrom = 10s;
inline constexpr double surge = 6;
inline constexpr TimePoint start{1h};

/// Requests of one account and kind that arrived in the measured time.
struct Count
{
    double m_arrived = 0;
    double m_served = 0;
    double m_inTime = 0;
};

struct Vm
{
    ServiceGate m_gate{0};
    std::uint64_t m_incarnation = 1;
    bool m_isUp = true;
    double m_weight = 1;
    /// Requests in flight by VM as last reported, and when.
    std::vector<std::int64_t> m_known;
    std::map<std::size_t, TimePoint> m_heardAt;
    std::int64_t m_knownSum = 0;
};

struct Arrival
{
    std::size_t m_account = 0;
    std::size_t m_kind = 0;
    TimePoint m_at{};
    bool m_isMeasured = false;
};

/// A request at the upstreams.
struct Running
{
    Arrival m_arrival;
    std::size_t m_vm = 0;
    std::uint64_t m_incarnation = 0;
    RequestId m_turn;
};

class Fleet
{
public:
    explicit Fleet(const Play &play)
        : m_play(play)
        , m_random(play.m_seed)
        , m_vms(play.m_vms)
        , m_counts(play.m_accounts)
    {
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
            m_vms[vm].m_weight = 0.5 + draw();
            m_weights += m_vms[vm].m_weight;
            restart(vm);
            const Duration phase = fromSeconds(draw() * toSeconds(m_play.m_reportInterval));
            at(start + phase, [this, vm] { report(vm); });
        }
        setAccounts();
        for (std::size_t account = 0; account < m_play.m_accounts; ++account) {
            for (std::size_t kind = 0; kind < kinds.size(); ++kind)
                scheduleArrival(account, kind);
        }
        at(start + firstLoss, [this] { m_slots = (allSlots + slotsLeft) / 2; });
        at(start + secondLoss, [this] { m_slots = slotsLeft; });
        if (m_play.m_hasKills)
            at(start + measuredFrom, [this] { killNext(0); });
        at(start + measuredFrom, [this] { sampleUse(); });
    }

    void run()
    {
        while (!m_events.empty() && m_events.begin()->first <= start + m_play.m_length) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
    }

    const std::vector<std::array<Count, 2>> &counts() const { return m_counts; }
    double use() const { return m_useSum / std::max(m_useSamples, 1.0); }
    int idleWaits() const { return m_idleWaits; }
    int earlyRejections() const { return m_earlyRejections; }
    Duration longestWait() const { return m_longestWait; }
    double demandOf(std::size_t account) const { return tokensOf(account, &Count::m_arrived); }
    double servedOf(std::size_t account) const { return tokensOf(account, &Count::m_served); }

private:
    double draw()
    {
        m_random = m_random * 6364136223846793005ULL + 1442695040888963407ULL;
        return (static_cast<double>(m_random >> 11) + 1) / 9007199254740993.0;
    }

    void at(TimePoint time, std::function<void()> event)
    {
        m_events.emplace(time, std::move(event));
    }

    double tokensOf(std::size_t account, double Count::*member) const
    {
        double tokens = 0;
        for (std::size_t kind = 0; kind < kinds.size(); ++kind)
            tokens += m_counts[account][kind].*member * static_cast<double>(kinds[kind].m_tokens);
        return tokens;
    }

    /// A few accounts are large; the last one sends more than usual.
    void setAccounts()
    {
        double all = 0;
        for (std::size_t account = 0; account < m_play.m_accounts; ++account) {
            m_shares.push_back(account < 3 ? 3.0 : 0.6 + 0.8 * draw());
            all += m_shares.back();
        }
        for (double &share : m_shares)
            share /= all;
    }

    void scheduleArrival(std::size_t account, std::size_t kind)
    {
        const bool isSurging = account + 1 == m_play.m_accounts && m_now >= start + surgeFrom;
        const double rate = kinds[kind].m_perSecond * m_shares[account] * (isSurging ? surge : 1);
        at(m_now + fromSeconds(-std::log(draw()) / rate), [this, account, kind] {
            arrive({account, kind, m_now, m_now >= start + measuredFrom});
            scheduleArrival(account, kind);
        });
    }

    std::size_t drawVm()
    {
        double drawn = draw() * m_weights;
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
            drawn -= m_vms[vm].m_weight;
            if (drawn <= 0)
                return vm;
        }
        return m_vms.size() - 1;
    }

    void restart(std::size_t index)
    {
        Vm &vm = m_vms[index];
        vm.m_gate = ServiceGate(m_play.m_seed * 1000 + index * 7 + vm.m_incarnation);
        vm.m_known.assign(m_vms.size(), 0);
        vm.m_heardAt.clear();
        vm.m_knownSum = 0;
        vm.m_isUp = true;
    }

    /// Kills a third of the VMs one after the other, and starts them again a second later.
    void killNext(std::size_t index)
    {
        if (index * 3 >= m_vms.size())
            return;
        Vm &vm = m_vms[index];
        vm.m_isUp = false;
        ++vm.m_incarnation;
        m_waiting[index].clear();
        at(m_now + 1s, [this, index] { restart(index); });
        at(m_now + 15s / m_vms.size(), [this, index] { killNext(index + 1); });
    }

    bool isCutOff(std::size_t left, std::size_t right) const
    {
        const bool isDuring = m_now >= start + 5s;
        return m_play.m_isPartitioned && isDuring
               && (left * 3 < m_vms.size()) != (right * 3 < m_vms.size());
    }

    void report(std::size_t index)
    {
        at(m_now + m_play.m_reportInterval, [this, index] { report(index); });
        Vm &vm = m_vms[index];
        if (!vm.m_isUp)
            return;
        const auto turns = vm.m_gate.report(m_now);
        for (std::size_t peer = 0; peer < m_vms.size(); ++peer) {
            if (peer == index || !m_vms[peer].m_isUp || isCutOff(index, peer))
                continue;
            Vm &receiver = m_vms[peer];
            receiver.m_knownSum += vm.m_gate.inFlight() - receiver.m_known[index];
            receiver.m_known[index] = vm.m_gate.inFlight();
            receiver.m_heardAt[index] = m_now;
            const std::string name = std::to_string(index);
            if (turns)
                receiver.m_gate.setPeer(name, vm.m_incarnation, *turns);
            else
                receiver.m_gate.removePeer(name);
        }
        removeSilent(vm);
        update(index);
        decide(index);
    }

    /// Removes peers that were silent for longer than a few reports take.
    void removeSilent(Vm &vm)
    {
        std::erase_if(vm.m_heardAt, [this, &vm](const auto &heard) {
            if (m_now - heard.second <= 3 * m_play.m_reportInterval)
                return false;
            vm.m_knownSum -= vm.m_known[heard.first];
            vm.m_known[heard.first] = 0;
            vm.m_gate.removePeer(std::to_string(heard.first));
            return true;
        });
    }

    void update(std::size_t index)
    {
        Vm &vm = m_vms[index];
        RoomInputs room;
        room.m_slots = m_slots;
        room.m_inFlight = vm.m_gate.inFlight() + vm.m_knownSum;
        room.m_nodes = m_vms.size();
        room.m_reporting = vm.m_heardAt.size() + 1;
        room.m_reportAge = m_play.m_reportInterval;
        vm.m_gate.setRoom(room, m_now);
    }

    void arrive(const Arrival &arrival)
    {
        const std::size_t index = drawVm();
        Vm &vm = m_vms[index];
        if (!vm.m_isUp)
            return;
        const Kind &kind = kinds[arrival.m_kind];
        countOf(arrival).m_arrived += arrival.m_isMeasured ? 1 : 0;
        update(index);
        GateRequest request;
        request.m_account = MemberId(std::to_string(arrival.m_account));
        request.m_priority = kind.m_priority;
        request.m_tokens = kind.m_tokens;
        request.m_latencyTarget = kind.m_target;
        request.m_deadline = m_now + kind.m_timeout;
        request.m_firstEventTime = kind.m_firstEvent;
        const TurnDecision decision = vm.m_gate.arrive(request, m_now);
        apply(index, arrival, decision);
        decide(index);
    }

    void apply(std::size_t index, const Arrival &arrival, const TurnDecision &decision)
    {
        if (decision.m_verdict == TurnVerdict::Placed) {
            m_longestWait = std::max(m_longestWait, decision.m_waited);
            place({arrival, index, m_vms[index].m_incarnation, decision.m_turn});
        } else if (decision.m_verdict == TurnVerdict::Waits) {
            m_waiting[index][decision.m_turn] = arrival;
            at(decision.m_waitsUntil, [this, index] { decide(index); });
        } else if (!m_vms[index].m_gate.isShort()) {
            ++m_earlyRejections;
        }
    }

    void decide(std::size_t index)
    {
        if (!m_vms[index].m_isUp)
            return;
        ServiceGate &gate = m_vms[index].m_gate;
        for (const TurnDecision &decision : gate.takeTurns(m_now)) {
            const auto waiting = m_waiting[index].extract(decision.m_turn);
            if (!waiting.empty())
                apply(index, waiting.mapped(), decision);
        }
        const bool couldRun = !gate.isShort() || gate.inFlight() < gate.room().window();
        if (gate.waiting() > 0 && couldRun)
            ++m_idleWaits;
    }

    Count &countOf(const Arrival &arrival) { return m_counts[arrival.m_account][arrival.m_kind]; }

    void place(const Running &running)
    {
        if (m_running < m_slots)
            begin(running);
        else
            m_upstreamQueue.emplace(kinds[running.m_arrival.m_kind].m_priority, running);
    }

    void begin(const Running &running)
    {
        const Arrival &arrival = running.m_arrival;
        const Kind &kind = kinds[arrival.m_kind];
        ++m_running;
        if (arrival.m_isMeasured) {
            ++countOf(arrival).m_served;
            const bool isInTime = m_now + kind.m_firstEvent <= arrival.m_at + kind.m_target;
            countOf(arrival).m_inTime += isInTime ? 1 : 0;
        }
        const Duration held = fromSeconds(toSeconds(kind.m_held) * (0.7 + 0.6 * draw()));
        at(m_now + held, [this, running] { end(running); });
    }

    void end(const Running &running)
    {
        --m_running;
        if (!m_upstreamQueue.empty() && m_running < m_slots) {
            const Running next = m_upstreamQueue.extract(m_upstreamQueue.begin()).mapped();
            begin(next);
        }
        Vm &vm = m_vms[running.m_vm];
        if (!vm.m_isUp || vm.m_incarnation != running.m_incarnation)
            return;
        vm.m_gate.finish(running.m_turn, kinds[running.m_arrival.m_kind].m_tokens, m_now);
        update(running.m_vm);
        decide(running.m_vm);
    }

    void sampleUse()
    {
        m_useSum += static_cast<double>(m_running) / static_cast<double>(m_slots);
        ++m_useSamples;
        at(m_now + 50ms, [this] { sampleUse(); });
    }

    Play m_play;
    std::uint64_t m_random;
    TimePoint m_now = start;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<Vm> m_vms;
    double m_weights = 0;
    std::vector<double> m_shares;
    std::vector<std::array<Count, 2>> m_counts;
    std::map<std::size_t, std::map<RequestId, Arrival>> m_waiting;
    std::int64_t m_slots = allSlots;
    std::int64_t m_running = 0;
    std::multimap<int, Running> m_upstreamQueue;
    double m_useSum = 0;
    double m_useSamples = 0;
    int m_idleWaits = 0;
    int m_earlyRejections = 0;
    Duration m_longestWait{};
};

/// What the page on hard load requires, as measured in one play.
struct Outcome
{
    /// Greatest deviation from its fair share of an account that asks for more than that.
    double m_worstShare = 0;
    /// Part of the urgent streams that were in time, of accounts whose share covers them.
    double m_urgentInTime = 0;
    /// What the least served account and class had, as a part of the average.
    double m_leastServed = 0;
    /// Mean part of the slots in use.
    double m_use = 0;
    int m_idleWaits = 0;
    int m_earlyRejections = 0;
    Duration m_longestWait{};
};

/// Returns the share of each account that receives an equal part of all; one that asks for less has
/// its demand.
inline double fairShare(std::vector<double> demands, double all)
{
    std::sort(demands.begin(), demands.end());
    std::size_t left = demands.size();
    for (const double demand : demands) {
        const double share = all / static_cast<double>(left);
        if (demand >= share)
            return share;
        all -= demand;
        --left;
    }
    return demands.back();
}

inline Outcome play(const Play &input)
{
    /// An account that asks for hardly more than its share can't make good for a request that was
    /// rejected.
    constexpr double minExcess = 1.15;
    /// Part of the share that the urgent streams of an account may need.
    constexpr double urgentPart = 0.8;
    Fleet fleet(input);
    fleet.run();
    std::vector<double> demands;
    double served = 0;
    double demanded = 0;
    for (std::size_t account = 0; account < input.m_accounts; ++account) {
        demands.push_back(fleet.demandOf(account));
        served += fleet.servedOf(account);
        demanded += demands.back();
    }
    const double share = fairShare(demands, served);
    const double average = served / demanded;
    Outcome outcome;
    outcome.m_leastServed = 1;
    Count urgent;
    for (std::size_t account = 0; account < input.m_accounts; ++account) {
        const double part = fleet.servedOf(account) / std::min(share, demands[account]);
        if (demands[account] >= minExcess * share)
            outcome.m_worstShare = std::max(outcome.m_worstShare, std::abs(part - 1));
        outcome.m_leastServed = std::min(outcome.m_leastServed, part);
        const Count &streams = fleet.counts()[account][0];
        if (streams.m_arrived * static_cast<double>(kinds[0].m_tokens) > urgentPart * share)
            continue;
        urgent.m_arrived += streams.m_arrived;
        urgent.m_inTime += streams.m_inTime;
    }
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        Count all;
        for (const auto &counts : fleet.counts()) {
            all.m_arrived += counts[kind].m_arrived;
            all.m_served += counts[kind].m_served;
        }
        const double part = all.m_served / all.m_arrived / average;
        outcome.m_leastServed = std::min(outcome.m_leastServed, part);
    }
    outcome.m_urgentInTime = urgent.m_inTime / urgent.m_arrived;
    outcome.m_use = fleet.use();
    outcome.m_idleWaits = fleet.idleWaits();
    outcome.m_earlyRejections = fleet.earlyRejections();
    outcome.m_longestWait = fleet.longestWait();
    return outcome;
}

} // namespace gypsumdale::testing::scarcity
