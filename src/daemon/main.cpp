#include <gypsumdale/kernel/daemon.hpp>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio> // stderr
#include <fstream> // ifstream
#include <optional> // optional
#include <sstream> // ostringstream

namespace {

using namespace gypsumdale;

/// What the process tells whoever started it.
enum class ExitCode {
    Ok = 0,
    Usage = 1,
    Findings = 2,
    NotStarted = 3,
    /// It shut down, but requests or jobs were cut at the deadline.
    Cut = 4,
};

constexpr const char *description =
        "One process of gypsumdale: takes callers' requests and routes them to upstreams.\n"
        "Exit codes: 0 clean, 1 usage, 2 findings in the settings, 3 could not start, 4 work was "
        "cut "
        "at shutdown.\n"
        "Example: gypsumdaled --settings samples/wholesale/node/olten-a-1.yaml";

int exitWith(ExitCode code)
{
    return static_cast<int>(code);
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int run(const std::string &path, bool isCheckOnly)
{
    const auto text = readFile(path);
    if (!text) {
        fmt::print(stderr, "{}: error 101 (settings-unreadable): the file can't be read\n", path);
        return exitWith(ExitCode::Findings);
    }
    const auto checked = checkNodeSettings(*text, path);
    if (const auto *findings = std::get_if<Findings>(&checked)) {
        for (const Finding &finding : *findings)
            fmt::print(stderr, "{}\n", toLine(finding));
        return exitWith(ExitCode::Findings);
    }
    if (isCheckOnly) {
        fmt::print("{}: no findings\n", path);
        return exitWith(ExitCode::Ok);
    }
    const auto ended = runDaemon(std::get<NodeSettings>(checked));
    if (!succeeded(ended)) {
        const Error &error = errorOf(ended);
        fmt::print(stderr, "error {} ({}): {}\n", static_cast<int>(error.m_id),
                   errorName(error.m_id), error.m_text);
        return exitWith(ExitCode::NotStarted);
    }
    return exitWith(valueOf(ended) == 0 ? ExitCode::Ok : ExitCode::Cut);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("gypsumdaled", description);
    options.add_options()("s,settings", "YAML settings of this process",
                          cxxopts::value<std::string>());
    options.add_options()("check", "only check the settings and print all findings");
    options.add_options()("h,help", "print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            fmt::print("{}\n", options.help());
            return exitWith(ExitCode::Ok);
        }
        if (arguments.count("settings") == 0) {
            fmt::print(stderr, "give the settings with --settings FILE; see --help\n");
            return exitWith(ExitCode::Usage);
        }
        return run(arguments["settings"].as<std::string>(), arguments.count("check") != 0);
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "{}; see --help\n", error.what());
        return exitWith(ExitCode::Usage);
    }
}
