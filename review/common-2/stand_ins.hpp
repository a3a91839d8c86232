#pragma once

// Small stand-ins for the second review: the platform's store and cloud, runners, and clients, over
// plain sockets on loopback addresses. They do what the users' PROTOCOL.md says of a sound store,
// runner and client, unless a case tells them otherwise.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline void sleepMillis(int millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

/// What was sent, answered and run, with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_startedAt(Clock::now())
    {}

    void add(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        const auto since = Clock::now() - m_startedAt;
        m_file << std::chrono::duration_cast<std::chrono::milliseconds>(since).count()
               << " ms: " << line << '\n';
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_startedAt;
};

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Opens a listening socket on a free port.
inline int listenOnFreePort(std::uint16_t &port)
{
    const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(0);
    if (::bind(file, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(file, 256) != 0)
        std::exit(2);
    socklen_t size = sizeof address;
    ::getsockname(file, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return file;
}

/// Returns a port that is free and that no outgoing connection takes meanwhile.
inline std::uint16_t freePort()
{
    constexpr int first = 10000;
    constexpr int count = 20000;
    static int next = static_cast<int>(::getpid()) * 97 % count;
    for (int tries = 0; tries < count; ++tries) {
        const auto port = static_cast<std::uint16_t>(first + next);
        next = (next + 1) % count;
        const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(port);
        const bool isFree =
                ::bind(file, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        ::close(file);
        if (isFree)
            return port;
    }
    std::exit(2);
}

/// A connection, read through a buffer.
class Connection
{
public:
    explicit Connection(int file)
        : m_file(file)
    {
        const int on = 1;
        ::setsockopt(m_file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(std::uint16_t port)
    {
        const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(port);
        if (::connect(file, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            ::close(file);
            return nullptr;
        }
        return std::make_unique<Connection>(file);
    }

    void close()
    {
        if (m_file >= 0)
            ::close(m_file);
        m_file = -1;
    }

    /// Limits the wait for the next bytes.
    void limitReading(int millis)
    {
        const timeval limit{millis / 1000, (millis % 1000) * 1000};
        ::setsockopt(m_file, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    bool write(const std::string &text)
    {
        std::size_t done = 0;
        while (done < text.size()) {
            const ssize_t sent =
                    ::send(m_file, text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            done += static_cast<std::size_t>(sent);
        }
        return true;
    }

    bool fill()
    {
        char bytes[16384];
        const ssize_t got = ::recv(m_file, bytes, sizeof bytes, 0);
        if (got <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    }

    std::optional<std::string> readLine()
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill())
                return std::nullopt;
        }
        std::string line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return line;
    }

    std::optional<std::string> readBytes(std::size_t count)
    {
        while (m_buffer.size() < count) {
            if (!fill())
                return std::nullopt;
        }
        std::string bytes = m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return bytes;
    }

private:
    int m_file;
    std::string m_buffer;
};

/// A request or an answer. Names of fields are in lower case.
struct Message
{
    std::string m_first;
    std::map<std::string, std::string> m_fields;
    std::string m_body;
    bool m_isWhole = false;

    std::string field(const std::string &name) const
    {
        const auto found = m_fields.find(name);
        return found == m_fields.end() ? std::string() : found->second;
    }
    int status() const { return m_first.size() < 12 ? 0 : std::atoi(m_first.c_str() + 9); }
    std::string method() const { return m_first.substr(0, m_first.find(' ')); }
    std::string target() const
    {
        const std::size_t begin = m_first.find(' ') + 1;
        return m_first.substr(begin, m_first.find(' ', begin) - begin);
    }
};

inline std::optional<Message> readHead(Connection &connection)
{
    Message message;
    const auto first = connection.readLine();
    if (!first)
        return std::nullopt;
    message.m_first = *first;
    for (;;) {
        const auto line = connection.readLine();
        if (!line)
            return std::nullopt;
        if (line->empty())
            return message;
        const std::size_t colon = line->find(':');
        if (colon == std::string::npos)
            return std::nullopt;
        std::string name = line->substr(0, colon);
        for (char &letter : name)
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        const std::size_t begin = line->find_first_not_of(" \t", colon + 1);
        message.m_fields[name] = begin == std::string::npos ? "" : line->substr(begin);
    }
}

/// Reads a message with its body, which has a length or comes in chunks.
inline std::optional<Message> readMessage(Connection &connection)
{
    std::optional<Message> message = readHead(connection);
    if (!message)
        return std::nullopt;
    if (message->field("transfer-encoding") == "chunked") {
        for (;;) {
            const auto size = connection.readLine();
            if (!size)
                return message;
            const std::size_t bytes = std::strtoul(size->c_str(), nullptr, 16);
            const auto chunk = connection.readBytes(bytes);
            if (!chunk || !connection.readLine())
                return message;
            message->m_body += *chunk;
            if (bytes == 0)
                break;
        }
    } else if (const std::string length = message->field("content-length"); !length.empty()) {
        const auto body = connection.readBytes(std::strtoul(length.c_str(), nullptr, 10));
        if (!body)
            return message;
        message->m_body = *body;
    }
    message->m_isWhole = true;
    return message;
}

inline std::string answerText(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A server with one thread for each connection.
class Server
{
public:
    using Handler = std::function<void(const Message &, Connection &)>;

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
    {
        const int file = listenOnFreePort(m_port);
        std::thread([this, file] {
            for (;;) {
                const int accepted = ::accept4(file, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    continue;
                std::thread([this, accepted] {
                    Connection connection(accepted);
                    while (const auto request = readMessage(connection)) {
                        if (!request->m_isWhole)
                            break;
                        m_handler(*request, connection);
                    }
                }).detach();
            }
        }).detach();
    }

    std::uint16_t port() const { return m_port; }

private:
    Handler m_handler;
    std::uint16_t m_port = 0;
};

/// The store's objects with conditional updates, lists of one page and watches; and the cloud,
/// which accepts every call.
class Platform
{
public:
    Platform()
        : m_server([this](const Message &request, Connection &connection) {
            answer(request, connection);
        })
    {}

    std::uint16_t port() const { return m_server.port(); }

    void put(const std::string &kind, const std::string &name, const Json &spec)
    {
        const std::lock_guard lock(m_mutex);
        store(kind, name, spec);
    }

private:
    struct Event
    {
        std::int64_t m_revision = 0;
        std::string m_kind;
        Json m_event;
    };

    Json store(const std::string &kind, const std::string &name, const Json &spec)
    {
        Json &object = m_objects[kind][name];
        const std::int64_t created = object.is_null()
                                             ? m_revision + 1
                                             : object["metadata"]["create-rev"].get<std::int64_t>();
        ++m_revision;
        object = {{"metadata", {{"name", name}, {"revision", m_revision}, {"create-rev", created}}},
                  {"spec", spec},
                  {"status", nullptr}};
        m_events.push_back({m_revision, kind, {{"object", object}, {"removed", false}}});
        m_changed.notify_all();
        return object;
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const std::size_t end = target.find('&', at + 1);
            const std::string pair = target.substr(at + 1, end - at - 1);
            if (pair.starts_with(name + "="))
                return pair.substr(name.size() + 1);
            at = end;
        }
        return {};
    }

    void answer(const Message &request, Connection &connection)
    {
        const auto [status, body] = answerTo(request);
        connection.write(answerText(status, "Content-Type: application/json\r\n", body.dump()));
    }

    std::pair<int, Json> answerTo(const Message &request)
    {
        const std::string target = request.target();
        const std::string prefix = "/-/objects/";
        if (!target.starts_with(prefix))
            return {200, Json::object()};
        std::string path = target.substr(prefix.size(), target.find('?') - prefix.size());
        const std::string kind = path.substr(0, path.find('/'));
        std::string name = path.size() > kind.size() ? path.substr(kind.size() + 1) : "";
        name = name.substr(0, name.find('/'));
        const std::string method = request.method();
        std::unique_lock lock(m_mutex);
        auto &objects = m_objects[kind];
        if (method == "GET" && !name.empty())
            return objects.contains(name) ? std::pair<int, Json>(200, objects[name])
                                          : std::pair<int, Json>(404, Json::object());
        if (method == "GET" && !parameter(target, "watch").empty())
            return watch(lock, kind, target);
        if (method == "GET") {
            Json items = Json::array();
            for (const auto &[key, object] : objects)
                items.push_back(object);
            return {200, {{"items", items}, {"has-more", false}, {"current-rev", m_revision}}};
        }
        if (method == "DELETE") {
            if (objects.contains(name)) {
                m_events.push_back(
                        {++m_revision, kind, {{"object", objects[name]}, {"removed", true}}});
                objects.erase(name);
                m_changed.notify_all();
            }
            return {200, Json::object()};
        }
        const Json body = Json::parse(request.m_body, nullptr, false);
        if (!body.is_object() || !body.contains("metadata"))
            return {400, Json::object()};
        if (method == "POST") {
            name = body["metadata"].value("name", "");
            if (objects.contains(name))
                return {409, objects[name]};
        }
        const std::int64_t expected = body["metadata"].value("revision", std::int64_t(0));
        const std::int64_t held =
                objects.contains(name) ? objects[name]["metadata"]["revision"].get<std::int64_t>()
                                       : 0;
        if (expected != 0 && held != expected)
            return {409, objects.contains(name) ? objects[name] : Json::object()};
        return {200, store(kind, name, body.value("spec", Json::object()))};
    }

    std::pair<int, Json> watch(std::unique_lock<std::mutex> &lock, const std::string &kind,
                               const std::string &target)
    {
        const std::int64_t since = std::stoll(parameter(target, "watch"));
        const std::string wait = parameter(target, "wait-ms");
        const auto end =
                Clock::now() + std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait));
        for (;;) {
            Json events = Json::array();
            for (const Event &event : m_events) {
                if (event.m_kind == kind && event.m_revision > since)
                    events.push_back(event.m_event);
            }
            if (!events.empty() || Clock::now() >= end)
                return {200, {{"events", events}, {"current-rev", m_revision}}};
            m_changed.wait_until(lock, end);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_revision = 1;
    std::map<std::string, std::map<std::string, Json>> m_objects;
    std::vector<Event> m_events;
    Server m_server;
};

/// A request that a runner has begun to run.
struct Run
{
    std::string m_id;
    std::string m_method;
    std::string m_target;
    std::string m_body;
};

/// A runner of a service. It names itself, refuses requests that are meant for another instance,
/// and answers whole and signed.
class Runner
{
public:
    /// Answers a request in another way; returns false to leave it to the runner.
    using Behaviour = std::function<bool(const Message &, Connection &)>;

    Runner(std::string id, std::string service, std::string zone, int workMillis,
           Behaviour behaviour = nullptr)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_workMillis(workMillis)
        , m_behaviour(std::move(behaviour))
        , m_startedAt(std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count())
        , m_server([this](const Message &request, Connection &connection) {
            serve(request, connection);
        })
    {}

    const std::string &id() const { return m_id; }

    Json entry(const std::string &state, int slots) const
    {
        return {{"service", m_service},
                {"address", "127.0.0.1:" + std::to_string(m_server.port())},
                {"zone", m_zone},
                {"version", "v1"},
                {"slots", slots},
                {"state", state},
                {"cold-remaining-ms", 0},
                {"sequence", 1},
                {"born", m_startedAt}};
    }

    std::vector<Run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

    static std::string signedFields(const Message &request)
    {
        return "Gypsumdale-Request-Id: " + request.field("gypsumdale-request-id")
               + "\r\nGypsumdale-Response-Signature: review\r\n";
    }

    void recordRun(const Message &request)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({request.field("gypsumdale-request-id"), request.method(),
                          request.target(), request.m_body});
    }

private:
    void serve(const Message &request, Connection &connection)
    {
        const std::string meant = request.field("gypsumdale-expect-instance");
        if (!meant.empty() && meant != m_id) {
            connection.write(answerText(421, "Gypsumdale-Not-Executed: 1\r\n", ""));
            return;
        }
        if (m_behaviour && m_behaviour(request, connection))
            return;
        recordRun(request);
        sleepMillis(m_workMillis);
        connection.write(answerText(200, signedFields(request),
                                    "done " + request.field("gypsumdale-request-id")));
    }

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    int m_workMillis;
    Behaviour m_behaviour;
    std::int64_t m_startedAt;
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    Server m_server;
};

/// Where a fleet's processes and settings lie.
struct Places
{
    std::string m_daemon;
    std::string m_folder;
};

/// One VM with its process, which is started with the command of the deploy file and settings as
/// its template renders them for a small deployment.
class Vm
{
public:
    Vm(Places places, std::string name, std::string zone)
        : m_places(std::move(places))
        , m_name(std::move(name))
        , m_zone(std::move(zone))
        , m_callerPort(freePort())
        , m_readyPort(freePort())
        , m_peerPort(freePort())
        , m_relayPort(freePort())
        , m_metricsPort(freePort())
    {}
    ~Vm() { end(); }
    Vm(const Vm &) = delete;
    Vm &operator=(const Vm &) = delete;

    const std::string &name() const { return m_name; }
    std::uint16_t callerPort() const { return m_callerPort; }
    std::uint16_t peerPort() const { return m_peerPort; }

    void start(std::uint16_t platform, const std::vector<std::uint16_t> &seeds, bool isFirst)
    {
        const std::string settings = m_places.m_folder + "/" + m_name + ".yaml";
        const auto at = [](std::uint16_t port) {
            return "127.0.0.1:" + std::to_string(port) + "\n";
        };
        std::ofstream file(settings);
        file << "node: " << m_name << "\ndata-centre: " << m_zone << "\nregion: ch-mittelland\n"
             << "caller-listen: " << at(m_callerPort) << "ready-listen: " << at(m_readyPort)
             << "peer-listen: " << at(m_peerPort) << "relay-listen: " << at(m_relayPort)
             << "metrics-listen: " << at(m_metricsPort) << "store: " << at(platform)
             << "cloud: " << at(platform) << "seeds:\n";
        for (const std::uint16_t seed : seeds)
            file << "  - " << at(seed);
        file << "data-centres:\n  - olten-a\n  - olten-b\n  - aarau-c\nfirst-start: "
             << (isFirst ? "true" : "false") << "\nbounds:\n"
             << "  quota-window: 8s\n  quota-overage: 0.1\n  quota-slack: 140000\n"
             << "  retry-ratio: 0.2\n  retry-slack: 54\n  retry-window: 10s\n"
             << "  usage-window: 5s\n  usage-due: 10s\n  lease-term: 3000ms\n"
             << "  config-apply: 2000ms\n  leaving-apply: 2000ms\n"
             << "  upstream-heartbeat: 1200ms\n  shutdown-grace: 8s\n"
             << "scaling:\n  least-share: 0.5\n  running-per-engine: 20\n  spare: 1.5\n"
             << "  reading-load: 0.3\n  stand-in-load: 0.6\n  risk-load: 0.8\n"
             << "  steady-engines: 1\n";
        file.close();
        const std::string log = m_places.m_folder + "/" + m_name + ".log";
        m_process = ::fork();
        if (m_process == 0) {
            // The process ends with the check, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::execl(m_places.m_daemon.c_str(), "gypsumdaled", "--entry", settings.c_str(),
                    static_cast<char *>(nullptr));
            ::_exit(127);
        }
    }

    /// Returns whether the VM says that it is ready, within five seconds.
    bool awaitReady() const
    {
        for (int attempt = 0; attempt < 100; ++attempt) {
            if (const auto connection = Connection::open(m_readyPort)) {
                connection->limitReading(1000);
                connection->write("GET /-/ready HTTP/1.1\r\nHost: balancer\r\n\r\n");
                const auto answer = readMessage(*connection);
                if (answer && answer->status() == 200)
                    return true;
            }
            sleepMillis(50);
        }
        return false;
    }

    /// Returns how the process has ended by itself, or nothing while it runs.
    std::optional<std::string> ended()
    {
        int status = 0;
        if (m_process <= 0 || ::waitpid(m_process, &status, WNOHANG) != m_process)
            return std::nullopt;
        m_process = 0;
        if (WIFSIGNALED(status))
            return "signal " + std::to_string(WTERMSIG(status));
        return "status " + std::to_string(WEXITSTATUS(status));
    }

    void end()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        m_process = 0;
    }

private:
    Places m_places;
    std::string m_name;
    std::string m_zone;
    std::uint16_t m_callerPort;
    std::uint16_t m_readyPort;
    std::uint16_t m_peerPort;
    std::uint16_t m_relayPort;
    std::uint16_t m_metricsPort;
    pid_t m_process = 0;
};

/// Returns a configuration like that of a small deployment.
inline Json smallConfiguration()
{
    const auto route = [](const char *name, const char *prefix, const char *service,
                          const char *kind, int timeout, int target, int attempts, int priority) {
        return Json{{"name", name},
                    {"hostname", "fasteners.example"},
                    {"path-prefix", prefix},
                    {"service", service},
                    {"kind", kind},
                    {"timeout-ms", timeout},
                    {"target-latency-ms", target},
                    {"max-attempts", attempts},
                    {"priority", priority}};
    };
    Json draft = route("quote-draft", "/draft/", "gypsum-llm", "streaming", 15000, 600, 1, 1);
    draft["session-affinity"] = true;
    draft["gap-aim-ms"] = 400;
    return {{"version", 1},
            {"routes",
             {draft,
              route("order-confirm", "/order/", "trade-app", "non_idempotent", 1000, 150, 1, 2),
              route("stock-lookup", "/stock/", "trade-app", "idempotent", 1000, 150, 2, 2)}},
            {"services",
             {{{"name", "gypsum-llm"}, {"engine", {{"slots", 128}, {"moves", true}}}},
              {{"name", "trade-app"}}}},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 1048576},
              {"header-timeout-ms", 5000},
              {"idle-timeout-ms", 20000}}},
            {"tenants",
             {{{"name", "huber"}, {"api-keys", {"key-of-huber"}}, {"priority", 1}},
              {{"name", "keller"}, {"api-keys", {"key-of-keller"}}, {"priority", 1}}}}};
}

/// Returns a request's first line and the fields that every client sends.
inline std::string requestStart(const std::string &method, const std::string &target,
                                const std::string &key, const std::string &id, int deadlineMillis)
{
    return method + " " + target + " HTTP/1.1\r\nHost: fasteners.example\r\nAuthorization: Bearer "
           + key + "\r\nGypsumdale-Request-Id: " + id
           + "\r\nGypsumdale-Deadline-Ms: " + std::to_string(deadlineMillis) + "\r\n";
}

/// Ends the check at once: the stand-ins' threads still run.
[[noreturn]] inline void finish(int result)
{
    std::_Exit(result);
}

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review
