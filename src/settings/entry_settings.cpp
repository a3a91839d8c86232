#include "detail/schema.hpp"

#include <gypsumdale/settings/entry_settings.hpp>

#include <set> // set

namespace gypsumdale {

namespace {

using namespace detail;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t maxSeeds = 64;
constexpr std::size_t maxDataCentres = 64;
constexpr double maxSlack = 1e6;

std::string addressText(const Address &address)
{
    return address.m_ip + ":" + std::to_string(address.m_port);
}

Schema<EntryBounds> boundsSchema()
{
    Schema<EntryBounds> schema;
    schema.key("quota-window", &EntryBounds::m_quotaWindow, DurationKind(seconds(1), minutes(1)),
               "span over which an account's use is counted against its quota")
            .key("quota-overage", &EntryBounds::m_quotaOverage, NumberKind(0, 10),
                 "part of a quota that may be exceeded")
            .key("quota-slack", &EntryBounds::m_quotaSlack, NumberKind(0, 1e12),
                 "what may be used beyond that in a window, in the quota's unit")
            .key("retry-ratio", &EntryBounds::m_retryRatio, NumberKind(0, 10),
                 "repeats that the fleet may add for each request")
            .key("retry-slack", &EntryBounds::m_retrySlack, NumberKind(0, maxSlack),
                 "repeats that the fleet may add beyond the ratio")
            .key("retry-window", &EntryBounds::m_retryWindow, DurationKind(seconds(1), minutes(5)),
                 "span over which repeats are counted")
            .key("usage-window", &EntryBounds::m_usageWindow, DurationKind(seconds(1), minutes(60)),
                 "span of one usage report")
            .key("usage-due", &EntryBounds::m_usageReportDelay,
                 DurationKind(seconds(1), minutes(60)),
                 "time after a usage window's end in which it is reported")
            .key("lease-term", &EntryBounds::m_leaseTerm,
                 DurationKind(milliseconds(500), minutes(5)), "how long the duties' lease holds")
            .key("config-apply", &EntryBounds::m_configApplyDelay,
                 DurationKind(milliseconds(200), minutes(5)),
                 "within this after the store took it, a version is in force")
            .key("leaving-apply", &EntryBounds::m_leavingApply,
                 DurationKind(milliseconds(200), minutes(5)),
                 "within this after it said so, a leaving upstream is left alone")
            .key("upstream-heartbeat", &EntryBounds::m_upstreamHeartbeat,
                 DurationKind(milliseconds(10), minutes(5)),
                 "how often an upstream writes its entry")
            .key("exposure-share", &EntryBounds::m_exposureShare, NumberKind(0, 1),
                 "part of a service's requests that an unproved version may get")
            .key("exposure-slack", &EntryBounds::m_exposureSlack, NumberKind(0, maxSlack),
                 "requests beyond that part")
            .key("shutdown-grace", &EntryBounds::m_shutdownGrace,
                 DurationKind(seconds(1), minutes(60)),
                 "from the signal to stop until the process is killed");
    return schema;
}

Schema<ScaleSettings> scaleSchema()
{
    Schema<ScaleSettings> schema;
    schema.key("least-share", &ScaleSettings::m_minimumShare, NumberKind(0, 1),
               "engines that a service has at least, as a part of the most it may have")
            .key("running-per-engine", &ScaleSettings::m_runningPerEngine, NumberKind(0.1, 100000),
                 "requests in flight at one engine that still meet the first-token target")
            .key("spare", &ScaleSettings::m_spare, NumberKind(1, 10),
                 "upstreams for each one wanted, against a reclaim of a data centre's")
            .key("steady-engines", &ScaleSettings::m_nonReclaimableEngines, IntegerKind(0, 100000),
                 "upstreams that can't be reclaimed, over all data centres")
            .key("reading-load", &ScaleSettings::m_prefillLoad, NumberKind(0.01, 1),
                 "part of an engine's reading speed that prompts may take")
            .key("stand-in-load", &ScaleSettings::m_replacementPrefillLoad, NumberKind(0.01, 10),
                 "the same for steady engines while reclaimable ones are taken away")
            .key("risk-load", &ScaleSettings::m_riskPrefillLoad, NumberKind(0.01, 10),
                 "the same for what a further reclaim would leave")
            .key("reclaim-calm", &ScaleSettings::m_reclaimSettleTime,
                 DurationKind(Duration::zero(), minutes(60)),
                 "time after a reclaim in which further ones are likely")
            .key("lower-after", &ScaleSettings::m_scaleDownDelay,
                 DurationKind(seconds(1), minutes(60)),
                 "a want is lowered only after this long below");
    return schema;
}

const Schema<EntrySettings> &entrySchema()
{
    static const auto schema = [] {
        Schema<EntrySettings> table;
        const auto dataCentreName = [](const DataCentreId &dataCentre) {
            return dataCentre.text();
        };
        table.required("node", &EntrySettings::m_node, IdKind<NodeId>(), "this node's name")
                .required("data-centre", &EntrySettings::m_dataCentre, IdKind<DataCentreId>(),
                          "the data centre it runs in")
                .required("region", &EntrySettings::m_region, IdKind<RegionId>(),
                          "the data centre's region")
                .required("caller-listen", &EntrySettings::m_callerListen, AddressKind(),
                          "where callers reach it")
                .required("ready-listen", &EntrySettings::m_readyListen, AddressKind(),
                          "where the balancer asks whether it is ready")
                .required("peer-listen", &EntrySettings::m_peerListen, AddressKind(),
                          "where other nodes reach it")
                .key("peer-advertise", &EntrySettings::m_peerAdvertise, OptionalKind(AddressKind()),
                     "the address it tells other nodes; left out for `peer-listen`")
                .key("relay-listen", &EntrySettings::m_relayListen, OptionalKind(AddressKind()),
                     "where it takes requests of nodes that reach no upstream; left out for none")
                .key("metrics-listen", &EntrySettings::m_metricsListen, OptionalKind(AddressKind()),
                     "where metrics are served; left out for none")
                .required("store", &EntrySettings::m_store, AddressKind(), "the platform's store")
                .key("cloud", &EntrySettings::m_cloud, OptionalKind(AddressKind()),
                     "the cloud interface; left out where there are no duties")
                .key("seeds", &EntrySettings::m_seeds,
                     ListKind(AddressKind(), maxSeeds, addressText),
                     "where some of the other nodes may be reached")
                .required("data-centres", &EntrySettings::m_dataCentres,
                          ListKind(IdKind<DataCentreId>(), maxDataCentres, dataCentreName),
                          "all data centres of the fleet")
                .key("first-start", &EntrySettings::m_isFirstStart, FlagKind(),
                     "the whole system starts for the first time")
                .key("log-level", &EntrySettings::m_logLevel, EnumKind(logLevelNames),
                     "the least level that is logged")
                .key("shortage-queue", &EntrySettings::m_shortageQueue,
                     EnumKind(shortageQueueNames),
                     "requests wait for their turn while a service is short of slots")
                .key("request-memory", &EntrySettings::m_requestMemoryMib, IntegerKind(1, 65536),
                     "MiB that all requests which are held may take together")
                .key("bounds", &EntrySettings::m_bounds, MapKind(boundsSchema()),
                     "the users' bounds")
                .key("scaling", &EntrySettings::m_scaling, MapKind(scaleSchema()),
                     "how upstreams are ordered");
        return table;
    }();
    return schema;
}

void checkContradictions(const EntrySettings &settings, const YAML::Node &root, Reader &reader)
{
    std::set<std::string> used;
    const auto use = [&](const Address &address, const char *key) {
        if (!address.isEmpty() && !used.insert(addressText(address)).second)
            reader.add(ErrorId::SettingsContradiction, nodeAt(root, {key}),
                       addressText(address) + " is used twice");
    };
    use(settings.m_callerListen, "caller-listen");
    use(settings.m_readyListen, "ready-listen");
    use(settings.m_peerListen, "peer-listen");
    if (settings.m_peerAdvertise && !(*settings.m_peerAdvertise == settings.m_peerListen))
        use(*settings.m_peerAdvertise, "peer-advertise");
    if (settings.m_relayListen)
        use(*settings.m_relayListen, "relay-listen");
    if (settings.m_metricsListen)
        use(*settings.m_metricsListen, "metrics-listen");
    bool isListed = settings.m_dataCentres.empty();
    for (const DataCentreId &dataCentre : settings.m_dataCentres)
        isListed = isListed || dataCentre == settings.m_dataCentre;
    if (!isListed)
        reader.add(ErrorId::SettingsContradiction, nodeAt(root, {"data-centres"}),
                   "the node's own data centre isn't among them");
}

} // namespace

Checked<EntrySettings> checkEntrySettings(std::string_view text, const std::string &document)
{
    return checkDocument(entrySchema(), EntrySettings{}, text, document, checkContradictions);
}

KeyReferences entrySettingsReference()
{
    KeyReferences keys;
    entrySchema().describe({}, keys);
    return keys;
}

} // namespace gypsumdale
