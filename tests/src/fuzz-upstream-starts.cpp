#include <gypsumdale/serving/upstream_feed.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint> // int64_t, uint32_t
#include <map> // map
#include <optional> // optional
#include <string> // to_string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t upstreamCount = 3;

/// The oracle's state of one upstream: the latest reported start, and whether its entry is usable.
struct Truth
{
    std::int64_t m_start = 0;
    bool m_isUsable = false;
};

/// Upstreams that restart under their ids, entries written by them and by other writers, and peers
/// that report load for any start, in any order.
class World
{
public:
    void step(std::uint32_t value)
    {
        const UpstreamId id(std::to_string(value % upstreamCount));
        const std::int64_t start = 1 + (value >> 4U) % 6;
        switch ((value >> 8U) % 8) {
        case 0:
        case 1:
        case 2:
            tell(id, start);
            break;
        case 3:
            tell(id, 0);
            break;
        case 4:
            change({recordOf(id, 0), UpstreamChangeKind::Removed});
            m_truth[id] = {};
            break;
        case 5:
            change({recordOf(id, 0), UpstreamChangeKind::Unusable});
            m_truth[id] = {};
            break;
        case 6:
            m_peerLoad = {{id, {static_cast<int>(1 + (value >> 16U) % 9), 0, start}}};
            m_pool.setPeerLoad("peer", m_peerLoad, m_now);
            break;
        default:
            hold(id);
        }
        check();
    }

private:
    static UpstreamRecord recordOf(const UpstreamId &id, std::int64_t start)
    {
        UpstreamRecord record;
        record.m_id = id;
        record.m_service = ServiceId("llm");
        record.m_startedAt = start;
        return record;
    }

    void tell(const UpstreamId &id, std::int64_t start)
    {
        change({recordOf(id, start), UpstreamChangeKind::Present});
        Truth &truth = m_truth[id];
        if (truth.m_isUsable && start == 0 && truth.m_start > 0)
            truth = {};
        else if (!truth.m_isUsable || start > truth.m_start)
            truth = {start, true};
    }

    void change(const UpstreamChange &change)
    {
        m_feed.apply({change}, ++m_revision, m_now);
        m_pool.update(m_feed.upstreams(), m_revision);
    }

    void hold(const UpstreamId &id)
    {
        const auto found = m_pool.upstreams().find(id);
        if (found == m_pool.upstreams().end())
            return;
        ++found->second->m_own.m_running;
        m_held.push_back({found->second, found->second->m_record.m_startedAt});
    }

    void check() const
    {
        for (const auto &[id, truth] : m_truth) {
            const auto found = m_pool.upstreams().find(id);
            RC_ASSERT((found != m_pool.upstreams().end()) == truth.m_isUsable);
            if (!truth.m_isUsable)
                continue;
            const PooledUpstream &upstream = *found->second;
            RC_ASSERT(upstream.m_record.m_startedAt == truth.m_start);
            RC_ASSERT(!upstream.m_isReplaced && !upstream.m_isGone);
            RC_ASSERT(upstream.m_own.m_running == heldAt(upstream));
            RC_ASSERT(upstream.m_peerTotal.m_running == reportedFor(id, truth.m_start));
        }
        // A request keeps the process that it was sent to.
        for (const Held &held : m_held)
            RC_ASSERT(held.m_upstream->m_record.m_startedAt == held.m_start);
    }

    int heldAt(const PooledUpstream &upstream) const
    {
        int count = 0;
        for (const Held &held : m_held)
            count += held.m_upstream.get() == &upstream ? 1 : 0;
        return count;
    }

    int reportedFor(const UpstreamId &id, std::int64_t start) const
    {
        const auto found = m_peerLoad.find(id);
        const bool counts = found != m_peerLoad.end() && found->second.m_startedAt == start;
        return counts ? found->second.m_running : 0;
    }

    struct Held
    {
        PooledUpstreamPointer m_upstream;
        std::int64_t m_start = 0;
    };

    TimePoint m_now{1h};
    UpstreamFeed m_feed;
    UpstreamPool m_pool;
    std::int64_t m_revision = 1;
    std::map<UpstreamId, Truth> m_truth;
    std::map<UpstreamId, InFlightLoad> m_peerLoad;
    std::vector<Held> m_held;
};

} // namespace

// An engine restarts under its id while requests run there, peers report load of its former start,
// and entries with earlier starts or without one are written. Guards against placing requests by
// the former process's load, and against requests that wait for answers of a process that has
// ended.
TEST_CASE("upstreams that start again under their names")
{
    const bool holds = rc::check([](const std::vector<std::uint32_t> &steps) {
        World world;
        for (const std::uint32_t step : steps)
            world.step(step);
    });
    CHECK(holds);
}
