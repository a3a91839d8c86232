#pragma once

#include "support/process_fleet.hpp"

namespace gypsumdale::testing {

// The fleet's settings files. Credentials are those of the samples, for tests only.

inline const std::string stockLookupYaml = R"(latency:
  first-token: 500ms
  deadline: 8s
durability: none
repeat: once
priority: 1
services: [trade-app]
)";

inline const std::string partMatchYaml = R"(latency:
  first-token: 1s
  deadline: 40s
durability: none
repeat: repeatable
priority: 1
services: [gypsum-llm]
)";

inline const std::string quoteDraftYaml = R"(latency:
  first-token: 2s
  deadline: 2m
durability: job
repeat: repeatable
priority: 6
checkpoint-tokens: 16
services: [gypsum-llm]
)";

inline const std::string aliceYaml =
        "weight: 1\nkey-hashes:\n"
        "  - 5dac7bbc60d7c8671810df6b5ae2147168ff31873bfb5481692b7fea07c8a8bc\n";
inline const std::string bobYaml =
        "weight: 1\nkey-hashes:\n"
        "  - 4c5f5f3a16d712e5935e75ce056f99cef28e5760bab087cdbc5fff5b09c541f7\n";

inline std::string fleetYaml(const std::vector<std::string> &zones)
{
    std::string text = "data-centres:\n";
    for (const std::string &zone : zones)
        text += fmt::format("  - name: {}\n    region: mittelland\n", zone);
    return text + R"(services:
  - name: gypsum-llm
    kind: model
    concurrency: 8
  - name: trade-app
    kind: plain
    concurrency: 16
drain:
  readiness-lead: 200ms
  node: 20s
  upstream: 20s
)";
}

inline void ProcessFleet::plan()
{
    m_engines.clear();
    m_services.clear();
    m_nodes.clear();
    m_controlPort = freePort();
    m_platformPort = freePort();
    m_cloudPort = freePort();
    for (const std::string &zone : m_plan.m_zones) {
        const std::string letter = zone.substr(zone.size() - 1);
        for (int number = 1; number <= 2; ++number) {
            m_nodes.push_back({fmt::format("node-{}-{}", letter, number), zone, freePort(),
                               freePort(), freePort(), nullptr});
            m_engines.push_back(fmt::format("gpu-{}-{}", letter, number));
        }
        m_services.push_back("app-" + letter);
    }
}

inline std::string ProcessFleet::standinsJson()
{
    using Json = nlohmann::json;
    const auto at = [](std::uint16_t port) {
        return fmt::format("127.0.0.1:{}", port);
    };
    Json instances = {{{"role", "platform"}, {"name", "platform"}, {"listen", at(m_platformPort)}},
                      {{"role", "cloud"}, {"name", "cloud"}, {"listen", at(m_cloudPort)}}};
    m_upstreamsYaml = "upstreams:\n";
    const auto declare = [&](const std::string &vm, const std::string &zone,
                             const std::string &service, std::uint16_t port) {
        m_upstreamsYaml += fmt::format("  - name: up-{}\n    service: {}\n    data-centre: {}\n"
                                       "    address: {}\n    vm: {}\n    slots: 8\n",
                                       vm, service, zone, at(port), vm);
    };
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        const std::string &zone = m_plan.m_zones[index / 2];
        const std::uint16_t port = freePort();
        instances.push_back({{"role", "engine"},
                             {"name", m_engines[index]},
                             {"listen", at(port)},
                             {"zone", zone},
                             {"class", "gpu-small"},
                             {"model", "gypsum-llm"},
                             {"slots", 8},
                             {"tokenMillis", m_plan.m_tokenMillis},
                             {"tokenGrowthMillis", 0}});
        declare(m_engines[index], zone, "gypsum-llm", port);
    }
    for (std::size_t index = 0; index < m_services.size(); ++index) {
        const std::string &zone = m_plan.m_zones[index];
        const std::uint16_t port = freePort();
        instances.push_back({{"role", "service"},
                             {"name", m_services[index]},
                             {"listen", at(port)},
                             {"zone", zone},
                             {"class", "small"},
                             {"service", "trade-app"},
                             {"delayMillis", m_plan.m_serviceMillis}});
        declare(m_services[index], zone, "trade-app", port);
    }
    // The cloud knows an entry VM by the node's name.
    for (const Node &node : m_nodes)
        instances.push_back({{"role", "service"},
                             {"name", node.m_name},
                             {"listen", at(freePort())},
                             {"zone", node.m_zone},
                             {"class", "small"},
                             {"service", "entry"}});
    return Json{{"control", at(m_controlPort)}, {"loops", 2}, {"instances", instances}}.dump();
}

inline std::string ProcessFleet::nodeYaml(const Node &self) const
{
    std::string text = fmt::format(
            "node: {}\ndata-centre: {}\nregion: mittelland\ncaller-listen: 127.0.0.1:{}\n"
            "admin-listen: 127.0.0.1:{}\npeer-listen: 127.0.0.1:{}\nplatform: 127.0.0.1:{}\n"
            "cloud: 127.0.0.1:{}\noperator-hashes:\n"
            "  - b33edd11a90e31c4a4959d2cc8e0d66b4941df60b1f99dc206892ae3d7337a5b\n"
            "peer-secret:\n  text: wholesale-sample-peer-secret\ntraffic-threads: 2\n"
            "once-shards: 4\npeers:\n",
            self.m_name, self.m_zone, self.m_callerPort, self.m_adminPort, self.m_peerPort,
            m_platformPort, m_cloudPort);
    for (const Node &node : m_nodes) {
        if (&node != &self)
            text += fmt::format("  - node: {}\n    data-centre: {}\n    address: 127.0.0.1:{}\n",
                                node.m_name, node.m_zone, node.m_peerPort);
    }
    return text + m_upstreamsYaml;
}

inline bool ProcessFleet::bringUp()
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    plan();
    write("standins.json", standinsJson());
    m_standins = std::make_unique<ChildProcess>(
            binary("gypsumdale-standin"),
            std::vector<std::string>{"--role", "fleet", "--config", path("standins.json")},
            path("standins.log"));
    waitUntil("the stand-ins listen", [&] {
        return m_standins->exited() || call(m_controlPort, "GET", "/instances").m_status == 200;
    });
    for (Node &node : m_nodes) {
        write(node.m_name + ".yaml", nodeYaml(node));
        start(node);
    }
    bool isUp = !m_standins->exited();
    waitUntil("all nodes are ready", [&] {
        isUp = isUp && std::ranges::none_of(m_nodes, [](Node &node) {
                   return node.m_process->exited();
               });
        return !isUp || std::ranges::all_of(m_nodes, [&](Node &node) { return isReady(node); });
    });
    if (isUp)
        applySettings();
    return isUp;
}

inline void ProcessFleet::applySettings()
{
    const std::vector<std::pair<std::string, std::string>> objects{
            {"fleet/settings", fleetYaml(m_plan.m_zones)},
            {"profile/stock-lookup", stockLookupYaml},
            {"profile/part-match", partMatchYaml},
            {"profile/quote-draft", quoteDraftYaml},
            {"member/huber-schrauben", aliceYaml},
            {"member/keller-befestigung", bobYaml}};
    for (const auto &[name, body] : objects) {
        const Answer answer = putConfig(m_nodes.front(), name, 0, body);
        if (answer.m_status != 200)
            FAIL(name << ": " << answer.m_status << " " << answer.m_body);
    }
    for (const Node &node : m_nodes) {
        waitUntil(node.m_name + " has the settings",
                  [&] { return show(node, "config")["objects"].size() == objects.size(); });
        waitUntilComplete(node);
    }
}

} // namespace gypsumdale::testing
