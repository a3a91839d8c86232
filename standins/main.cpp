#include "standins/fleet.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal> // pthread_sigmask, sigwait
#include <cstdio> // fflush, stderr
#include <fstream> // ifstream
#include <iterator> // istreambuf_iterator
#include <string> // string
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::standins;

namespace {

constexpr int failedExitCode = 1;
constexpr int usageExitCode = 2;

cxxopts::Options commandLine()
{
    cxxopts::Options options("gypsumdale-standin",
                             "Plays model engines, plain services, the platform and the cloud.");
    auto add = options.add_options();
    add("role", "engine, service, platform, cloud or fleet", cxxopts::value<std::string>());
    add("listen", "ADDRESS:PORT; port 0 takes any",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("control", "ADDRESS:PORT of the control calls", cxxopts::value<std::string>());
    add("config", "configuration of a fleet", cxxopts::value<std::string>());
    add("set", "KEY=VALUE, a setting of the role; repeatable",
        cxxopts::value<std::vector<std::string>>());
    add("help", "print this help");
    return options;
}

Result<Json> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return Error{ErrorId::SettingsUnreadable, fmt::format("can't read '{}'", path)};
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    Json json = parseJson(text);
    if (json.is_discarded())
        return Error{ErrorId::SettingsSyntax, fmt::format("'{}' is not JSON", path)};
    return json;
}

Json settingValue(const std::string &text)
{
    Json value = Json::parse(text, nullptr, false);
    return value.is_discarded() ? Json(text) : value;
}

Json describeInstance(const cxxopts::ParseResult &parsed)
{
    Json instance = {{"role", parsed["role"].as<std::string>()},
                     {"listen", parsed["listen"].as<std::string>()}};
    if (parsed.count("set") == 0)
        return instance;
    for (const std::string &setting : parsed["set"].as<std::vector<std::string>>()) {
        const auto equals = setting.find('=');
        if (equals != std::string::npos)
            instance[setting.substr(0, equals)] = settingValue(setting.substr(equals + 1));
    }
    return instance;
}

Result<FleetSettings> readSettings(const cxxopts::ParseResult &parsed)
{
    if (parsed["role"].as<std::string>() == "fleet") {
        const auto json = readFile(parsed["config"].as<std::string>());
        return succeeded(json) ? readFleet(valueOf(json)) : errorOf(json);
    }
    auto instances = readInstances(describeInstance(parsed));
    if (!succeeded(instances))
        return errorOf(instances);
    FleetSettings fleet;
    fleet.m_instances = valueOf(std::move(instances));
    if (parsed.count("control") == 0)
        return fleet;
    auto control = readEndpoint(parsed["control"].as<std::string>());
    if (!succeeded(control))
        return errorOf(control);
    fleet.m_control = valueOf(std::move(control));
    return fleet;
}

void announce(Fleet &fleet)
{
    const auto lines = fleet.describe();
    const bool hasControl = !fleet.control().m_address.empty();
    if (hasControl) {
        for (const std::string &line : lines)
            fmt::print("{}\n", line);
        fmt::print("listening {}:{}\n", fleet.control().m_address, fleet.control().m_port);
    } else {
        const std::string &line = lines.front();
        fmt::print("listening {}\n", line.substr(line.rfind(' ') + 1));
    }
    std::fflush(stdout);
}

int run(const FleetSettings &settings)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    Fleet fleet(settings);
    if (const auto started = fleet.start(); !succeeded(started)) {
        fmt::print(stderr, "{}\n", errorOf(started).m_text);
        return failedExitCode;
    }
    announce(fleet);
    int signal = 0;
    sigwait(&signals, &signal);
    fleet.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options = commandLine();
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0 || parsed.count("role") == 0) {
            fmt::print("{}", options.help());
            return parsed.count("help") != 0 ? 0 : usageExitCode;
        }
        const auto settings = readSettings(parsed);
        if (!succeeded(settings)) {
            fmt::print(stderr, "{}\n", errorOf(settings).m_text);
            return usageExitCode;
        }
        return run(valueOf(settings));
    } catch (const cxxopts::exceptions::exception &failure) {
        fmt::print(stderr, "{}\n", failure.what());
        return usageExitCode;
    }
}
