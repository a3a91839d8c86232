#include "bench/capacity/measure.hpp"
#include "bench/capacity/mesh.hpp"

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/fleet/config_store.hpp>

#include <fmt/format.h>

#include <memory> // make_unique

namespace gypsumdale::bench {

namespace {

/// Costs of a mesh, measured at several sizes.
class MeshSeries
{
public:
    explicit MeshSeries(const std::string &per)
        : m_processor("processor, us a node and second", per)
        , m_bytes("sent, bytes a node and second", per)
        , m_heartbeats("heartbeats begun, a node and second", per)
        , m_probes("probes, a node and second", per)
        , m_memory("memory, bytes a node", per)
    {}

    void measure(MeshSize size, double x)
    {
        const std::int64_t before = heldBytes();
        Mesh mesh(size);
        const MeshCost cost = mesh.measure();
        const auto memory = static_cast<double>(heldBytes() - before);
        m_processor.add(x, cost.m_microseconds);
        m_bytes.add(x, cost.m_bytesSent);
        m_heartbeats.add(x, cost.m_heartbeats);
        m_probes.add(x, cost.m_probes);
        m_memory.add(x, memory / size.m_nodes);
    }

    void print() const
    {
        for (const Series *series : {&m_processor, &m_bytes, &m_heartbeats, &m_probes, &m_memory})
            series->print();
    }

private:
    Series m_processor;
    Series m_bytes;
    Series m_heartbeats;
    Series m_probes;
    Series m_memory;
};

ConfigObject profileObject(ConfigVersion number, ConfigVersion version)
{
    const std::string body = "latency: {first-token: 1s, deadline: 9s}\n"
                             "durability: job\nrepeat: repeatable\n";
    return {{SettingsKind::Profile, fmt::format("profile-{}", number)}, version, body, false};
}

} // namespace

void measurePeers()
{
    MeshSeries series("peer");
    for (const int nodes : {4, 12, 23, 44})
        series.measure({nodes, 0, 5}, nodes - 1);
    series.print();
}

void measureRunners()
{
    // Six nodes: with an equal share of the data centre's probes at each size, the slope would not
    // show.
    MeshSeries few("runner at 6 nodes");
    for (const int runners : {9, 90, 300})
        few.measure({6, runners, 5}, runners);
    few.print();
    MeshSeries full("runner at 44 nodes");
    for (const int runners : {110, 550, 1100})
        full.measure({44, runners, 5}, runners);
    full.print();
}

void measureMembers()
{
    MeshSeries series("member at 12 nodes");
    for (const int members : {5, 50, 500})
        series.measure({12, 0, members}, members);
    series.print();
}

void measureConfiguration()
{
    Series apply("processor, ns a change taken in", "object held");
    Series memory("memory, bytes", "object held");
    constexpr ConfigVersion changes = 200;
    for (const ConfigVersion objects : {10U, 100U, 1000U, 5000U}) {
        const std::int64_t before = heldBytes();
        auto store = ConfigStoreBuilder()
                             .node(NodeId("olten-a-1"), DataCentreId("olten-a"), 7)
                             .startedAt(1000)
                             .build();
        const TimePoint start = TimePoint() + std::chrono::seconds(100);
        store.start(start);
        ConfigChanges all{0, objects, {}};
        for (ConfigVersion number = 0; number < objects; ++number)
            all.m_objects.push_back(profileObject(number, number + 1));
        store.onPlatformList(all, 1000, start);
        all = {};
        memory.add(static_cast<double>(objects), static_cast<double>(heldBytes() - before));
        ConfigVersion version = objects;
        const Stopwatch watch;
        for (ConfigVersion change = 0; change < changes; ++change) {
            const ConfigVersion next = version + 1;
            store.onPlatformWatch({version, next, {profileObject(change % objects, next)}}, 2000,
                                  start + std::chrono::milliseconds(change));
            version = next;
        }
        apply.add(static_cast<double>(objects), watch.nanos() / changes);
    }
    apply.print();
    memory.print();
}

} // namespace gypsumdale::bench
