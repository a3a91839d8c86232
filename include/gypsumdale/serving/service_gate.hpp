#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/policy/fair_queue.hpp>
#include <gypsumdale/serving/service_room.hpp>
#include <gypsumdale/serving/sliding_sum.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t, uint64_t
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// One request that asks for a place at a service.
struct GateRequest
{
    MemberId m_account;
    /// Weight of the account's share; one that isn't positive counts as 1.
    double m_weight = 1;
    /// 0 is the most urgent.
    int m_priority = 0;
    /// Prompt and expected output, in tokens; below 1 where unknown.
    std::int64_t m_tokens = 0;
    Duration m_latencyTarget{};
    TimePoint m_deadline = TimePoint::max();
    /// Time that an upstream needs until the first event or the answer, if nothing waits there.
    Duration m_firstEventTime{};
};

enum class TurnVerdict {
    Placed,
    Waits,
    /// Has not run and never will.
    Rejected,
};

inline constexpr NameTable<TurnVerdict, 3> turnVerdictNames = {{
        {TurnVerdict::Placed, "placed"},
        {TurnVerdict::Waits, "waits"},
        {TurnVerdict::Rejected, "rejected"},
}};

enum class TurnReason {
    /// The service is not short of slots.
    EnoughSlots,
    /// Fewer requests than the window are in flight.
    WithinWindow,
    WindowFull,
    /// The work ahead takes longer than the request may wait.
    TooMuchAhead,
    /// The queue is full, and this request would be served last.
    QueueFull,
    /// The longest time to wait has passed.
    WaitedTooLong,
    Draining,
};

inline constexpr NameTable<TurnReason, 7> turnReasonNames = {{
        {TurnReason::EnoughSlots, "enough-slots"},
        {TurnReason::WithinWindow, "within-window"},
        {TurnReason::WindowFull, "window-full"},
        {TurnReason::TooMuchAhead, "too-much-ahead"},
        {TurnReason::QueueFull, "queue-full"},
        {TurnReason::WaitedTooLong, "waited-too-long"},
        {TurnReason::Draining, "draining"},
}};

/// What becomes of one request, and the values that this is based on.
struct TurnDecision
{
    /// Identifies the request at the gate. Ids of callers may occur twice.
    RequestId m_turn;
    TurnVerdict m_verdict = TurnVerdict::Placed;
    TurnReason m_reason = TurnReason::EnoughSlots;
    /// Time that the request has waited.
    Duration m_waited{};
    /// Expected time until its turn when it arrived; 0 where unknown.
    Duration m_forecast{};
    /// Latest end of the wait of a request that waits.
    TimePoint m_waitsUntil{};
    /// When a rejected request is expected to find a place.
    Duration m_retryAfter{};
};

/// What one VM tells the others of a service that is short of slots.
struct ServiceTurnsReport
{
    TokenCounts m_served;
    std::int64_t m_waiting = 0;
    double m_demandPerSecond = 0;
};

/// Content of the operators' page about one service.
struct GateView
{
    RoomState m_state = RoomState::Enough;
    RoomInputs m_room;
    std::int64_t m_window = 0;
    std::int64_t m_ownInFlight = 0;
    std::size_t m_waiting = 0;
    std::int64_t m_peersWaiting = 0;
    /// Accounts whose requests wait, in the order in which they are served.
    std::vector<MemberId> m_order;
    std::map<TurnReason, std::uint64_t> m_rejections;
};

/// The bounded queue of one service at one VM, in use only while the service is short of slots.
///
/// Load: twice to six times what the slots can serve, from accounts of very different demand, at
/// fleets of a few to several hundred VMs that know each other's counts with a delay of seconds. A
/// VM of a large fleet has a window of one request and sees an account once in several seconds.
/// Shares therefore come from counters over all VMs, and each VM starts at another point of the
/// order.
class ServiceGate
{
public:
    /// Processes with different seeds prefer different accounts at first.
    explicit ServiceGate(std::uint64_t seed = 0);

    /// Applies the slots, the requests in flight, the size of the fleet and the age of the reports;
    /// the demand is known here. Complexity: linear in the peers that reported.
    std::optional<RoomChange> setRoom(RoomInputs inputs, TimePoint now);

    /// Decides about a request that has just arrived. One that is placed is in flight until
    /// finish(). Others may have to give way to it: takeTurns() has to be called next. Complexity:
    /// linear in the accounts and the queued requests.
    TurnDecision arrive(const GateRequest &request, TimePoint now);

    /// Returns the decisions about requests that waited: those that are served now, and those that
    /// are rejected. To be called when a request ends, when the room changes and when a wait ends.
    /// Complexity: linear in the accounts and the queued requests.
    std::vector<TurnDecision> takeTurns(TimePoint now);

    /// Removes a request that waits because its caller is gone. Returns false if it doesn't wait.
    bool remove(const RequestId &turn);

    /// Ends all waits: each request is placed while the window allows it, and rejected otherwise.
    /// No request waits from now on.
    std::vector<TurnDecision> drain(TimePoint now);

    /// Records the end of a placed request and the tokens that it took; 0 if it was not run.
    /// Complexity: logarithmic.
    void finish(const RequestId &turn, std::int64_t tokens, TimePoint now);

    /// Replaces what a peer reported. Complexity: linear in its accounts.
    void setPeer(const std::string &node, std::uint64_t incarnation,
                 const ServiceTurnsReport &report);
    /// Forgets the demand of a peer that reports none any more or is gone. Its served tokens stay.
    void removePeer(const std::string &node) { m_peers.erase(node); }

    /// Returns the report for the peers, or nothing if the service was not short within the last
    /// seconds.
    std::optional<ServiceTurnsReport> report(TimePoint now);

    bool isShort() const { return m_room.isShort(); }
    std::size_t waiting() const { return m_queue.waiting(); }
    std::int64_t inFlight() const { return static_cast<std::int64_t>(m_placed.size()); }
    const ServiceRoom &room() const { return m_room; }
    GateView view() const;

private:
    struct Placed
    {
        MemberId m_account;
        std::uint64_t m_charged = 0;
        std::uint64_t m_tokens = 0;
        TimePoint m_at{};
    };
    struct Waiting
    {
        TimePoint m_arrivedAt{};
        Duration m_forecast{};
        MemberId m_account;
        std::uint64_t m_tokens = 0;
    };
    struct PeerDemand
    {
        double m_demandPerSecond = 0;
        std::int64_t m_waiting = 0;
    };

    void recordArrival(const GateRequest &request, std::uint64_t tokens, TimePoint now);
    double ownDemand(TimePoint now);
    double fleetDemand(double own, std::size_t nodes) const;
    void introduce(const GateRequest &request);
    void updateQueue(TimePoint now);
    void updateClassShares(TimePoint now);
    double meanTokens(TimePoint now);
    Duration turnInterval(TimePoint now);
    Duration forecastWait(const GateRequest &request, std::uint64_t tokens, TimePoint now);
    std::size_t queueLimit() const;
    Duration retryAfter(const MemberId &account, std::uint64_t tokens);
    void place(const RequestId &turn, const MemberId &account, std::uint64_t tokens,
               std::uint64_t charged, TimePoint now);
    void placeWaiting(TimePoint now);
    TurnDecision endWait(const RequestId &turn, TurnVerdict verdict, TurnReason reason,
                         TimePoint now);
    double draw();

    ServiceRoom m_room;
    FairQueue m_queue;
    std::map<RequestId, Waiting> m_waiting;
    std::map<RequestId, Placed> m_placed;
    /// Decisions about waiting requests that takeTurns() returns next.
    std::vector<TurnDecision> m_decided;
    std::map<std::string, PeerDemand> m_peers;
    std::map<MemberId, double> m_weights;
    std::optional<TimePoint> m_firstArrivalAt;
    SlidingSum m_arrivals;
    SlidingSum m_arrivedTokens;
    /// Arrived tokens by priority.
    std::map<int, SlidingSum> m_classTokens;
    SlidingSum m_finished;
    SlidingSum m_finishedSeconds;
    /// Time between two turns as of the last update; 0 while unknown.
    Duration m_interval{};
    /// Tokens that the fleet serves per second, as of the last update; 0 while unknown.
    double m_fleetRate = 0;
    std::map<TurnReason, std::uint64_t> m_rejections;
    std::uint64_t m_lastTurn = 0;
    std::uint64_t m_random;
    bool m_isDraining = false;
};

} // namespace gypsumdale
