#include "standins/fleet.hpp"

#include "standins/buffered_responder.hpp"

#include <fmt/format.h>

#include <algorithm> // find_if
#include <utility> // move

namespace gypsumdale::standins {

namespace {

constexpr std::string_view instancePrefix = "/instances/";

bool isUpstream(const InstanceSettings &instance)
{
    return std::holds_alternative<EngineSettings>(instance.m_role)
           || std::holds_alternative<ServiceSettings>(instance.m_role);
}

} // namespace

Fleet::Fleet(FleetSettings settings)
    : m_settings(std::move(settings))
{
    for (int number = 0; number < m_settings.m_loops; ++number)
        m_loops.push_back(std::make_unique<FiberLoop>(fmt::format("standin-{}", number)));
}

Fleet::~Fleet()
{
    stop();
}

Result<Done> Fleet::start()
{
    for (const auto &loop : m_loops)
        loop->start();
    if (auto opened = openInstances(); !succeeded(opened))
        return opened;
    if (m_settings.m_control.m_address.empty())
        return Done{};
    return openControl();
}

void Fleet::stop()
{
    for (const auto &loop : m_loops)
        loop->stop();
}

std::vector<std::string> Fleet::describe()
{
    return m_loops.front()->call([this] {
        std::vector<std::string> lines;
        for (const auto &[name, instance] : m_instances) {
            lines.push_back(
                    fmt::format("instance {} {} {}:{}", name, enumName(roleNames, instance->role()),
                                instance->endpoint().m_address, instance->endpoint().m_port));
        }
        return lines;
    });
}

Result<Done> Fleet::openInstances()
{
    // Clouds are opened last, when the ports of the instances that they list are known.
    for (const bool clouds : {false, true}) {
        if (clouds)
            listInCloud();
        for (const InstanceSettings &settings : m_settings.m_instances) {
            if (std::holds_alternative<CloudSettings>(settings.m_role) != clouds)
                continue;
            const auto added = m_loops.front()->call([&] { return add(settings); });
            if (!succeeded(added))
                return errorOf(added);
        }
    }
    return Done{};
}

Result<Done> Fleet::openControl()
{
    auto built = HttpServerBuilder()
                         .listenOn(m_settings.m_control.m_address, m_settings.m_control.m_port)
                         .runOn({m_loops.front().get()})
                         .handleWith([this](const HttpRequest &request, HttpResponder &responder) {
                             responder.send(answer(request));
                         })
                         .build();
    if (!succeeded(built))
        return errorOf(built);
    m_server = std::make_unique<HttpServer>(valueOf(std::move(built)));
    m_control = {m_settings.m_control.m_address, m_server->port()};
    return Done{};
}

Result<Endpoint> Fleet::add(InstanceSettings settings)
{
    // A cloud adds instances, so it runs on the first loop, which owns the map of instances.
    const bool isCloud = std::holds_alternative<CloudSettings>(settings.m_role);
    FiberLoop &loop = isCloud ? *m_loops.front() : *m_loops[m_nextLoop++ % m_loops.size()];
    const std::string name = settings.m_name;
    auto instance = std::make_unique<Instance>(std::move(settings), m_clock, loop);
    instance->setStarter([this](const Vm &vm) { return startRented(vm); });
    const auto opened = loop.call([&] { return instance->open(); });
    if (!succeeded(opened))
        return errorOf(opened);
    const Endpoint endpoint = instance->endpoint();
    m_instances[name] = std::move(instance);
    return endpoint;
}

void Fleet::listInCloud()
{
    std::vector<Vm> vms;
    for (const auto &[name, instance] : m_instances) {
        Vm vm = instance->settings().m_vm;
        if (vm.m_zone.empty() || !isUpstream(instance->settings()))
            continue;
        vm.m_port = instance->endpoint().m_port;
        vms.push_back(std::move(vm));
    }
    for (InstanceSettings &settings : m_settings.m_instances) {
        if (auto *cloud = std::get_if<CloudSettings>(&settings.m_role))
            cloud->m_vms.insert(cloud->m_vms.end(), vms.begin(), vms.end());
    }
}

std::optional<std::uint16_t> Fleet::startRented(const Vm &vm)
{
    const auto &known = m_settings.m_instances;
    const auto model = std::find_if(known.begin(), known.end(), [&](const auto &instance) {
        return isUpstream(instance) && instance.m_vm.m_service == vm.m_service;
    });
    if (model == known.end())
        return std::nullopt;
    InstanceSettings settings = *model;
    settings.m_name = vm.m_id;
    settings.m_listen.m_port = 0;
    settings.m_vm = vm;
    const auto added = add(std::move(settings));
    if (!succeeded(added))
        return std::nullopt;
    return valueOf(added).m_port;
}

HttpReply Fleet::answer(const HttpRequest &request)
{
    const std::string_view path = request.path();
    if (path == "/instances")
        return listInstances();
    if (!path.starts_with(instancePrefix))
        return errorReply(404, "no such call");
    const std::string_view rest = path.substr(instancePrefix.size());
    const auto slash = rest.find('/');
    const auto found = m_instances.find(std::string(rest.substr(0, slash)));
    if (found == m_instances.end() || slash == std::string_view::npos)
        return errorReply(404, "no such instance");
    if (rest.substr(slash) == "/restart")
        return reopen(*found->second);
    HttpRequest forwarded = request;
    forwarded.m_target = request.m_target.substr(instancePrefix.size() + slash);
    return forward(*found->second, std::move(forwarded));
}

HttpReply Fleet::listInstances()
{
    Json instances = Json::array();
    for (const auto &[name, instance] : m_instances) {
        instances.push_back({{"name", name},
                             {"role", enumName(roleNames, instance->role())},
                             {"address", instance->endpoint().m_address},
                             {"port", instance->endpoint().m_port},
                             {"listening", instance->isListening()}});
    }
    return jsonReply(200, {{"instances", std::move(instances)}});
}

HttpReply Fleet::forward(Instance &instance, HttpRequest request)
{
    return instance.loop().call([&instance, request = std::move(request)] {
        BufferedResponder responder;
        instance.handle(request, responder);
        return responder.reply();
    });
}

HttpReply Fleet::reopen(Instance &instance)
{
    const auto opened = instance.loop().call([&instance] { return instance.restart(); });
    return succeeded(opened) ? jsonReply(200, Json::object())
                             : errorReply(503, errorOf(opened).m_text);
}

} // namespace gypsumdale::standins
