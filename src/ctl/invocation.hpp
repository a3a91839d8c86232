#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/result.hpp>

#include <ctl/document.hpp>

#include <string> // string
#include <vector> // vector

namespace gypsumdale::ctl {

struct Command;

/// A parsed command line.
struct Invocation
{
    /// Null if help or the version is requested.
    const Command *m_command = nullptr;
    /// Help or version text to print instead of running a command.
    std::string m_text;
    /// Positional arguments after the command name.
    std::vector<std::string> m_positionals;
    std::vector<std::string> m_files;
    /// Log files to read instead of querying a node.
    std::vector<std::string> m_logs;
    std::vector<std::string> m_entries;
    std::string m_keyFile;
    DocumentFlags m_document;
    bool m_json = false;
    bool m_wait = false;
    /// Zero means no limit.
    Duration m_timeout{};
};

/// Parses a command line without the program name. Fails with RequestMalformed and a message that
/// tells the user how to correct it.
Result<Invocation> readCommandLine(const std::vector<std::string> &arguments);

} // namespace gypsumdale::ctl
