#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/observe/log.hpp>
#include <gypsumdale/observe/metrics.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/serving/service_gate.hpp>
#include <gypsumdale/serving/serving_view.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t, uint64_t
#include <functional> // function
#include <map> // map
#include <memory> // shared_ptr
#include <optional> // optional
#include <string> // string

namespace gypsumdale {

/// A caller's request that asks for its turn.
struct TurnRequest
{
    RequestId m_request;
    ServiceId m_service;
    /// Empty for a request without an account.
    AccountId m_account;
    /// By which the request finds its route.
    std::string m_host;
    std::string m_path;
    GateRequest m_gate;
};

/// How the wait for a turn ended.
enum class TurnEnd {
    Placed,
    Rejected,
    CallerGone,
    /// The configuration no longer has the request's account or route: it is judged again.
    NotAllowed,
};

/// The queues of all services at one VM, for the fibers of the traffic thread: a request waits
/// while its service is short of slots and is woken when its turn has come or its wait is over.
class EntryWaiting
{
public:
    /// A request at the gate, from its arrival to the end of its service.
    class Turn
    {
    public:
        Turn(EntryWaiting &waiting, const TurnRequest &request);
        ~Turn();
        Turn(const Turn &) = delete;
        Turn &operator=(const Turn &) = delete;

        /// Returns whether await() has to suspend the fiber.
        bool mustWait() const { return !m_end; }
        /// Waits until the turn has come or the wait is over.
        TurnEnd await();
        /// Ends the wait because the caller is gone. May be called within the event loop.
        void cancel();
        /// Returns when a rejected request is expected to find a place.
        Duration retryAfter() const { return m_decision.m_retryAfter; }
        Duration waited() const { return m_decision.m_waited; }
        /// Sets what the request took of the service. One that was not run takes nothing.
        void setServedTokens(std::int64_t tokens) { m_servedTokens = tokens; }

    private:
        friend class EntryWaiting;
        struct Signal;

        void end(TurnEnd end, const TurnDecision &decision);

        EntryWaiting &m_waiting;
        TurnRequest m_request;
        TurnDecision m_decision;
        std::optional<TurnEnd> m_end;
        std::shared_ptr<Signal> m_signal;
        std::int64_t m_servedTokens = 0;
    };

    EntryWaiting(bool isOn, FiberLoop &loop, UpstreamPool &pool, const Clock &clock, Logger &log,
                 Metrics &metrics, std::uint64_t seed);

    bool isOn() const { return m_isOn; }

    void setFleetSize(std::size_t nodes) { m_nodes = nodes; }
    /// Applies what a peer reported of services that are short of slots. Complexity: linear in the
    /// services and accounts.
    void setPeer(const std::string &node, std::int64_t incarnation,
                 const std::map<ServiceId, ServiceTurnsReport> &turns);
    void removePeer(const std::string &node);
    /// Ends the waits of requests whose account or route the configuration no longer has.
    /// Complexity: linear in the requests that wait, times the accounts.
    void setView(const ServingView &view);
    /// Gives out turns after the upstreams or the peers' loads have changed. Does nothing if no
    /// request waits.
    void refresh();
    /// Ends all waits, before the process ends.
    void drain();

    /// Returns what the peers are told. Complexity: linear in the accounts.
    std::map<ServiceId, ServiceTurnsReport> report();
    /// Returns the content of the operators' page.
    std::map<ServiceId, GateView> views() const;

private:
    ServiceGate &gateOf(const ServiceId &service);
    void updateRoom(const ServiceId &service, ServiceGate &gate);
    void giveTurns(const ServiceId &service, ServiceGate &gate);
    void wake(const ServiceId &service, const TurnDecision &decision);
    void finish(const Turn &turn);
    void watch();
    std::size_t waiting() const;
    void logChange(const ServiceId &service, const ServiceGate &gate, RoomChange change);
    void logDecision(const TurnRequest &request, const TurnDecision &decision);

    bool m_isOn;
    FiberLoop &m_loop;
    UpstreamPool &m_pool;
    const Clock &m_clock;
    Logger &m_log;
    Metrics &m_metrics;
    std::uint64_t m_seed;
    std::size_t m_nodes = 1;
    std::map<ServiceId, ServiceGate> m_gates;
    /// Requests that wait, by their service and their id at its gate.
    std::map<ServiceId, std::map<RequestId, Turn *>> m_turns;
    bool m_isWatching = false;
};

} // namespace gypsumdale
