#include <ctl/command.hpp>

// File names may contain commas, so a comma doesn't separate values.
#define CXXOPTS_VECTOR_DELIMITER '\0'
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <array> // array
#include <cstddef> // ptrdiff_t, size_t

namespace gypsumdale::ctl {

namespace {

constexpr std::string_view versionText = "gypsumctl 0.1.0\n";
constexpr std::string_view helpHint = "; see `gypsumctl help`";
constexpr const char *defaultTimeoutSeconds = "30";
/// Upper limit of --timeout: one day.
constexpr std::int64_t maxTimeoutSeconds = 86400;

struct OptionInGroup
{
    const char *m_name;
    OptionGroup m_group;
};

/// Group of each option; --help belongs to all commands.
constexpr std::array<OptionInGroup, 10> groupedOptions = {{
        {"entry", OptionGroup::Entry},
        {"operator-key-file", OptionGroup::Credential},
        {"json", OptionGroup::Entry},
        {"file", OptionGroup::Document},
        {"kind", OptionGroup::Document},
        {"name", OptionGroup::Document},
        {"base-version", OptionGroup::Version},
        {"wait", OptionGroup::Wait},
        {"timeout", OptionGroup::Timeout},
        {"log", OptionGroup::Logs},
}};

cxxopts::Options makeOptions()
{
    using Texts = std::vector<std::string>;
    cxxopts::Options options("gypsumctl");
    options.add_options()("help", "")("version", "")("words", "", cxxopts::value<Texts>())(
            "entry", "", cxxopts::value<Texts>())("operator-key-file", "",
                                                  cxxopts::value<std::string>())("json", "")(
            "f,file", "", cxxopts::value<Texts>())("kind", "", cxxopts::value<std::string>())(
            "name", "", cxxopts::value<std::string>())("base-version", "",
                                                       cxxopts::value<std::int64_t>())("wait", "")(
            "timeout", "", cxxopts::value<std::int64_t>()->default_value(defaultTimeoutSeconds))(
            "log", "", cxxopts::value<Texts>());
    options.parse_positional("words");
    return options;
}

Error usageError(std::string text)
{
    return {ErrorId::RequestMalformed, std::move(text) + std::string(helpHint)};
}

std::string generalHelp()
{
    std::string text = "gypsumctl controls and inspects a gypsumdale fleet.\n\n"
                       "Usage: gypsumctl COMMAND [WORDS] [OPTIONS]\n\nCommands:\n";
    for (const Command &command : commands())
        text += fmt::format("  {:<30}{}\n", command.m_usage, command.m_summary);
    text += "\n"
            "`gypsumctl help COMMAND` describes a command. Options of calls to a node:\n"
            "  --entry ADDRESS:PORT        admin address of an entry VM; if repeated, entries are\n"
            "                              tried in order (or GYPSUMDALE_ENTRY, space-separated)\n"
            "  --operator-key-file PATH    file with the credential (or GYPSUMDALE_OPERATOR_KEY)\n"
            "  --json                      print the JSON answer of the node\n\n"
            "Exit codes:";
    for (const auto &[code, name] : exitCodeNames)
        text += fmt::format(" {} {}{}", static_cast<int>(code), name,
                            code == exitCodeNames.back().first ? "\n" : ",");
    return text;
}

std::string commandHelp(const Command &command)
{
    return fmt::format("Usage: gypsumctl {}\n\n{}\n\n{}", command.m_usage, command.m_summary,
                       command.m_help);
}

Result<Invocation> helpInvocation(const std::string &name)
{
    Invocation invocation;
    if (name.empty()) {
        invocation.m_text = generalHelp();
        return invocation;
    }
    const Command *command = findCommand(name);
    if (command == nullptr)
        return usageError(fmt::format("unknown command '{}'", name));
    invocation.m_text = commandHelp(*command);
    return invocation;
}

template <typename Value>
Value optionOr(const cxxopts::ParseResult &parsed, const char *name, Value fallback)
{
    return parsed.count(name) > 0 ? parsed[name].as<Value>() : fallback;
}

std::string firstUnsupportedOption(const cxxopts::ParseResult &parsed, const Command &command)
{
    for (const auto &[name, group] : groupedOptions) {
        if (parsed.count(name) > 0 && !command.takes(group))
            return name;
    }
    return {};
}

Result<Invocation> assignPositionals(Invocation invocation)
{
    const Command &command = *invocation.m_command;
    if (command.takes(OptionGroup::Document)) {
        // In "-f *.yaml" the shell makes all files but the first positional arguments.
        invocation.m_files.insert(invocation.m_files.end(), invocation.m_positionals.begin(),
                                  invocation.m_positionals.end());
        invocation.m_positionals.clear();
        if (invocation.m_files.empty())
            return usageError(fmt::format("'{}' requires -f FILE", command.m_name));
        return invocation;
    }
    if (!invocation.m_logs.empty() && invocation.m_positionals.size() > command.m_maxPositionals) {
        // In "--log *.log" the shell makes all files but the first positional arguments.
        const auto rest = invocation.m_positionals.begin()
                          + static_cast<std::ptrdiff_t>(command.m_maxPositionals);
        invocation.m_logs.insert(invocation.m_logs.end(), rest, invocation.m_positionals.end());
        invocation.m_positionals.erase(rest, invocation.m_positionals.end());
    }
    const std::size_t count = invocation.m_positionals.size();
    if (count < command.m_minPositionals || count > command.m_maxPositionals)
        return usageError(fmt::format("usage: gypsumctl {}", command.m_usage));
    return invocation;
}

Result<Invocation> readOptions(const cxxopts::ParseResult &parsed, const Command &command,
                               std::vector<std::string> words)
{
    using Texts = std::vector<std::string>;
    const std::string unsupported = firstUnsupportedOption(parsed, command);
    if (!unsupported.empty())
        return usageError(fmt::format("'{}' does not support --{}", command.m_name, unsupported));
    const auto timeout = parsed["timeout"].as<std::int64_t>();
    if (timeout < 0 || timeout > maxTimeoutSeconds)
        return usageError(fmt::format("--timeout must be from 0 to {} seconds", maxTimeoutSeconds));
    if (parsed.count("base-version") > 0 && parsed["base-version"].as<std::int64_t>() < 0)
        return usageError("--base-version must be the edited version, or 0 to create the object");
    Invocation invocation;
    invocation.m_command = &command;
    invocation.m_positionals = std::move(words);
    invocation.m_files = optionOr(parsed, "file", Texts());
    invocation.m_logs = optionOr(parsed, "log", Texts());
    invocation.m_entries = optionOr(parsed, "entry", Texts());
    invocation.m_keyFile = optionOr(parsed, "operator-key-file", std::string());
    invocation.m_document.m_kind = optionOr(parsed, "kind", std::string());
    invocation.m_document.m_name = optionOr(parsed, "name", std::string());
    if (parsed.count("base-version") > 0)
        invocation.m_document.m_version = parsed["base-version"].as<std::int64_t>();
    invocation.m_json = parsed.count("json") > 0;
    invocation.m_wait = parsed.count("wait") > 0;
    const bool hasNoLimit = command.m_run == runWatch && parsed.count("timeout") == 0;
    invocation.m_timeout = hasNoLimit ? Duration::zero() : std::chrono::seconds(timeout);
    return assignPositionals(std::move(invocation));
}

Result<Invocation> readParsed(const cxxopts::ParseResult &parsed)
{
    auto words = optionOr(parsed, "words", std::vector<std::string>());
    if (parsed.count("version") > 0) {
        Invocation invocation;
        invocation.m_text = versionText;
        return invocation;
    }
    if (!words.empty() && words.front() == "help")
        return helpInvocation(words.size() > 1 ? words[1] : std::string());
    if (parsed.count("help") > 0)
        return helpInvocation(words.empty() ? std::string() : words.front());
    if (words.empty())
        return usageError("no command given");
    const Command *command = findCommand(words.front());
    if (command == nullptr)
        return usageError(fmt::format("unknown command '{}'", words.front()));
    words.erase(words.begin());
    return readOptions(parsed, *command, std::move(words));
}

} // namespace

Result<Invocation> readCommandLine(const std::vector<std::string> &arguments)
{
    std::vector<const char *> argv = {"gypsumctl"};
    for (const std::string &argument : arguments)
        argv.push_back(argument.c_str());
    try {
        return readParsed(makeOptions().parse(static_cast<int>(argv.size()), argv.data()));
    } catch (const cxxopts::exceptions::exception &failure) {
        return usageError(failure.what());
    }
}

} // namespace gypsumdale::ctl
