// Stand-ins for the users' platform: the metadata store, the cloud interface, and the platform that
// starts, signals and restarts the processes of VMs.
#pragma once

#include "net.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

using Json = nlohmann::json;

// What happens to one call of the store before or after it is carried out.
struct StoreFault
{
    // The answer is never sent.
    bool m_isLost = false;
    // The call is carried out this much later, and never answered.
    int m_lateMs = 0;
};

class Store
{
public:
    using Fault = std::function<StoreFault(const Request &)>;
    using Seen = std::function<void(const Request &, int status)>;

    explicit Store(const std::string &ip = "127.0.0.1")
        : m_port(freePort(ip))
        , m_server(ip, m_port, [this](Socket &socket) { serve(socket); })
    {}

    std::uint16_t port() const { return m_port; }
    void setFault(Fault fault)
    {
        const std::lock_guard lock(m_mutex);
        m_fault = std::move(fault);
    }
    void onCall(Seen seen) { m_seen = std::move(seen); }

    // Writes an object as the operator or a runner does.
    void put(const std::string &kind, const std::string &name, const Json &spec)
    {
        const std::lock_guard lock(m_mutex);
        Stored &stored = m_objects[kind][name];
        if (stored.m_revision != 0 && stored.m_spec == spec)
            return;
        stored.m_spec = spec;
        changed(kind, name);
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        removeLocked(kind, name);
    }
    Json spec(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        return m_objects[kind][name].m_spec;
    }

private:
    struct Stored
    {
        std::int64_t m_revision = 0;
        std::int64_t m_created = 0;
        Json m_spec;
        Json m_status;
    };
    struct Event
    {
        std::int64_t m_revision;
        std::string m_kind;
        Json m_object;
        bool m_isRemoved;
    };

    Json object(const std::string &kind, const std::string &name)
    {
        const Stored &stored = m_objects[kind][name];
        return {{"metadata",
                 {{"name", name},
                  {"revision", stored.m_revision},
                  {"create-rev", stored.m_created},
                  {"finalizers", Json::array()},
                  {"deleting", false}}},
                {"spec", stored.m_spec},
                {"status", stored.m_status}};
    }
    void changed(const std::string &kind, const std::string &name)
    {
        Stored &stored = m_objects[kind][name];
        stored.m_revision = ++m_revision;
        if (stored.m_created == 0)
            stored.m_created = m_revision;
        m_events.push_back({m_revision, kind, object(kind, name), false});
        m_changed.notify_all();
    }
    void removeLocked(const std::string &kind, const std::string &name)
    {
        auto &objects = m_objects[kind];
        if (!objects.contains(name))
            return;
        const Json last = object(kind, name);
        objects.erase(name);
        m_events.push_back({++m_revision, kind, last, true});
        m_changed.notify_all();
    }

    void serve(Socket &socket)
    {
        Request request;
        while (readRequest(socket, request, 60000)) {
            Fault fault;
            {
                const std::lock_guard lock(m_mutex);
                fault = m_fault;
            }
            const StoreFault now = fault ? fault(request) : StoreFault();
            if (now.m_lateMs > 0)
                sleepMs(now.m_lateMs);
            int status = 200;
            const Json answer = carryOut(request, status);
            if (m_seen)
                m_seen(request, status);
            if (now.m_isLost || now.m_lateMs > 0) {
                // A connection on which an answer is lost returns nothing further.
                while (socket.fill(60000) == 1)
                    continue;
                return;
            }
            if (!socket.write(
                        message(status, {{"Content-Type", "application/json"}}, answer.dump())))
                return;
        }
    }

    Json carryOut(const Request &request, int &status)
    {
        const std::string prefix = "/-/objects/";
        const std::string path = request.path();
        if (!path.starts_with(prefix)) {
            status = 404;
            return Json::object();
        }
        std::string kind = path.substr(prefix.size());
        std::string name;
        if (const std::size_t slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind = kind.substr(0, slash);
        }
        std::unique_lock lock(m_mutex);
        if (request.m_method == "GET" && !name.empty()) {
            if (m_objects[kind].contains(name))
                return object(kind, name);
            status = 404;
            return Json::object();
        }
        if (request.m_method == "GET" && !request.parameter("watch").empty())
            return watch(kind, request, lock);
        if (request.m_method == "GET") {
            Json items = Json::array();
            for (const auto &[entry, stored] : m_objects[kind])
                items.push_back(object(kind, entry));
            return {{"items", items}, {"has-more", false}, {"current-rev", m_revision}};
        }
        if (request.m_method == "DELETE") {
            removeLocked(kind, name);
            return Json::object();
        }
        return write(kind, name, request, status);
    }

    Json watch(const std::string &kind, const Request &request, std::unique_lock<std::mutex> &lock)
    {
        const std::int64_t since = std::atoll(request.parameter("watch").c_str());
        const int wait = std::atoi(request.parameter("wait-ms").c_str());
        const auto end = Clock::now() + std::chrono::milliseconds(wait);
        for (;;) {
            Json events = Json::array();
            for (const Event &event : m_events) {
                if (event.m_kind == kind && event.m_revision > since)
                    events.push_back({{"object", event.m_object}, {"removed", event.m_isRemoved}});
            }
            if (!events.empty() || m_changed.wait_until(lock, end) == std::cv_status::timeout)
                return {{"events", events}, {"current-rev", m_revision}};
        }
    }

    Json write(const std::string &kind, std::string name, const Request &request, int &status)
    {
        const Json body = Json::parse(request.m_body, nullptr, false);
        const std::string suffix = "/status";
        const bool isStatus = name.ends_with(suffix);
        if (isStatus)
            name = name.substr(0, name.size() - suffix.size());
        const bool isCreation = request.m_method == "POST";
        const Json metadata = body.value("metadata", Json::object());
        if (isCreation)
            name = metadata.value("name", "");
        auto &objects = m_objects[kind];
        const bool exists = objects.contains(name);
        const std::int64_t expected = metadata.value("revision", std::int64_t(0));
        if (!isCreation && !exists) {
            status = 404;
            return Json::object();
        }
        if (isCreation ? exists : expected != 0 && objects[name].m_revision != expected) {
            status = 409;
            return object(kind, name);
        }
        Json &target = isStatus ? objects[name].m_status : objects[name].m_spec;
        const Json &wanted = body[isStatus ? "status" : "spec"];
        if (!exists || target != wanted) {
            target = wanted;
            changed(kind, name);
        }
        return object(kind, name);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_revision = 1;
    std::map<std::string, std::map<std::string, Stored>> m_objects;
    std::vector<Event> m_events;
    Fault m_fault;
    Seen m_seen;
    std::uint16_t m_port;
    Server m_server;
};

// The platform's cloud interface: accepts the duty calls whose fence isn't lower than one that it
// has seen for the same duty and subject.
class Cloud
{
public:
    using Seen = std::function<void(const Request &, int status)>;

    explicit Cloud(Seen seen = nullptr, const std::string &ip = "127.0.0.1")
        : m_seen(std::move(seen))
        , m_port(freePort(ip))
        , m_server(ip, m_port, [this](Socket &socket) { serve(socket); })
    {}
    std::uint16_t port() const { return m_port; }

private:
    void serve(Socket &socket)
    {
        Request request;
        while (readRequest(socket, request, 60000)) {
            const std::int64_t fence =
                    std::atoll(request.field("Gypsumdale-Fencing-Token").c_str());
            const Json body = Json::parse(request.m_body, nullptr, false);
            std::string subject = request.path();
            if (subject == "/scale")
                subject += body.value("service", "") + "/" + body.value("zone", "");
            int status = 200;
            std::int64_t highest = 0;
            {
                const std::lock_guard lock(m_mutex);
                std::int64_t &seen = m_fences[subject];
                status = fence < seen ? 409 : 200;
                seen = std::max(seen, fence);
                highest = seen;
            }
            if (m_seen)
                m_seen(request, status);
            Json answer = Json::object();
            if (status == 409)
                answer["fence"] = highest;
            if (!socket.write(message(status, {}, answer.dump())))
                return;
        }
    }

    std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_fences;
    Seen m_seen;
    std::uint16_t m_port;
    Server m_server;
};

// One VM: its ports and its settings as deploy/entry.yaml.tmpl renders them.
struct Vm
{
    std::string m_name;
    std::string m_zone;
    std::string m_ip = "127.0.0.1";
    std::uint16_t m_front = 0;
    std::uint16_t m_ready = 0;
    std::uint16_t m_control = 0;
    std::uint16_t m_relay = 0;
    std::uint16_t m_metrics = 0;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
    bool m_isFirstStart = true;
    // Empty while the process runs, then how it ended.
    std::string m_end;

    std::string address(std::uint16_t port) const { return m_ip + ":" + std::to_string(port); }
};

class Fleet
{
public:
    Fleet(std::vector<std::string> zones, std::uint16_t store, std::uint16_t cloud,
          const std::string &ip = "127.0.0.1")
        : m_store(ip + ":" + std::to_string(store))
        , m_cloud(ip + ":" + std::to_string(cloud))
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        m_folder = mkdtemp(pattern.data());
        int number = 0;
        for (const std::string &zone : zones) {
            auto vm = std::make_unique<Vm>();
            vm->m_name = "front-" + zone + "-" + std::to_string(++number);
            vm->m_zone = zone;
            vm->m_ip = ip;
            for (std::uint16_t *port :
                 {&vm->m_front, &vm->m_ready, &vm->m_control, &vm->m_relay, &vm->m_metrics})
                *port = freePort(ip);
            vm->m_settings = (m_folder / (vm->m_name + ".yaml")).string();
            vm->m_log = (m_folder / (vm->m_name + ".log")).string();
            m_vms.push_back(std::move(vm));
        }
        for (const std::string &zone : zones)
            m_zones.insert(zone);
    }
    ~Fleet()
    {
        for (auto &vm : m_vms)
            kill(*vm);
        if (std::getenv("REVIEW_KEEP") == nullptr)
            std::filesystem::remove_all(m_folder);
    }

    std::size_t size() const { return m_vms.size(); }
    Vm &vm(std::size_t index) { return *m_vms[index]; }
    const std::filesystem::path &folder() const { return m_folder; }

    // Starts a process with the command of the deploy file.
    void start(Vm &vm)
    {
        writeSettings(vm);
        vm.m_isFirstStart = false;
        vm.m_end.clear();
        const std::string program = "target/gypsumdaled";
        vm.m_pid = ::fork();
        if (vm.m_pid == 0) {
            const int log = ::open(vm.m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            for (int fd = 3; fd < 4096; ++fd)
                ::close(fd);
            // The driver's threads block no signals, but a parent may.
            sigset_t none;
            sigemptyset(&none);
            sigprocmask(SIG_SETMASK, &none, nullptr);
            std::signal(SIGPIPE, SIG_DFL);
            std::signal(SIGHUP, SIG_DFL);
            // Ends with the driver, whatever ends that.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::execl(program.c_str(), program.c_str(), "--entry", vm.m_settings.c_str(), nullptr);
            ::_exit(127);
        }
    }
    void startAll()
    {
        for (auto &vm : m_vms)
            start(*vm);
    }
    void writeSettings(Vm &vm)
    {
        const std::string temporary = vm.m_settings + ".new";
        std::ofstream(temporary) << settings(vm);
        std::filesystem::rename(temporary, vm.m_settings);
    }
    static void signal(Vm &vm, int number) { ::kill(vm.m_pid, number); }
    // Returns whether the process still runs, and notes how it ended.
    static bool runs(Vm &vm)
    {
        if (vm.m_pid < 0)
            return false;
        int status = 0;
        if (::waitpid(vm.m_pid, &status, WNOHANG) != vm.m_pid)
            return true;
        vm.m_end = WIFSIGNALED(status)
                           ? "ended by signal " + std::to_string(WTERMSIG(status)) + " ("
                                     + strsignal(WTERMSIG(status)) + ")"
                           : "exited with status " + std::to_string(WEXITSTATUS(status));
        vm.m_pid = -1;
        return false;
    }
    static void kill(Vm &vm)
    {
        if (!runs(vm))
            return;
        ::kill(vm.m_pid, SIGKILL);
        int status = 0;
        ::waitpid(vm.m_pid, &status, 0);
        vm.m_pid = -1;
        vm.m_end = "killed by the driver";
    }
    // Waits until all VMs say that they are ready.
    bool awaitReady(int timeoutMs)
    {
        const auto begun = Clock::now();
        for (auto &vm : m_vms) {
            while (!isReady(*vm)) {
                if (secondsSince(begun) * 1000 > timeoutMs || !runs(*vm))
                    return false;
                sleepMs(20);
            }
        }
        return true;
    }
    static bool isReady(const Vm &vm)
    {
        const Request request{"GET", "/-/ready", {{"Host", "ready"}}, ""};
        return call(vm.m_ip, vm.m_ready, request, 1000).m_status == 200;
    }

private:
    std::string settings(const Vm &vm) const
    {
        std::string text =
                "node: " + vm.m_name + "\ndata-centre: " + vm.m_zone + "\nregion: ch-mittelland\n";
        text += "caller-listen: " + vm.address(vm.m_front) + "\n";
        text += "ready-listen: " + vm.address(vm.m_ready) + "\n";
        text += "peer-listen: " + vm.address(vm.m_control) + "\n";
        text += "relay-listen: " + vm.address(vm.m_relay) + "\n";
        text += "metrics-listen: " + vm.address(vm.m_metrics) + "\n";
        text += "store: " + m_store + "\ncloud: " + m_cloud + "\nseeds:\n";
        for (std::size_t index = 0; index < std::min<std::size_t>(3, m_vms.size()); ++index)
            text += "  - " + m_vms[index]->address(m_vms[index]->m_control) + "\n";
        text += "data-centres:\n";
        for (const std::string &zone : m_zones)
            text += "  - " + zone + "\n";
        text += std::string("first-start: ") + (vm.m_isFirstStart ? "true" : "false") + "\n";
        text += R"(bounds:
  quota-window: 8s
  quota-overage: 0.1
  quota-slack: 140000
  retry-ratio: 0.2
  retry-slack: 54
  retry-window: 10s
  usage-window: 5s
  usage-due: 10s
  lease-term: 3000ms
  config-apply: 2000ms
  leaving-apply: 2000ms
  upstream-heartbeat: 1200ms
  shutdown-grace: 8s
scaling:
  least-share: 0.5
  running-per-engine: 20
  spare: 1.5
  reading-load: 0.3
  stand-in-load: 0.6
  risk-load: 0.8
  steady-engines: 1
)";
        return text + m_comment;
    }

public:
    // Appended to the settings, to change the file.
    std::string m_comment;

private:
    std::string m_store;
    std::string m_cloud;
    std::filesystem::path m_folder;
    std::set<std::string> m_zones;
    std::vector<std::unique_ptr<Vm>> m_vms;
};

// What a case writes down, with the time since its begin.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {}
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", secondsSince(m_begun));
        m_file << time << text << "\n";
        m_file.flush();
    }
    double now() const { return secondsSince(m_begun); }

private:
    Clock::time_point m_begun = Clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline std::string requestId()
{
    static std::atomic<std::uint64_t> last = 0;
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(::getpid()),
                  static_cast<unsigned>(++last));
    return text;
}

} // namespace review
