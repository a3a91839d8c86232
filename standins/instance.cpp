#include "standins/instance.hpp"

#include <cstdlib> // _Exit
#include <optional> // optional
#include <utility> // move

namespace gypsumdale::standins {

namespace {

constexpr int killedExitCode = 137;

void advanceIncarnation(RoleSettings &role)
{
    std::visit(Overloaded{[](EngineSettings &settings) { ++settings.m_incarnation; },
                          [](ServiceSettings &settings) { ++settings.m_incarnation; },
                          [](auto &) {
                          }},
               role);
}

} // namespace

Instance::Instance(InstanceSettings settings, const Clock &clock, FiberLoop &loop)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_loop(loop)
    , m_role(makeServer())
{}

Result<Done> Instance::open()
{
    auto built = HttpServerBuilder()
                         .listenOn(m_settings.m_listen.m_address, m_settings.m_listen.m_port)
                         .runOn({&m_loop})
                         .handleWith([this](const HttpRequest &request, HttpResponder &responder) {
                             handle(request, responder);
                         })
                         .build();
    if (!succeeded(built))
        return errorOf(built);
    m_server = std::make_unique<HttpServer>(valueOf(std::move(built)));
    m_settings.m_listen.m_port = m_server->port();
    return Done{};
}

void Instance::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path() == "/admin/die" && request.m_method == "POST") {
        responder.send(answerDieCall(request));
        return;
    }
    // Keeps the server alive: a restart replaces m_role while old answers are still being sent.
    const std::shared_ptr<Server> role = m_role;
    std::visit([&](auto &server) { server.handle(request, responder); }, *role);
    applyRefuseConnections();
}

void Instance::die(LifeState state)
{
    std::visit([&](auto &server) { server.lifetime().set(state); }, *m_role);
    // A vanished VM closes no connection: its socket stays open and nothing answers.
    if (state == LifeState::Silent)
        return;
    closeSocket();
    m_closedServers.clear();
}

Result<Done> Instance::restart()
{
    closeSocket();
    const bool keepsState = role() == Role::Platform || role() == Role::Cloud;
    if (keepsState) {
        std::visit([](auto &server) { server.lifetime().set(LifeState::Alive); }, *m_role);
        return open();
    }
    std::visit([](auto &server) { server.lifetime().set(LifeState::Stopped); }, *m_role);
    advanceIncarnation(m_settings.m_role);
    m_role = makeServer();
    return open();
}

void Instance::setStarter(VmStarter starter)
{
    if (auto *cloud = std::get_if<CloudServer>(m_role.get()))
        cloud->setStarter(std::move(starter));
}

std::shared_ptr<Instance::Server> Instance::makeServer() const
{
    return std::visit(
            Overloaded{[&](const EngineSettings &settings) {
                           return std::make_shared<Server>(std::in_place_type<EngineServer>,
                                                           settings, m_clock);
                       },
                       [&](const ServiceSettings &settings) {
                           return std::make_shared<Server>(std::in_place_type<ServiceServer>,
                                                           settings);
                       },
                       [&](const PlatformSettings &settings) {
                           return std::make_shared<Server>(std::in_place_type<PlatformServer>,
                                                           settings, m_clock);
                       },
                       [&](const CloudSettings &settings) {
                           return std::make_shared<Server>(std::in_place_type<CloudServer>,
                                                           settings, m_clock, m_loop);
                       }},
            m_settings.m_role);
}

HttpReply Instance::answerDieCall(const HttpRequest &request)
{
    const Json body = parseJson(request.m_body);
    const std::string mode = body.is_object() ? textField(body, "mode", "stop") : "stop";
    if (mode == "exit")
        std::_Exit(killedExitCode);
    if (mode != "stop" && mode != "silent")
        return errorReply(400, "\"mode\" is exit, stop or silent");
    die(mode == "stop" ? LifeState::Stopped : LifeState::Silent);
    return jsonReply(200, Json::object());
}

void Instance::applyRefuseConnections()
{
    const auto fault = std::visit(
            [](auto &server) { return server.faults().take(FaultKind::RefuseConnections, ""); },
            *m_role);
    if (!fault || !isListening())
        return;
    closeSocket();
    if (fault->m_delay == Duration::zero())
        return;
    m_loop.spawn([this, delay = fault->m_delay] {
        sleepFiber(delay);
        if (!isListening())
            static_cast<void>(open());
    });
}

void Instance::closeSocket()
{
    if (!m_server)
        return;
    m_server->stopAccepting();
    m_closedServers.push_back(std::move(m_server));
}

} // namespace gypsumdale::standins
