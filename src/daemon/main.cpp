#include <gypsumdale/entry/entry_daemon.hpp>
#include <gypsumdale/kernel/daemon.hpp>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio> // stderr
#include <fstream> // ifstream
#include <memory> // make_shared
#include <optional> // optional
#include <sstream> // ostringstream
#include <utility> // move

#include <malloc.h>

namespace {

using namespace gypsumdale;

/// Exit codes of the process.
enum class ExitCode {
    Ok = 0,
    Usage = 1,
    Findings = 2,
    NotStarted = 3,
    /// The process shut down, but requests or jobs were cut off at the deadline.
    Cut = 4,
};

/// Size from which freed memory goes back to the system at once: that of the longest head of a
/// request. By default the library raises it with use, and keeps what a crowd of requests took.
constexpr int returnedBlockBytes = 16 * 1024;

constexpr const char *description =
        "Runs one process of gypsumdale, which routes callers' requests to upstreams.\n"
        "Exit codes: 0 success, 1 usage error, 2 findings in the settings, 3 start failed, "
        "4 requests or jobs were cut off at shutdown.\n"
        "Example: gypsumdaled --settings samples/wholesale/node/olten-a-1.yaml\n"
        "On the users' platform: gypsumdaled --entry /etc/gypsumdale/settings.toml";

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

/// Reads and validates settings; prints all findings.
template <typename Settings>
std::optional<Settings> readSettings(const std::string &path,
                                     Checked<Settings> (*check)(std::string_view,
                                                                const std::string &))
{
    const auto text = readFile(path);
    if (!text) {
        fmt::print(stderr, "{}: error 101 (settings-unreadable): the file can't be read\n", path);
        return std::nullopt;
    }
    const auto checked = check(*text, path);
    if (const auto *findings = std::get_if<Findings>(&checked)) {
        for (const Finding &finding : *findings)
            fmt::print(stderr, "{}\n", toLine(finding));
        return std::nullopt;
    }
    return std::get<Settings>(checked);
}

int endWith(const Result<std::size_t> &ended)
{
    if (!succeeded(ended)) {
        const Error &error = errorOf(ended);
        fmt::print(stderr, "error {} ({}): {}\n", static_cast<int>(error.m_id),
                   errorName(error.m_id), error.m_text);
        return exitWith(ExitCode::NotStarted);
    }
    return exitWith(valueOf(ended) == 0 ? ExitCode::Ok : ExitCode::Cut);
}

int runNode(const std::string &path, bool isCheckOnly)
{
    const auto settings = readSettings(path, checkNodeSettings);
    if (!settings)
        return exitWith(ExitCode::Findings);
    if (!isCheckOnly)
        return endWith(runDaemon(*settings));
    fmt::print("{}: no findings\n", path);
    return exitWith(ExitCode::Ok);
}

/// Reads the settings again if the file has changed since the last time.
class SettingsFile
{
public:
    explicit SettingsFile(std::string path)
        : m_path(std::move(path))
        , m_text(readFile(m_path).value_or(std::string()))
    {}

    std::optional<EntrySettings> readChanged()
    {
        const std::string text = readFile(m_path).value_or(std::string());
        if (text.empty() || text == m_text)
            return std::nullopt;
        m_text = text;
        return readSettings(m_path, checkEntrySettings);
    }

private:
    std::string m_path;
    std::string m_text;
};

int runEntry(const std::string &path, bool isCheckOnly)
{
    const auto settings = readSettings(path, checkEntrySettings);
    if (!settings)
        return exitWith(ExitCode::Findings);
    const auto file = std::make_shared<SettingsFile>(path);
    if (!isCheckOnly)
        return endWith(runEntryDaemon(*settings, [file] { return file->readChanged(); }));
    fmt::print("{}: no findings\n", path);
    return exitWith(ExitCode::Ok);
}

} // namespace

int main(int argc, char **argv)
{
    mallopt(M_MMAP_THRESHOLD, returnedBlockBytes);
    cxxopts::Options options("gypsumdaled", description);
    options.add_options()("s,settings", "YAML settings of this process",
                          cxxopts::value<std::string>());
    options.add_options()("entry", "YAML settings of an entry process on the users' platform",
                          cxxopts::value<std::string>());
    options.add_options()("version", "print the version");
    options.add_options()("check", "only check the settings and print all findings");
    options.add_options()("h,help", "print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            fmt::print("{}\n", options.help());
            return exitWith(ExitCode::Ok);
        }
        if (arguments.count("version") != 0) {
            fmt::print("gypsumdaled {}\n", GYPSUMDALE_VERSION);
            return exitWith(ExitCode::Ok);
        }
        const bool isCheckOnly = arguments.count("check") != 0;
        if (arguments.count("entry") != 0)
            return runEntry(arguments["entry"].as<std::string>(), isCheckOnly);
        if (arguments.count("settings") == 0) {
            fmt::print(stderr, "give the settings with --settings or --entry; see --help\n");
            return exitWith(ExitCode::Usage);
        }
        return runNode(arguments["settings"].as<std::string>(), isCheckOnly);
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "{}; see --help\n", error.what());
        return exitWith(ExitCode::Usage);
    }
}
