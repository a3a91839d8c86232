#pragma once

#include "standins/engine_server.hpp"
#include "standins/instance_settings.hpp"

#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <cstdint> // uint16_t
#include <functional> // function
#include <memory> // shared_ptr
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale::standins {

/// One stand-in with its socket. It can listen, stop serving, refuse connections and restart. All
/// calls except the constructor are made on its loop.
class Instance
{
public:
    Instance(InstanceSettings settings, const Clock &clock, FiberLoop &loop);

    /// Opens the socket. Fails with AddressInUse.
    Result<Done> open();

    /// Answers one call that arrived on its own socket or on the control socket.
    void handle(const HttpRequest &request, HttpResponder &responder);

    /// Stops serving like a killed process (Stopped: all connections close) or like a vanished VM
    /// (Silent: connections stay open).
    void die(LifeState state);

    /// Restarts on the same port with empty state and the next incarnation. A platform or cloud
    /// keeps its state, because its restart does not stand for a failed process.
    Result<Done> restart();

    /// Sets the function that starts rented VMs of a cloud; does nothing for other roles.
    void setStarter(VmStarter starter);

    const InstanceSettings &settings() const { return m_settings; }
    const Endpoint &endpoint() const { return m_settings.m_listen; }
    Role role() const { return static_cast<Role>(m_settings.m_role.index()); }
    FiberLoop &loop() const { return m_loop; }
    bool isListening() const { return m_server != nullptr; }

private:
    using Server = std::variant<EngineServer, ServiceServer, PlatformServer, CloudServer>;

    std::shared_ptr<Server> makeServer() const;
    HttpReply answerDieCall(const HttpRequest &request);
    void applyRefuseConnections();
    void closeSocket();

    InstanceSettings m_settings;
    const Clock &m_clock;
    FiberLoop &m_loop;
    std::shared_ptr<Server> m_role;
    std::unique_ptr<HttpServer> m_server;
    /// Servers that no longer accept connections but may still answer on open ones.
    std::vector<std::unique_ptr<HttpServer>> m_closedServers;
};

} // namespace gypsumdale::standins
