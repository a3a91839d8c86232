#pragma once

#include "support/child_process.hpp"
#include "support/fault_proxy.hpp"

#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_client.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm> // max
#include <atomic> // atomic
#include <chrono> // steady_clock
#include <csignal> // signal, SIGPIPE
#include <cstdlib> // getenv
#include <filesystem> // create_directories, remove_all
#include <fstream> // ifstream, ofstream
#include <functional> // function
#include <iterator> // istreambuf_iterator
#include <map> // map
#include <memory> // unique_ptr
#include <mutex> // lock_guard, mutex
#include <string> // string
#include <vector> // vector

namespace gypsumdale::testing {

using Json = nlohmann::json;

/// Limits hangs only; no verdict depends on it.
inline constexpr Duration entryHangGuard = std::chrono::seconds(30);

/// The users' platform's store, small: objects by kind with conditional updates and watches. It can
/// be told to answer nobody. All calls are made on the loop's thread.
class StoreStandIn
{
public:
    explicit StoreStandIn(FiberLoop &loop)
        : m_loop(loop)
        , m_port(openPortFor({}))
    {}

    /// The port for everybody.
    std::uint16_t port() const { return m_port; }

    /// Returns a further port, whose callers are all one VM.
    std::uint16_t openPortFor(const std::string &node)
    {
        const std::uint16_t port = freePort();
        const auto handler = [this, node](const HttpRequest &request, HttpResponder &responder) {
            answer(node, request, responder);
        };
        m_servers.push_back(valueOf(HttpServerBuilder()
                                            .listenOn("127.0.0.1", port)
                                            .runOn({&m_loop})
                                            .handleWith(handler)
                                            .build()));
        return port;
    }

    /// Returns the revision of the object.
    std::int64_t put(const std::string &kind, const std::string &name, const Json &spec)
    {
        return m_loop.call([&] {
            store(kind, name, spec);
            return m_revision;
        });
    }

    /// Returns up to which revision a VM has taken in the upstreams: from there it has asked for
    /// changes.
    std::int64_t upstreamsTakenIn(const std::string &node)
    {
        const std::lock_guard lock(m_mutex);
        return m_takenIn[node];
    }
    /// Forgets it, for a process that begins.
    void forgetTakenIn(const std::string &node)
    {
        const std::lock_guard lock(m_mutex);
        m_takenIn[node] = 0;
    }

    void remove(const std::string &kind, const std::string &name)
    {
        m_loop.call([&] {
            m_events.push_back({++m_revision, kind, object(kind, name), true});
            m_objects[kind].erase(name);
        });
    }

    /// Turns callers away from now on, or serves them again.
    void refuse(bool refuses) { m_refuses = refuses; }

    /// Lets each removal of an object take so long from now on.
    void delayRemovals(Duration delay) { m_removalDelay = delay; }

    /// Lets each listing of objects take so long from now on.
    void delayListings(Duration delay) { m_listingDelay = delay; }

private:
    struct Event
    {
        std::int64_t m_revision;
        std::string m_kind;
        Json m_object;
        bool m_isRemoved;
    };
    struct Stored
    {
        std::int64_t m_revision = 0;
        Json m_spec;
    };

    Json object(const std::string &kind, const std::string &name)
    {
        const Stored &stored = m_objects[kind][name];
        return {{"metadata", {{"name", name}, {"revision", stored.m_revision}}},
                {"spec", stored.m_spec}};
    }

    Json store(const std::string &kind, const std::string &name, const Json &spec)
    {
        m_objects[kind][name] = {++m_revision, spec};
        m_events.push_back({m_revision, kind, object(kind, name), false});
        return object(kind, name);
    }

    static void send(HttpResponder &responder, int status, const Json &body = Json::object())
    {
        responder.send({status, {}, body.dump()});
    }

    void answer(const std::string &node, const HttpRequest &request, HttpResponder &responder)
    {
        constexpr std::string_view prefix = "/-/objects/";
        const std::string path(request.path());
        if (m_refuses || !path.starts_with(prefix)) {
            send(responder, 503);
            return;
        }
        const std::string rest = path.substr(prefix.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        const bool hasName = rest.find('/') != std::string::npos;
        const std::string name = hasName ? rest.substr(rest.find('/') + 1) : std::string();
        if (request.m_method == "GET" && hasName)
            answerOne(kind, name, responder);
        else if (request.m_method == "GET" && request.parameter("watch"))
            answerWatch(node, kind, request, responder);
        else if (request.m_method == "GET")
            answerList(kind, responder);
        else
            answerWrite(kind, name, request, responder);
    }

    void answerOne(const std::string &kind, const std::string &name, HttpResponder &responder)
    {
        if (m_objects[kind].contains(name))
            send(responder, 200, object(kind, name));
        else
            send(responder, 404);
    }

    void answerList(const std::string &kind, HttpResponder &responder)
    {
        sleepFiber(m_listingDelay);
        Json items = Json::array();
        for (const auto &[name, stored] : m_objects[kind])
            items.push_back(object(kind, name));
        send(responder, 200, {{"items", items}, {"has-more", false}, {"current-rev", m_revision}});
    }

    void noteTakenIn(const std::string &node, std::int64_t revision)
    {
        const std::lock_guard lock(m_mutex);
        m_takenIn[node] = std::max(m_takenIn[node], revision);
    }

    void answerWatch(const std::string &node, const std::string &kind, const HttpRequest &request,
                     HttpResponder &responder)
    {
        const std::int64_t since = std::stoll(*request.parameter("watch"));
        if (kind == "servers")
            noteTakenIn(node, since);
        const int wait = std::stoi(request.parameter("wait-ms").value_or("0"));
        Json events = Json::array();
        for (int waited = 0; events.empty() && waited <= wait && !m_refuses; waited += 10) {
            if (waited > 0)
                sleepFiber(std::chrono::milliseconds(10));
            for (const Event &event : m_events) {
                if (event.m_kind == kind && event.m_revision > since)
                    events.push_back({{"object", event.m_object}, {"removed", event.m_isRemoved}});
            }
        }
        send(responder, m_refuses ? 503 : 200, {{"events", events}, {"current-rev", m_revision}});
    }

    void answerWrite(const std::string &kind, const std::string &named, const HttpRequest &request,
                     HttpResponder &responder)
    {
        const Json body = Json::parse(request.m_body, nullptr, false);
        const std::string name =
                named.empty() ? body["metadata"].value("name", std::string()) : named;
        auto &objects = m_objects[kind];
        if (request.m_method == "DELETE") {
            sleepFiber(m_removalDelay);
            objects.erase(name);
            send(responder, 200);
            return;
        }
        const bool exists = objects.contains(name);
        const std::int64_t expected = body["metadata"].value("revision", std::int64_t(0));
        const bool isCreation = request.m_method == "POST";
        if (isCreation ? exists : expected != 0 && objects[name].m_revision != expected) {
            send(responder, 409, object(kind, name));
            return;
        }
        send(responder, 200, store(kind, name, body["spec"]));
    }

    FiberLoop &m_loop;
    std::atomic<bool> m_refuses = false;
    std::atomic<Duration> m_removalDelay = Duration::zero();
    std::atomic<Duration> m_listingDelay = Duration::zero();
    std::int64_t m_revision = 1;
    std::map<std::string, std::map<std::string, Stored>> m_objects;
    std::vector<Event> m_events;
    std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_takenIn;
    std::vector<HttpServer> m_servers;
    std::uint16_t m_port;
};

/// One upstream that signs its answers and echoes the request's id; a test may take its place for
/// single requests.
class UpstreamStandIn
{
public:
    using Behaviour = std::function<void(const HttpRequest &, HttpResponder &, HttpHeaders)>;

    UpstreamStandIn(FiberLoop &loop, std::string id)
        : m_id(std::move(id))
        , m_port(freePort())
        , m_server(valueOf(
                  HttpServerBuilder()
                          .listenOn("127.0.0.1", m_port)
                          .runOn({&loop})
                          .handleWith([this](const HttpRequest &request, HttpResponder &responder) {
                              answer(request, responder);
                          })
                          .build()))
    {}

    const std::string &id() const { return m_id; }
    std::uint16_t port() const { return m_port; }
    void behave(Behaviour behaviour)
    {
        const std::lock_guard lock(m_mutex);
        m_behaviour = std::move(behaviour);
    }
    std::vector<HttpRequest> seen() const
    {
        const std::lock_guard lock(m_mutex);
        return m_seen;
    }

private:
    void answer(const HttpRequest &request, HttpResponder &responder)
    {
        Behaviour behaviour;
        {
            const std::lock_guard lock(m_mutex);
            m_seen.push_back(request);
            behaviour = m_behaviour;
        }
        HttpHeaders headers;
        headers.add("Gypsumdale-Request-Id",
                    std::string(request.m_headers.value("Gypsumdale-Request-Id")));
        headers.add("Gypsumdale-Response-Signature", m_id);
        if (behaviour)
            behaviour(request, responder, headers);
        else
            responder.send({200, headers, "from " + m_id});
    }

    std::string m_id;
    std::uint16_t m_port;
    mutable std::mutex m_mutex;
    Behaviour m_behaviour;
    std::vector<HttpRequest> m_seen;
    HttpServer m_server;
};

/// What a caller got; status 0 if the connection ended first.
struct EntryAnswer
{
    int m_status = 0;
    HttpHeaders m_headers;
    std::string m_body;
};

/// Entry processes in front of two upstreams of one service, with a store, on loopback.
class EntryWorld
{
public:
    /// With proxies, processes reach the store, the upstreams and each other through links that can
    /// be harmed.
    explicit EntryWorld(int nodes = 1, bool hasProxies = false)
        : m_loop("test")
        , m_client(m_loop)
    {
        std::signal(SIGPIPE, SIG_IGN);
        m_loop.start();
        m_folder = std::filesystem::temp_directory_path()
                   / fmt::format("gypsumdale-entry-{}-{}", getpid(), freePort());
        std::filesystem::create_directories(m_folder);
        m_store = std::make_unique<StoreStandIn>(m_loop);
        for (const char *id : {"u-1", "u-2"}) {
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
        std::uint16_t m_metricsPort = 0;
        std::unique_ptr<ChildProcess> m_process;
        /// Set where links can be harmed: the one to the store, and the one on which peers reach
        /// it.
        std::unique_ptr<FaultProxy> m_storeLink;
        std::unique_ptr<FaultProxy> m_peerLink;
    };

    StoreStandIn &store() { return *m_store; }
    FaultProxy &upstreamLink(std::size_t index)
    {
        return *m_upstreamLinks.at(upstream(index).id());
    }
    UpstreamStandIn &upstream(std::size_t index) { return *m_upstreams.at(index); }
    /// Lets the test take the place of all upstreams.
    void behave(const UpstreamStandIn::Behaviour &behaviour)
    {
        for (const auto &upstream : m_upstreams)
            upstream->behave(behaviour);
    }
    EntryNode &node(std::size_t index = 0) { return m_nodes.at(index); }
    std::size_t nodeCount() const { return m_nodes.size(); }

    /// Writes an upstream's entry, with the start of its process as a wall time if there is one.
    /// Returns the entry's revision.
    std::int64_t announce(const UpstreamStandIn &upstream, const std::string &state,
                          std::int64_t startedAt = 0)
    {
        Json entry = {{"service", "app"},
                      {"address", fmt::format("127.0.0.1:{}", portTo(upstream))},
                      {"zone", "here"},
                      {"slots", 8},
                      {"state", state}};
        if (startedAt > 0)
            entry["born"] = startedAt;
        return m_store->put("servers", upstream.id(), entry);
    }

    /// Writes a version with four routes: may repeat, at most once, and streams that may not and
    /// that may be resumed, and so many further ones. The upstreams' runs can be moved.
    void configure(int version, const std::vector<std::string> &keys, int furtherRoutes = 0)
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
        m_store->put("config", "main",
                     {{"version", version},
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
                         {"burst", limitedBurst}}}}});
    }

    /// The key of an account with a quota, and what it is.
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

    /// Sends a request with a prompt, whose caller waits for so long.
    EntryAnswer askPrompt(const EntryNode &node, const std::string &target, const std::string &id,
                          int promptTokens, int deadlineMillis)
    {
        return ask(node, target, id, "key", deadlineMillis, fmt::format("{},20", promptTokens));
    }

private:
    EntryAnswer ask(const EntryNode &node, const std::string &target, const std::string &id,
                    const std::string &key, int deadlineMillis, const std::string &tokenUsage,
                    bool usesKept = false)
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
        call.m_headers.add("Authorization", "Bearer " + key);
        call.m_body = "body";
        call.m_freshConnection = !usesKept;
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
        call.m_freshConnection = true;
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

    /// Returns all that a process has logged, for conditions on lines that may be long past.
    std::string wholeLog(const EntryNode &node) const
    {
        std::ifstream file((m_folder / (node.m_name + ".log")).string());
        return {std::istreambuf_iterator<char>(file), {}};
    }

    std::string log(const EntryNode &node) const
    {
        return tailOf((m_folder / (node.m_name + ".log")).string());
    }

    void start(EntryNode &node)
    {
        const char *programs = std::getenv("GYPSUMDALE_BIN");
        REQUIRE(programs);
        const std::string settings = (m_folder / (node.m_name + ".yaml")).string();
        std::ofstream(settings) << settingsOf(node);
        if (node.m_storeLink)
            node.m_storeLink->resetAll();
        m_store->forgetTakenIn(node.m_name);
        node.m_process =
                std::make_unique<ChildProcess>(std::string(programs) + "/gypsumdaled",
                                               std::vector<std::string>{"--entry", settings},
                                               (m_folder / (node.m_name + ".log")).string());
    }

private:
    static EntryNode planNode(int number)
    {
        return {fmt::format("entry-{}", number),
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
                           "metrics-listen: 127.0.0.1:{}\n"
                           "store: 127.0.0.1:{}\nseeds:\n{}data-centres: [here]\n"
                           "first-start: {}\nbounds:\n  shutdown-grace: 6s\n",
                           node.m_name, node.m_callerPort, node.m_readyPort, node.m_peerPort,
                           peerPortOf(node), node.m_metricsPort,
                           node.m_storeLink ? node.m_storeLink->port() : m_store->port(), seeds,
                           node.m_process == nullptr);
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
    std::filesystem::path m_folder;
    std::unique_ptr<StoreStandIn> m_store;
    std::vector<std::unique_ptr<UpstreamStandIn>> m_upstreams;
    /// By upstream; empty where links can't be harmed.
    std::map<std::string, std::unique_ptr<FaultProxy>> m_upstreamLinks;
    std::vector<EntryNode> m_nodes;
};

} // namespace gypsumdale::testing
