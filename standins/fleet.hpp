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

/// All stand-ins of one process and the control calls that reach them even when they refuse
/// connections. The map of instances belongs to the first loop.
class Fleet
{
public:
    explicit Fleet(FleetSettings settings);
    ~Fleet();

    /// Starts the loops, opens all sockets and then the control socket. Fails with AddressInUse.
    Result<Done> start();

    /// Stops all loops. Answers under way are cut.
    void stop();

    /// Returns where the control calls are answered; the address is empty if nowhere.
    const Endpoint &control() const { return m_control; }

    /// Describes the instances, one "instance NAME ROLE ADDRESS:PORT" each.
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
