#include <gypsumdale/observe/utc_text.hpp>

#include <ctl/view.hpp>

#include <fmt/format.h>

namespace gypsumdale::ctl {

namespace {

constexpr double millisPerSecond = 1000.0;

/// Fields of the status, in display order.
const std::vector<ViewColumn> &statusFields()
{
    static const std::vector<ViewColumn> fields = {
            {"node", "node", Show::Text},
            {"dataCentre", "data centre", Show::Text},
            {"region", "region", Show::Text},
            {"ready", "ready", Show::Text},
            {"draining", "draining", Show::Text},
            {"reason", "reason", Show::Text},
            {"platform", "platform", Show::Text},
            {"configVersion", "config version", Show::Number},
            {"requestsInFlight", "requests in flight", Show::Number},
            {"uptimeMillis", "up for", Show::Seconds},
    };
    return fields;
}

} // namespace

const ListView &nodesView()
{
    static const ListView view = {"nodes",
                                  {{"node", "NODE", Show::Text},
                                   {"dataCentre", "DATA CENTRE", Show::Text},
                                   {"state", "STATE", Show::Text},
                                   {"incarnation", "INCARNATION", Show::Number},
                                   {"configVersion", "CONFIG", Show::Number},
                                   {"ageMillis", "HEARD", Show::Seconds}}};
    return view;
}

const ListView &upstreamsView()
{
    static const ListView view = {"upstreams",
                                  {{"upstream", "UPSTREAM", Show::Text},
                                   {"service", "SERVICE", Show::Text},
                                   {"dataCentre", "DATA CENTRE", Show::Text},
                                   {"state", "STATE", Show::Text},
                                   {"slots", "SLOTS", Show::Number},
                                   {"running", "RUNNING", Show::Number},
                                   {"queued", "QUEUED", Show::Number},
                                   {"inFlight", "IN FLIGHT", Show::Number},
                                   {"ageMillis", "HEARD", Show::Seconds},
                                   {"reason", "REASON", Show::Text}}};
    return view;
}

const ListView &membersView()
{
    static const ListView view = {"members",
                                  {{"member", "MEMBER", Show::Text},
                                   {"weight", "WEIGHT", Show::Number},
                                   {"servedTokens", "TOKENS SERVED", Show::Number},
                                   {"waiting", "WAITING", Show::Number},
                                   {"inFlight", "IN FLIGHT", Show::Number}}};
    return view;
}

const ListView &jobsView()
{
    static const ListView view = {"jobs",
                                  {{"job", "JOB", Show::Text},
                                   {"member", "MEMBER", Show::Text},
                                   {"profile", "PROFILE", Show::Text},
                                   {"state", "STATE", Show::Text},
                                   {"owner", "OWNER", Show::Text},
                                   {"epoch", "EPOCH", Show::Number},
                                   {"tokens", "TOKENS", Show::Number},
                                   {"held", "HELD BY", Show::Text}}};
    return view;
}

const ListView &quarantineView()
{
    static const ListView view = {"entries",
                                  {{"id", "ID", Show::Text},
                                   {"service", "SERVICE", Show::Text},
                                   {"state", "STATE", Show::Text},
                                   {"remainingMillis", "REMAINING", Show::Seconds},
                                   {"times", "TIMES", Show::Number},
                                   {"known", "KNOWN", Show::Text},
                                   {"elements", "ELEMENTS", Show::Text}}};
    return view;
}

const ListView &rolloutsView()
{
    static const ListView view = {"rollouts",
                                  {{"name", "NAME", Show::Text},
                                   {"target", "TARGET", Show::Text},
                                   {"stage", "STAGE", Show::Text},
                                   {"reason", "REASON", Show::Text},
                                   {"share", "SHARE", Show::Text},
                                   {"answers", "ANSWERS", Show::Number},
                                   {"badAnswers", "BAD", Show::Number},
                                   {"controlAnswers", "CONTROL", Show::Number},
                                   {"remainingMillis", "REMAINING", Show::Seconds}}};
    return view;
}

const ListView &queuesView()
{
    static const ListView view = {"queues",
                                  {{"service", "SERVICE", Show::Text},
                                   {"state", "SLOTS ARE", Show::Text},
                                   {"slots", "SLOTS", Show::Number},
                                   {"inFlight", "IN FLIGHT", Show::Number},
                                   {"window", "WINDOW", Show::Number},
                                   {"ownInFlight", "OWN", Show::Number},
                                   {"waiting", "WAITING", Show::Number},
                                   {"peersWaiting", "AT PEERS", Show::Number},
                                   {"order", "SERVED NEXT", Show::Text},
                                   {"rejections", "REJECTED", Show::Text}}};
    return view;
}

const ListView &objectsView()
{
    static const ListView view = {"objects",
                                  {{"kind", "KIND", Show::Text},
                                   {"name", "NAME", Show::Text},
                                   {"version", "VERSION", Show::Number}}};
    return view;
}

const ListView &eventsView()
{
    static const ListView view = {"events",
                                  {{"atMillis", "TIME", Show::Time},
                                   {"node", "NODE", Show::Text},
                                   {"what", "WHAT", Show::Text},
                                   {"why", "WHY", Show::Text},
                                   {"detail", "DETAIL", Show::Text}}};
    return view;
}

std::string cellText(const Json &object, const ViewColumn &column)
{
    const auto number = integerAt(object, column.m_key);
    if (column.m_show == Show::Seconds && number && *number < 0)
        return "never";
    if (column.m_show == Show::Seconds && number)
        return fmt::format("{:.1f}s", static_cast<double>(*number) / millisPerSecond);
    if (column.m_show == Show::Time && number)
        return toUtcText(*number);
    return textAt(object, column.m_key);
}

Table tableOf(const Json &answer, const ListView &view)
{
    Table table;
    for (const ViewColumn &column : view.m_columns) {
        const bool isNumber = column.m_show == Show::Number || column.m_show == Show::Seconds;
        table.m_columns.push_back(
                {std::string(column.m_title), isNumber ? Align::Right : Align::Left});
    }
    for (const Json &entry : listAt(answer, view.m_list)) {
        std::vector<std::string> row;
        for (const ViewColumn &column : view.m_columns)
            row.push_back(cellText(entry, column));
        table.m_rows.push_back(std::move(row));
    }
    return table;
}

std::string formatStatus(const Json &answer)
{
    std::string result;
    for (const ViewColumn &field : statusFields()) {
        const std::string text = cellText(answer, field);
        if (!text.empty())
            result += fmt::format("{:<20}{}\n", field.m_title, text);
    }
    return result;
}

} // namespace gypsumdale::ctl
