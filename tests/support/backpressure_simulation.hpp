#pragma once

#include <gypsumdale/serving/upstream_pool.hpp>

#include "support/event_queue.hpp"

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm> // count_if, max
#include <cstddef> // size_t
#include <functional> // function
#include <map> // map
#include <memory> // unique_ptr
#include <optional> // optional
#include <random> // distributions
#include <set> // set
#include <string> // stoi
#include <utility> // move
#include <vector> // vector

namespace gypsumdale::testing {

/// A play of VMs before upstreams that ask for fewer requests in their answers.
struct BackpressurePlan
{
    int m_vms = 6;
    int m_upstreams = 9;
    /// The first ones name a limit.
    int m_limited = 1;
    /// The last one says that it leaves, though its entry says ready, and is started again; the one
    /// before turns requests away and asks for rest.
    bool m_hasOthers = false;
    /// Part of the answers that are lost.
    double m_lostAnswers = 0;
    /// Entries are missing from the lists of some VMs for a time.
    bool m_losesEntries = false;
    /// Requests per second from all VMs.
    double m_limit = 1;
    /// Requests per second of all callers.
    double m_load = 100;
    /// Deviation of the VMs' loads, as a logarithm.
    double m_unevenness = 0.7;
    /// VMs are killed and restarted, freeze and are parted from each other.
    bool m_hasFaults = true;
    /// Part of the messages between VMs that are lost.
    double m_lostMessages = 0;
    /// VMs do what the answers say.
    bool m_listens = true;
    /// VMs know of each other. Otherwise each takes the whole rate.
    bool m_knowsPeers = true;
    /// The limits are named from the fourth second on, for this time.
    Duration m_limitedTime = std::chrono::seconds(25);
};

struct BackpressureResult
{
    /// The most requests beyond those allowed that a limited upstream got within a window.
    int m_mostBeyond = 0;
    /// Requests that limited upstreams got while they named a limit, and what the limit allows.
    int m_served = 0;
    double m_allowed = 0;
    int m_placed = 0;
    int m_rejected = 0;
    /// Limited upstreams that got a request in the last seconds, after their limits had ended.
    int m_usedAgain = 0;
    /// Requests that reached the leaving process from VMs that it had told, later than allowed.
    int m_afterLeaving = 0;
    /// Requests that the process after it got.
    int m_afterStart = 0;
    /// The most requests of one VM during a rest that it was asked for.
    int m_mostInRest = 0;
    /// Requests that the resting one got after it took them again.
    int m_afterRests = 0;
};

/// Plays the real decisions of all VMs, with late and lost reports between them.
class BackpressureSimulation
{
public:
    BackpressureSimulation(std::uint32_t seed, const BackpressurePlan &plan)
        : m_random(seed)
        , m_plan(plan)
        , m_arrivals(static_cast<std::size_t>(plan.m_limited))
    {
        std::lognormal_distribution<double> weight(0, plan.m_unevenness);
        for (int vm = 0; vm < plan.m_vms; ++vm) {
            m_vms.push_back(std::make_unique<Vm>());
            m_vms.back()->m_weight = weight(m_random);
            start(vm);
        }
    }

    BackpressureResult run()
    {
        introduceVms();
        planStartAgain();
        if (m_plan.m_losesEntries)
            planMissingEntries();
        planFaults();
        const TimePoint end = m_begin + length();
        while (now() < end) {
            m_events.runUntil(now() + tick);
            exchange();
            arrive();
        }
        judge();
        return m_result;
    }

private:
    static constexpr Duration tick = std::chrono::milliseconds(10);
    static constexpr Duration limitBegin = std::chrono::seconds(3);
    /// Time after the limits have ended in which upstreams must be in use again: VMs learn it by a
    /// request at the rate of the limit, and from each other.
    static constexpr Duration newsTime = std::chrono::seconds(10);
    static constexpr int requestsToLearn = 3;
    static constexpr Duration usedAgainTime = std::chrono::seconds(4);
    /// What the upstreams' owners allow, see the postmortem on upstreams in need.
    static constexpr Duration learningTime = std::chrono::seconds(3);
    static constexpr Duration toldTime = std::chrono::milliseconds(500);
    static constexpr Duration window = std::chrono::seconds(4);
    static constexpr double borneFactor = 1.5;
    static constexpr double borneRequests = 5;
    /// Time for which a fault excuses its VM.
    static constexpr Duration excuseTime = std::chrono::seconds(4);
    /// The same for a leaving, and for a rest.
    static constexpr Duration leavingBound = std::chrono::seconds(2);
    static constexpr Duration rest = std::chrono::seconds(3);
    static constexpr Duration restUnderWay = std::chrono::milliseconds(500);
    static constexpr Duration leavingBegin = std::chrono::seconds(5);
    static constexpr Duration leavingEnd = std::chrono::seconds(20);
    static constexpr std::int64_t secondStart = 1000;
    /// Time after which VMs count a killed one no more, and by which they differ in it.
    static constexpr Duration removalTime = std::chrono::seconds(6);
    static constexpr Duration removalSkew = std::chrono::seconds(1);

    struct Vm
    {
        UpstreamPool m_pool;
        double m_weight = 1;
        bool m_isAlive = true;
        int m_side = 0;
        int m_epoch = 0;
        TimePoint m_frozenUntil{};
        TimePoint m_excusedUntil{};
        /// When it was first told of each upstream's limit.
        std::map<int, TimePoint> m_toldAt;
        std::optional<TimePoint> m_leavingToldAt;
        std::optional<TimePoint> m_restToldAt;
        int m_inRest = 0;
        std::set<int> m_missing;
    };

    struct Arrival
    {
        TimePoint m_at;
        bool m_counts;
    };

    static UpstreamId upstreamId(int number) { return UpstreamId(fmt::format("u-{}", number)); }
    static NodeId nodeId(int vm) { return NodeId(fmt::format("vm-{}", vm)); }

    Duration upTo(Duration most)
    {
        std::uniform_int_distribution<std::int64_t> drawn(0, most.count());
        return Duration(drawn(m_random));
    }

    int drawVm() { return static_cast<int>(m_random() % m_vms.size()); }

    void start(int vm)
    {
        Vm &started = *m_vms[vm];
        started.m_pool = UpstreamPool();
        updateList(started);
        started.m_pool.setExchangeStretch(stretch());
        started.m_pool.backpressure().setNode(nodeId(vm));
        started.m_pool.backpressure().setFleetSize(m_plan.m_knowsPeers ? m_vms.size() : 1, now());
        started.m_toldAt.clear();
        started.m_leavingToldAt.reset();
        started.m_restToldAt.reset();
        ++started.m_epoch;
    }

    void updateList(Vm &vm)
    {
        std::map<UpstreamId, UpstreamRecord> records;
        for (int number = 0; number < m_plan.m_upstreams; ++number) {
            if (vm.m_missing.contains(number))
                continue;
            UpstreamRecord record;
            record.m_id = upstreamId(number);
            record.m_service = ServiceId("app");
            record.m_dataCentre = DataCentreId(fmt::format("{}", number % 3));
            record.m_slots = 16;
            record.m_startedAt = isLeavingOne(number) && hasStartedAgain() ? secondStart : 1;
            records.emplace(record.m_id, record);
        }
        vm.m_pool.update(records);
    }

    bool isLeavingOne(int number) const
    {
        return m_plan.m_hasOthers && number == m_plan.m_upstreams - 1;
    }
    bool isRestingOne(int number) const
    {
        return m_plan.m_hasOthers && number == m_plan.m_upstreams - 2;
    }
    bool hasStartedAgain() const { return now() >= m_begin + leavingEnd; }
    bool isLeaving() const { return now() >= m_begin + leavingBegin && !hasStartedAgain(); }
    bool isTurningAway() const { return isLeaving(); }

    /// The old process ends some time before the list has the new one.
    void planStartAgain()
    {
        at(m_begin + leavingEnd, [this] {
            for (auto &vm : m_vms)
                updateList(*vm);
        });
    }

    void planMissingEntries()
    {
        for (auto &vm : m_vms) {
            const TimePoint begin = m_begin + upTo(leavingEnd);
            const int number = m_plan.m_upstreams - 1 - static_cast<int>(m_random() % 3);
            at(begin, [this, &vm = *vm, number] {
                vm.m_missing.insert(number);
                updateList(vm);
            });
            at(begin + upTo(std::chrono::seconds(8)), [this, &vm = *vm, number] {
                vm.m_missing.erase(number);
                updateList(vm);
            });
        }
    }

    /// Factor by which exchanges are spread out in a large fleet.
    int stretch() const { return std::max(1, m_plan.m_vms / 12); }

    void introduceVms()
    {
        if (!m_plan.m_knowsPeers)
            return;
        for (auto &vm : m_vms) {
            for (int peer = 0; peer < m_plan.m_vms; ++peer) {
                if (m_vms[peer] != vm)
                    vm->m_pool.backpressure().addPeer(nodeId(peer), now());
            }
            vm->m_pool.backpressure().setFleetSize(m_vms.size(), now());
        }
    }

    void planFaults()
    {
        if (!m_plan.m_hasFaults)
            return;
        const int faults = 2 + m_plan.m_vms / 20;
        for (int fault = 0; fault < faults; ++fault) {
            at(m_begin + upTo(length()), [this] { kill(drawVm()); });
            at(m_begin + upTo(length()), [this] { freeze(drawVm()); });
        }
        const TimePoint splitAt = m_begin + upTo(length());
        at(splitAt, [this] { split(); });
        at(splitAt + upTo(std::chrono::seconds(8)), [this] { heal(); });
    }

    void excuse(Vm &vm, TimePoint until)
    {
        vm.m_excusedUntil = std::max(vm.m_excusedUntil, until + excuseTime);
    }

    void kill(int killed)
    {
        Vm &vm = *m_vms[killed];
        if (!vm.m_isAlive)
            return;
        vm.m_isAlive = false;
        for (int other = 0; other < m_plan.m_vms; ++other) {
            at(now() + removalTime + upTo(removalSkew), [this, other, killed] {
                if (!m_vms[killed]->m_isAlive)
                    countWithout(other, killed);
            });
        }
        at(now() + std::chrono::seconds(1) + upTo(std::chrono::seconds(10)),
           [this, killed] { restart(killed); });
    }

    void countWithout(int vm, int gone)
    {
        UpstreamBackpressure &backpressure = m_vms[vm]->m_pool.backpressure();
        backpressure.removePeer(nodeId(gone), now());
        backpressure.setFleetSize(aliveCount(), now());
    }

    std::size_t aliveCount() const
    {
        return static_cast<std::size_t>(
                std::ranges::count_if(m_vms, [](const auto &vm) { return vm->m_isAlive; }));
    }

    void restart(int vm)
    {
        m_vms[vm]->m_isAlive = true;
        start(vm);
        excuse(*m_vms[vm], now());
        for (const auto &other : m_vms)
            other->m_pool.backpressure().setFleetSize(aliveCount(), now());
    }

    void freeze(int vm)
    {
        m_vms[vm]->m_frozenUntil = now() + std::chrono::seconds(1) + upTo(std::chrono::seconds(5));
        excuse(*m_vms[vm], m_vms[vm]->m_frozenUntil);
    }

    void split()
    {
        for (auto &vm : m_vms)
            vm->m_side = static_cast<int>(m_random() % 2);
    }

    void heal()
    {
        for (auto &vm : m_vms)
            vm->m_side = 0;
    }

    bool isRunning(const Vm &vm) const { return vm.m_isAlive && vm.m_frozenUntil <= now(); }

    TimePoint now() const { return m_events.now(); }

    /// Returns the length of the play.
    Duration length() const
    {
        const Duration learning = fromSeconds(requestsToLearn / m_plan.m_limit);
        return limitBegin + m_plan.m_limitedTime + learning + newsTime + usedAgainTime;
    }

    void at(TimePoint time, std::function<void()> work)
    {
        m_events.after(time - now(), std::move(work));
    }

    /// Each VM tells one in `stretch()` of the others what it heard, four times a second.
    void exchange()
    {
        constexpr Duration interval = std::chrono::milliseconds(250);
        if ((now() - m_begin) % interval != Duration::zero())
            return;
        const int step = static_cast<int>((now() - m_begin) / interval);
        for (int from = 0; from < m_plan.m_vms; ++from) {
            if (!isRunning(*m_vms[from]))
                continue;
            UpstreamPool &pool = m_vms[from]->m_pool;
            pool.backpressure().removeExpired(presentIn(pool), now());
            const BackpressureReport report = pool.backpressure().report(presentIn(pool), now());
            for (int to = 0; to < m_plan.m_vms; ++to) {
                if (from != to && (from + to) % stretch() == step % stretch())
                    send(from, to, report);
            }
        }
    }

    static std::set<UpstreamProcess> presentIn(const UpstreamPool &pool)
    {
        std::set<UpstreamProcess> processes;
        for (const auto &[id, upstream] : pool.upstreams())
            processes.insert(upstream->process());
        return processes;
    }

    void send(int from, int to, const BackpressureReport &report)
    {
        if (!m_plan.m_knowsPeers)
            return;
        const bool isLost = m_random() < m_plan.m_lostMessages * 4294967295.0;
        if (isLost || m_vms[from]->m_side != m_vms[to]->m_side)
            return;
        const Duration delay = upTo(std::chrono::milliseconds(200));
        const TimePoint sentAt = now();
        at(now() + delay, [this, from, to, sentAt, report] {
            Vm &receiver = *m_vms[to];
            if (!isRunning(receiver))
                return;
            receiver.m_pool.backpressure().addPeer(nodeId(from), now());
            // Ages travel, not moments.
            for (RateLimitReport limit : report.m_rateLimits) {
                limit.m_heardAt += now() - sentAt;
                receiver.m_pool.backpressure().mergePeer(limit, now());
            }
            const std::set<UpstreamProcess> present = presentIn(receiver.m_pool);
            for (const UpstreamProcess &process : report.m_leaving) {
                if (present.contains(process))
                    receiver.m_pool.backpressure().recordLeaving(process, now());
            }
        });
    }

    void arrive()
    {
        double weights = 0;
        for (const auto &vm : m_vms)
            weights += vm->m_isAlive ? vm->m_weight : 0;
        for (int vm = 0; vm < m_plan.m_vms; ++vm) {
            if (!isRunning(*m_vms[vm]))
                continue;
            std::poisson_distribution<int> arrivals(m_plan.m_load * toSeconds(tick)
                                                    * m_vms[vm]->m_weight / weights);
            for (int left = arrivals(m_random); left > 0; --left)
                place(vm);
        }
    }

    void place(int placing)
    {
        Vm &vm = *m_vms[placing];
        PlacementRequest request;
        request.m_service = ServiceId("app");
        request.m_dataCentre = DataCentreId(fmt::format("{}", placing % 3));
        request.m_draw = (std::uint64_t{m_random()} << 32) | m_random();
        const PooledUpstreamPointer upstream = vm.m_pool.choose(request, now());
        ++(upstream ? m_result.m_placed : m_result.m_rejected);
        if (!upstream)
            return;
        vm.m_pool.takePermit(*upstream, now());
        ++upstream->m_own.m_running;
        const int number = std::stoi(upstream->m_record.m_id.text().substr(2));
        recordArrival(vm, number);
        recordOtherArrival(vm, *upstream, number);
        const Duration time = std::chrono::milliseconds(20) + upTo(std::chrono::milliseconds(200));
        at(now() + time, [this, placing, epoch = vm.m_epoch, number, upstream] {
            --upstream->m_own.m_running;
            if (m_vms[placing]->m_isAlive && m_vms[placing]->m_epoch == epoch)
                answer(placing, number, *upstream);
        });
    }

    bool isLimitedAt(TimePoint time) const
    {
        const Duration since = time - m_begin;
        return since >= limitBegin && since < limitBegin + m_plan.m_limitedTime;
    }

    void recordArrival(const Vm &vm, int number)
    {
        if (number >= m_plan.m_limited)
            return;
        const auto told = vm.m_toldAt.find(number);
        const bool isTold = told != vm.m_toldAt.end() && told->second + toldTime <= now();
        const bool isBound = now() >= m_begin + limitBegin + learningTime && isLimitedAt(now());
        m_arrivals[number].push_back({now(), isTold && vm.m_excusedUntil <= now() && isBound});
        m_result.m_served += isBound ? 1 : 0;
        m_result.m_usedAgain += now() > m_begin + length() - usedAgainTime ? 1 : 0;
    }

    /// Judges a request at the upstream that leaves, or at the one that rests.
    void recordOtherArrival(Vm &vm, const PooledUpstream &upstream, int number)
    {
        const bool isExcused = vm.m_excusedUntil > now();
        if (isLeavingOne(number)) {
            const bool isOld = upstream.m_record.m_startedAt != secondStart;
            const bool isLate = vm.m_leavingToldAt && now() > *vm.m_leavingToldAt + leavingBound;
            m_result.m_afterLeaving += isOld && isLate && !isExcused ? 1 : 0;
            m_result.m_afterStart += isOld ? 0 : 1;
        }
        if (!isRestingOne(number))
            return;
        m_result.m_afterRests += isTurningAway() || now() < m_begin + leavingEnd ? 0 : 1;
        const bool isInRest = vm.m_restToldAt && now() >= *vm.m_restToldAt + restUnderWay
                              && now() < *vm.m_restToldAt + rest;
        vm.m_inRest = isInRest ? vm.m_inRest + 1 : 0;
        if (!isExcused)
            m_result.m_mostInRest = std::max(m_result.m_mostInRest, vm.m_inRest);
    }

    /// What the answers of these two say.
    void answerOther(Vm &vm, int number, const PooledUpstream &upstream)
    {
        UpstreamBackpressure &backpressure = vm.m_pool.backpressure();
        if (isLeavingOne(number) && isLeaving()) {
            vm.m_leavingToldAt = vm.m_leavingToldAt.value_or(now());
            if (m_plan.m_listens)
                backpressure.recordLeaving(upstream.process(), now());
        }
        if (isRestingOne(number) && isTurningAway()) {
            vm.m_restToldAt = now();
            if (m_plan.m_listens)
                backpressure.recordRest(upstream.process(), now() + rest, now());
        }
    }

    void answer(int vm, int number, const PooledUpstream &upstream)
    {
        if (m_random() < m_plan.m_lostAnswers * 4294967295.0)
            return;
        answerOther(*m_vms[vm], number, upstream);
        BackpressureSignal signal;
        if (number < m_plan.m_limited && isLimitedAt(now())) {
            signal.m_rateLimit = m_plan.m_limit;
            m_vms[vm]->m_toldAt.try_emplace(number, now());
        }
        if (m_plan.m_listens)
            m_vms[vm]->m_pool.backpressure().record(upstream.process(), signal, now());
    }

    void judge()
    {
        const Duration bound = m_plan.m_limitedTime - learningTime;
        m_result.m_allowed = m_plan.m_limit * m_plan.m_limited * toSeconds(bound);
        const auto most =
                static_cast<int>(borneFactor * m_plan.m_limit * toSeconds(window) + borneRequests);
        for (const std::vector<Arrival> &arrivals : m_arrivals) {
            std::vector<TimePoint> counted;
            for (const Arrival &arrival : arrivals) {
                if (arrival.m_counts)
                    counted.push_back(arrival.m_at);
            }
            std::size_t first = 0;
            for (std::size_t last = 0; last < counted.size(); ++last) {
                while (counted[last] - counted[first] > window)
                    ++first;
                const int within = static_cast<int>(last - first) + 1;
                m_result.m_mostBeyond = std::max(m_result.m_mostBeyond, within - most);
            }
        }
    }

    pcg32 m_random;
    BackpressurePlan m_plan;
    TimePoint m_begin{std::chrono::hours(1)};
    EventQueue m_events;
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::vector<std::vector<Arrival>> m_arrivals;
    BackpressureResult m_result;
};

} // namespace gypsumdale::testing
