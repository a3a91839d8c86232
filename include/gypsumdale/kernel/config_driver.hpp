#pragma once

#include <gypsumdale/fleet/config_store.hpp>
#include <gypsumdale/fleet/config_writer.hpp>
#include <gypsumdale/kernel/control_context.hpp>
#include <gypsumdale/kernel/settings_view.hpp>

#include <functional> // function
#include <optional> // optional
#include <vector> // vector

namespace gypsumdale {

/// Executes the commands of the ConfigStore against the platform and the peers, and keeps the
/// SettingsView up to date with the versions in force. Used on the control loop only.
class ConfigDriver
{
public:
    /// Returns the address at which a node listens to its peers, or nothing for an unknown node.
    using Directory = std::function<std::optional<NodeIdentity>(const NodeId &)>;
    using ChangeListener = std::function<void(const ConfigKey &)>;

    ConfigDriver(ControlContext &context, Directory directory);

    /// Starts. Must be called in a fiber of the control loop once peers can reach this process.
    void start();

    /// Sets a function that is called after each change that came into force.
    void onChange(ChangeListener listener) { m_listener = std::move(listener); }

    void onLiveNodes(const std::vector<NodeId> &nodes);
    /// Excludes a node of the own data centre that has been silent for so long that waiting for its
    /// acknowledgement of a new version would break the limit of seconds within which a version
    /// must be in force.
    void onPeerSilent(const NodeId &peer);
    void onDigest(const ConfigDigestFrom &digest);
    void onAsk(const ConfigAsk &ask);
    void onUpdate(const ConfigUpdate &update);

    /// Executes an operator's edit until its outcome is known. Suspends the calling fiber.
    ConfigWriterStep edit(ConfigEdit edit);

    const ConfigStore &store() const { return m_store; }
    const SettingsView &view() const { return m_view; }

private:
    void run(const ConfigCommands &commands);
    void execute(const ReadPlatform &command);
    void execute(const WatchPlatform &command);
    void execute(const QueryPeer &command);
    void execute(const SendUpdate &command);
    void execute(const SendDigest &command);
    void execute(const PutInForce &command);
    void execute(const BodyRefused &command);
    void execute(const ConfigReady &command);
    void runTimer();
    void send(const NodeId &peer, const wire::PeerRequestBody &body);
    ConfigWriterStep perform(ConfigWriter &writer, const PutObject &step);
    ConfigWriterStep perform(ConfigWriter &writer, const DeleteObject &step);
    ConfigWriterStep perform(ConfigWriter &writer, const ReadObject &step);

    ControlContext &m_context;
    Directory m_directory;
    ChangeListener m_listener;
    ConfigStore m_store;
    SettingsView m_view;
};

} // namespace gypsumdale
