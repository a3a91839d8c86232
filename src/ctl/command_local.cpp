#include <gypsumdale/observe/log.hpp>
#include <gypsumdale/settings/account_table.hpp>

#include <ctl/command.hpp>
#include <ctl/document_files.hpp>

#include <fmt/format.h>

namespace gypsumdale::ctl {

namespace {

/// 256 random bits can't be found by search, so a plain hash of the key may be stored.
constexpr std::size_t keyBytes = 32;
/// Shorter keys are refused, as they could be guessed from their hash.
constexpr std::size_t minKeyLength = 32;

std::string hexText(std::string_view bytes)
{
    std::string text;
    for (const char byte : bytes)
        text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
    return text;
}

ExitCode printNewKey(const Session &session)
{
    const std::string bytes = session.m_surroundings.m_randomBytes(keyBytes);
    if (bytes.size() != keyBytes) {
        session.m_surroundings.m_printError("gypsumctl: the system provides no random numbers\n");
        return ExitCode::Failed;
    }
    session.m_surroundings.m_print(fmt::format("{}{}\n", secretKeyPrefix, hexText(bytes)));
    return ExitCode::Ok;
}

ExitCode printKeyHash(const Session &session)
{
    const std::string input = session.m_surroundings.m_readInput();
    const std::string key = input.substr(0, input.find_first_of("\r\n"));
    if (key.size() < minKeyLength) {
        session.m_surroundings.m_printError(
                fmt::format("gypsumctl: a key has at least {} characters; make one with "
                            "`gypsumctl keys new`\n",
                            minKeyLength));
        return ExitCode::Usage;
    }
    session.m_surroundings.m_print(fmt::format("- \"{}\"\n", sha256Hex(key)));
    return ExitCode::Ok;
}

} // namespace

ExitCode runKeys(Session &session)
{
    const std::string &action = session.m_invocation.m_positionals[0];
    if (action == "new")
        return printNewKey(session);
    if (action == "hash")
        return printKeyHash(session);
    session.m_surroundings.m_printError("gypsumctl: usage: gypsumctl keys new|hash\n");
    return ExitCode::Usage;
}

ExitCode runCheck(Session &session)
{
    const DocumentFiles files = readDocumentFiles(session);
    if (files.m_code != ExitCode::Ok)
        return files.m_code;
    for (const Document &document : files.m_documents)
        session.m_surroundings.m_print(fmt::format("{}: no findings\n", document.m_path));
    return ExitCode::Ok;
}

} // namespace gypsumdale::ctl
