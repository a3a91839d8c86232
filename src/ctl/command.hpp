#pragma once

#include <ctl/admin_client.hpp>
#include <ctl/exit_code.hpp>
#include <ctl/invocation.hpp>

#include <cstddef> // size_t
#include <functional> // function
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale::ctl {

/// Functions of the operating system that the tool uses; tests replace them with fakes.
struct Environment
{
    std::function<void(std::string_view)> m_print;
    std::function<void(std::string_view)> m_printError;
    std::function<Result<std::string>(const std::string &path)> m_readFile;
    std::function<std::string()> m_readInput;
    std::function<std::optional<std::string>(const std::string &name)> m_environment;
    std::function<std::string(std::size_t bytes)> m_randomBytes;
    std::function<TimePoint()> m_now;
    std::function<void(Duration)> m_pause;
    Transport m_transport;
};

/// Context of one run of a command.
struct Session
{
    const Invocation &m_invocation;
    const Environment &m_surroundings;
    AdminClient m_client;
};

/// Groups of options that a command can support in addition to --help.
enum class OptionGroup {
    /// --entry, --json
    Entry,
    /// --operator-key-file
    Credential,
    /// --file, --kind, --name
    Document,
    /// --base-version
    Version,
    /// --wait
    Wait,
    /// --timeout
    Timeout,
    /// --log
    Logs,
};

/// A subcommand: its name, help texts, options and implementation.
struct Command
{
    std::string_view m_name;
    std::string_view m_usage;
    std::string_view m_summary;
    /// Rest of the help text, with examples.
    std::string_view m_help;
    std::vector<OptionGroup> m_options;
    std::size_t m_minPositionals = 0;
    std::size_t m_maxPositionals = 0;
    ExitCode (*m_run)(Session &session) = nullptr;

    bool takes(OptionGroup group) const;
};

/// Returns all commands in the order of the help.
const std::vector<Command> &commands();

/// Returns the command with this name, or null. Complexity: linear.
const Command *findCommand(std::string_view name);

/// Parses and runs one command line.
ExitCode runTool(const std::vector<std::string> &arguments, const Environment &surroundings);

/// Prints why no entry answered, and returns the exit code.
ExitCode complain(const Session &session, const AdminFailure &failure);

/// Prints the error of an answer, and returns the exit code.
ExitCode complain(const Session &session, const HttpReply &reply);

ExitCode runStatus(Session &session);
ExitCode runNodes(Session &session);
ExitCode runUpstreams(Session &session);
ExitCode runMembers(Session &session);
ExitCode runJobs(Session &session);
ExitCode runGet(Session &session);
ExitCode runApply(Session &session);
ExitCode runDiff(Session &session);
ExitCode runWatch(Session &session);
ExitCode runCheck(Session &session);
ExitCode runExplain(Session &session);
ExitCode runExplainFromLogs(Session &session);
ExitCode runDrain(Session &session);
ExitCode runQuarantine(Session &session);
ExitCode runRollouts(Session &session);
ExitCode runQueues(Session &session);
ExitCode runKeys(Session &session);

} // namespace gypsumdale::ctl
