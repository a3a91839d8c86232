#include <gypsumdale/serving/upstream_pool.hpp>
#include <gypsumdale/serving/upstream_speed.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm> // max, min
#include <array> // array
#include <cmath> // log
#include <cstddef> // size_t
#include <cstdint> // int64_t, uint32_t
#include <functional> // greater
#include <iterator> // advance
#include <map> // map
#include <memory> // unique_ptr
#include <optional> // optional
#include <queue> // priority_queue
#include <random> // generate_canonical
#include <string> // string
#include <utility> // move
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const ServiceId llm("llm");
constexpr std::size_t dataCentres = 3;
/// Prompt tokens per second of an engine of nominal speed.
constexpr double nominalSpeed = 140000;
constexpr std::array<double, 3> unevenSpeeds = {0.7, 0.7, 1.7};
constexpr double evenSpeed = (0.7 + 0.7 + 1.7) / 3;
constexpr double slowdown = 2.5;
constexpr int slots = 16;
/// Speeds in one report of a VM.
constexpr std::size_t speedsPerReport = 4;

struct RequestKind
{
    double m_share = 0;
    std::int64_t m_tokens = 0;
    Duration m_target{};
    /// Time from the first event to the last.
    Duration m_answer{};
};
constexpr std::array<RequestKind, 2> kinds = {{
        {0.12, 6610, 800ms, 1s},
        {0.88, 1800, 500ms, 60ms},
}};

struct FleetShape
{
    std::size_t m_engines = 0;
    std::size_t m_vms = 0;
    int m_stretch = 1;
    /// Part of the engines' total speed that requests need.
    double m_load = 0;
};

/// An engine that reads prompts one after the other, and is slow for part of a second at times.
class Engine
{
public:
    Engine(double speed, std::uint32_t seed)
        : m_speed(speed)
        , m_random(seed)
    {
        drawPhase({});
    }

    double speed() const { return m_speed; }
    void setSpeed(double speed) { m_speed = speed; }

    /// Returns the time at which a prompt that arrives now has been read.
    TimePoint read(double tokens, TimePoint now)
    {
        m_readUntil = std::max(m_readUntil, now);
        while (tokens > 0) {
            while (m_phaseEnd <= m_readUntil) {
                m_isSlow = !m_isSlow;
                drawPhase(m_phaseEnd);
            }
            const double speed = m_speed * nominalSpeed / (m_isSlow ? slowdown : 1);
            const double within = speed * toSeconds(m_phaseEnd - m_readUntil);
            if (tokens < within)
                m_readUntil += fromSeconds(tokens / speed);
            else
                m_readUntil = m_phaseEnd;
            tokens -= within;
        }
        return m_readUntil;
    }

private:
    void drawPhase(TimePoint begin)
    {
        const double unit = std::generate_canonical<double, 32>(m_random);
        m_phaseEnd = begin + fromSeconds(m_isSlow ? 0.2 + 0.6 * unit : 0.5 + 5 * unit);
    }

    double m_speed;
    pcg32 m_random;
    TimePoint m_readUntil{};
    TimePoint m_phaseEnd{};
    bool m_isSlow = false;
};

/// VMs that place requests on engines and report to each other what they have in flight.
class Fleet
{
public:
    Fleet(FleetShape shape, bool isUneven, bool usesSpeeds, std::uint32_t seed)
        : m_shape(shape)
        , m_usesSpeeds(usesSpeeds)
        , m_random(seed)
    {
        for (std::size_t vm = 0; vm < shape.m_vms; ++vm) {
            m_vms.push_back(std::make_unique<Vm>(dataCentreOf(vm)));
            m_vms.back()->m_pool.setExchangeStretch(shape.m_stretch);
        }
        for (std::size_t engine = 0; engine < shape.m_engines; ++engine)
            add(isUneven ? unevenSpeeds[engine / dataCentres % 3] : evenSpeed, seed);
    }

    /// Plays a period and returns the share of its requests that were in time.
    double play(Duration length)
    {
        m_requests = 0;
        m_inTime = 0;
        const TimePoint end = m_now + length;
        while (m_now < end) {
            exchange();
            finishDue();
            for (m_due += requestsPerSecond() * toSeconds(step); m_due >= 1; --m_due)
                placeOne();
            m_now += step;
        }
        return static_cast<double>(m_inTime) / m_requests;
    }

    void setLoad(double load) { m_shape.m_load = load; }
    /// Lets the first VM report wrong speeds.
    void setFirstWrong() { m_isFirstWrong = true; }
    void setSpeed(std::size_t engine, double speed)
    {
        m_totalSpeed += speed - m_engines[engine].speed();
        m_engines[engine].setSpeed(speed);
    }
    /// Replaces an engine's process by one of another speed.
    void restart(std::size_t engine, double speed)
    {
        setSpeed(engine, speed);
        ++m_records.at(idOf(engine)).m_startedAt;
        listUpstreams();
    }
    /// Adds an engine to the list.
    void add(double speed, std::uint32_t seed)
    {
        const std::size_t engine = m_engines.size();
        m_engines.emplace_back(speed, seed + static_cast<std::uint32_t>(engine) + 1);
        m_totalSpeed += speed;
        UpstreamRecord record;
        record.m_id = idOf(engine);
        record.m_service = llm;
        record.m_dataCentre = dataCentreOf(engine);
        record.m_slots = slots;
        record.m_startedAt = 1;
        m_records[record.m_id] = record;
        listUpstreams();
    }
    /// Returns the relative speed of an engine in the view of a VM.
    double relativeSpeed(std::size_t vm, std::size_t engine) const
    {
        return m_vms[vm]->m_pool.upstreams().at(idOf(engine))->m_speed.m_relative;
    }
    std::int64_t speedsSent() const { return m_speedsSent; }

private:
    static constexpr Duration step = 2ms;
    static constexpr Duration exchangeInterval = 250ms;

    struct Vm
    {
        explicit Vm(const DataCentreId &dataCentre)
            : m_speeds(dataCentre)
        {}
        UpstreamPool m_pool;
        UpstreamSpeeds m_speeds;
    };
    /// The first event or the end of a request.
    struct Ending
    {
        TimePoint m_at{};
        Vm *m_vm = nullptr;
        PooledUpstreamPointer m_upstream;
        std::int64_t m_tokens = 0;
        /// Since when the request waited, if it is a sample of the engine's speed.
        std::optional<TimePoint> m_sentAt;
        bool operator>(const Ending &other) const { return m_at > other.m_at; }
    };

    static UpstreamId idOf(std::size_t engine) { return UpstreamId(fmt::format("e{:03}", engine)); }
    static DataCentreId dataCentreOf(std::size_t index)
    {
        return DataCentreId(std::string(1, static_cast<char>('a' + index % dataCentres)));
    }
    double unit() { return std::generate_canonical<double, 32>(m_random); }
    double requestsPerSecond() const
    {
        double tokens = 0;
        for (const RequestKind &kind : kinds)
            tokens += kind.m_share * static_cast<double>(kind.m_tokens);
        return m_shape.m_load * m_totalSpeed * nominalSpeed / tokens;
    }

    void listUpstreams()
    {
        for (const auto &vm : m_vms) {
            vm->m_pool.update(m_records);
            vm->m_speeds.setUpstreams(m_records);
        }
    }

    /// Lets the VMs whose turn it is report to all others.
    void exchange()
    {
        const Duration interval = exchangeInterval * m_shape.m_stretch;
        const auto phases = static_cast<std::int64_t>(interval / step);
        const std::int64_t phase = m_now.time_since_epoch() / step % phases;
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
            if (static_cast<std::int64_t>(vm * 37) % phases == phase)
                report(vm);
        }
    }

    void report(std::size_t sender)
    {
        Vm &vm = *m_vms[sender];
        vm.m_speeds.update(m_now);
        if (m_usesSpeeds)
            vm.m_pool.setSpeeds(vm.m_speeds.placementSpeeds());
        std::map<UpstreamId, InFlightLoad> loads;
        for (const auto &[id, upstream] : vm.m_pool.upstreams()) {
            if (upstream->m_own.m_running == 0)
                continue;
            loads[id] = upstream->m_own;
            loads[id].m_startedAt = upstream->m_record.m_startedAt;
        }
        for (std::size_t peer = 0; peer < m_vms.size(); ++peer) {
            if (peer == sender)
                continue;
            const std::string name = fmt::format("vm{}", sender);
            m_vms[peer]->m_pool.setPeerLoad(name, loads, m_now);
            m_vms[peer]->m_speeds.mergePeer(name, someSpeeds(sender), m_now);
        }
    }

    /// Returns what a VM that measures wrongly reports: arbitrary speeds of some engines.
    ObservedSpeeds wrongSpeeds()
    {
        ObservedSpeeds wrong;
        for (std::size_t count = 0; count < speedsPerReport; ++count) {
            const std::size_t engine = m_random(static_cast<std::uint32_t>(m_engines.size()));
            const UpstreamRecord &record = m_records.at(idOf(engine));
            wrong[record.m_id] = {record.m_startedAt, (0.05 + 5 * unit()) * nominalSpeed, 16};
        }
        return wrong;
    }

    ObservedSpeeds someSpeeds(std::size_t sender)
    {
        if (sender == 0 && m_isFirstWrong)
            return wrongSpeeds();
        const ObservedSpeeds &shared = m_vms[sender]->m_speeds.shared();
        ObservedSpeeds some;
        if (shared.empty())
            return some;
        auto entry = shared.begin();
        std::advance(entry, m_random(static_cast<std::uint32_t>(shared.size())));
        while (some.size() < std::min(speedsPerReport, shared.size())) {
            some.insert(*entry);
            if (++entry == shared.end())
                entry = shared.begin();
        }
        m_speedsSent += static_cast<std::int64_t>(some.size());
        return some;
    }

    void finishDue()
    {
        for (; !m_firstEvents.empty() && m_firstEvents.top().m_at <= m_now; m_firstEvents.pop()) {
            const Ending &ending = m_firstEvents.top();
            ending.m_upstream->m_own.m_pendingTokens -= ending.m_tokens;
            if (ending.m_sentAt)
                ending.m_vm->m_speeds.record(ending.m_upstream->m_record, ending.m_tokens,
                                             ending.m_at - *ending.m_sentAt, ending.m_at);
        }
        for (; !m_ends.empty() && m_ends.top().m_at <= m_now; m_ends.pop())
            --m_ends.top().m_upstream->m_own.m_running;
    }

    void placeOne()
    {
        const std::size_t sender = m_random(static_cast<std::uint32_t>(m_vms.size()));
        Vm &vm = *m_vms[sender];
        const RequestKind &kind = unit() < kinds[0].m_share ? kinds[0] : kinds[1];
        PlacementRequest request;
        request.m_service = llm;
        request.m_dataCentre = dataCentreOf(sender);
        request.m_promptTokens = kind.m_tokens;
        request.m_bodyBytes = 4 * static_cast<std::size_t>(kind.m_tokens);
        request.m_readingSpeed = nominalSpeed;
        request.m_maxPauseTokens = 0.1 * nominalSpeed;
        request.m_draw = static_cast<std::uint64_t>(m_random()) << 32 | m_random();
        const PooledUpstreamPointer upstream = vm.m_pool.choose(request, m_now);
        const bool isRemote = upstream->m_record.m_dataCentre != request.m_dataCentre;
        const bool isSample =
                upstream->running() < slots && 10 * upstream->pendingTokens() < kind.m_tokens;
        ++upstream->m_own.m_running;
        upstream->m_own.m_pendingTokens += kind.m_tokens;
        const std::size_t engine = std::stoul(upstream->m_record.m_id.text().substr(1));
        // Connecting, the engine's first step, and the VM's own scheduling.
        const Duration delay =
                fromSeconds((isRemote ? 0.016 : 0.010) - 0.005 * std::log(1 - unit()));
        const TimePoint first =
                m_engines[engine].read(static_cast<double>(kind.m_tokens), m_now) + delay;
        m_firstEvents.push({first, &vm, upstream, kind.m_tokens,
                            isSample ? std::optional(m_now) : std::nullopt});
        m_ends.push({first + kind.m_answer, &vm, upstream, 0, std::nullopt});
        ++m_requests;
        m_inTime += first - m_now <= kind.m_target ? 1 : 0;
    }

    using Endings = std::priority_queue<Ending, std::vector<Ending>, std::greater<>>;

    FleetShape m_shape;
    bool m_usesSpeeds;
    pcg32 m_random;
    TimePoint m_now{1h};
    std::vector<Engine> m_engines;
    double m_totalSpeed = 0;
    std::map<UpstreamId, UpstreamRecord> m_records;
    std::vector<std::unique_ptr<Vm>> m_vms;
    Endings m_firstEvents;
    Endings m_ends;
    double m_due = 0;
    bool m_isFirstWrong = false;
    std::int64_t m_speedsSent = 0;
    int m_requests = 0;
    int m_inTime = 0;
};

constexpr FleetShape smallFleet{36, 6, 1};
/// The exchange interval is that of 77 VMs. Fewer play them, each with more requests.
constexpr FleetShape largeFleet{36, 24, 7};
constexpr double usualLoad = 0.35;
constexpr double highLoad = 0.9;
constexpr Duration warmUp = 60s;
constexpr Duration period = 20s;
/// Engine of the first data centre that is 1.7 times as fast as the nominal one.
constexpr std::size_t fastEngine = 6;
constexpr std::size_t lastVm = 3;

enum class Placement { ByTokens, BySpeeds };

Fleet warmFleet(FleetShape shape, bool isUneven, Placement placement, std::uint32_t seed)
{
    shape.m_load = usualLoad;
    Fleet fleet(shape, isUneven, placement == Placement::BySpeeds, seed);
    fleet.play(warmUp);
    return fleet;
}

double shareInTime(Fleet fleet)
{
    fleet.setLoad(highLoad);
    return fleet.play(period);
}

} // namespace

TEST_CASE("engines of three speeds serve as many requests in time as equal ones")
{
    const std::uint32_t seed = GENERATE(1U, 20261202U);
    const bool isLarge = GENERATE(false, true);
    const FleetShape shape = isLarge ? largeFleet : smallFleet;
    const double equal = shareInTime(warmFleet(shape, false, Placement::ByTokens, seed));
    const double byTokens = shareInTime(warmFleet(shape, true, Placement::ByTokens, seed));
    const double bySpeeds = shareInTime(warmFleet(shape, true, Placement::BySpeeds, seed));
    CAPTURE(seed, isLarge, equal, byTokens, bySpeeds);
    CHECK(bySpeeds >= equal - 0.02);
    CHECK(bySpeeds > byTokens);
    // With old reports, slow engines are overloaded while fast ones idle.
    CHECK(byTokens < equal - (isLarge ? 0.1 : 0.0));
}

TEST_CASE("equal engines are used as without speeds")
{
    Fleet fleet = warmFleet(largeFleet, false, Placement::BySpeeds, 1);

    SECTION("at the same speed") {}
    SECTION("with one VM that measures wrongly")
    {
        fleet.setFirstWrong();
    }
    fleet.play(period);
    for (std::size_t engine = 0; engine < largeFleet.m_engines; ++engine)
        CHECK(fleet.relativeSpeed(lastVm, engine) == 1);
}

TEST_CASE("speeds follow the engines")
{
    constexpr std::uint32_t seed = 1;
    const double equal = shareInTime(warmFleet(largeFleet, false, Placement::ByTokens, seed));
    Fleet fleet = warmFleet(largeFleet, true, Placement::BySpeeds, seed);
    REQUIRE(fleet.relativeSpeed(lastVm, fastEngine) > 1.5);

    SECTION("despite a VM that measures wrongly")
    {
        fleet.setFirstWrong();
        fleet.play(period);
        CHECK(fleet.relativeSpeed(lastVm, fastEngine) > 1.5);
    }
    SECTION("through a restart")
    {
        fleet.restart(fastEngine, 0.7);
        CHECK(fleet.relativeSpeed(lastVm, fastEngine) == 1);
        fleet.play(period);
        CHECK(fleet.relativeSpeed(lastVm, fastEngine) < 1.3);
    }
    SECTION("that are new")
    {
        for (int added = 0; added < 3; ++added)
            fleet.add(1.7, seed);
        CHECK(fleet.relativeSpeed(lastVm, largeFleet.m_engines) == 1);
    }
    SECTION("that become slower")
    {
        fleet.setSpeed(fastEngine, 0.7);
        fleet.play(warmUp);
        CHECK(fleet.relativeSpeed(lastVm, fastEngine) < 1.3);
    }
    const double share = shareInTime(std::move(fleet));
    CAPTURE(equal, share);
    CHECK(share >= equal - 0.02);
}
