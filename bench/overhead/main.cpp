// Measures the overhead that the system adds to a call: sends the same requests directly to the
// upstream and through one gypsumdaled, in short alternating blocks, so that both run under the
// same conditions of the machine. scripts/bench.sh starts the required processes.

#include "bench/overhead/load_driver.hpp"
#include "bench/overhead/stamped_engine.hpp"
#include "bench/overhead/statistics.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <atomic> // atomic
#include <charconv> // from_chars
#include <chrono> // milliseconds, seconds
#include <cstdio> // stdout
#include <cstdlib> // strtod
#include <fstream> // ifstream
#include <optional> // optional
#include <random> // uniform_real_distribution
#include <string> // string
#include <thread> // sleep_for
#include <utility> // exchange, move
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::overhead;

namespace {

constexpr int failedExitCode = 1;
constexpr int usageExitCode = 2;
constexpr int loadLoops = 4;
constexpr Duration plainBlock = std::chrono::milliseconds(500);
constexpr Duration streamBlock = std::chrono::milliseconds(1500);
constexpr Duration throughputBlock = std::chrono::seconds(3);
constexpr Duration capacityBlock = std::chrono::seconds(1);
constexpr Duration noLimit = std::chrono::minutes(5);
constexpr int plainParallel = 32;
/// Exceeds the slots of the stand-in, so that some requests wait.
constexpr int crowdedParallel = 400;
constexpr int pacedParallel = 64;
constexpr int pacedTokens = 32;
/// Equals the duration of a stream, so that half of the slots are in use.
constexpr Duration pacedPause = std::chrono::milliseconds(160);
constexpr int fastParallel = 128;
constexpr int fastTokens = 1000;
constexpr int memoryParallel = 32;
constexpr int memoryTokens = 8;
constexpr std::size_t unlimited = 1'000'000'000;

struct Settings
{
    Endpoint m_daemon;
    Endpoint m_admin;
    Endpoint m_plain;
    std::vector<Endpoint> m_paced;
    std::vector<Endpoint> m_fast;
    Endpoint m_stamped;
    std::string m_key;
    int m_pid = 0;
    int m_repetitions = 5;
};

/// One kind of call, sent directly to its upstreams or through the daemon.
struct Call
{
    std::vector<Endpoint> m_endpoints;
    std::string m_target;
    std::string m_body;
    std::string m_key;
    std::string m_profile;
};

double microsSince(std::int64_t nanos)
{
    return static_cast<double>(nanosNow() - nanos) / 1000.0;
}

HttpCall httpCall(const Call &call)
{
    static std::atomic<std::size_t> turn = 0;
    HttpCall http;
    http.m_endpoint = call.m_endpoints[turn++ % call.m_endpoints.size()];
    http.m_method = "POST";
    http.m_target = call.m_target;
    http.m_body = call.m_body;
    http.m_headers.add("Content-Type", "application/json");
    if (call.m_key.empty()) {
        http.m_headers.add("X-Attempt-Id", fmt::format("direct-{}", turn.load()));
    } else {
        http.m_headers.add("Authorization", "Bearer " + call.m_key);
        http.m_headers.add("X-Profile", call.m_profile);
    }
    return http;
}

void plain(const Call &call, HttpClient &client, Record &record)
{
    const HttpCall http = httpCall(call);
    const std::int64_t begin = nanosNow();
    const auto result = client.call(http);
    const auto *reply = std::get_if<HttpReply>(&result);
    if (reply && reply->m_status == 200)
        record.m_whole.push_back(microsSince(begin));
    else
        ++record.m_failures;
}

/// Counts the events in a piece of a stream; for a stamped engine, also records their transfer
/// times.
void countEvents(std::string_view piece, bool isStamped, Record &record)
{
    constexpr std::string_view field = "\"token_index\"";
    for (std::size_t at = piece.find(field); at != std::string_view::npos;) {
        ++record.m_events;
        const std::size_t next = piece.find(field, at + field.size());
        const std::int64_t stamp = isStamped ? stampIn(piece.substr(at, next - at)) : 0;
        if (stamp != 0)
            record.m_event.push_back(microsSince(stamp));
        at = next;
    }
}

void stream(const Call &call, bool isStamped, HttpClient &client, Record &record)
{
    const HttpCall http = httpCall(call);
    const std::int64_t begin = nanosNow();
    auto opened = client.open(http);
    auto *exchange = std::get_if<HttpExchange>(&opened);
    if (!exchange || exchange->status() != 200) {
        ++record.m_failures;
        return;
    }
    bool isFirst = true;
    for (;;) {
        const auto piece = exchange->read();
        const auto *text = std::get_if<std::optional<std::string>>(&piece);
        if (!text) {
            ++record.m_failures;
            return;
        }
        if (!*text)
            break;
        if (std::exchange(isFirst, false))
            record.m_firstToken.push_back(microsSince(begin));
        countEvents(**text, isStamped, record);
    }
    record.m_whole.push_back(microsSince(begin));
}

Work plainWork(const Call &call)
{
    return [&call](HttpClient &client, Record &record) {
        plain(call, client, record);
    };
}

Work streamWork(const Call &call, bool isStamped = false)
{
    return [&call, isStamped](HttpClient &client, Record &record) {
        stream(call, isStamped, client, record);
    };
}

/// Returns work that streams and pauses for a random time, so that the streams do not synchronize.
Work pausingWork(const Call &call)
{
    return [&call](HttpClient &client, Record &record) {
        thread_local pcg32 random;
        std::uniform_real_distribution<double> part(0, 2);
        sleepFiber(std::chrono::duration_cast<Duration>(pacedPause * part(random)));
        stream(call, false, client, record);
    };
}

std::string chatBody(std::string_view model, int tokens)
{
    return fmt::format(
            R"({{"model":"{}","stream":true,"max_tokens":{},"target_tokens":{},)"
            R"("messages":[{{"role":"user","content":"M8 hexagon bolts, zinc plated, how many?"}}]}})",
            model, tokens, tokens);
}

/// Values of all repetitions; prints their median, minimum and maximum.
class Row
{
public:
    explicit Row(std::string name)
        : m_name(std::move(name))
    {}

    void add(double value) { m_values.push_back(value); }
    void print(std::string_view unit) const
    {
        fmt::print("{:<44} {:>12.1f} {:>12.1f} {:>12.1f}  {}\n", m_name, quantile(m_values, 0.5),
                   quantile(m_values, 0), quantile(m_values, 1), unit);
        std::fflush(stdout);
    }

private:
    std::string m_name;
    std::vector<double> m_values;
};

/// Times of one kind of call, directly and through the daemon, and their difference.
class Comparison
{
public:
    explicit Comparison(const std::string &name)
    {
        for (const auto *quantileName : {"p50", "p99"}) {
            for (const auto *way : {"direct", "through", "added"})
                m_rows.emplace_back(fmt::format("{} {} {}", name, quantileName, way));
        }
    }

    void add(const std::vector<double> &direct, const std::vector<double> &through)
    {
        std::size_t row = 0;
        for (const double share : {0.5, 0.99}) {
            const double before = quantile(direct, share);
            const double after = quantile(through, share);
            m_rows[row++].add(before);
            m_rows[row++].add(after);
            m_rows[row++].add(after - before);
        }
    }

    void print() const
    {
        for (const Row &row : m_rows)
            row.print("us");
    }

private:
    std::vector<Row> m_rows;
};

class Bench
{
public:
    explicit Bench(Settings settings)
        : m_settings(std::move(settings))
        , m_engine(m_settings.m_stamped.m_port)
        , m_driver(loadLoops)
    {}

    bool awaitReady();
    void plainRequests();
    void pacedStreams();
    void stampedStreams();
    void throughput();
    void memory();
    std::uint64_t failures() const { return m_failures; }
    std::uint64_t unsent() const { return m_unsent; }

private:
    Call direct(std::vector<Endpoint> endpoints, std::string target, std::string body) const
    {
        return {std::move(endpoints), std::move(target), std::move(body), "", ""};
    }
    Call through(std::string profile, std::string target, std::string body) const
    {
        return {{m_settings.m_daemon},
                std::move(target),
                std::move(body),
                m_settings.m_key,
                std::move(profile)};
    }
    Record checked(Record record)
    {
        m_failures += record.m_failures;
        m_unsent += record.m_unsent;
        return record;
    }
    double metric(std::string_view name);
    double residentKilobytes() const;

    Settings m_settings;
    StampedEngine m_engine;
    LoadDriver m_driver;
    std::uint64_t m_failures = 0;
    std::uint64_t m_unsent = 0;
};

const std::string chatTarget = "/v1/chat/completions";
const std::string plainBody = R"({"part":"M8-30","count":200})";

/// Waits until a request to each service succeeds.
bool Bench::awaitReady()
{
    const Call plainCall = through("plain", "/services/app/lookup", plainBody);
    const std::vector<Call> chats = {through("chat", chatTarget, chatBody("paced", 1)),
                                     through("chat", chatTarget, chatBody("fast", 1)),
                                     through("chat", chatTarget, chatBody("stamped", 1))};
    for (int tries = 0; tries < 100; ++tries) {
        std::uint64_t failed = m_driver.closedLoop(1, 1, noLimit, plainWork(plainCall)).m_failures;
        for (const Call &chat : chats)
            failed += m_driver.closedLoop(1, 1, noLimit, streamWork(chat)).m_failures;
        if (failed == 0)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
}

void Bench::plainRequests()
{
    const Call directCall = direct({m_settings.m_plain}, "/lookup", plainBody);
    const Call daemonCall = through("plain", "/services/app/lookup", plainBody);
    Row capacity("plain capacity through");
    Row crowded("plain capacity through, 400 open");
    Row alone("plain capacity direct");
    Comparison halfLoad("plain at half load");
    Comparison idle("plain one at a time");
    for (int repetition = 0; repetition < m_settings.m_repetitions; ++repetition) {
        const Record capacityRun = checked(m_driver.closedLoop(
                plainParallel, unlimited, capacityBlock, plainWork(daemonCall)));
        const double rate = static_cast<double>(capacityRun.m_whole.size())
                            / std::chrono::duration<double>(capacityBlock).count();
        capacity.add(rate);
        const Record crowdedRun = checked(m_driver.closedLoop(
                crowdedParallel, unlimited, capacityBlock, plainWork(daemonCall)));
        crowded.add(static_cast<double>(crowdedRun.m_whole.size())
                    / std::chrono::duration<double>(capacityBlock).count());
        const Record directCapacityRun = checked(m_driver.closedLoop(
                plainParallel, unlimited, capacityBlock, plainWork(directCall)));
        alone.add(static_cast<double>(directCapacityRun.m_whole.size())
                  / std::chrono::duration<double>(capacityBlock).count());
        const Record before =
                checked(m_driver.openLoop(rate / 2, plainBlock, plainWork(directCall)));
        const Record after =
                checked(m_driver.openLoop(rate / 2, plainBlock, plainWork(daemonCall)));
        halfLoad.add(before.m_whole, after.m_whole);
        const Record oneDirect =
                checked(m_driver.closedLoop(1, unlimited, plainBlock, plainWork(directCall)));
        const Record one =
                checked(m_driver.closedLoop(1, unlimited, plainBlock, plainWork(daemonCall)));
        idle.add(oneDirect.m_whole, one.m_whole);
    }
    capacity.print("requests/s");
    crowded.print("requests/s");
    alone.print("requests/s");
    halfLoad.print();
    idle.print();
}

void Bench::pacedStreams()
{
    const std::string body = chatBody("paced", pacedTokens);
    const Call directCall = direct(m_settings.m_paced, chatTarget, body);
    const Call daemonCall = through("chat", chatTarget, body);
    Comparison firstToken("first token, half of the slots");
    for (int repetition = 0; repetition < m_settings.m_repetitions; ++repetition) {
        const Record before = checked(m_driver.closedLoop(pacedParallel, unlimited, streamBlock,
                                                          pausingWork(directCall)));
        const Record after = checked(m_driver.closedLoop(pacedParallel, unlimited, streamBlock,
                                                         pausingWork(daemonCall)));
        firstToken.add(before.m_firstToken, after.m_firstToken);
    }
    firstToken.print();
}

void Bench::stampedStreams()
{
    const std::string body = chatBody("stamped", stampedEvents);
    const Call directCall = direct({m_settings.m_stamped}, chatTarget, body);
    const Call daemonCall = through("chat", chatTarget, body);
    Comparison event("streamed event, half of the slots");
    for (int repetition = 0; repetition < m_settings.m_repetitions; ++repetition) {
        const Record before = checked(m_driver.closedLoop(stampedSlots / 2, unlimited, streamBlock,
                                                          streamWork(directCall, true)));
        const Record after = checked(m_driver.closedLoop(stampedSlots / 2, unlimited, streamBlock,
                                                         streamWork(daemonCall, true)));
        event.add(before.m_event, after.m_event);
    }
    event.print();
}

void Bench::throughput()
{
    const std::string body = chatBody("fast", fastTokens);
    const Call directCall = direct(m_settings.m_fast, chatTarget, body);
    const Call daemonCall = through("chat", chatTarget, body);
    Row alone("events direct");
    Row wall("events through");
    Row traffic("events per second of the traffic thread");
    Row control("control thread time per event");
    Row use("use of the traffic thread");
    for (int repetition = 0; repetition < m_settings.m_repetitions; ++repetition) {
        const auto directBegin = nanosNow();
        const Record before = checked(m_driver.closedLoop(fastParallel, unlimited, throughputBlock,
                                                          streamWork(directCall)));
        alone.add(static_cast<double>(before.m_events) * 1e6 / microsSince(directBegin));
        const double trafficBefore = metric("gypsumdale_traffic_processor_milliseconds_total");
        const double controlBefore = metric("gypsumdale_control_processor_milliseconds_total");
        const auto begin = nanosNow();
        const Record after = checked(m_driver.closedLoop(fastParallel, unlimited, throughputBlock,
                                                         streamWork(daemonCall)));
        const double micros = microsSince(begin);
        // The metric of the control thread is updated only at intervals.
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        const double trafficMillis =
                metric("gypsumdale_traffic_processor_milliseconds_total") - trafficBefore;
        const double controlMillis =
                metric("gypsumdale_control_processor_milliseconds_total") - controlBefore;
        const auto events = static_cast<double>(after.m_events);
        wall.add(events * 1e6 / micros);
        traffic.add(events * 1e3 / trafficMillis);
        control.add(controlMillis * 1e3 / events);
        use.add(trafficMillis * 1e5 / micros);
    }
    alone.print("events/s");
    wall.print("events/s");
    traffic.print("events/s");
    control.print("us");
    use.print("% of a core");
}

void Bench::memory()
{
    const Call plainCall = through("plain", "/services/app/lookup", plainBody);
    const Call chat = through("chat", chatTarget, chatBody("fast", memoryTokens));
    std::size_t done = 0;
    fmt::print("resident memory before {:.0f} KiB\n", residentKilobytes());
    for (const std::size_t target : {2000U, 20000U, 40000U, 80000U, 400000U}) {
        const std::size_t half = (target - done) / 2;
        checked(m_driver.closedLoop(memoryParallel, half, noLimit, plainWork(plainCall)));
        checked(m_driver.closedLoop(memoryParallel, half, noLimit, streamWork(chat)));
        done = target;
        fmt::print("resident memory after {} further requests {:.0f} KiB\n", done,
                   residentKilobytes());
    }
}

double Bench::metric(std::string_view name)
{
    HttpCall call;
    call.m_endpoint = m_settings.m_admin;
    call.m_target = "/metrics";
    std::string text;
    m_driver.closedLoop(1, 1, noLimit, [&](HttpClient &client, Record &) {
        const auto result = client.call(call);
        if (const auto *reply = std::get_if<HttpReply>(&result))
            text = reply->m_body;
    });
    const std::size_t at = text.find(fmt::format("\n{} ", name));
    if (at == std::string::npos)
        return 0;
    return std::strtod(text.c_str() + at + name.size() + 2, nullptr);
}

double Bench::residentKilobytes() const
{
    std::ifstream file(fmt::format("/proc/{}/status", m_settings.m_pid));
    std::string word;
    double value = 0;
    while (file >> word) {
        if (word == "VmRSS:") {
            file >> value;
            break;
        }
    }
    return value;
}

std::optional<Endpoint> endpointIn(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    Endpoint endpoint;
    if (colon == std::string::npos)
        return std::nullopt;
    endpoint.m_address = text.substr(0, colon);
    const char *end = text.data() + text.size();
    if (std::from_chars(text.data() + colon + 1, end, endpoint.m_port).ptr != end)
        return std::nullopt;
    return endpoint;
}

cxxopts::Options commandLine()
{
    cxxopts::Options options("bench-overhead", "Measures what gypsumdaled adds to a call.");
    auto add = options.add_options();
    using Texts = std::vector<std::string>;
    for (const auto *name : {"daemon", "admin", "plain", "stamped"})
        add(name, "ADDRESS:PORT", cxxopts::value<std::string>());
    for (const auto *name : {"paced", "fast"})
        add(name, "ADDRESS:PORT of an engine; repeatable", cxxopts::value<Texts>());
    add("key", "the member's key", cxxopts::value<std::string>());
    add("pid", "the daemon's process", cxxopts::value<int>());
    add("repetitions", "of each measurement", cxxopts::value<int>()->default_value("5"));
    add("only", "memory, plain, paced, stamped or throughput; repeatable",
        cxxopts::value<Texts>()->default_value("memory,plain,paced,stamped,throughput"));
    return options;
}

std::optional<Settings> settingsIn(const cxxopts::ParseResult &arguments)
{
    Settings settings;
    const auto read = [&](const char *name, Endpoint &target) {
        const auto endpoint = endpointIn(arguments[name].as<std::string>());
        target = endpoint.value_or(Endpoint());
        return endpoint.has_value();
    };
    bool isGood = read("daemon", settings.m_daemon) && read("admin", settings.m_admin)
                  && read("plain", settings.m_plain) && read("stamped", settings.m_stamped);
    const auto readAll = [&](const char *name, std::vector<Endpoint> &target) {
        for (const std::string &text : arguments[name].as<std::vector<std::string>>()) {
            const auto endpoint = endpointIn(text);
            isGood = isGood && endpoint;
            target.push_back(endpoint.value_or(Endpoint()));
        }
    };
    readAll("paced", settings.m_paced);
    readAll("fast", settings.m_fast);
    settings.m_key = arguments["key"].as<std::string>();
    settings.m_pid = arguments["pid"].as<int>();
    settings.m_repetitions = arguments["repetitions"].as<int>();
    return isGood ? std::optional(settings) : std::nullopt;
}

int run(const cxxopts::ParseResult &arguments)
{
    auto settings = settingsIn(arguments);
    if (!settings)
        return usageExitCode;
    Bench bench(std::move(*settings));
    if (!bench.awaitReady()) {
        fmt::print(stderr, "bench-overhead: the system does not answer\n");
        return failedExitCode;
    }
    fmt::print("{:<44} {:>12} {:>12} {:>12}\n", "", "median", "least", "largest");
    for (const std::string &part : arguments["only"].as<std::vector<std::string>>()) {
        if (part == "plain")
            bench.plainRequests();
        else if (part == "paced")
            bench.pacedStreams();
        else if (part == "stamped")
            bench.stampedStreams();
        else if (part == "throughput")
            bench.throughput();
        else if (part == "memory")
            bench.memory();
    }
    fmt::print("failed requests: {}; not sent, as too many were open: {}\n", bench.failures(),
               bench.unsent());
    return bench.failures() == 0 ? 0 : failedExitCode;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(commandLine().parse(argc, argv));
    } catch (const std::exception &error) {
        fmt::print(stderr, "bench-overhead: {}\n", error.what());
        return usageExitCode;
    }
}
