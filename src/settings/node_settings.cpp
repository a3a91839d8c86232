#include "detail/schema.hpp"

#include <gypsumdale/settings/node_settings.hpp>

#include <set> // set

namespace gypsumdale {

namespace {

using namespace detail;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t maxPeers = 2048;
constexpr std::size_t maxUpstreams = 20000;
constexpr std::size_t maxOperators = 64;

Schema<SeedPeer> peerSchema()
{
    Schema<SeedPeer> schema;
    schema.required("node", &SeedPeer::m_node, IdKind<NodeId>(), "the other node's name")
            .required("data-centre", &SeedPeer::m_dataCentre, IdKind<DataCentreId>(),
                      "the other node's data centre")
            .required("address", &SeedPeer::m_address, AddressKind(), "where it listens to peers");
    return schema;
}

Schema<StaticUpstream> upstreamSchema()
{
    Schema<StaticUpstream> schema;
    schema.required("name", &StaticUpstream::m_id, IdKind<UpstreamId>(), "the upstream's name")
            .required("service", &StaticUpstream::m_service, IdKind<ServiceId>(),
                      "the service it is part of")
            .required("data-centre", &StaticUpstream::m_dataCentre, IdKind<DataCentreId>(),
                      "where it runs")
            .required("address", &StaticUpstream::m_address, AddressKind(), "where it listens")
            .key("vm", &StaticUpstream::m_vm, IdKind<VmId>(), "the VM it runs on")
            .key("class", &StaticUpstream::m_vmClass, NameKind(), "the VM's machine class")
            .key("slots", &StaticUpstream::m_slots, IntegerKind(1, 100000),
                 "requests that it runs at a time")
            .key("price-per-hour", &StaticUpstream::m_pricePerHour, NumberKind(0, 100000),
                 "what its VM costs, in the currency of the bill")
            .key("reclaimable", &StaticUpstream::m_reclaimable, FlagKind(),
                 "whether the cloud may take its VM back")
            .key("checks-fence", &StaticUpstream::m_checksFence, FlagKind(),
                 "whether it refuses an order with an old fencing number");
    return schema;
}

Schema<SecretSource> secretSchema()
{
    Schema<SecretSource> schema;
    schema.key("file", &SecretSource::m_file, TextKind(),
               "a file that holds the secret; give this or text")
            .key("text", &SecretSource::m_inline, TextKind(),
                 "the secret itself, for tests; give this or file");
    return schema;
}

Schema<ControlIntervals> intervalsSchema()
{
    Schema<ControlIntervals> schema;
    schema.key("heartbeat", &ControlIntervals::m_heartbeat,
               DurationKind(milliseconds(10), seconds(10)), "between two heartbeats to a peer")
            .key("suspect-after", &ControlIntervals::m_suspectAfter,
                 DurationKind(milliseconds(20), minutes(1)),
                 "a peer that has been silent for this long is suspected")
            .key("probe", &ControlIntervals::m_probe, DurationKind(milliseconds(10), seconds(10)),
                 "between two probes of an upstream")
            .key("watch", &ControlIntervals::m_watch, DurationKind(milliseconds(100), seconds(10)),
                 "how long one watch of the platform waits")
            .key("platform-timeout", &ControlIntervals::m_platformTimeout,
                 DurationKind(milliseconds(100), minutes(1)),
                 "the longest wait for an answer of the platform");
    return schema;
}

void declareAddresses(Schema<NodeSettings> &table)
{
    table.required("node", &NodeSettings::m_node, IdKind<NodeId>(), "this node's name")
            .required("data-centre", &NodeSettings::m_dataCentre, IdKind<DataCentreId>(),
                      "the data centre it runs in")
            .required("region", &NodeSettings::m_region, IdKind<RegionId>(),
                      "the data centre's region")
            .required("caller-listen", &NodeSettings::m_callerListen, AddressKind(),
                      "where callers reach it")
            .required("admin-listen", &NodeSettings::m_adminListen, AddressKind(),
                      "where operators reach it")
            .required("peer-listen", &NodeSettings::m_peerListen, AddressKind(),
                      "where other nodes reach it")
            .required("platform", &NodeSettings::m_platform, AddressKind(),
                      "the platform's object API")
            .key("cloud", &NodeSettings::m_cloud, OptionalKind(AddressKind()),
                 "the cloud API; left out where no cloud serves the fleet");
}

void declareRest(Schema<NodeSettings> &table)
{
    const auto asText = [](const std::string &hash) {
        return hash;
    };
    const auto peerName = [](const SeedPeer &peer) {
        return peer.m_node.text();
    };
    const auto upstreamName = [](const StaticUpstream &upstream) {
        return upstream.m_id.text();
    };
    table.key("peers", &NodeSettings::m_peers, ListKind(MapKind(peerSchema()), maxPeers, peerName),
              "every other node; the lists of all nodes must name each other")
            .required("operator-hashes", &NodeSettings::m_operatorHashes,
                      ListKind(HashKind(), maxOperators, asText),
                      "SHA-256 of each operator's credential")
            .required("peer-secret", &NodeSettings::m_peerSecret, MapKind(secretSchema()),
                      "the secret by which nodes know each other")
            .key("traffic-threads", &NodeSettings::m_trafficThreads, IntegerKind(1, 16),
                 "threads that move bytes")
            .key("log-level", &NodeSettings::m_logLevel, EnumKind(logLevelNames),
                 "the least level that is logged")
            .key("intervals", &NodeSettings::m_intervals, MapKind(intervalsSchema()),
                 "how often the node does what it does by the clock")
            .key("once-shards", &NodeSettings::m_onceShards, IntegerKind(1, 1024),
                 "logs of claims that idempotency keys are split into; the same on all nodes")
            .key("upstreams", &NodeSettings::m_upstreams,
                 ListKind(MapKind(upstreamSchema()), maxUpstreams, upstreamName),
                 "upstreams of a fleet without a cloud list");
}

const Schema<NodeSettings> &nodeSchema()
{
    static const auto schema = [] {
        Schema<NodeSettings> table;
        declareAddresses(table);
        declareRest(table);
        return table;
    }();
    return schema;
}

/// Reports addresses that are used by two listeners or two upstreams, at the later use.
class AddressUse
{
public:
    void use(const Address &address, const YAML::Node &node, Reader &reader)
    {
        if (address.isEmpty())
            return;
        const auto text = address.m_ip + ":" + std::to_string(address.m_port);
        if (!m_used.insert(text).second)
            reader.add(ErrorId::SettingsContradiction, node, text + " is used twice");
    }

private:
    std::set<std::string> m_used;
};

void checkPeers(const NodeSettings &settings, const YAML::Node &root, AddressUse &use,
                Reader &reader)
{
    const auto list = nodeAt(root, {"peers"});
    if (!list.IsSequence() || list.size() != settings.m_peers.size())
        return;
    for (std::size_t i = 0; i < settings.m_peers.size(); ++i) {
        const YAML::Node entry = list[i];
        use.use(settings.m_peers[i].m_address, nodeAt(entry, {"address"}), reader);
        if (!settings.m_node.isEmpty() && settings.m_peers[i].m_node == settings.m_node)
            reader.add(ErrorId::SettingsContradiction, nodeAt(entry, {"node"}),
                       "the node names itself as a peer");
    }
}

void checkUpstreams(const NodeSettings &settings, const YAML::Node &root, AddressUse &use,
                    Reader &reader)
{
    const auto list = nodeAt(root, {"upstreams"});
    if (!list.IsSequence() || list.size() != settings.m_upstreams.size())
        return;
    for (std::size_t i = 0; i < settings.m_upstreams.size(); ++i)
        use.use(settings.m_upstreams[i].m_address, nodeAt(list[i], {"address"}), reader);
}

void checkContradictions(const NodeSettings &settings, const YAML::Node &root, Reader &reader)
{
    AddressUse use;
    use.use(settings.m_callerListen, nodeAt(root, {"caller-listen"}), reader);
    use.use(settings.m_adminListen, nodeAt(root, {"admin-listen"}), reader);
    use.use(settings.m_peerListen, nodeAt(root, {"peer-listen"}), reader);
    checkPeers(settings, root, use, reader);
    checkUpstreams(settings, root, use, reader);
    const auto secret = nodeAt(root, {"peer-secret"});
    const bool isGiven = !secret.is(root);
    const bool hasBoth =
            !settings.m_peerSecret.m_file.empty() && !settings.m_peerSecret.m_inline.empty();
    if (isGiven && hasBoth)
        reader.add(ErrorId::SettingsContradiction, secret, "file and text are mutually exclusive");
    if (isGiven && settings.m_peerSecret.isEmpty())
        reader.add(ErrorId::SettingsMissingKey, secret, "file or text is required");
    if (settings.m_intervals.m_suspectAfter <= settings.m_intervals.m_heartbeat)
        reader.add(ErrorId::SettingsContradiction, nodeAt(root, {"intervals", "suspect-after"}),
                   "suspect-after must exceed heartbeat: every peer would be suspected");
}

} // namespace

Checked<NodeSettings> checkNodeSettings(std::string_view text, const std::string &document)
{
    return checkDocument(nodeSchema(), NodeSettings{}, text, document, checkContradictions);
}

KeyReferences nodeSettingsReference()
{
    KeyReferences keys;
    nodeSchema().describe({}, keys);
    return keys;
}

} // namespace gypsumdale
