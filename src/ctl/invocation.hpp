#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/result.hpp>

#include <ctl/document.hpp>

#include <string> // string
#include <vector> // vector

namespace gypsumdale::ctl {

struct Command;

/// What one command line asks for.
struct Invocation
{
    /// Null when help or the version is asked for.
    const Command *m_command = nullptr;
    /// What to print instead of running a command.
    std::string m_text;
    /// The words behind the command's name.
    std::vector<std::string> m_words;
    std::vector<std::string> m_files;
    /// Log files to read instead of asking a node.
    std::vector<std::string> m_logs;
    std::vector<std::string> m_entries;
    std::string m_keyFile;
    DocumentFlags m_document;
    bool m_json = false;
    bool m_wait = false;
    /// Zero is no limit.
    Duration m_timeout{};
};

/// Reads a command line without the program's name. Fails with RequestMalformed and a sentence that
/// says what to do.
Result<Invocation> readCommandLine(const std::vector<std::string> &arguments);

} // namespace gypsumdale::ctl
