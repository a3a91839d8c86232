#pragma once

#include "support/event_queue.hpp"

#include <gypsumdale/serving/stream_origins.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm> // count_if
#include <chrono> // milliseconds, seconds
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map> // map
#include <memory> // make_shared, shared_ptr, unique_ptr
#include <set> // set
#include <string> // string
#include <vector> // vector

namespace gypsumdale::testing {

/// Size of a simulated fleet, and its streams.
struct StreamFleet
{
    std::size_t m_vms = 6;
    std::size_t m_dataCentres = 3;
    std::size_t m_upstreams = 9;
    double m_streamsPerSecond = 10;
    Duration m_length = std::chrono::seconds(40);
};

/// What may happen beside crashes and releases of upstreams.
struct StreamFaults
{
    bool m_hasKilledVms = false;
    /// VMs that reach no other VM for seconds.
    bool m_hasPartedVms = false;
    /// VMs that hold an old list of upstreams for seconds.
    bool m_hasOldLists = false;
    /// All VMs are killed at once.
    bool m_hasFleetKills = false;
};

/// What clients got of their streams.
struct StreamVerdict
{
    int m_mixed = 0;
    int m_begun = 0;
    int m_sent = 0;
    int m_goneOn = 0;
    int m_takenUp = 0;

    /// Returns whether streams that were taken up went on less than half as often as new ones
    /// began.
    bool isLost() const
    {
        constexpr int leastJudged = 12;
        if (m_takenUp < leastJudged || m_sent == 0)
            return false;
        const double goesOn = static_cast<double>(m_goneOn) / m_takenUp;
        const double begins = static_cast<double>(m_begun) / m_sent;
        return 2 * goesOn < begins;
    }
};

/// Entry VMs, upstreams of several software versions that crash and are replaced, and clients that
/// take broken streams up at any VM, with the decisions of the product: where a stream may go on,
/// and who holds and is asked for the record of its origin.
class StreamSimulation
{
public:
    StreamSimulation(const StreamFleet &fleet, StreamFaults faults, std::uint64_t seed)
        : m_fleet(fleet)
        , m_faults(faults)
        , m_random(seed)
    {
        for (std::size_t index = 0; index < fleet.m_upstreams; ++index)
            startUpstream(dataCentre(index));
        for (std::size_t index = 0; index < fleet.m_vms; ++index) {
            auto &vm = m_vms.emplace_back(std::make_unique<Vm>());
            vm->m_node = NodeId(fmt::format("vm-{}", index));
            vm->m_dataCentre = dataCentre(index);
            vm->m_pool.update(m_list);
        }
    }

    StreamVerdict play()
    {
        scheduleStreams();
        repeat(std::chrono::milliseconds(1500), [this] { changeUpstreams(); });
        if (m_faults.m_hasKilledVms)
            repeat(std::chrono::seconds(4), [this] { kill(*m_vms[draw(m_vms.size())]); });
        if (m_faults.m_hasPartedVms)
            repeat(std::chrono::seconds(5), [this] { disturb(&Vm::m_isParted); });
        if (m_faults.m_hasOldLists)
            repeat(std::chrono::seconds(5), [this] { disturb(&Vm::m_hasOldList); });
        if (m_faults.m_hasFleetKills)
            repeat(std::chrono::seconds(8), [this] { killFleet(); });
        m_queue.runUntil(m_queue.now() + m_fleet.m_length);
        for (const auto &stream : m_streams)
            m_verdict.m_mixed += stream->m_versions.size() > 1 ? 1 : 0;
        return m_verdict;
    }

private:
    static constexpr int copies = 3;
    static constexpr std::size_t askedVms = 6;
    static constexpr int maxRuns = 2;
    static constexpr int maxAttempts = 4;
    static constexpr Duration contact = std::chrono::seconds(3);
    static constexpr Duration lifetime = std::chrono::seconds(20);
    static constexpr Duration resendInterval = std::chrono::milliseconds(300);
    static constexpr Duration eventInterval = std::chrono::milliseconds(100);
    /// Time for which other VMs count a dead one as live.
    static constexpr Duration silence = std::chrono::seconds(2);

    struct Vm
    {
        NodeId m_node;
        DataCentreId m_dataCentre;
        StreamOrigins m_origins;
        UpstreamPool m_pool;
        bool m_isUp = true;
        bool m_isParted = false;
        bool m_hasOldList = false;
        /// Number of the current process.
        int m_life = 0;
        TimePoint m_diedAt{};
        TimePoint m_troubledAt{};
    };

    struct Stream
    {
        std::string m_name;
        int m_attempts = 0;
        int m_eventsLeft = 0;
        RequestId m_firstAttempt;
        std::set<SoftwareVersion> m_versions;
    };

    /// One attempt of a client at one VM.
    struct Attempt
    {
        std::shared_ptr<Stream> m_stream;
        Vm *m_vm = nullptr;
        int m_life = 0;
        RequestId m_id;
        StreamBinding m_binding;
        std::set<UpstreamId> m_tried;
        int m_runs = 0;
        bool m_isTakeUp = false;
        /// Whether it counts for the verdict.
        bool m_isJudged = false;
        bool m_hasEvent = false;
    };
    using AttemptPointer = std::shared_ptr<Attempt>;

    DataCentreId dataCentre(std::size_t index) const
    {
        return DataCentreId(fmt::format("dc-{}", index % m_fleet.m_dataCentres));
    }

    std::size_t draw(std::size_t count) { return m_random(static_cast<std::uint32_t>(count)); }
    Duration drawMillis(std::size_t least, std::size_t most)
    {
        return std::chrono::milliseconds(least + draw(most - least + 1));
    }

    template <typename Work>
    void repeat(Duration mean, Work work)
    {
        const auto millis = static_cast<std::size_t>(toWholeMillis(mean));
        m_queue.after(drawMillis(millis / 2, 3 * millis / 2), [this, mean, work] {
            work();
            repeat(mean, work);
        });
    }

    // Upstreams.

    void startUpstream(const DataCentreId &dataCentre)
    {
        UpstreamRecord record;
        record.m_id = UpstreamId(fmt::format("i-{}", m_started++));
        record.m_service = m_service;
        record.m_dataCentre = dataCentre;
        // Replacements of crashed upstreams run any version that is in use.
        record.m_softwareVersion =
                SoftwareVersion(fmt::format("v{}", m_version - draw(m_version > 0 ? 2 : 1)));
        record.m_slots = 64;
        m_up.insert(record.m_id);
        m_list[record.m_id] = record;
        publish();
    }

    void publish()
    {
        for (const auto &vm : m_vms) {
            m_queue.after(drawMillis(1, 150), [this, vm = vm.get()] {
                if (vm->m_isUp && !vm->m_hasOldList)
                    vm->m_pool.update(m_list);
            });
        }
    }

    void changeUpstreams()
    {
        if (draw(3) == 0)
            m_version = std::min<std::size_t>(m_version + 1, 3);
        auto chosen = m_list.begin();
        std::advance(chosen, static_cast<std::ptrdiff_t>(draw(m_list.size())));
        const UpstreamRecord record = chosen->second;
        startUpstream(record.m_dataCentre);
        const bool isCrash = draw(2) == 0;
        if (!isCrash) {
            m_list[record.m_id].m_isDraining = true;
            publish();
        }
        m_queue.after(isCrash ? Duration::zero() : Duration(std::chrono::seconds(2)),
                      [this, id = record.m_id] { m_up.erase(id); });
        m_queue.after(std::chrono::seconds(3), [this, id = record.m_id] {
            m_list.erase(id);
            publish();
        });
    }

    int upstreamsOf(const SoftwareVersion &version) const
    {
        return static_cast<int>(std::count_if(m_list.begin(), m_list.end(), [&](const auto &entry) {
            return entry.second.m_softwareVersion == version && !entry.second.m_isDraining
                   && m_up.contains(entry.first);
        }));
    }

    // VMs.

    void killFleet()
    {
        for (const auto &vm : m_vms)
            kill(*vm);
    }

    void kill(Vm &vm)
    {
        vm.m_isUp = false;
        ++vm.m_life;
        vm.m_diedAt = m_queue.now();
        m_queue.after(drawMillis(500, 3000), [this, &vm] {
            vm.m_isUp = true;
            vm.m_origins = StreamOrigins();
            vm.m_pool = UpstreamPool();
            vm.m_pool.update(m_list);
            vm.m_troubledAt = m_queue.now();
        });
    }

    void disturb(bool Vm::*state)
    {
        Vm &vm = *m_vms[draw(m_vms.size())];
        vm.*state = true;
        m_queue.after(drawMillis(2000, 6000), [this, &vm, state] {
            vm.*state = false;
            vm.m_troubledAt = m_queue.now();
            vm.m_pool.update(m_list);
        });
    }

    bool isInTouch(const Vm &vm) const
    {
        const bool isCalm = vm.m_isUp && !vm.m_isParted && !vm.m_hasOldList;
        return isCalm
               && (vm.m_troubledAt == TimePoint{} || m_queue.now() - vm.m_troubledAt >= contact);
    }

    static bool areConnected(const Vm &left, const Vm &right)
    {
        return left.m_isUp && right.m_isUp && !left.m_isParted && !right.m_isParted;
    }

    /// Returns the first VMs of the order for a record, as one VM sees the fleet.
    std::vector<Vm *> holders(const Vm &self, const RequestId &request, std::size_t count) const
    {
        std::vector<OriginHolder> known;
        std::map<NodeId, Vm *> byNode;
        for (const auto &vm : m_vms) {
            const bool isLive = vm->m_isUp || m_queue.now() - vm->m_diedAt < silence;
            if (!isLive && vm.get() != &self)
                continue;
            known.push_back({vm->m_node, vm->m_dataCentre});
            byNode[vm->m_node] = vm.get();
        }
        std::vector<Vm *> chosen;
        for (const NodeId &node : rankOriginHolders(request, known)) {
            if (chosen.size() < count)
                chosen.push_back(byNode[node]);
        }
        return chosen;
    }

    void recordOrigin(const Attempt &attempt)
    {
        StreamOriginRecord record;
        record.m_request = attempt.m_stream->m_firstAttempt;
        record.m_origin = *attempt.m_binding.origin();
        record.m_source = attempt.m_vm->m_node.text();
        record.m_recordedAt = m_queue.now();
        record.m_expiresAt = m_queue.now() + lifetime;
        attempt.m_vm->m_origins.record(record, m_queue.now());
        for (Vm *holder : holders(*attempt.m_vm, record.m_request, copies))
            send(attempt.m_vm, attempt.m_life, holder, record, drawMillis(1, 30));
    }

    /// Sends a record until it arrives, or its sender's process has ended.
    void send(Vm *source, int life, Vm *holder, const StreamOriginRecord &record, Duration delay)
    {
        m_queue.after(delay, [this, source, life, holder, record] {
            if (source->m_life != life || m_queue.now() >= record.m_expiresAt)
                return;
            if (areConnected(*source, *holder))
                holder->m_origins.record(record, m_queue.now());
            else
                send(source, life, holder, record, resendInterval);
        });
    }

    std::optional<StreamOriginRecord> findOrigin(Vm &vm, const RequestId &request)
    {
        if (const auto known = vm.m_origins.find(request, m_queue.now()))
            return known;
        for (Vm *holder : holders(vm, request, askedVms)) {
            if (holder == &vm || !areConnected(vm, *holder))
                continue;
            if (const auto told = holder->m_origins.find(request, m_queue.now()))
                return vm.m_origins.record(*told, m_queue.now());
        }
        return std::nullopt;
    }

    // Streams.

    void scheduleStreams()
    {
        const double pause = 1000 / m_fleet.m_streamsPerSecond;
        m_queue.after(drawMillis(1, static_cast<std::size_t>(2 * pause)), [this] {
            auto stream = std::make_shared<Stream>();
            stream->m_name = fmt::format("r-{}", m_streams.size());
            stream->m_eventsLeft = 10 + static_cast<int>(draw(50));
            m_streams.push_back(stream);
            sendAttempt(stream);
            scheduleStreams();
        });
    }

    void sendAttempt(const std::shared_ptr<Stream> &stream)
    {
        if (stream->m_attempts == maxAttempts)
            return;
        auto attempt = std::make_shared<Attempt>();
        attempt->m_stream = stream;
        attempt->m_id = RequestId(fmt::format("{}-{}", stream->m_name, stream->m_attempts++));
        attempt->m_vm = m_vms[draw(m_vms.size())].get();
        attempt->m_life = attempt->m_vm->m_life;
        attempt->m_isTakeUp = !stream->m_versions.empty();
        judge(*attempt);
        if (!attempt->m_vm->m_isUp) {
            tryAgain(stream);
            return;
        }
        if (attempt->m_isTakeUp && !bindTakeUp(*attempt)) {
            tryAgain(stream);
            return;
        }
        place(attempt);
    }

    /// Counts the attempt if its VM is in touch and a stream taken up could go on.
    void judge(Attempt &attempt)
    {
        if (!isInTouch(*attempt.m_vm))
            return;
        if (attempt.m_isTakeUp && upstreamsOf(*attempt.m_stream->m_versions.begin()) < 2)
            return;
        attempt.m_isJudged = true;
        ++(attempt.m_isTakeUp ? m_verdict.m_takenUp : m_verdict.m_sent);
    }

    bool bindTakeUp(Attempt &attempt)
    {
        const auto record = findOrigin(*attempt.m_vm, attempt.m_stream->m_firstAttempt);
        return record && record->isUsable() && attempt.m_binding.bind(record->m_origin);
    }

    void tryAgain(const std::shared_ptr<Stream> &stream)
    {
        m_queue.after(drawMillis(50, 500), [this, stream] { sendAttempt(stream); });
    }

    bool isLive(const Attempt &attempt) const { return attempt.m_life == attempt.m_vm->m_life; }

    void place(const AttemptPointer &attempt)
    {
        if (attempt->m_runs++ == maxRuns) {
            tryAgain(attempt->m_stream);
            return;
        }
        PlacementRequest request;
        request.m_service = m_service;
        request.m_dataCentre = attempt->m_vm->m_dataCentre;
        request.m_promptTokens = 1000;
        request.m_softwareVersion = attempt->m_binding.requiredVersion();
        request.m_draw = m_random();
        request.m_excluded = attempt->m_tried;
        for (;;) {
            const auto upstream = attempt->m_vm->m_pool.choose(request, m_queue.now());
            if (!upstream) {
                tryAgain(attempt->m_stream);
                return;
            }
            attempt->m_tried.insert(upstream->m_record.m_id);
            request.m_excluded.insert(upstream->m_record.m_id);
            if (!m_up.contains(upstream->m_record.m_id))
                continue;
            ++upstream->m_own.m_running;
            m_queue.after(drawMillis(20, 300),
                          [this, attempt, upstream] { takeEvent(attempt, upstream); });
            return;
        }
    }

    void takeEvent(const AttemptPointer &attempt, const PooledUpstreamPointer &upstream)
    {
        Stream &stream = *attempt->m_stream;
        const UpstreamRecord &record = upstream->m_record;
        if (!isLive(*attempt)) {
            tryAgain(attempt->m_stream);
            return;
        }
        if (!m_up.contains(record.m_id)) {
            --upstream->m_own.m_running;
            place(attempt);
            return;
        }
        attempt->m_binding.bind({m_service, record.m_softwareVersion});
        if (stream.m_versions.empty())
            stream.m_firstAttempt = attempt->m_id;
        stream.m_versions.insert(record.m_softwareVersion);
        if (!attempt->m_hasEvent) {
            attempt->m_hasEvent = true;
            recordOrigin(*attempt);
            if (attempt->m_isJudged)
                ++(attempt->m_isTakeUp ? m_verdict.m_goneOn : m_verdict.m_begun);
        }
        if (--stream.m_eventsLeft == 0) {
            --upstream->m_own.m_running;
            return;
        }
        m_queue.after(eventInterval, [this, attempt, upstream] { takeEvent(attempt, upstream); });
    }

    const ServiceId m_service{"llm"};
    StreamFleet m_fleet;
    StreamFaults m_faults;
    pcg32 m_random;
    EventQueue m_queue;
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::map<UpstreamId, UpstreamRecord> m_list;
    /// Upstreams that serve.
    std::set<UpstreamId> m_up;
    std::size_t m_started = 0;
    std::size_t m_version = 0;
    std::vector<std::shared_ptr<Stream>> m_streams;
    StreamVerdict m_verdict;
};

} // namespace gypsumdale::testing
