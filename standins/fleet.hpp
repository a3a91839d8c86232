#pragma once

#include "standins/instance.hpp"

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <map> // map
#include <memory> // unique_ptr
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale::standins {

/// All stand-ins of one process and their control calls, which work even while a stand-in refuses
/// connections. The map of instances is accessed on the first loop only.
class Fleet
{
public:
    explicit Fleet(FleetSettings settings);
    ~Fleet();

    /// Starts the loops, opens the sockets of all instances and then the control socket. Fails with
    /// AddressInUse.
    Result<Done> start();

    /// Stops all loops. Unfinished answers are cut off.
    void stop();

    /// Returns the address of the control socket; empty if there is none.
    const Endpoint &control() const { return m_control; }

    /// Returns one line "instance NAME ROLE ADDRESS:PORT" for each instance.
    std::vector<std::string> describe();

private:
    Result<Done> openInstances();
    Result<Done> openControl();
    Result<Endpoint> add(InstanceSettings settings);
    void listInCloud();
    std::optional<std::uint16_t> startRented(const Vm &vm);
    HttpReply answer(const HttpRequest &request);
    HttpReply listInstances();
    HttpReply forward(Instance &instance, HttpRequest request);
    HttpReply reopen(Instance &instance);

    FleetSettings m_settings;
    Endpoint m_control;
    Clock m_clock;
    std::vector<std::unique_ptr<FiberLoop>> m_loops;
    std::map<std::string, std::unique_ptr<Instance>> m_instances;
    std::unique_ptr<HttpServer> m_server;
    std::size_t m_nextLoop = 0;
};

} // namespace gypsumdale::standins
