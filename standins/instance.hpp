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

/// One stand-in with its socket: it listens, dies, refuses connections and starts again. But for
/// the constructor, all calls are made on its loop.
class Instance
{
public:
    Instance(InstanceSettings settings, const Clock &clock, FiberLoop &loop);

    /// Opens the socket. Fails with AddressInUse.
    Result<Done> open();

    /// Answers one call, whichever way it came.
    void handle(const HttpRequest &request, HttpResponder &responder);

    /// Stops serving, as a killed process (Stopped, all connections close) or a vanished VM
    /// (Silent, none does) would.
    void die(LifeState state);

    /// Starts anew on the same port with an empty memory and the next incarnation; what a platform
    /// or cloud holds stays, for their processes are not what fails.
    Result<Done> restart();

    /// Sets what a cloud's rentals start; does nothing for other roles.
    void setStarter(VmStarter starter);

    const InstanceSettings &settings() const { return m_settings; }
    const Endpoint &endpoint() const { return m_settings.m_listen; }
    Role role() const { return static_cast<Role>(m_settings.m_role.index()); }
    FiberLoop &loop() const { return m_loop; }
    bool isListening() const { return m_server != nullptr; }

private:
    using Server = std::variant<EngineServer, ServiceServer, PlatformServer, CloudServer>;

    std::shared_ptr<Server> makeServer() const;
    HttpReply answerDeath(const HttpRequest &request);
    void refuseWhenAsked();
    void closeSocket();

    InstanceSettings m_settings;
    const Clock &m_clock;
    FiberLoop &m_loop;
    std::shared_ptr<Server> m_role;
    std::unique_ptr<HttpServer> m_server;
    /// Sockets that no longer accept but whose open connections may still be answered.
    std::vector<std::unique_ptr<HttpServer>> m_closed;
};

} // namespace gypsumdale::standins
