#pragma once

#include "support/crash_plan.hpp"
#include "support/event_queue.hpp"

#include <gypsumdale/entry/crash_exchange.hpp>
#include <gypsumdale/entry/exchange_pacing.hpp>
#include <gypsumdale/serving/crash_elements.hpp>
#include <gypsumdale/serving/crash_quarantine.hpp>
#include <gypsumdale/serving/crash_suspects.hpp>

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm> // find, max, min
#include <cmath> // log
#include <cstddef> // size_t
#include <cstdint> // int64_t, uint64_t
#include <map> // map
#include <memory> // make_shared, make_unique, shared_ptr, unique_ptr
#include <set> // set
#include <string> // string
#include <utility> // move
#include <vector> // vector

namespace gypsumdale::testing {

/// Entry VMs before upstreams of one service, clients whose requests crash each upstream that
/// begins to answer them, and others, with the decisions of the product: what is the cause of ends,
/// and for how long it is rejected.
class CrashSimulation
{
public:
    CrashSimulation(const CrashFleet &fleet, CrashFaults faults, std::uint64_t seed)
        : m_fleet(fleet)
        , m_faults(faults)
        , m_random(seed)
    {
        for (std::size_t index = 0; index < fleet.m_upstreams; ++index)
            m_upstreams.push_back({fmt::format("u-{}", index), true, {}});
        for (std::size_t index = 0; index < fleet.m_vms; ++index)
            m_vms.push_back(std::make_unique<Vm>());
    }

    CrashVerdict play()
    {
        for (std::size_t index = 0; index < m_vms.size(); ++index)
            exchange(index);
        scheduleRequest();
        for (std::size_t number = 0; number < m_faults.m_lethalRequests; ++number)
            scheduleLethal(fmt::format("request:lethal-{}", number));
        for (std::size_t number = 0; number < m_faults.m_lethalParts; ++number)
            scheduleLethal(fmt::format("part::lethal-{}", number));
        scheduleSame();
        if (m_faults.m_hasWaves)
            repeat(2000, 8000, [this] { wave(); });
        if (m_faults.m_hasCutPaths)
            repeat(2000, 6000, [this] { cutPath(); });
        if (m_faults.m_hasKilledVms)
            repeat(1000, 5000, [this] { killVm(); });
        if (m_faults.m_hasPartedVms)
            repeat(2000, 6000, [this] { partVm(); });
        m_queue.runUntil(m_queue.now() + m_fleet.m_length);
        for (const auto &[cause, harm] : m_harm) {
            m_verdict.m_mostEnds = std::max(m_verdict.m_mostEnds, harm.m_ends);
            m_verdict.m_mostEndsAtFirst = std::max(m_verdict.m_mostEndsAtFirst, harm.m_endsAtFirst);
            m_verdict.m_mostLateArrivals =
                    std::max(m_verdict.m_mostLateArrivals, harm.m_lateArrivals);
        }
        return m_verdict;
    }

private:
    static constexpr Duration contact = std::chrono::seconds(3);
    static constexpr Duration collectTime = std::chrono::milliseconds(15);
    static constexpr Duration settleTime = std::chrono::milliseconds(30);
    static constexpr Duration proofRetention = std::chrono::seconds(60);
    /// Shorter than the first time for which a cause is rejected.
    static constexpr Duration atFirst = std::chrono::seconds(10);
    static constexpr int maxRuns = 2;
    static constexpr int maxRefusals = 4;
    static constexpr std::size_t popularParts = 4;
    static constexpr std::size_t sessions = 20;

    struct Upstream
    {
        std::string m_id;
        bool m_isUp = true;
        /// Numbers of the runs under way there.
        std::set<std::uint64_t> m_runs;
    };

    struct Vm
    {
        bool m_isUp = true;
        bool m_isParted = false;
        bool m_isPathCut = false;
        int m_life = 0;
        std::size_t m_turn = 0;
        TimePoint m_inTouchFrom{};
        CrashSuspects m_suspects;
        CrashQuarantine m_quarantine;
        std::map<CrashElement, TimePoint> m_proofs;
        /// Processes whose refused connections were judged.
        std::set<UpstreamProcess> m_refused;
    };

    struct Request
    {
        CrashElements m_elements;
        /// What crashes its upstreams; empty if nothing does.
        CrashElement m_lethal;
        std::size_t m_vm = 0;
        int m_life = 0;
        int m_runs = 0;
        int m_refusals = 0;
        Duration m_work{};
        /// Further client attempts that follow if this one fails.
        int m_repeats = 0;

        bool isLethal() const { return !m_lethal.isEmpty(); }
    };
    using RequestPointer = std::shared_ptr<Request>;

    enum class Stage { Waiting, Begun, Delivering };

    struct Run
    {
        RequestPointer m_request;
        std::size_t m_upstream = 0;
        Stage m_stage = Stage::Waiting;
    };

    /// What one cause has done.
    struct Harm
    {
        int m_ends = 0;
        int m_endsAtFirst = 0;
        TimePoint m_lastToleratedAt{};
        int m_lateArrivals = 0;
    };

    std::size_t below(std::size_t limit) { return limit == 0 ? 0 : m_random() % limit; }
    double random() { return static_cast<double>(m_random()) / 4294967296.0; }
    Duration between(int least, int most)
    {
        return std::chrono::milliseconds(least + static_cast<int>(random() * (most - least)));
    }
    Duration exponential(double perSecond)
    {
        return std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(-std::log(1 - random()) / perSecond));
    }
    template <typename Work>
    void repeat(int least, int most, Work work)
    {
        m_queue.after(between(least, most), [this, least, most, work] {
            work();
            repeat(least, most, work);
        });
    }

    // Clients.

    CrashElements elementsOf(const std::string &digest, const std::vector<std::string> &parts)
    {
        return crashElementsOf(RequestDigest(digest), {}, parts);
    }

    std::string popularPart() { return fmt::format("popular-{}", below(popularParts)); }

    /// Clients of sessions that go on, whose prompts share their first part with all others.
    void scheduleRequest()
    {
        m_queue.after(exponential(m_fleet.m_requestsPerSecond), [this] {
            auto request = std::make_shared<Request>();
            const std::string own = fmt::format("session-{}", below(sessions));
            request->m_elements =
                    elementsOf(fmt::format("r-{}", m_sent++), {"first", popularPart(), own});
            request->m_work = between(200, 4000);
            request->m_repeats = 2;
            arrive(request);
            scheduleRequest();
        });
    }

    /// Clients send requests that crash their upstreams again and again, to any VM.
    void scheduleLethal(const std::string &cause)
    {
        m_queue.after(between(50, 700), [this, cause] {
            auto request = std::make_shared<Request>();
            const bool isPart = cause.starts_with("part:");
            const std::string name = cause.substr(cause.find_last_of(':') + 1);
            const std::string number = fmt::format("x-{}", m_sent++);
            std::vector<std::string> parts = {"first", popularPart()};
            if (isPart)
                parts.push_back(name);
            if (m_faults.m_hasSiblings)
                parts.push_back("sibling");
            parts.push_back(isPart ? number : name + "-own");
            request->m_elements = elementsOf(isPart ? number : name, parts);
            request->m_lethal = CrashElement(cause);
            request->m_repeats = 1;
            arrive(request);
            scheduleLethal(cause);
        });
    }

    /// Clients that send the same sound thing again and again, one with a rare part.
    void scheduleSame()
    {
        m_queue.after(between(100, 1500), [this] {
            auto request = std::make_shared<Request>();
            const bool hasSibling = below(2) == 0;
            const std::string name = hasSibling ? "with-sibling" : "same";
            request->m_elements = elementsOf(
                    name, {"first", hasSibling ? "sibling" : "same-part", name + "-own"});
            request->m_work = between(200, 6000);
            request->m_repeats = 3;
            arrive(request);
            scheduleSame();
        });
    }

    // VMs.

    void arrive(const RequestPointer &request)
    {
        request->m_vm = below(m_vms.size());
        request->m_runs = 0;
        Vm &vm = *m_vms[request->m_vm];
        request->m_life = vm.m_life;
        m_verdict.m_sent += request->isLethal() ? 0 : 1;
        if (vm.m_isUp)
            place(request);
    }

    /// Returns whether a VM rejects a request, and counts it if it is sound.
    bool isRejected(const Vm &vm, const Request &request)
    {
        for (const QuarantineEntry &entry : vm.m_quarantine.entries()) {
            const bool isActive = !entry.m_isLifted && entry.m_until > m_queue.now();
            if (!isActive || !holdsAll(request.m_elements, entry.m_elements))
                continue;
            m_verdict.m_wronglyRejected += request.isLethal() ? 0 : 1;
            return true;
        }
        return false;
    }

    bool isLive(const Request &request) const
    {
        return m_vms[request.m_vm]->m_life == request.m_life;
    }

    void place(const RequestPointer &request)
    {
        Vm &vm = *m_vms[request->m_vm];
        if (!isLive(*request) || vm.m_isPathCut || request->m_runs >= maxRuns
            || isRejected(vm, *request)) {
            repeatRequest(request);
            return;
        }
        const std::size_t index = below(m_upstreams.size());
        if (!m_upstreams[index].m_isUp) {
            reportRefused(request->m_vm, index);
            const bool isGivenUp = ++request->m_refusals % maxRefusals == 0;
            if (isGivenUp && !m_faults.m_triesWithoutLimit) {
                repeatRequest(request);
                return;
            }
            m_queue.after(between(1, 4), [this, request] { place(request); });
            return;
        }
        ++request->m_runs;
        countArrival(*request);
        const std::uint64_t number = m_nextRun++;
        m_runs[number] = {request, index, Stage::Waiting};
        m_upstreams[index].m_runs.insert(number);
        m_queue.after(between(5, 150), [this, number] { beginRun(number); });
    }

    /// Judges an upstream that refuses connections, which ended while nothing ran there.
    void reportRefused(std::size_t number, std::size_t index)
    {
        Vm &vm = *m_vms[number];
        const UpstreamProcess process{UpstreamId(m_upstreams[index].m_id), 0};
        if (vm.m_suspects.isRecorded(process) || !vm.m_refused.insert(process).second)
            return;
        m_queue.after(
                collectTime + between(1, 5), [this, number, index, process, life = vm.m_life] {
                    if (m_vms[number]->m_life == life)
                        judge(number, index, {process, m_service, m_queue.now() - collectTime, {}});
                });
    }

    void repeatRequest(const RequestPointer &request)
    {
        if (request->m_repeats-- <= 0)
            return;
        m_queue.after(between(50, 500), [this, request] { arrive(request); });
    }

    static int toleratedEnds(const CrashElement &cause)
    {
        return cause.text().starts_with("request:") ? 3 : 5;
    }

    void countArrival(const Request &request)
    {
        if (!request.isLethal())
            return;
        Harm &harm = m_harm[request.m_lethal];
        const Vm &vm = *m_vms[request.m_vm];
        const bool isLate = harm.m_ends >= toleratedEnds(request.m_lethal)
                            && m_queue.now() > harm.m_lastToleratedAt + contact;
        if (isLate && m_queue.now() >= vm.m_inTouchFrom)
            ++harm.m_lateArrivals;
    }

    void beginRun(std::uint64_t number)
    {
        const auto found = m_runs.find(number);
        if (found == m_runs.end())
            return;
        found->second.m_stage = Stage::Begun;
        if (found->second.m_request->isLethal())
            m_queue.after(between(40, 150), [this, number] { crashUnder(number); });
        else
            m_queue.after(between(20, 250), [this, number] { deliver(number); });
    }

    void crashUnder(std::uint64_t number)
    {
        const auto found = m_runs.find(number);
        if (found == m_runs.end())
            return;
        const CrashElement cause = found->second.m_request->m_lethal;
        Harm &harm = m_harm[cause];
        if (++harm.m_ends == toleratedEnds(cause))
            harm.m_lastToleratedAt = m_queue.now();
        const bool isAtFirst = harm.m_ends <= toleratedEnds(cause)
                               || m_queue.now() <= harm.m_lastToleratedAt + atFirst;
        harm.m_endsAtFirst += isAtFirst ? 1 : 0;
        crash(found->second.m_upstream);
    }

    /// Delivers the first event of a run, which proves that what it holds is sound.
    void deliver(std::uint64_t number)
    {
        const auto found = m_runs.find(number);
        if (found == m_runs.end())
            return;
        found->second.m_stage = Stage::Delivering;
        const Request &request = *found->second.m_request;
        if (isLive(request) && !m_faults.m_ignoresProofs)
            recordProof(request);
        m_queue.after(request.m_work, [this, number] { endRun(number); });
    }

    void recordProof(const Request &request)
    {
        Vm &vm = *m_vms[request.m_vm];
        for (const CrashElement &element : request.m_elements)
            vm.m_proofs[element] = m_queue.now();
        vm.m_suspects.clear(request.m_elements);
        if (vm.m_quarantine.lift(request.m_elements) > 0)
            tell(request.m_vm);
    }

    void endRun(std::uint64_t number)
    {
        const auto found = m_runs.find(number);
        if (found == m_runs.end())
            return;
        const Run run = found->second;
        m_upstreams[run.m_upstream].m_runs.erase(number);
        m_runs.erase(found);
        m_verdict.m_served += isLive(*run.m_request) ? 1 : 0;
    }

    // Ends.

    void crash(std::size_t index)
    {
        Upstream &upstream = m_upstreams[index];
        if (!upstream.m_isUp)
            return;
        upstream.m_isUp = false;
        breakRuns(index, std::set<std::uint64_t>(upstream.m_runs));
        m_queue.after(between(1500, 4000), [this, index] {
            m_upstreams[index].m_id = fmt::format("u-{}-{}", index, m_nextStart++);
            m_upstreams[index].m_isUp = true;
        });
    }

    /// Breaks runs off at an upstream: all, where it ended, or those of a VM whose path is cut.
    void breakRuns(std::size_t index, const std::set<std::uint64_t> &numbers)
    {
        std::map<std::size_t, std::vector<Run>> byVm;
        for (const std::uint64_t number : numbers) {
            const Run run = m_runs.at(number);
            m_runs.erase(number);
            m_upstreams[index].m_runs.erase(number);
            if (isLive(*run.m_request))
                byVm[run.m_request->m_vm].push_back(run);
        }
        const UpstreamProcess process{UpstreamId(m_upstreams[index].m_id), 0};
        for (const auto &[vm, runs] : byVm)
            report(vm, index, process, runs);
    }

    /// Judges the runs that broke off at one upstream, and then sends their requests on.
    void report(std::size_t number, std::size_t index, const UpstreamProcess &process,
                const std::vector<Run> &runs)
    {
        UpstreamEnd end{process, m_service, m_queue.now(), {}};
        for (const Run &run : runs) {
            if (run.m_stage != Stage::Delivering)
                end.m_runs.push_back({run.m_request->m_elements, run.m_stage == Stage::Begun});
        }
        m_queue.after(collectTime + between(1, 5), [=, this, life = m_vms[number]->m_life] {
            if (m_vms[number]->m_life == life)
                judge(number, index, end);
            m_queue.after(settleTime + between(5, 25), [=, this] {
                for (const Run &run : runs)
                    place(run.m_request);
            });
        });
    }

    bool areConnected(std::size_t left, std::size_t right) const
    {
        const Vm &one = *m_vms[left];
        const Vm &other = *m_vms[right];
        return one.m_isUp && other.m_isUp && !one.m_isParted && !other.m_isParted;
    }

    /// Returns the VMs that are told of an end.
    std::vector<std::size_t> toldVms(std::size_t self) const
    {
        const bool isLarge = ExchangePacing(m_vms.size() - 1).isSpreadOut();
        std::vector<std::size_t> told;
        std::size_t ranked = 0;
        for (std::size_t other = 0; other < m_vms.size(); ++other) {
            if (!m_vms[other]->m_isUp)
                continue;
            if (isLarge && ranked++ == CrashExchange::toldVms)
                break;
            if (other != self && areConnected(self, other))
                told.push_back(other);
        }
        return told;
    }

    /// Returns what becomes of a connection that a VM tries to an upstream's process.
    bool isRefused(std::size_t vm, std::size_t index, const UpstreamProcess &process) const
    {
        const Upstream &upstream = m_upstreams[index];
        const bool runs = upstream.m_isUp && upstream.m_id == process.m_id.text();
        return m_vms[vm]->m_isPathCut || !runs;
    }

    static CrashElements elementsOf(const UpstreamEnd &end)
    {
        CrashElements elements;
        for (const SuspectRun &run : end.m_runs)
            elements.insert(run.m_elements.begin(), run.m_elements.end());
        return elements;
    }

    CrashElements provenAt(const Vm &vm, const CrashElements &elements) const
    {
        CrashElements proven;
        for (const CrashElement &element : elements) {
            const auto found = vm.m_proofs.find(element);
            if (found != vm.m_proofs.end() && m_queue.now() - found->second <= proofRetention)
                proven.insert(element);
        }
        return proven;
    }

    void judge(std::size_t number, std::size_t index, UpstreamEnd end)
    {
        Vm &vm = *m_vms[number];
        if (!isRefused(number, index, end.m_process))
            return;
        CrashElements proven = provenAt(vm, elementsOf(end));
        removeElements(end, proven);
        const CrashElements elements = elementsOf(end);
        bool isConfirmed = false;
        bool isDenied = false;
        for (const std::size_t other : toldVms(number)) {
            Vm &peer = *m_vms[other];
            const bool isRecorded = peer.m_suspects.isRecorded(end.m_process);
            const bool confirms = isRecorded || isRefused(other, index, end.m_process);
            isConfirmed |= confirms;
            isDenied |= !confirms;
            const CrashElements provenThere = provenAt(peer, elements);
            peer.m_suspects.clear(provenThere);
            proven.insert(provenThere.begin(), provenThere.end());
            for (const UpstreamEnd &known : peer.m_suspects.endsWith(elements))
                vm.m_suspects.record(known, m_queue.now());
        }
        const bool isAlone = !isConfirmed && !isDenied;
        if (isDenied || (isAlone && vm.m_isPathCut))
            return;
        vm.m_suspects.record(end, m_queue.now());
        vm.m_suspects.clear(proven);
        for (const std::size_t other : toldVms(number)) {
            m_vms[other]->m_suspects.record(end, m_queue.now());
            findCausesLater(other, false);
        }
        renewExpired(number, end, isAlone);
        findCausesLater(number, isAlone);
    }

    void renewExpired(std::size_t number, const UpstreamEnd &end, bool isAlone)
    {
        const Vm &vm = *m_vms[number];
        for (const CrashElements &cause : vm.m_quarantine.causes(m_service)) {
            for (const SuspectRun &run : end.m_runs) {
                if (holdsAll(run.m_elements, cause)
                    && vm.m_quarantine.isExpired(m_service, cause, m_queue.now()))
                    quarantine(number, cause, isAlone);
            }
        }
    }

    void findCausesLater(std::size_t number, bool isAlone)
    {
        m_queue.after(settleTime, [this, number, isAlone, life = m_vms[number]->m_life] {
            if (m_vms[number]->m_life == life)
                findCauses(number, isAlone);
        });
    }

    void findCauses(std::size_t number, bool isAlone)
    {
        Vm &vm = *m_vms[number];
        if (m_faults.m_findsNothing)
            return;
        while (const auto cause =
                       vm.m_suspects.findCause(m_service, vm.m_quarantine.causes(m_service))) {
            CrashElements proven = provenAt(vm, *cause);
            for (std::size_t other = 0; other < m_vms.size(); ++other) {
                if (other != number && areConnected(number, other))
                    proven.merge(provenAt(*m_vms[other], *cause));
            }
            if (proven.empty())
                quarantine(number, *cause, isAlone);
            else
                vm.m_suspects.clear(proven);
        }
    }

    void quarantine(std::size_t number, const CrashElements &cause, bool isAlone)
    {
        m_vms[number]->m_quarantine.add(m_service, cause, isAlone, m_queue.now());
        tell(number);
    }

    void tell(std::size_t number)
    {
        for (std::size_t other = 0; other < m_vms.size(); ++other) {
            if (other == number || !areConnected(number, other))
                continue;
            m_queue.after(between(1, 10),
                          [this, other, entries = m_vms[number]->m_quarantine.sharedEntries()] {
                              for (const QuarantineEntry &entry : entries)
                                  merge(*m_vms[other], entry);
                          });
        }
    }

    void merge(Vm &vm, const QuarantineEntry &entry)
    {
        if (vm.m_isUp && vm.m_quarantine.merge(entry, m_queue.now()) && entry.m_isLifted)
            vm.m_suspects.clear(entry.m_elements);
    }

    /// Regular exchanges, which carry what is rejected.
    void exchange(std::size_t number)
    {
        Vm &vm = *m_vms[number];
        const auto stretch = static_cast<std::size_t>(ExchangePacing(m_vms.size() - 1).stretch());
        for (std::size_t other = 0; other < m_vms.size(); ++other) {
            const bool isDue = (other + number + vm.m_turn) % stretch == 0;
            if (other == number || !isDue || !areConnected(number, other))
                continue;
            for (const QuarantineEntry &entry : vm.m_quarantine.sharedEntries())
                merge(*m_vms[other], entry);
            for (const QuarantineEntry &entry : m_vms[other]->m_quarantine.sharedEntries())
                merge(vm, entry);
        }
        ++vm.m_turn;
        m_queue.after(ExchangePacing::exchangeInterval, [this, number] { exchange(number); });
    }

    // Faults.

    void wave()
    {
        const double share = 0.1 + 0.5 * random();
        const bool isRolling = below(2) == 0;
        Duration at{};
        for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
            if (random() >= share)
                continue;
            if (isRolling)
                at += between(100, 500);
            m_queue.after(at, [this, index] { crash(index); });
        }
    }

    void cutPath()
    {
        const std::size_t number = below(m_vms.size());
        m_vms[number]->m_isPathCut = true;
        for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
            std::set<std::uint64_t> own;
            for (const std::uint64_t run : m_upstreams[index].m_runs) {
                if (m_runs.at(run).m_request->m_vm == number)
                    own.insert(run);
            }
            breakRuns(index, own);
        }
        m_queue.after(between(1000, 5000), [this, number] { m_vms[number]->m_isPathCut = false; });
    }

    void killVm()
    {
        const std::size_t number = below(m_vms.size());
        Vm &vm = *m_vms[number];
        if (!vm.m_isUp)
            return;
        vm.m_isUp = false;
        ++vm.m_life;
        m_queue.after(between(500, 3000), [this, &vm] {
            vm.m_isUp = true;
            vm.m_inTouchFrom = m_queue.now() + contact;
            vm.m_suspects = CrashSuspects();
            vm.m_quarantine = CrashQuarantine();
            vm.m_proofs.clear();
            vm.m_refused.clear();
        });
    }

    void partVm()
    {
        const std::size_t number = below(m_vms.size());
        m_vms[number]->m_isParted = true;
        m_queue.after(between(2000, 10000), [this, number] { m_vms[number]->m_isParted = false; });
    }

    const ServiceId m_service{"llm"};
    CrashFleet m_fleet;
    CrashFaults m_faults;
    pcg32 m_random;
    EventQueue m_queue;
    std::vector<Upstream> m_upstreams;
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::map<std::uint64_t, Run> m_runs;
    std::uint64_t m_nextRun = 0;
    std::uint64_t m_nextStart = 0;
    std::uint64_t m_sent = 0;
    std::map<CrashElement, Harm> m_harm;
    CrashVerdict m_verdict;
};

} // namespace gypsumdale::testing
