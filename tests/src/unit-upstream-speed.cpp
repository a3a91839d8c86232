#include <gypsumdale/serving/first_event_forecast.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>
#include <gypsumdale/serving/upstream_speed.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <limits> // numeric_limits
#include <map> // map
#include <string> // string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
const ServiceId llm("llm");
constexpr double usualSpeed = 100000;
constexpr int engines = 6;

UpstreamId idOf(int engine)
{
    return UpstreamId(fmt::format("e{}", engine));
}

/// Returns engines in the data centre "a".
std::map<UpstreamId, UpstreamRecord> engineList()
{
    std::map<UpstreamId, UpstreamRecord> list;
    for (int engine = 0; engine < engines; ++engine) {
        UpstreamRecord record;
        record.m_id = idOf(engine);
        record.m_service = llm;
        record.m_dataCentre = DataCentreId("a");
        record.m_startedAt = 1;
        list[record.m_id] = record;
    }
    return list;
}

/// Returns estimates of all engines; the first has this ratio to the others.
ObservedSpeeds speedsWith(double firstRatio, int samples = 16)
{
    ObservedSpeeds speeds;
    for (int engine = 0; engine < engines; ++engine)
        speeds[idOf(engine)] = {1, engine == 0 ? firstRatio * usualSpeed : usualSpeed, samples};
    return speeds;
}

/// One VM's speeds, on a paused clock.
class Speeds
{
public:
    Speeds() { m_speeds.setUpstreams(m_list); }

    UpstreamSpeeds &operator*() { return m_speeds; }
    UpstreamSpeeds *operator->() { return &m_speeds; }

    void sample(int engine, std::int64_t tokens, double speed, Duration delay = 20ms)
    {
        const Duration wait = delay + fromSeconds(static_cast<double>(tokens) / speed);
        m_speeds.record(m_list.at(idOf(engine)), tokens, wait, m_now);
    }
    /// Measures all engines that often, half a second apart. The first has this ratio to the
    /// others.
    void sampleAll(double firstRatio, int times = 16)
    {
        for (int time = 0; time < times; ++time) {
            m_now += 500ms;
            for (int engine = 0; engine < engines; ++engine)
                sample(engine, time % 4 == 0 ? 6600 : 1800,
                       engine == 0 ? firstRatio * usualSpeed : usualSpeed);
        }
    }
    std::size_t mergePeer(const std::string &node, const ObservedSpeeds &speeds)
    {
        return m_speeds.mergePeer(node, speeds, m_now);
    }
    std::vector<SpeedChange> update()
    {
        m_now += 1s;
        return m_speeds.update(m_now);
    }
    PlacementSpeed first()
    {
        update();
        const auto found = m_speeds.placementSpeeds().find(idOf(0));
        return found == m_speeds.placementSpeeds().end() ? PlacementSpeed() : found->second;
    }
    void restartFirst()
    {
        ++m_list.at(idOf(0)).m_startedAt;
        m_speeds.setUpstreams(m_list);
    }
    void remove(int engine)
    {
        m_list.erase(idOf(engine));
        m_speeds.setUpstreams(m_list);
    }
    void wait(Duration time) { m_now += time; }

private:
    TimePoint m_now = start;
    std::map<UpstreamId, UpstreamRecord> m_list = engineList();
    UpstreamSpeeds m_speeds{DataCentreId("a")};
};

} // namespace

TEST_CASE("a VM measures the speed of an upstream")
{
    Speeds speeds;

    SECTION("without the delay that doesn't depend on the prompt")
    {
        speeds.sampleAll(2);
        CHECK(speeds.first().m_relative == Approx(2).epsilon(0.01));
        CHECK(speeds.first().m_tokensPerSecond == Approx(2 * usualSpeed).epsilon(0.01));
    }
    SECTION("not from fewer than four samples")
    {
        speeds.sampleAll(1);
        for (int time = 0; time < 16; ++time, speeds.wait(500ms))
            speeds.sample(1, 6600, 2 * usualSpeed);
        speeds.restartFirst();
        for (int time = 0; time < 3; ++time, speeds.wait(1s))
            speeds.sample(0, 6600, 2 * usualSpeed);
        CHECK(speeds.first().m_relative == 1);
        speeds.sample(0, 6600, 2 * usualSpeed);
        CHECK(speeds.first().m_relative == Approx(2).epsilon(0.01));
    }
    SECTION("not from samples of less than two seconds")
    {
        // Guards against a slowdown for part of a second that is taken for a slow engine.
        for (int time = 0; time < 100; ++time, speeds.wait(19ms)) {
            for (int engine = 0; engine < engines; ++engine)
                speeds.sample(engine, 6600, engine == 0 ? usualSpeed / 2.5 : usualSpeed);
        }
        CHECK(speeds.first() == PlacementSpeed());
    }
    SECTION("despite slowdowns and prompts of other VMs there")
    {
        for (int time = 0; time < 16; ++time, speeds.wait(500ms)) {
            for (int engine = 0; engine < engines; ++engine)
                speeds.sample(engine, time % 4 == 1 ? 6600 : 1800,
                              time % 3 == 0 ? usualSpeed / 2.5 : usualSpeed);
        }
        CHECK(speeds.first() == PlacementSpeed());
    }
    SECTION("in its own data centre only")
    {
        // Guards against a distance that is taken for a low speed.
        UpstreamSpeeds remote{DataCentreId("b")};
        remote.setUpstreams(engineList());
        for (TimePoint now = start; now < start + 20s; now += 500ms) {
            for (const auto &[id, record] : engineList())
                remote.record(record, 1800, id == idOf(0) ? 10ms : 30ms, now);
        }
        remote.update(start + 20s);
        CHECK(remote.placementSpeeds().empty());
    }
    SECTION("anew for another process")
    {
        speeds.sampleAll(2);
        CHECK(speeds.first().m_relative > 1.5);
        speeds.restartFirst();
        CHECK(speeds->placementSpeeds().count(idOf(0)) == 0);
        const std::vector<SpeedChange> changes = speeds.update();
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].m_state == SpeedState::Unmeasured);
        CHECK(speeds.first() == PlacementSpeed());
    }
    SECTION("until it is too busy to be measured while others are")
    {
        // Guards against an engine that became slower, is sent too many requests because of its
        // former speed, and therefore never has a prompt alone again.
        speeds.sampleAll(2);
        CHECK(speeds.first().m_relative > 1.5);
        for (int time = 0; time < 40; ++time, speeds.wait(500ms)) {
            for (int engine = 1; engine < engines; ++engine)
                speeds.sample(engine, 1800, usualSpeed);
        }
        CHECK(speeds.first() == PlacementSpeed());
    }
    SECTION("while all are too busy to be measured")
    {
        speeds.sampleAll(2);
        speeds.wait(10min);
        CHECK(speeds.first().m_relative > 1.5);
    }
    SECTION("until the upstream has gone")
    {
        speeds.sampleAll(2);
        CHECK(speeds.first().m_relative > 1.5);
        speeds.remove(0);
        CHECK(speeds.update().empty());
        CHECK(speeds->unevenCount() == 0);
    }
}

TEST_CASE("the speed of an upstream over the fleet")
{
    Speeds speeds;

    SECTION("is not changed by one wrong VM")
    {
        speeds.sampleAll(1);
        for (const char *node : {"b", "c", "d"})
            speeds.mergePeer(node, speedsWith(1));
        speeds.mergePeer("wrong", speedsWith(0.1));
        CHECK(speeds.first() == PlacementSpeed());
        speeds.mergePeer("e", speedsWith(0.5));
        CHECK(speeds.first() == PlacementSpeed());
    }
    SECTION("is the median of the VMs, whatever the number of their samples")
    {
        speeds.mergePeer("b", speedsWith(2));
        speeds.mergePeer("c", speedsWith(1.8));
        speeds.mergePeer("d", speedsWith(0.2, std::numeric_limits<int>::max()));
        CHECK(speeds.first().m_relative == Approx(1.8));
    }
    SECTION("needs two VMs that agree, or three")
    {
        speeds.mergePeer("b", speedsWith(2));
        CHECK(speeds.first() == PlacementSpeed());
        speeds.mergePeer("c", speedsWith(1.5));
        CHECK(speeds.first() == PlacementSpeed());
        speeds.mergePeer("c", speedsWith(1.8));
        CHECK(speeds.first().m_relative == Approx(1.9));
    }
    SECTION("is forgotten with the VMs that measured it")
    {
        speeds.mergePeer("b", speedsWith(2));
        speeds.mergePeer("c", speedsWith(2));
        CHECK(speeds.first().m_relative == Approx(2));
        SECTION("when they are silent")
        {
            speeds->removePeer("c");
        }
        SECTION("when they share none any longer")
        {
            speeds.mergePeer("c", {});
        }
        SECTION("when they share others only")
        {
            speeds.wait(61s);
            ObservedSpeeds others = speedsWith(2);
            others.erase(idOf(0));
            speeds.mergePeer("b", speedsWith(2));
            speeds.mergePeer("c", others);
        }
        CHECK(speeds.first() == PlacementSpeed());
    }
    SECTION("isn't taken from an earlier process or an invalid message")
    {
        ObservedSpeeds wrong = speedsWith(2);
        wrong[idOf(0)].m_startedAt = 0;
        wrong[idOf(1)].m_tokensPerSecond = -1;
        wrong[idOf(2)].m_tokensPerSecond = std::numeric_limits<double>::quiet_NaN();
        wrong[idOf(3)].m_samples = -4;
        CHECK(speeds.mergePeer("b", wrong) == 3);
        speeds.mergePeer("c", wrong);
        CHECK(speeds.first() == PlacementSpeed());
    }
    SECTION("is bounded")
    {
        for (const char *node : {"b", "c", "d"})
            speeds.mergePeer(node, speedsWith(9));
        CHECK(speeds.first().m_relative == 2.5);
        for (const char *node : {"b", "c", "d"})
            speeds.mergePeer(node, speedsWith(0.01));
        CHECK(speeds.first().m_relative == 0.4);
    }
    SECTION("leaves the usual range and returns to it once")
    {
        for (const char *node : {"b", "c"})
            speeds.mergePeer(node, speedsWith(2));
        const std::vector<SpeedChange> left = speeds.update();
        REQUIRE(left.size() == 1);
        CHECK(left[0].m_state == SpeedState::Faster);
        CHECK(left[0].m_vms == 2);
        CHECK(left[0].m_samples == 32);
        CHECK(speeds.update().empty());
        // Another upstream keeps the service's speeds uneven.
        ObservedSpeeds other = speedsWith(1.25);
        other[idOf(1)].m_tokensPerSecond = 2 * usualSpeed;
        for (const char *node : {"b", "c"})
            speeds.mergePeer(node, other);
        CHECK(speeds.first().m_relative == Approx(1.25));
        other[idOf(0)].m_tokensPerSecond = 1.15 * usualSpeed;
        for (const char *node : {"b", "c"})
            speeds.mergePeer(node, other);
        const std::vector<SpeedChange> returned = speeds.update();
        REQUIRE(returned.size() == 1);
        CHECK(returned[0].m_state == SpeedState::Usual);
        CHECK(speeds.first() == PlacementSpeed{usualSpeed, 1});
    }
}

TEST_CASE("a VM shares its estimates")
{
    Speeds speeds;
    speeds.mergePeer("b", {});
    speeds.mergePeer("c", {});

    SECTION("not while speeds are within a fifth of each other")
    {
        speeds.sampleAll(1.2);
        speeds.update();
        CHECK(speeds->shared().empty());
        SECTION("nor because one other VM sees them differently")
        {
            speeds.mergePeer("b", speedsWith(3));
            speeds.update();
            CHECK(speeds->shared().empty());
        }
        SECTION("but where two others do")
        {
            speeds.mergePeer("b", speedsWith(3));
            speeds.mergePeer("c", speedsWith(3));
            speeds.update();
            CHECK(speeds->shared().size() == engines);
        }
    }
    SECTION("where it sees uneven speeds")
    {
        speeds.sampleAll(2);
        CHECK(speeds.first() == PlacementSpeed());
        CHECK(speeds->shared().size() == engines);
        CHECK(speeds->shared().at(idOf(0)).m_samples == 16);
    }
}

TEST_CASE("placements by the speeds of upstreams")
{
    UpstreamPool pool;
    pool.update(engineList());
    const auto &first = pool.upstreams().at(idOf(0));
    const auto &second = pool.upstreams().at(idOf(1));
    for (const auto &[id, upstream] : pool.upstreams())
        upstream->m_own = {1, 4000, 1};
    PlacementRequest request;
    request.m_service = llm;
    request.m_dataCentre = DataCentreId("a");
    request.m_promptTokens = 2000;
    request.m_readingSpeed = usualSpeed;

    SECTION("count a load as the time that it takes")
    {
        pool.setSpeeds({{idOf(1), {2 * usualSpeed, 2}}});
        CHECK(pool.choose(request, start) == second);
        second->m_own.m_pendingTokens = 9500;
        CHECK(pool.choose(request, start) == second);
        second->m_own.m_pendingTokens = 10500;
        CHECK(pool.choose(request, start) == first);
        pool.setSpeeds({});
        second->m_own.m_pendingTokens = 4000;
        CHECK(pool.choose(request, start) == first);
    }
    SECTION("count what a fast one has read since a report")
    {
        for (const auto &[id, upstream] : pool.upstreams())
            upstream->m_own = {};
        pool.setExchangeStretch(7);
        std::map<UpstreamId, InFlightLoad> loads;
        for (const auto &[id, record] : engineList())
            loads[id] = {0, 100000, 1};
        pool.setPeerLoad("b", loads, start);
        pool.setSpeeds({{idOf(1), {2 * usualSpeed, 2}}});
        int toSecond = 0;
        constexpr int draws = 300;
        for (int draw = 0; draw < draws; ++draw) {
            request.m_draw = static_cast<std::uint64_t>(draw);
            toSecond += pool.choose(request, start + 500ms) == second ? 1 : 0;
        }
        // It is one of two candidates among six engines in a third of the draws if all are equal.
        CHECK(toSecond > 0.45 * draws);
        CHECK(toSecond < draws);
    }
    SECTION("let a fast one read a longer prompt in the same pause")
    {
        request.m_promptTokens = 8000;
        request.m_maxPauseTokens = 6000;
        second->m_own = {5, 0, 1};
        pool.setSpeeds({{idOf(1), {2 * usualSpeed, 2}}});
        CHECK(pool.choose(request, start) == second);
    }
    SECTION("forecast the first event at the engine that begins soonest")
    {
        FirstEventForecaster forecaster;
        for (int time = 0; time < 20; ++time)
            forecaster.recordPlacement(llm, 0, 2000, 2000, start);
        ForecastRequest asked{request, 0, usualSpeed};
        CHECK(forecaster.forecast(asked, pool, start)->m_wait == 60ms);
        pool.setSpeeds({{idOf(1), {2 * usualSpeed, 2}}});
        CHECK(forecaster.forecast(asked, pool, start)->m_wait == 30ms);
    }
}
