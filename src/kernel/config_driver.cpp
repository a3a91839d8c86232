#include <gypsumdale/kernel/config_codec.hpp>
#include <gypsumdale/kernel/config_driver.hpp>

namespace gypsumdale {

namespace {

constexpr Duration peerTimeout = std::chrono::seconds(2);
/// Longest sleep of the timer fiber, so that it notices soon if a timer is moved to an earlier
/// time.
constexpr Duration maxTimerSleep = std::chrono::milliseconds(100);

std::vector<NodeId> localPeersOf(const NodeSettings &settings)
{
    std::vector<NodeId> result;
    for (const SeedPeer &peer : settings.m_peers) {
        if (peer.m_dataCentre == settings.m_dataCentre)
            result.push_back(peer.m_node);
    }
    return result;
}

ConfigStore makeStore(const ControlContext &context)
{
    const NodeSettings &settings = context.m_settings;
    return ConfigStoreBuilder()
            .node(settings.m_node, settings.m_dataCentre, context.m_incarnation)
            .localPeers(localPeersOf(settings))
            .startedAt(context.wallNow())
            .watchTimeout(settings.m_intervals.m_watch)
            .build();
}

ConfigChanges changesFrom(const PlatformObjects &objects, ConfigVersion from)
{
    ConfigChanges changes;
    changes.m_from = from;
    changes.m_upTo = objects.m_version;
    for (const PlatformObject &object : objects.m_objects) {
        const auto key = configKeyOf(object.m_name);
        if (key) {
            changes.m_objects.push_back({*key, object.m_version, object.m_body, object.m_deleted});
        }
    }
    return changes;
}

} // namespace

ConfigDriver::ConfigDriver(ControlContext &context, Directory directory)
    : m_context(context)
    , m_directory(std::move(directory))
    , m_store(makeStore(context))
{}

void ConfigDriver::start()
{
    run(m_store.start(m_context.now()));
    m_context.m_loop.spawn([this] { runTimer(); });
}

void ConfigDriver::onLiveNodes(const std::vector<NodeId> &nodes)
{
    run(m_store.onLiveNodes(nodes, m_context.now()));
}

void ConfigDriver::onDigest(const ConfigDigestFrom &digest)
{
    run(m_store.onDigest(digest, m_context.now()));
}

void ConfigDriver::onAsk(const ConfigAsk &ask)
{
    run(m_store.onAsk(ask, m_context.now()));
}

void ConfigDriver::onUpdate(const ConfigUpdate &update)
{
    run(m_store.onUpdate(update, m_context.now()));
}

void ConfigDriver::onPeerSilent(const NodeId &peer)
{
    run(m_store.onPeerGone(peer, m_context.now()));
}

void ConfigDriver::runTimer()
{
    for (;;) {
        const Duration left = m_store.nextTimer() - m_context.now();
        sleepFiber(std::clamp<Duration>(left, std::chrono::milliseconds(1), maxTimerSleep));
        run(m_store.onTimer(m_context.now()));
    }
}

void ConfigDriver::run(const ConfigCommands &commands)
{
    for (const ConfigCommand &command : commands)
        std::visit([this](const auto &value) { execute(value); }, command);
}

void ConfigDriver::execute(const ReadPlatform &)
{
    m_context.m_loop.spawn([this] {
        const WallMillis askedAt = m_context.wallNow();
        const auto result = m_context.m_platform.list(configPlatformKind, "", true);
        if (const auto *objects = std::get_if<PlatformObjects>(&result))
            run(m_store.onPlatformList(changesFrom(*objects, 0), askedAt, m_context.now()));
        else
            run(m_store.onPlatformFailed(m_context.now()));
    });
}

void ConfigDriver::execute(const WatchPlatform &command)
{
    m_context.m_loop.spawn([this, command] {
        const WallMillis askedAt = m_context.wallNow();
        const auto result =
                m_context.m_platform.watch(configPlatformKind, command.m_after, command.m_timeout);
        const auto *objects = std::get_if<PlatformObjects>(&result);
        if (objects) {
            run(m_store.onPlatformWatch(changesFrom(*objects, command.m_after), askedAt,
                                        m_context.now()));
            return;
        }
        if (std::get<PlatformFailure>(result).m_failureKind == PlatformFailureKind::TooOld)
            run(m_store.onPlatformTooOld(m_context.now()));
        else
            run(m_store.onPlatformFailed(m_context.now()));
    });
}

void ConfigDriver::execute(const QueryPeer &command)
{
    wire::PeerRequestBody body;
    body.__set_configAsk(wire::toWire(command.m_ask));
    send(command.m_peer, body);
}

void ConfigDriver::execute(const SendUpdate &command)
{
    wire::PeerRequestBody body;
    body.__set_configUpdate(wire::toWire(command.m_update));
    send(command.m_peer, body);
}

void ConfigDriver::execute(const SendDigest &command)
{
    wire::PeerRequestBody body;
    body.__set_configDigest(wire::toWire(command.m_digest));
    send(command.m_peer, body);
}

void ConfigDriver::send(const NodeId &peer, const wire::PeerRequestBody &body)
{
    const auto identity = m_directory(peer);
    if (!identity)
        return;
    m_context.m_loop.spawn([this, identity = *identity, body] {
        const TimePoint begun = m_context.now();
        const auto reply = m_context.m_peers.ask(identity, body, peerTimeout);
        // A refused connection proves that no process of that node runs; a timeout proves nothing.
        if (!succeeded(reply) && errorOf(reply).m_id == ErrorId::PeerUnreachable)
            run(m_store.onPeerGone(identity.m_node, begun));
    });
}

void ConfigDriver::execute(const PutInForce &command)
{
    m_view.apply(command.m_object.m_key, command.m_value);
    m_context.m_metrics.add(Counter::SettingsAdopted);
    m_context.m_metrics.set(Gauge::ConfigVersion,
                            static_cast<std::int64_t>(m_store.versionInForce()));
    m_context.m_log.info(
            "settings-in-force",
            {{LogField::Kind, enumName(settingsKindNames, command.m_object.m_key.m_kind)},
             {LogField::Name, command.m_object.m_key.m_name},
             {LogField::Version, command.m_object.m_version}});
    if (m_listener)
        m_listener(command.m_object.m_key);
}

void ConfigDriver::execute(const BodyRefused &command)
{
    m_context.m_metrics.add(Counter::SettingsRefused);
    for (const Finding &finding : command.m_findings) {
        m_context.m_log.failure("settings-refused", {finding.m_id, finding.m_text},
                                {{LogField::Name, command.m_key.m_name},
                                 {LogField::Version, command.m_version},
                                 {LogField::Place, toLine(finding)}});
    }
}

void ConfigDriver::execute(const ConfigReady &command)
{
    m_context.m_log.info("configuration-ready", {{LogField::Reason, command.m_reason}});
}

ConfigWriterStep ConfigDriver::edit(ConfigEdit edit)
{
    ConfigWriter writer(std::move(edit));
    ConfigWriterStep step = writer.start();
    for (;;) {
        if (const auto *put = std::get_if<PutObject>(&step))
            step = perform(writer, PutObject(*put));
        else if (const auto *remove = std::get_if<DeleteObject>(&step))
            step = perform(writer, DeleteObject(*remove));
        else if (const auto *read = std::get_if<ReadObject>(&step))
            step = perform(writer, ReadObject(*read));
        else
            return step;
    }
}

namespace {

ConfigWriterStep stepAfter(ConfigWriter &writer, const PlatformFailure &failure)
{
    switch (failure.m_failureKind) {
    case PlatformFailureKind::Conflict:
    case PlatformFailureKind::NotFound:
        return writer.onConflict();
    case PlatformFailureKind::NoEffect:
    case PlatformFailureKind::TooOld:
        return writer.onRefused(failure.m_error);
    case PlatformFailureKind::AnswerLost:
        break;
    }
    return writer.onAnswerLost(failure.m_error);
}

} // namespace

ConfigWriterStep ConfigDriver::perform(ConfigWriter &writer, const PutObject &step)
{
    PlatformClient &platform = m_context.m_platform;
    const std::string name = platformName(step.m_key);
    const auto result =
            step.m_ifVersion == 0
                    ? platform.create(configPlatformKind, name, step.m_body)
                    : platform.update(configPlatformKind, name, step.m_ifVersion, step.m_body);
    if (const auto *version = std::get_if<ObjectVersion>(&result))
        return writer.onWritten(*version);
    return stepAfter(writer, std::get<PlatformFailure>(result));
}

ConfigWriterStep ConfigDriver::perform(ConfigWriter &writer, const DeleteObject &step)
{
    const auto result = m_context.m_platform.remove(configPlatformKind, platformName(step.m_key),
                                                    step.m_ifVersion);
    if (std::holds_alternative<Done>(result))
        return writer.onWritten(0);
    return stepAfter(writer, std::get<PlatformFailure>(result));
}

ConfigWriterStep ConfigDriver::perform(ConfigWriter &writer, const ReadObject &step)
{
    const auto result = m_context.m_platform.read(configPlatformKind, platformName(step.m_key));
    if (const auto *object = std::get_if<PlatformObject>(&result))
        return writer.onRead(ConfigObject{step.m_key, object->m_version, object->m_body, false});
    const auto &failure = std::get<PlatformFailure>(result);
    if (failure.m_failureKind == PlatformFailureKind::NotFound)
        return writer.onRead(std::nullopt);
    return writer.onReadFailed(failure.m_error);
}

} // namespace gypsumdale
