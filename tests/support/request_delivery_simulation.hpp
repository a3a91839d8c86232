#pragma once

#include "support/peer_lists.hpp"
#include "support/request_network.hpp"
#include "support/upstream_list_simulation.hpp"

#include <gypsumdale/serving/placement_deadline.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <algorithm> // max, min_element
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map> // map
#include <memory> // make_shared, shared_ptr
#include <optional> // nullopt, optional
#include <string> // stoul
#include <vector> // vector

namespace gypsumdale::testing {

/// Simulation of updates about upstreams that continues to the first byte of requests at them: each
/// VM's traffic thread, its connections and send buffers, and the paths.
class RequestDeliverySimulation : public UpstreamListSimulation
{
public:
    static constexpr std::size_t playedDataCentres = 2;

    RequestDeliverySimulation(std::size_t vms, std::size_t dataCentres, Duration bound,
                              const SimulatedFaults &troubles, std::uint64_t seed)
        : UpstreamListSimulation(vms, dataCentres, bound, troubles, seed, playedDataCentres)
        , m_way(agenda(), seed, [this](const InFlightRequest &request) { judge(request); })
        , m_term(bound)
        , m_traffic(this->vms().size())
        , m_unconfirmable(this->vms().size())
        , m_peers(this->vms().size())
    {
        for (std::size_t index = 0; index < m_traffic.size(); ++index)
            m_numbers[this->vms()[index].get()] = index;
        agenda().after({}, [this] { disturbPaths(); });
    }

    /// Returns how many requests of undisturbed VMs reached an upstream later after its leaving
    /// than the bound allows.
    int lateRequests() const { return m_lateRequests; }
    /// Returns how many requests have reached an upstream.
    int arrivals() const { return m_arrivals; }

protected:
    void begun(SimulatedVm &vm) override
    {
        trafficOf(vm) = Traffic{};
        m_unconfirmable[m_numbers[&vm]] = false;
        m_peers.forget(m_numbers[&vm]);
        exchangeLoop(vm);
        placeLoop(vm);
    }

    void confirmed(SimulatedVm &vm) override
    {
        m_unconfirmable[m_numbers[&vm]] = false;
        handOver(vm);
    }

    void onUnanswered(SimulatedVm &vm) override
    {
        m_unconfirmable[m_numbers[&vm]] = true;
        handOver(vm);
    }

    void left(const UpstreamId &upstream) override { m_leftAt[upstream] = agenda().now(); }

private:
    using Upstreams = std::map<UpstreamId, UpstreamRecord>;

    /// Longest time until the traffic thread has what the control thread hands over.
    static constexpr Duration maxHandOverDelay = std::chrono::milliseconds(200);
    static constexpr Duration longestPause = std::chrono::milliseconds(600);
    static constexpr int mostConnectFailures = 4;
    /// Longest delay of the traffic thread's timers.
    static constexpr Duration longestTimerDelay = std::chrono::milliseconds(20);

    /// Placed request with its delivery deadline.
    struct Placed
    {
        std::shared_ptr<InFlightRequest> m_request;
        TimePoint m_until{};
        /// Its upstream is known to leave: no confirmation of the list moves the deadline any more.
        bool m_isLeaving = false;
        bool isOver() const { return m_request->m_isWithdrawn || m_request->m_hasArrived; }
    };

    /// What a VM's traffic thread knows.
    struct Traffic
    {
        std::vector<std::shared_ptr<Placed>> m_placed;
        Upstreams m_upstreams;
        ListConfirmation m_standing;
        /// What is handed over later arrives later.
        TimePoint m_handedOverAt{};
    };

    Traffic &trafficOf(const SimulatedVm &vm) { return m_traffic[m_numbers[&vm]]; }

    void handOver(SimulatedVm &vm)
    {
        Traffic &traffic = trafficOf(vm);
        const TimePoint now = agenda().now();
        traffic.m_handedOverAt =
                std::max(traffic.m_handedOverAt, now + m_way.draw(maxHandOverDelay));
        const auto upstreams =
                std::make_shared<const Upstreams>(vm.m_following->feed().upstreams());
        const ListConfirmation standing{vm.m_following->confirmedAt(),
                                        m_unconfirmable[m_numbers[&vm]]};
        later(vm, traffic.m_handedOverAt - now, [this, &vm, &traffic, upstreams, standing] {
            traffic.m_upstreams = *upstreams;
            noteLeaving(vm, traffic);
            traffic.m_standing = standing;
        });
    }

    /// Ends the deadlines of requests whose upstream leaves or is gone.
    void noteLeaving(SimulatedVm &vm, Traffic &traffic)
    {
        std::erase_if(traffic.m_placed, [](const auto &placed) { return placed->isOver(); });
        for (const std::shared_ptr<Placed> &placed : traffic.m_placed) {
            const auto found = traffic.m_upstreams.find(placed->m_request->m_upstream);
            const bool isThere = found != traffic.m_upstreams.end() && !found->second.m_isDraining;
            if (isThere || placed->m_isLeaving)
                continue;
            placed->m_until = std::min(deliveryDeadlineOf(*placed, traffic),
                                       now() + PlacementDeadline::deliveryMargin);
            placed->m_isLeaving = true;
            cancelAt(vm, placed, placed->m_until + longestTimerDelay);
        }
    }

    TimePoint deliveryDeadlineOf(const Placed &placed, const Traffic &traffic) const
    {
        return placed.m_isLeaving ? placed.m_until
                                  : m_term.renewed(placed.m_until, traffic.m_standing);
    }

    /// Cancels a request at a time, unless its deadline has moved by then.
    void cancelAt(SimulatedVm &vm, const std::shared_ptr<Placed> &placed, TimePoint time)
    {
        later(vm, time - now(), [this, &vm, placed] {
            const TimePoint until = deliveryDeadlineOf(*placed, trafficOf(vm));
            if (until > now() && !placed->isOver())
                cancelAt(vm, placed, until + longestTimerDelay);
            else
                placed->m_request->m_isWithdrawn = true;
        });
    }

    void placeLoop(SimulatedVm &vm)
    {
        later(vm, m_way.draw(longestPause), [this, &vm] {
            place(vm, 0);
            placeLoop(vm);
        });
    }

    /// Sends a request to an upstream of the list, or to another if no connection is established in
    /// time.
    void place(SimulatedVm &vm, int connectFailures)
    {
        const Traffic &traffic = trafficOf(vm);
        const std::optional<UpstreamId> upstream = choose(traffic.m_upstreams);
        const std::optional<TimePoint> until = m_term.until(traffic.m_standing, now());
        if (!upstream || !until || connectFailures >= mostConnectFailures)
            return;
        const auto placed = std::make_shared<Placed>();
        placed->m_request = std::make_shared<InFlightRequest>();
        placed->m_request->m_vm = m_numbers[&vm];
        placed->m_request->m_upstream = *upstream;
        placed->m_until = *until;
        trafficOf(vm).m_placed.push_back(placed);
        const auto connected = [this, &vm, placed, connectFailures,
                                life = vm.m_life](bool isConnected, Duration connecting) {
            if (vm.m_life != life)
                return;
            const TimePoint until = deliveryDeadlineOf(*placed, trafficOf(vm));
            const bool maySend =
                    !placed->m_isLeaving && PlacementDeadline::maySend(until, connecting, now());
            if (isConnected && maySend)
                return send(vm, placed);
            placed->m_request->m_isWithdrawn = true;
            place(vm, connectFailures + 1);
        };
        m_way.connect(m_numbers[&vm], *upstream, connected);
    }

    /// Sends a request, and cancels what has not left by its deadline.
    void send(SimulatedVm &vm, const std::shared_ptr<Placed> &placed)
    {
        m_way.send(placed->m_request);
        const TimePoint until = deliveryDeadlineOf(*placed, trafficOf(vm));
        cancelAt(vm, placed, until + m_way.draw(longestTimerDelay));
    }

    /// Draws an upstream that isn't known to leave; half of the time the oldest, which leaves next.
    std::optional<UpstreamId> choose(const Upstreams &upstreams)
    {
        std::size_t kept = 0;
        std::size_t all = 0;
        for (const auto &[id, record] : upstreams) {
            kept += !record.m_isDraining && record.m_isRetained ? 1 : 0;
            all += record.m_isDraining ? 0 : 1;
        }
        const bool usesRetained = UpstreamPool::usesRetained(kept, all);
        std::vector<std::size_t> ready;
        for (const auto &[id, record] : upstreams) {
            if (!record.m_isDraining && (usesRetained || !record.m_isRetained))
                ready.push_back(std::stoul(id.text()));
        }
        if (ready.empty())
            return std::nullopt;
        const bool takesOldest = m_way.drawIndex(2) == 0;
        return idOf(takesOldest ? *std::min_element(ready.begin(), ready.end())
                                : ready[m_way.drawIndex(ready.size())]);
    }

    void judge(const InFlightRequest &request)
    {
        ++m_arrivals;
        const auto leftAt = m_leftAt.find(request.m_upstream);
        if (leftAt == m_leftAt.end())
            return;
        const bool isLate = agenda().now() - leftAt->second > bounds().m_leavingApply;
        if (isLate && isUndisturbed(*vms()[request.m_vm]))
            ++m_lateRequests;
    }

    /// Stops delivery on a path to an upstream or on those of a whole data centre, or fills a VM's
    /// link.
    void disturbPaths()
    {
        const TimePoint now = agenda().now();
        const std::size_t struck = m_way.drawIndex(vms().size());
        const TimePoint until = now + m_way.draw(std::chrono::seconds(5));
        const UpstreamId upstream = idOf(nextToLeave() + m_way.drawIndex(upstreams));
        switch (m_way.drawIndex(3)) {
        case 0:
            m_way.silence(struck, upstream, until);
            break;
        case 1:
            for (const auto &vm : vms()) {
                if (vm->m_dataCentre == vms()[struck]->m_dataCentre)
                    m_way.silence(m_numbers[vm.get()], upstream, until);
            }
            break;
        default:
            m_way.slow(struck, m_way.draw(std::chrono::seconds(1)), until);
            break;
        }
        agenda().after(m_way.draw(std::chrono::milliseconds(400)), [this] { disturbPaths(); });
    }

    /// Exchanges reports with another VM, of any data centre, now and then.
    void exchangeLoop(SimulatedVm &vm)
    {
        later(vm, PeerLists::exchangeInterval, [this, &vm] {
            SimulatedVm &peer = *vms()[m_way.drawIndex(vms().size())];
            if (&peer != &vm)
                exchange(vm, peer);
            exchangeLoop(vm);
        });
    }

    void exchange(SimulatedVm &vm, SimulatedVm &peer)
    {
        const auto word = m_peers.reportFor(vm, m_numbers[&vm], m_numbers[&peer], now());
        const int life = vm.m_life;
        later(peer, pathDelay(vm) + pathDelay(peer), [this, &vm, &peer, word, life] {
            take(peer, vm, word);
            if (peer.m_isDead || vm.m_life != life)
                return;
            const auto answer = m_peers.reportFor(peer, m_numbers[&peer], m_numbers[&vm], now());
            later(vm, pathDelay(vm) + pathDelay(peer),
                  [this, &vm, &peer, answer] { take(vm, peer, answer); });
        });
    }

    void take(SimulatedVm &vm, SimulatedVm &sender, const PeerWord &word)
    {
        if (vm.m_isDead)
            return;
        if (m_peers.take(vm, m_numbers[&vm], m_numbers[&sender], word, now()))
            confirmed(vm);
    }

    TimePoint now() { return agenda().now(); }

    RequestNetwork m_way;
    PlacementDeadline m_term;
    std::vector<Traffic> m_traffic;
    /// By VM, as its control thread knows it.
    std::vector<bool> m_unconfirmable;
    PeerLists m_peers;
    std::map<const SimulatedVm *, std::size_t> m_numbers;
    std::map<UpstreamId, TimePoint> m_leftAt;
    int m_arrivals = 0;
    int m_lateRequests = 0;
};

} // namespace gypsumdale::testing
