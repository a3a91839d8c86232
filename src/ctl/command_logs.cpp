#include <gypsumdale/observe/utc_text.hpp>

#include <ctl/command.hpp>
#include <ctl/log_history.hpp>
#include <ctl/table.hpp>

#include <fmt/format.h>

#include <algorithm> // find
#include <array> // array
#include <cstdlib> // abs

namespace gypsumdale::ctl {

namespace {

/// File name that stands for standard input.
constexpr std::string_view standardInputName = "-";
/// Fields left out of the details: they have their own column or add no information.
constexpr std::array<std::string_view, 5> omittedFields = {"time", "level", "event", "node",
                                                           "data_centre"};

/// Reads all logs of the command line. Prints an error and returns false if one can't be read.
bool readLogs(const Session &session, LogHistory &history)
{
    const Environment &surroundings = session.m_surroundings;
    for (const std::string &path : session.m_invocation.m_logs) {
        if (path == standardInputName) {
            history.add(surroundings.m_readInput());
            continue;
        }
        const Result<std::string> text = surroundings.m_readFile(path);
        if (!succeeded(text)) {
            surroundings.m_printError(
                    fmt::format("gypsumctl: {}: {}\n", path, errorOf(text).m_text));
            return false;
        }
        history.add(valueOf(text));
    }
    history.arrange();
    return true;
}

std::string detailsOf(const LogLine &line)
{
    std::string details;
    for (const auto &[key, value] : line.m_fields.items()) {
        if (std::find(omittedFields.begin(), omittedFields.end(), key) != omittedFields.end())
            continue;
        details += details.empty() ? "" : " ";
        details += printable(key) + '=' + textAt(line.m_fields, key);
    }
    return details;
}

void printLines(const Session &session, const std::vector<const LogLine *> &lines)
{
    if (session.m_invocation.m_json) {
        for (const LogLine *line : lines)
            session.m_surroundings.m_print(line->m_fields.dump() + '\n');
        return;
    }
    Table table;
    table.m_columns = {{"TIME"}, {"NODE"}, {"EVENT"}, {"DETAILS"}};
    for (const LogLine *line : lines)
        table.m_rows.push_back({toUtcText(line->m_at), printable(line->m_node),
                                printable(line->m_event), detailsOf(*line)});
    session.m_surroundings.m_print(formatTable(table));
}

void printNotes(const Session &session, const LogHistory &history)
{
    for (const auto &[node, ahead] : history.clocksAhead())
        session.m_surroundings.m_printError(
                fmt::format("gypsumctl: the clock of {} was taken to be {} ms {}\n",
                            printable(node), std::abs(ahead), ahead > 0 ? "ahead" : "behind"));
    if (history.unreadable() > 0)
        session.m_surroundings.m_printError(
                fmt::format("gypsumctl: {} lines could not be read\n", history.unreadable()));
}

} // namespace

ExitCode runExplainFromLogs(Session &session)
{
    const auto &words = session.m_invocation.m_positionals;
    const auto subject = enumFromName(logSubjectNames, words[0]);
    if (!subject) {
        session.m_surroundings.m_printError(
                "gypsumctl: explain --log requires request ID, upstream ID, config VERSION or "
                "window NUMBER\n");
        return ExitCode::Usage;
    }
    LogHistory history;
    if (!readLogs(session, history))
        return ExitCode::Usage;
    const std::vector<const LogLine *> lines = history.about(*subject, words[1]);
    printNotes(session, history);
    if (lines.empty()) {
        session.m_surroundings.m_printError(fmt::format("gypsumctl: no log line mentions {} {}\n",
                                                        words[0], printable(words[1])));
        return ExitCode::NotFound;
    }
    printLines(session, lines);
    return ExitCode::Ok;
}

} // namespace gypsumdale::ctl
