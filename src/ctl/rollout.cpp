#include <gypsumdale/runtime/http_target.hpp>

#include <ctl/rollout.hpp>
#include <ctl/table.hpp>

#include <fmt/format.h>

#include <variant> // get_if

namespace gypsumdale::ctl {

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(500);

/// Returns the nodes that have an older version or none, such as "olten-a-1 (version 11)".
std::string outdatedNodes(const DataCentreRollout &dataCentre, std::int64_t version)
{
    std::string text;
    for (const NodeVersion &node : dataCentre.m_nodes) {
        if (node.m_version >= version)
            continue;
        const std::string known =
                node.m_version ? fmt::format("version {}", *node.m_version) : "no answer";
        text += fmt::format("{}{} ({})", text.empty() ? "" : ", ", node.m_node, known);
    }
    return text;
}

} // namespace

std::string objectTarget(std::string_view resource, std::string_view kind, std::string_view name)
{
    return HttpTargetBuilder("/admin/v1").segment(resource).segment(kind).segment(name).build();
}

std::string formatRollout(const Rollout &rollout, std::int64_t version)
{
    Table table{{{"DATA CENTRE"}, {"IN FORCE"}, {"MISSING ON"}}, {}};
    for (const DataCentreRollout &dataCentre : rollout.m_dataCentres) {
        const bool isInForce = dataCentre.has(version);
        table.m_rows.push_back({dataCentre.m_dataCentre, isInForce ? "yes" : "no",
                                outdatedNodes(dataCentre, version)});
    }
    return formatTable(table);
}

ExitCode waitForRollout(Session &session, const Document &document, std::int64_t version)
{
    const Environment &surroundings = session.m_surroundings;
    const TimePoint end = surroundings.m_now() + session.m_invocation.m_timeout;
    const std::string target =
            objectTarget("rollout", enumName(documentKindNames, document.m_kind), document.m_name);
    std::string lastRollout = "no rollout state received\n";
    while (true) {
        const AdminResult result = session.m_client.get(target);
        const auto *reply = std::get_if<HttpReply>(&result);
        const auto rollout = reply != nullptr ? readRollout(*reply) : std::nullopt;
        if (rollout)
            lastRollout = formatRollout(*rollout, version);
        if (rollout && rollout->has(version)) {
            surroundings.m_print(fmt::format("{} version {} is in force in every data centre\n{}",
                                             document.title(), version, lastRollout));
            return ExitCode::Ok;
        }
        if (surroundings.m_now() >= end)
            break;
        surroundings.m_pause(pollInterval);
    }
    surroundings.m_printError(
            fmt::format("gypsumctl: {} version {} is accepted but not yet in force "
                        "everywhere\n{}",
                        document.title(), version, lastRollout));
    return ExitCode::Timeout;
}

} // namespace gypsumdale::ctl
