#include <gypsumdale/serving/prompt_announcer.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <algorithm> // max, min
#include <cmath> // log, pow
#include <cstdint> // int64_t
#include <deque> // deque
#include <map> // map
#include <random> // uniform_real_distribution
#include <string> // string, to_string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
constexpr double speed = 60000;

} // namespace

TEST_CASE("which prompts are told at once in a small fleet")
{
    PromptAnnouncer news;
    CHECK(news.shouldAnnounce(6100, speed, start));
    CHECK_FALSE(news.shouldAnnounce(5900, speed, start));
    CHECK_FALSE(news.shouldAnnounce(60000, 0, start));
}

TEST_CASE("which prompts are told at once in a large fleet")
{
    PromptAnnouncer news;
    news.setFleet(100, true);
    // Three announcements in ten seconds.
    for (const double tokens : {20000.0, 30000.0, 40000.0})
        CHECK(news.shouldAnnounce(tokens, speed, start));

    SECTION("the longest")
    {
        CHECK_FALSE(news.shouldAnnounce(10000, speed, start + 1s));
        CHECK(news.shouldAnnounce(35000, speed, start + 1s));
        CHECK_FALSE(news.shouldAnnounce(25000, speed, start + 1s));
    }
    SECTION("of the last seconds")
    {
        CHECK(news.shouldAnnounce(10000, speed, start + 11s));
    }
    SECTION("but none that is read before the word has come round")
    {
        CHECK_FALSE(news.shouldAnnounce(1000, speed, start + 11s));
    }
    SECTION("and more from each VM where they are fewer")
    {
        news.setFleet(50, true);
        CHECK(news.shouldAnnounce(10000, speed, start + 1s));
    }
}

namespace {

constexpr int vms = 80;
constexpr int engines = 40;
constexpr double requestsPerSecond = 450;
constexpr Duration exchangeEvery = 1750ms;
/// Delay until an announcement reaches a peer.
constexpr Duration wordTime = 10ms;
constexpr Duration timeTarget = 600ms;
constexpr double longestPrompt = 52000;
/// Period in which a VM ranks its longest prompts.
constexpr Duration rankedSpan = 10s;

/// A fleet that places prompts at engines which read one after the other, exchanges loads at the
/// intervals of a large fleet, and announces long prompts at once or not at all.
class Fleet
{
public:
    explicit Fleet(bool tells)
        : m_tells(tells)
    {
        std::map<UpstreamId, UpstreamRecord> records;
        for (int index = 0; index < engines; ++index) {
            UpstreamRecord record;
            record.m_id = UpstreamId("e" + std::to_string(index));
            record.m_service = ServiceId("llm");
            record.m_dataCentre = DataCentreId("a");
            records.emplace(record.m_id, record);
        }
        for (Vm &vm : m_vms) {
            vm.m_pool.update(records);
            vm.m_pool.setExchangeStretch(7);
            vm.m_news.setFleet(vms, true);
            vm.m_nextExchange = start + fromSeconds(unitDraw() * toSeconds(exchangeEvery));
        }
    }

    /// Returns the fraction of requests whose prompt was not read within the target.
    double playLate(Duration time)
    {
        int late = 0;
        int placed = 0;
        const TimePoint warm = start + 4s;
        for (m_now = start; m_now < start + time; m_now += nextGap()) {
            deliver();
            const Duration wait = place(m_vms[m_random(vms)]);
            if (m_now < warm)
                continue;
            ++placed;
            late += wait > timeTarget ? 1 : 0;
        }
        return static_cast<double>(late) / placed;
    }

    /// Returns the number of announcements after each VM had observed how long its prompts are.
    int told() const { return m_told; }

private:
    struct Prompt
    {
        TimePoint m_readAt{};
        UpstreamId m_engine;
        std::int64_t m_tokens = 0;
    };
    struct Vm
    {
        UpstreamPool m_pool;
        PromptAnnouncer m_news;
        TimePoint m_nextExchange{};
        std::deque<Prompt> m_prompts;
    };
    struct Word
    {
        TimePoint m_arrivesAt{};
        const Vm *m_from = nullptr;
        UpstreamId m_engine;
        InFlightLoad m_load;
    };

    double unitDraw() { return std::uniform_real_distribution<double>(1e-9, 1)(m_random); }
    Duration nextGap() { return fromSeconds(-std::log(unitDraw()) / requestsPerSecond); }
    std::string nameOf(const Vm &vm) const { return std::to_string(&vm - m_vms.data()); }

    /// A quarter are long digests of widely varying lengths, the others are short.
    std::int64_t drawTokens()
    {
        constexpr double partLong = 0.25;
        if (unitDraw() > partLong)
            return 1200;
        return static_cast<std::int64_t>(
                std::min(longestPrompt, 2800 * std::pow(unitDraw(), -1 / 1.35)));
    }

    void deliver()
    {
        for (Vm &vm : m_vms) {
            finishRead(vm);
            if (m_now < vm.m_nextExchange)
                continue;
            vm.m_nextExchange += exchangeEvery;
            std::map<UpstreamId, InFlightLoad> loads;
            for (const auto &[id, upstream] : vm.m_pool.upstreams()) {
                if (upstream->m_own.m_pendingTokens > 0)
                    loads[id] = upstream->m_own;
            }
            for (Vm &other : m_vms) {
                if (&other != &vm)
                    other.m_pool.setPeerLoad(nameOf(vm), loads, m_now);
            }
        }
        while (!m_words.empty() && m_words.front().m_arrivesAt <= m_now) {
            const Word &word = m_words.front();
            for (Vm &other : m_vms) {
                if (&other != word.m_from)
                    other.m_pool.setPeerLoadAt(nameOf(*word.m_from), word.m_engine, word.m_load,
                                               m_now);
            }
            m_words.pop_front();
        }
    }

    void finishRead(Vm &vm)
    {
        std::erase_if(vm.m_prompts, [this, &vm](const Prompt &prompt) {
            if (prompt.m_readAt > m_now)
                return false;
            InFlightLoad &own = vm.m_pool.upstreams().at(prompt.m_engine)->m_own;
            own.m_pendingTokens -= prompt.m_tokens;
            --own.m_running;
            return true;
        });
    }

    /// Places a prompt and returns the time until it has been read.
    Duration place(Vm &vm)
    {
        const std::int64_t tokens = drawTokens();
        PlacementRequest request;
        request.m_service = ServiceId("llm");
        request.m_dataCentre = DataCentreId("a");
        request.m_promptTokens = tokens;
        request.m_readingSpeed = speed;
        request.m_draw = m_random();
        request.m_isAnnounced =
                vm.m_news.shouldAnnounce(static_cast<double>(tokens), speed, m_now) && m_tells;
        const PooledUpstreamPointer engine = vm.m_pool.choose(request, m_now);
        TimePoint &freeAt = m_freeAt[engine->m_record.m_id];
        freeAt = std::max(freeAt, m_now) + fromSeconds(static_cast<double>(tokens) / speed);
        ++engine->m_own.m_running;
        engine->m_own.m_pendingTokens += tokens;
        vm.m_prompts.push_back({freeAt, engine->m_record.m_id, tokens});
        if (request.m_isAnnounced) {
            m_told += m_now > start + rankedSpan ? 1 : 0;
            m_words.push_back({m_now + wordTime, &vm, engine->m_record.m_id, engine->m_own});
        }
        return freeAt - m_now;
    }

    bool m_tells;
    pcg64 m_random{20};
    TimePoint m_now{};
    std::vector<Vm> m_vms{static_cast<std::size_t>(vms)};
    std::map<UpstreamId, TimePoint> m_freeAt;
    std::deque<Word> m_words;
    int m_told = 0;
};

} // namespace

// A fleet of 80 VMs uses 40 engines that are half busy, and VMs exchange their loads every 1.75 s.
// A short prompt is sent to an engine that looks idle but has just received two prompts of 50,000
// tokens from other VMs; it waits for both.
TEST_CASE("long prompts that are told at once leave fewer requests behind them")
{
    Fleet silent(false);
    Fleet telling(true);
    constexpr Duration played = 20s;
    const double lateBefore = silent.playLate(played);
    const double lateAfter = telling.playLate(played);
    INFO("late before " << lateBefore << ", after " << lateAfter << ", words " << telling.told());
    CHECK(lateAfter < 0.5 * lateBefore);
    CHECK(telling.told() <= 30 * toSeconds(played - rankedSpan));
}
