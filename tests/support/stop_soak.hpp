#pragma once

#include "support/entry_world.hpp"
#include "support/recorded_streams.hpp"

#include <gypsumdale/core/names.hpp>

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <atomic> // atomic
#include <chrono> // milliseconds, seconds, steady_clock
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map> // map
#include <mutex> // lock_guard, mutex
#include <string> // string
#include <string_view> // string_view
#include <thread> // sleep_for
#include <utility> // move
#include <vector> // vector

namespace gypsumdale::testing {

/// Longer than the grace time, so that a stream that a stop cuts hasn't reached it.
inline constexpr std::chrono::seconds soakRouteTimeout(15);
inline constexpr std::string_view lastChunk = "\r\n0\r\n\r\n";

/// Route of streams that run once, and the median of the numbers of their events.
struct SoakRoute
{
    std::string_view m_prefix;
    double m_medianEvents;
};

/// The first ones are there from the start; each of the others is added by a configuration.
inline constexpr SoakRoute soakRoutes[] = {
        {"/draft/", 23},  {"/note/", 9},     {"/line/", 6},     {"/added-1/", 23},
        {"/added-2/", 7}, {"/added-3/", 15}, {"/added-4/", 23}, {"/added-5/", 9},
};
inline constexpr std::size_t firstSoakRoutes = 3;

/// How a request reaches its VM.
enum class Way {
    NewConnection,
    /// The connection was opened a while before.
    OpenConnection,
    /// The body arrives in chunks, over a time.
    SlowBody,
    /// Another stream goes before it on the same connection.
    BehindStream,
};

inline constexpr NameTable<Way, 4> wayNames = {{
        {Way::NewConnection, "new connection"},
        {Way::OpenConnection, "open connection"},
        {Way::SlowBody, "slow body"},
        {Way::BehindStream, "behind a stream"},
}};

/// One request, as its caller saw it.
struct SentStream
{
    std::string m_id;
    std::size_t m_node = 0;
    Way m_way = Way::NewConnection;
    bool m_isOfWave = false;
    std::string_view m_prefix;
    unsigned m_events = 0;
    /// When its first and its last byte were sent.
    std::chrono::steady_clock::time_point m_startedAt;
    std::chrono::steady_clock::time_point m_sentAt;
    /// When it was sent whole and the answer to the request before it had ended.
    std::chrono::steady_clock::time_point m_isDueFrom;
    /// When its connection ended or its answer was whole.
    std::chrono::steady_clock::time_point m_endedAt;
    std::string m_answer;
};

inline void pauseMillis(std::uint64_t millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

/// What the threads of a soak of planned stops share.
class StopSoak
{
public:
    StopSoak(std::size_t nodes, std::uint64_t seed)
        : m_seed(seed)
        , m_stopCounts(nodes)
        , m_world(static_cast<int>(nodes), false, std::nullopt,
                  std::vector<std::string>(upstreamCount, "v1"))
    {
        m_streams.serve(m_world);
        configure();
        const std::string inUse = fmt::format("\"config_version\":{}", m_version);
        for (std::size_t node = 0; node < nodes; ++node)
            m_world.waitUntil("its routes are used", [&] {
                return m_world.fullLog(m_world.node(node)).find(inUse) != std::string::npos;
            });
    }

    /// Adds a route, if there is a further one, by a new configuration.
    void addRoute()
    {
        if (m_configuredRoutes < std::size(soakRoutes))
            ++m_configuredRoutes;
        configure();
    }

    /// Lets callers use all routes of the last configuration.
    void useAddedRoutes() { m_usedRoutes = m_configuredRoutes; }

    /// Lets the callers of waves send to a VM for a while, on a route that is drawn,
    /// half of the times one that has been there from the start.
    void raiseWave(std::size_t node, pcg32 &random)
    {
        constexpr unsigned minMillis = 500;
        constexpr unsigned spreadMillis = 1500;
        m_waveNode = node;
        const std::size_t routes = random(2) == 0 ? firstSoakRoutes : m_usedRoutes.load();
        m_waveRoute = random(static_cast<unsigned>(routes));
        m_isWave = true;
        pauseMillis(minMillis + random(spreadMillis));
        m_isWave = false;
    }

    void note(SentStream stream)
    {
        const std::lock_guard lock(m_mutex);
        m_sent.push_back(std::move(stream));
    }

    void noteSignal(std::size_t node)
    {
        const std::lock_guard lock(m_mutex);
        m_signals[node].push_back(std::chrono::steady_clock::now());
        ++m_stopCounts[node];
    }

    static constexpr std::size_t upstreamCount = 20;

    std::uint64_t m_seed;
    std::atomic<bool> m_isOver = false;
    /// Whether callers of waves send, and to which VM.
    std::atomic<bool> m_isWave = false;
    std::atomic<std::size_t> m_waveNode = 0;
    /// The route of a wave, which callers use beyond it more often than the others.
    std::atomic<std::size_t> m_waveRoute = 0;
    std::atomic<std::size_t> m_usedRoutes = firstSoakRoutes;
    std::vector<std::atomic<unsigned>> m_stopCounts;
    std::mutex m_mutex;
    std::vector<SentStream> m_sent;
    /// When each VM got SIGTERM.
    std::map<std::size_t, std::vector<std::chrono::steady_clock::time_point>> m_signals;
    RecordedStreams m_streams;
    EntryWorld m_world;

private:
    /// Seeds differ in whether running requests can be moved; streams are held back a little where
    /// they can.
    void configure()
    {
        Json config = EntryWorld::configuration(++m_version, {"key"});
        Json route = config["routes"][2];
        config["routes"] = Json::array();
        for (std::size_t number = 0; number < m_configuredRoutes; ++number) {
            route["name"] = route["path-prefix"] = soakRoutes[number].m_prefix;
            route["timeout-ms"] = std::chrono::milliseconds(soakRouteTimeout).count();
            config["routes"].push_back(route);
        }
        config["services"][0]["max-connections"] = 400;
        if (m_seed % 2 == 0)
            config["services"][0].erase("engine");
        m_world.store().put("config", "main", config);
    }

    std::size_t m_configuredRoutes = firstSoakRoutes;
    int m_version = 1;
};

} // namespace gypsumdale::testing
