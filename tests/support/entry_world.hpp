#pragma once

#include "support/child_process.hpp"
#include "support/entry_stand_ins.hpp"
#include "support/fault_proxy.hpp"

#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_client.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono> // steady_clock
#include <csignal> // signal, SIGPIPE
#include <cstdlib> // getenv
#include <filesystem> // create_directories, remove_all
#include <fstream> // ifstream, ofstream
#include <functional> // function
#include <ios> // ios
#include <iterator> // istreambuf_iterator
#include <map> // map
#include <memory> // unique_ptr
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale::testing {

/// Only limits hangs; no verdict depends on it.
inline constexpr Duration entryHangGuard = std::chrono::seconds(30);

/// Answer that a caller received; status 0 if the connection ended first.
struct EntryAnswer
{
    int m_status = 0;
    HttpHeaders m_headers;
    std::string m_body;
};

/// Entry processes in front of upstreams of one service, with a store, on loopback.
class EntryWorld
{
public:
    /// With proxies, processes reach the store, the upstreams and each other through links that can
    /// be disturbed. `leavingApply` is the time after which a leaving upstream must not be used any
    /// more; nothing selects the default. There is one upstream for each software version in
    /// `versions`. `retrySlack` is the part of the retry budget that doesn't depend on requests;
    /// nothing selects the default. With duties, one of the VMs performs those of the fleet, at a
    /// cloud that doesn't answer.
    explicit EntryWorld(int nodes = 1, bool hasProxies = false,
                        std::optional<std::chrono::milliseconds> leavingApply = std::nullopt,
                        const std::vector<std::string> &versions = {"v1", "v1"},
                        std::optional<int> retrySlack = std::nullopt, bool hasDuties = false)
        : m_loop("test")
        , m_client(m_loop)
        , m_leavingApply(leavingApply)
        , m_retrySlack(retrySlack)
        , m_cloudPort(hasDuties ? std::optional(freePort()) : std::nullopt)
    {
        std::signal(SIGPIPE, SIG_IGN);
        m_loop.start();
        m_folder = std::filesystem::temp_directory_path()
                   / fmt::format("gypsumdale-entry-{}-{}", getpid(), freePort());
        std::filesystem::create_directories(m_folder);
        m_store = std::make_unique<StoreStandIn>(m_loop);
        for (const std::string &version : versions) {
            const std::string id = fmt::format("u-{}", m_upstreams.size() + 1);
            m_versions[id] = version;
            m_upstreams.push_back(std::make_unique<UpstreamStandIn>(m_loop, id));
            if (hasProxies)
                m_upstreamLinks[id] = std::make_unique<FaultProxy>(m_upstreams.back()->port());
            announce(*m_upstreams.back(), "ready");
        }
        configure(1, {"key"});
        for (int node = 0; node < nodes; ++node) {
            m_nodes.push_back(planNode(node));
            if (hasProxies)
                addLinks(m_nodes.back());
        }
        for (EntryNode &node : m_nodes)
            start(node);
        for (const EntryNode &node : m_nodes)
            waitUntil("ready", [&] { return isReady(node); });
    }

    ~EntryWorld()
    {
        if (std::uncaught_exceptions() > 0) {
            for (const EntryNode &node : m_nodes)
                fmt::print("--- {}\n{}\n", node.m_name, log(node));
        }
        m_nodes.clear();
        m_loop.stop();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    struct EntryNode
    {
        std::string m_name;
        std::uint16_t m_callerPort = 0;
        std::uint16_t m_readyPort = 0;
        std::uint16_t m_peerPort = 0;
        std::uint16_t m_relayPort = 0;
        std::uint16_t m_metricsPort = 0;
        std::unique_ptr<ChildProcess> m_process;
        /// Set where links can be disturbed: the link to the store, and the one on which peers
        /// reach this node.
        std::unique_ptr<FaultProxy> m_storeLink;
        std::unique_ptr<FaultProxy> m_peerLink;
    };

    StoreStandIn &store() { return *m_store; }
    FaultProxy &upstreamLink(std::size_t index)
    {
        return *m_upstreamLinks.at(upstream(index).id());
    }
    UpstreamStandIn &upstream(std::size_t index) { return *m_upstreams.at(index); }
    /// Gives a VM paths of its own to all upstreams, which can be cut for it alone. The VMs must
    /// have been created with proxies.
    void separatePaths(std::size_t index)
    {
        const std::string &name = node(index).m_name;
        for (const auto &upstream : m_upstreams) {
            auto &path =
                    m_ownPaths[name].emplace_back(std::make_unique<FaultProxy>(upstream->port()));
            m_store->replaceAddressFor(name, addressOf(portTo(*upstream)), addressOf(path->port()));
        }
        std::int64_t revision = 0;
        for (const auto &upstream : m_upstreams)
            revision = announce(*upstream, "ready");
        waitUntil("the paths are in use",
                  [&] { return m_store->receivedUpstreamRevision(name) >= revision; });
    }
    /// Returns a VM's own paths, by upstream.
    const std::vector<std::unique_ptr<FaultProxy>> &pathsOf(std::size_t index)
    {
        return m_ownPaths.at(node(index).m_name);
    }
    void setNewConnections(std::size_t index, NewConnections mode)
    {
        for (const auto &path : pathsOf(index))
            path->setNewConnections(mode);
    }
    /// Lets the test replace the behaviour of all upstreams.
    void behave(const UpstreamStandIn::Behaviour &behaviour)
    {
        for (const auto &upstream : m_upstreams)
            upstream->behave(behaviour);
    }
    std::size_t upstreamCount() const { return m_upstreams.size(); }
    const std::string &versionOf(const UpstreamStandIn &upstream) const
    {
        return m_versions.at(upstream.id());
    }
    EntryNode &node(std::size_t index = 0) { return m_nodes.at(index); }
    std::size_t nodeCount() const { return m_nodes.size(); }

    /// Writes an upstream's entry, with the start of its process as a wall time if there is one.
    /// Returns the entry's revision.
    std::int64_t announce(const UpstreamStandIn &upstream, const std::string &state,
                          std::int64_t startedAt = 0)
    {
        Json entry = {{"service", "app"}, {"address", addressOf(portTo(upstream))},
                      {"zone", "here"},   {"version", versionOf(upstream)},
                      {"slots", 8},       {"state", state}};
        if (startedAt > 0)
            entry["born"] = startedAt;
        return m_store->put("servers", upstream.id(), entry);
    }

    /// Writes a configuration version with four routes: one whose requests may be repeated, one for
    /// requests that run at most once, and one each for streams that may not and that may be
    /// resumed; and with `furtherRoutes` more. Running requests can be moved between the upstreams.
    void configure(int version, const std::vector<std::string> &keys, int furtherRoutes = 0)
    {
        m_store->put("config", "main", configuration(version, keys, furtherRoutes));
    }

    /// Writes a configuration version with the same routes, without runs that can be moved: streams
    /// that may not be resumed are then passed on as they come. Waits until all VMs use it.
    void configureWithoutMoves(int version)
    {
        Json config = configuration(version, {"key"});
        config["services"][0].erase("engine");
        m_store->put("config", "main", config);
        const std::string text = fmt::format("\"config_version\":{}", version);
        for (const EntryNode &node : m_nodes)
            waitUntil("it is used", [&] { return fullLog(node).find(text) != std::string::npos; });
    }

    static Json configuration(int version, const std::vector<std::string> &keys,
                              int furtherRoutes = 0)
    {
        const auto route = [](const char *prefix, const char *kind, int attempts, bool resumes) {
            return Json{{"name", prefix},   {"hostname", "h.example"},  {"path-prefix", prefix},
                        {"kind", kind},     {"timeout-ms", 5000},       {"target-latency-ms", 500},
                        {"service", "app"}, {"max-attempts", attempts}, {"stream-resume", resumes},
                        {"public", false}};
        };
        Json routes = {route("/again/", "idempotent", 2, false),
                       route("/once/", "non_idempotent", 2, false),
                       route("/draft/", "streaming", 2, false),
                       route("/stream/", "streaming", 2, true)};
        for (int number = 0; number < furtherRoutes; ++number) {
            const std::string prefix = fmt::format("/further-{}/{:0>150}/", number, number);
            routes.push_back(route(prefix.c_str(), "idempotent", 2, false));
        }
        return {{"version", version},
                {"routes", routes},
                {"services",
                 {{{"name", "app"},
                   {"max-connections", 100},
                   {"engine", {{"slots", 8}, {"moves", true}}}}}},
                {"limits", Json::object()},
                {"tenants",
                 {{{"name", "huber"}, {"api-keys", keys}},
                  {{"name", "meier"},
                   {"api-keys", {limitedKey}},
                   {"rate-per-s", limitedRate},
                   {"burst", limitedBurst}}}}};
    }

    /// Key of an account with a quota, and that quota.
    static constexpr const char *limitedKey = "limited-key";
    static constexpr int limitedRate = 10;
    static constexpr int limitedBurst = 10;

    EntryAnswer call(const EntryNode &node, const std::string &target, const std::string &id,
                     const std::string &key = "key")
    {
        return ask(node, target, id, key, 5000, {});
    }

    /// Calls on a connection that was used before, if there is one.
    EntryAnswer callAgain(const EntryNode &node, const std::string &target, const std::string &id,
                          const std::string &key)
    {
        return ask(node, target, id, key, 5000, {}, true);
    }

    /// Sends a request with a body, whose caller waits for `deadlineMillis`.
    EntryAnswer callWith(const EntryNode &node, const std::string &target, const std::string &id,
                         const std::string &body, int deadlineMillis)
    {
        return ask(node, target, id, "key", deadlineMillis, {}, false, body);
    }

    /// The same for a request whose prompt consists of parts, such as "5c1e:800,91bd:410".
    EntryAnswer askParts(const EntryNode &node, const std::string &target, const std::string &id,
                         const std::string &body, const std::string &parts, int deadlineMillis)
    {
        return ask(node, target, id, "key", deadlineMillis, "100,20", false, body, parts);
    }

    /// Sends a request with a prompt, whose caller waits for `deadlineMillis`.
    EntryAnswer askPrompt(const EntryNode &node, const std::string &target, const std::string &id,
                          int promptTokens, int deadlineMillis)
    {
        return ask(node, target, id, "key", deadlineMillis, fmt::format("{},20", promptTokens));
    }

private:
    EntryAnswer ask(const EntryNode &node, const std::string &target, const std::string &id,
                    const std::string &key, int deadlineMillis, const std::string &tokenUsage,
                    bool usesRetained = false, const std::string &body = "body",
                    const std::string &parts = {})
    {
        HttpCall call;
        call.m_endpoint = {"127.0.0.1", node.m_callerPort};
        call.m_method = "POST";
        call.m_target = target;
        call.m_headers.add("Host", "h.example");
        call.m_headers.add("Gypsumdale-Request-Id", id);
        call.m_headers.add("Gypsumdale-Deadline-Ms", std::to_string(deadlineMillis));
        if (!tokenUsage.empty())
            call.m_headers.add("Gypsumdale-Token-Usage", tokenUsage);
        if (!parts.empty())
            call.m_headers.add("Gypsumdale-Prompt-Prefix", parts);
        call.m_headers.add("Authorization", "Bearer " + key);
        call.m_body = body;
        call.m_requiresNewConnection = !usesRetained;
        call.m_headerTimeout = entryHangGuard;
        call.m_silenceTimeout = entryHangGuard;
        return m_loop.call([&] { return read(call); });
    }

public:
    EntryAnswer get(std::uint16_t port, const std::string &target)
    {
        HttpCall call;
        call.m_endpoint = {"127.0.0.1", port};
        call.m_target = target;
        call.m_requiresNewConnection = true;
        return m_loop.call([&] { return read(call); });
    }

    EntryAnswer post(std::uint16_t port, const std::string &target)
    {
        HttpCall call;
        call.m_endpoint = {"127.0.0.1", port};
        call.m_method = "POST";
        call.m_target = target;
        call.m_requiresNewConnection = true;
        return m_loop.call([&] { return read(call); });
    }

    bool isReady(const EntryNode &node)
    {
        return get(node.m_readyPort, "/-/ready").m_status == 200;
    }

    void waitUntil(const std::string &what, const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + entryHangGuard;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                FAIL("waited in vain until " << what);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    /// Returns the file to which a process writes its log.
    std::string logPath(const EntryNode &node) const
    {
        return (m_folder / (node.m_name + ".log")).string();
    }

    /// Returns everything that a process has logged, for conditions on lines that may be long past.
    std::string fullLog(const EntryNode &node) const
    {
        std::ifstream file(logPath(node));
        return {std::istreambuf_iterator<char>(file), {}};
    }

    std::string log(const EntryNode &node) const { return tailOf(logPath(node)); }

    /// Changes the text of a process's settings but not their meaning, so that a reload reads them.
    void touchSettings(const EntryNode &node) const
    {
        std::ofstream((m_folder / (node.m_name + ".yaml")).string(), std::ios::app) << "# read\n";
    }

    void start(EntryNode &node)
    {
        const char *programs = std::getenv("GYPSUMDALE_BIN");
        REQUIRE(programs);
        const std::string settings = (m_folder / (node.m_name + ".yaml")).string();
        std::ofstream(settings) << settingsOf(node);
        if (node.m_storeLink)
            node.m_storeLink->resetAll();
        m_store->clearReceivedRevision(node.m_name);
        node.m_process = std::make_unique<ChildProcess>(
                std::string(programs) + "/gypsumdaled",
                std::vector<std::string>{"--entry", settings}, logPath(node));
    }

private:
    static EntryNode planNode(int number)
    {
        return {fmt::format("entry-{}", number),
                freePort(),
                freePort(),
                freePort(),
                freePort(),
                freePort(),
                nullptr,
                nullptr,
                nullptr};
    }

    void addLinks(EntryNode &node)
    {
        node.m_storeLink = std::make_unique<FaultProxy>(m_store->openPortFor(node.m_name));
        node.m_peerLink = std::make_unique<FaultProxy>(node.m_peerPort);
    }

    /// Returns the port at which peers reach a VM.
    static std::uint16_t peerPortOf(const EntryNode &node)
    {
        return node.m_peerLink ? node.m_peerLink->port() : node.m_peerPort;
    }

    std::string settingsOf(const EntryNode &node) const
    {
        std::string seeds;
        for (const EntryNode &seed : m_nodes)
            seeds += fmt::format("  - 127.0.0.1:{}\n", peerPortOf(seed));
        return fmt::format("node: {}\ndata-centre: here\nregion: here\n"
                           "caller-listen: 127.0.0.1:{}\nready-listen: 127.0.0.1:{}\n"
                           "peer-listen: 127.0.0.1:{}\npeer-advertise: 127.0.0.1:{}\n"
                           "relay-listen: 127.0.0.1:{}\nmetrics-listen: 127.0.0.1:{}\n"
                           "store: 127.0.0.1:{}\nseeds:\n{}data-centres: [here]\n"
                           "{}first-start: {}\nbounds:\n  shutdown-grace: 6s\n{}{}",
                           node.m_name, node.m_callerPort, node.m_readyPort, node.m_peerPort,
                           peerPortOf(node), node.m_relayPort, node.m_metricsPort,
                           node.m_storeLink ? node.m_storeLink->port() : m_store->port(), seeds,
                           cloudSetting(), node.m_process == nullptr, leavingTimeoutSetting(),
                           retrySetting());
    }

    static std::string addressOf(std::uint16_t port) { return fmt::format("127.0.0.1:{}", port); }

    std::string cloudSetting() const
    {
        return m_cloudPort ? fmt::format("cloud: 127.0.0.1:{}\n", *m_cloudPort) : std::string();
    }

    std::string leavingTimeoutSetting() const
    {
        return m_leavingApply ? fmt::format("  leaving-apply: {}ms\n", m_leavingApply->count())
                              : std::string();
    }

    std::string retrySetting() const
    {
        return m_retrySlack ? fmt::format("  retry-slack: {}\n", *m_retrySlack) : std::string();
    }

    /// Returns the port at which processes reach an upstream.
    std::uint16_t portTo(const UpstreamStandIn &upstream) const
    {
        const auto link = m_upstreamLinks.find(upstream.id());
        return link == m_upstreamLinks.end() ? upstream.port() : link->second->port();
    }

    EntryAnswer read(const HttpCall &call)
    {
        auto result = m_client.call(call);
        const auto *reply = std::get_if<HttpReply>(&result);
        if (!reply)
            return {};
        return {reply->m_status, reply->m_headers, reply->m_body};
    }

    FiberLoop m_loop;
    HttpClient m_client;
    std::optional<std::chrono::milliseconds> m_leavingApply;
    std::optional<int> m_retrySlack;
    std::optional<std::uint16_t> m_cloudPort;
    std::filesystem::path m_folder;
    std::unique_ptr<StoreStandIn> m_store;
    std::vector<std::unique_ptr<UpstreamStandIn>> m_upstreams;
    /// Software versions, by upstream.
    std::map<std::string, std::string> m_versions;
    /// By upstream; empty where links can't be disturbed.
    std::map<std::string, std::unique_ptr<FaultProxy>> m_upstreamLinks;
    /// By VM.
    std::map<std::string, std::vector<std::unique_ptr<FaultProxy>>> m_ownPaths;
    std::vector<EntryNode> m_nodes;
};

} // namespace gypsumdale::testing
