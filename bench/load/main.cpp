#include "bench/load/caller.hpp"
#include "bench/load/recorder.hpp"
#include "bench/load/workload.hpp"

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <charconv> // from_chars
#include <cstdio> // stderr
#include <mutex> // unique_lock
#include <optional> // optional
#include <string> // string
#include <vector> // vector

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

using namespace gypsumdale;
using namespace gypsumdale::load;

namespace {

constexpr int usageExitCode = 2;
constexpr int failedExitCode = 1;
constexpr double longestRunSeconds = 3600;
constexpr std::size_t mostRequests = 1000000;

struct Settings
{
    CallerSettings m_caller;
    WorkloadSettings m_workload;
    bool m_json = false;
};

cxxopts::Options commandLine()
{
    cxxopts::Options options("bench-load", "Sends an open load and measures the answers.");
    auto add = options.add_options();
    using Texts = std::vector<std::string>;
    add("mix", "wholesale or swapshops", cxxopts::value<std::string>()->default_value("wholesale"));
    add("target", "ADDRESS:PORT of an entry; repeatable", cxxopts::value<Texts>());
    add("key", "MEMBER=KEY, the largest member first; repeatable", cxxopts::value<Texts>());
    add("profile", "CLASS=PROFILE, in place of the mix's; repeatable", cxxopts::value<Texts>());
    add("rate", "requests a second", cxxopts::value<double>()->default_value("20"));
    add("count", "requests at most", cxxopts::value<std::size_t>()->default_value("1000"));
    add("seconds", "time at most", cxxopts::value<double>()->default_value("30"));
    add("timeout", "seconds of silence before giving up",
        cxxopts::value<double>()->default_value("60"));
    add("seed", "of the arrivals", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("run", "prefix of idempotency keys", cxxopts::value<std::string>()->default_value("run"));
    add("json", "print JSON instead of a table");
    add("help", "print this help");
    return options;
}

Duration seconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

std::optional<Endpoint> readEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    Endpoint endpoint;
    endpoint.m_address = text.substr(0, colon);
    const char *begin = text.data() + colon + 1;
    const auto parsed = std::from_chars(begin, text.data() + text.size(), endpoint.m_port);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return endpoint;
}

Result<std::pair<std::string, std::string>> readPair(const std::string &text)
{
    const auto equals = text.find('=');
    if (equals == std::string::npos)
        return Error{ErrorId::SettingsSyntax, fmt::format("'{}' has no '='", text)};
    return std::pair{text.substr(0, equals), text.substr(equals + 1)};
}

Result<Done> readTargets(const cxxopts::ParseResult &parsed, CallerSettings &settings)
{
    if (parsed.count("target") == 0 || parsed.count("key") == 0)
        return Error{ErrorId::SettingsMissingKey, "--target and --key are required"};
    for (const std::string &text : parsed["target"].as<std::vector<std::string>>()) {
        const auto endpoint = readEndpoint(text);
        if (!endpoint)
            return Error{ErrorId::SettingsSyntax, fmt::format("'{}' is not ADDRESS:PORT", text)};
        settings.m_targets.push_back(*endpoint);
    }
    for (const std::string &text : parsed["key"].as<std::vector<std::string>>()) {
        const auto pair = readPair(text);
        if (!succeeded(pair))
            return errorOf(pair);
        settings.m_members.push_back({valueOf(pair).first, valueOf(pair).second});
    }
    return Done{};
}

Result<Done> readProfiles(const cxxopts::ParseResult &parsed, std::vector<RequestClass> &classes)
{
    if (parsed.count("profile") == 0)
        return Done{};
    for (const std::string &text : parsed["profile"].as<std::vector<std::string>>()) {
        const auto pair = readPair(text);
        if (!succeeded(pair))
            return errorOf(pair);
        for (RequestClass &requestClass : classes) {
            if (requestClass.m_name == valueOf(pair).first)
                requestClass.m_profile = valueOf(pair).second;
        }
    }
    return Done{};
}

Result<Settings> readSettings(const cxxopts::ParseResult &parsed)
{
    Settings settings;
    const auto mix = enumFromName(mixNames, parsed["mix"].as<std::string>());
    if (!mix)
        return Error{ErrorId::SettingsUnknownName, "--mix is wholesale or swapshops"};
    settings.m_caller.m_classes = classesOf(*mix);
    if (const auto read = readTargets(parsed, settings.m_caller); !succeeded(read))
        return errorOf(read);
    if (const auto read = readProfiles(parsed, settings.m_caller.m_classes); !succeeded(read))
        return errorOf(read);
    const double time = parsed["seconds"].as<double>();
    settings.m_workload.m_perSecond = parsed["rate"].as<double>();
    settings.m_workload.m_count = parsed["count"].as<std::size_t>();
    settings.m_workload.m_time = seconds(time);
    settings.m_workload.m_seed = parsed["seed"].as<std::uint64_t>();
    if (settings.m_workload.m_perSecond <= 0 || time > longestRunSeconds
        || settings.m_workload.m_count > mostRequests)
        return Error{ErrorId::SettingsOutOfRange, "--rate, --seconds or --count is out of range"};
    settings.m_caller.m_run = parsed["run"].as<std::string>();
    settings.m_caller.m_timeout = seconds(parsed["timeout"].as<double>());
    settings.m_json = parsed.count("json") != 0;
    return settings;
}

/// Sends all requests at their scheduled times, independent of outstanding answers, and waits for
/// the last answer. Runs in a fiber of the loop.
void sendAll(const Settings &settings, FiberLoop &loop, Recorder &recorder)
{
    const Clock clock;
    Caller caller(settings.m_caller, loop, clock);
    const auto arrivals = drawArrivals(settings.m_workload, settings.m_caller.m_classes,
                                       settings.m_caller.m_members.size());
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable answered;
    std::size_t open = arrivals.size();
    const TimePoint start = clock.now();
    for (const Arrival &arrival : arrivals) {
        const Duration ahead = start + arrival.m_at - clock.now();
        if (ahead > Duration::zero())
            sleepFiber(ahead);
        loop.spawn([&] {
            recorder.record(caller.call(arrival, start));
            --open;
            answered.notify_all();
        });
    }
    std::unique_lock lock(mutex);
    answered.wait(lock, [&] { return open == 0; });
}

int run(const Settings &settings)
{
    FiberLoop loop("load");
    loop.start();
    Recorder recorder;
    loop.call([&] { sendAll(settings, loop, recorder); });
    if (settings.m_json)
        fmt::print("{}\n", recorder.describe().dump(2));
    else
        fmt::print("{}", recorder.table());
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options = commandLine();
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0) {
            fmt::print("{}", options.help());
            return 0;
        }
        const auto settings = readSettings(parsed);
        if (succeeded(settings))
            return run(valueOf(settings));
        fmt::print(stderr, "{}\n", errorOf(settings).m_text);
        return usageExitCode;
    } catch (const cxxopts::exceptions::exception &failure) {
        fmt::print(stderr, "{}\n", failure.what());
        return failedExitCode;
    }
}
