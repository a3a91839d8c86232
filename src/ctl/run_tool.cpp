#include <ctl/admin_reply.hpp>
#include <ctl/command.hpp>
#include <ctl/table.hpp>

#include <fmt/format.h>

#include <algorithm> // min
#include <utility> // move
#include <variant> // get

namespace gypsumdale::ctl {

namespace {

constexpr const char *entryVariable = "GYPSUMDALE_ENTRY";
constexpr const char *keyVariable = "GYPSUMDALE_OPERATOR_KEY";
constexpr std::string_view whitespace = " \t\r\n";

/// Splits a list at whitespace and commas.
std::vector<std::string> splitList(std::string_view text)
{
    constexpr std::string_view separators = " \t\r\n,";
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find_first_of(separators), text.size());
        if (end > 0)
            parts.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

std::string trim(const std::string &text)
{
    const std::size_t begin = text.find_first_not_of(whitespace);
    if (begin == std::string::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(whitespace) + 1 - begin);
}

Result<std::vector<Endpoint>> readEntries(const Invocation &invocation,
                                          const Environment &surroundings)
{
    std::vector<std::string> texts = invocation.m_entries;
    if (texts.empty())
        texts = splitList(surroundings.m_environment(entryVariable).value_or(""));
    if (texts.empty())
        return Error{ErrorId::RequestMalformed,
                     fmt::format("no entry VM given: pass --entry ADDRESS:PORT or set {}",
                                 entryVariable)};
    std::vector<Endpoint> entries;
    for (const std::string &text : texts) {
        Result<Endpoint> entry = parseEntry(text);
        if (!succeeded(entry))
            return errorOf(entry);
        entries.push_back(valueOf(std::move(entry)));
    }
    return entries;
}

Result<std::string> readCredential(const Invocation &invocation, const Environment &surroundings)
{
    if (!invocation.m_keyFile.empty()) {
        Result<std::string> content = surroundings.m_readFile(invocation.m_keyFile);
        if (!succeeded(content))
            return content;
        return trim(valueOf(content));
    }
    const std::string key = trim(surroundings.m_environment(keyVariable).value_or(""));
    if (key.empty())
        return Error{
                ErrorId::RequestMalformed,
                fmt::format("no credential: pass --operator-key-file PATH or set {}", keyVariable)};
    return key;
}

/// Returns whether a credential can be sent in a header; a line break would end the header.
bool isHeaderSafe(std::string_view credential)
{
    return printable(credential) == credential;
}

Result<AdminClient> makeClient(const Invocation &invocation, const Environment &surroundings)
{
    const bool needsNoEntry =
            !invocation.m_command->takes(OptionGroup::Entry) || !invocation.m_logs.empty();
    if (needsNoEntry)
        return AdminClient({}, "", surroundings.m_transport);
    Result<std::vector<Endpoint>> entries = readEntries(invocation, surroundings);
    if (!succeeded(entries))
        return errorOf(entries);
    if (!invocation.m_command->takes(OptionGroup::Credential))
        return AdminClient(valueOf(std::move(entries)), "", surroundings.m_transport);
    Result<std::string> credential = readCredential(invocation, surroundings);
    if (!succeeded(credential))
        return errorOf(credential);
    if (!isHeaderSafe(valueOf(credential)))
        return Error{ErrorId::RequestMalformed, "the credential contains control characters"};
    return AdminClient(valueOf(std::move(entries)), valueOf(std::move(credential)),
                       surroundings.m_transport);
}

ExitCode failUsage(const Environment &surroundings, const Error &error)
{
    surroundings.m_printError(fmt::format("gypsumctl: {}\n", printable(error.m_text)));
    return ExitCode::Usage;
}

} // namespace

ExitCode runTool(const std::vector<std::string> &arguments, const Environment &surroundings)
{
    const Result<Invocation> read = readCommandLine(arguments);
    if (!succeeded(read))
        return failUsage(surroundings, errorOf(read));
    const Invocation &invocation = valueOf(read);
    if (invocation.m_command == nullptr) {
        surroundings.m_print(invocation.m_text);
        return ExitCode::Ok;
    }
    Result<AdminClient> client = makeClient(invocation, surroundings);
    if (!succeeded(client))
        return failUsage(surroundings, errorOf(client));
    Session session{invocation, surroundings, valueOf(std::move(client))};
    return invocation.m_command->m_run(session);
}

ExitCode complain(const Session &session, const AdminFailure &failure)
{
    session.m_surroundings.m_printError(
            fmt::format("gypsumctl: no entry VM answered\n{}", failure.m_text));
    return ExitCode::Unreachable;
}

ExitCode complain(const Session &session, const HttpReply &reply)
{
    session.m_surroundings.m_printError(fmt::format(
            "gypsumctl: {} answered {}\n", session.m_client.currentEntry(), errorText(reply)));
    return exitCodeFor(reply);
}

} // namespace gypsumdale::ctl
