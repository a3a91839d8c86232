#include <gypsumdale/observe/decision.hpp>
#include <gypsumdale/runtime/http_target.hpp>

#include <ctl/admin_reply.hpp>
#include <ctl/command.hpp>
#include <ctl/rollout.hpp>
#include <ctl/view.hpp>

#include <fmt/format.h>

#include <variant> // get_if

namespace gypsumdale::ctl {

namespace {

using Formatter = std::function<std::string(const Json &)>;

/// Reads a target and prints the answer, formatted or, with --json, unchanged.
ExitCode show(Session &session, const std::string &target, const Formatter &format)
{
    const AdminResult result = session.m_client.get(target);
    if (const auto *failure = std::get_if<AdminFailure>(&result))
        return complain(session, *failure);
    const HttpReply &reply = std::get<HttpReply>(result);
    if (exitCodeFor(reply) != ExitCode::Ok)
        return complain(session, reply);
    if (session.m_invocation.m_json)
        session.m_surroundings.m_print(reply.m_body + '\n');
    else
        session.m_surroundings.m_print(format(parseJson(reply.m_body)));
    return ExitCode::Ok;
}

ExitCode showList(Session &session, const std::string &target, const ListView &view)
{
    return show(session, target,
                [&view](const Json &answer) { return formatTable(tableOf(answer, view)); });
}

ExitCode showObjects(Session &session, const std::string &kind)
{
    return show(session, "/admin/v1/config", [&kind](const Json &answer) {
        Json filtered = Json::object();
        filtered["objects"] = Json::array();
        for (const Json &object : listAt(answer, "objects")) {
            if (kind.empty() || textAt(object, "kind") == kind)
                filtered["objects"].push_back(object);
        }
        return formatTable(tableOf(filtered, objectsView()));
    });
}

} // namespace

ExitCode runStatus(Session &session)
{
    return show(session, "/admin/v1/status", formatStatus);
}

ExitCode runNodes(Session &session)
{
    return showList(session, "/admin/v1/nodes", nodesView());
}

ExitCode runUpstreams(Session &session)
{
    return showList(session, "/admin/v1/upstreams", upstreamsView());
}

ExitCode runMembers(Session &session)
{
    return showList(session, "/admin/v1/members", membersView());
}

ExitCode runJobs(Session &session)
{
    return showList(session, "/admin/v1/jobs", jobsView());
}

ExitCode runGet(Session &session)
{
    const auto &words = session.m_invocation.m_positionals;
    if (words.size() < 2)
        return showObjects(session, words.empty() ? std::string() : words[0]);
    const std::string target = objectTarget("config", words[0], words[1]);
    return show(session, target, [&words](const Json &answer) {
        const std::string body = memberAt(answer, "body").is_string()
                                         ? memberAt(answer, "body").get<std::string>()
                                         : std::string();
        return writeDocument(words[0], words[1], integerAt(answer, "version").value_or(0), body);
    });
}

ExitCode runExplain(Session &session)
{
    if (!session.m_invocation.m_logs.empty())
        return runExplainFromLogs(session);
    const auto &words = session.m_invocation.m_positionals;
    if (!decisionSubjectFrom(words[0])) {
        session.m_surroundings.m_printError(
                "gypsumctl: usage: gypsumctl explain request|upstream ID\n");
        return ExitCode::Usage;
    }
    return showList(session, objectTarget("explain", words[0], words[1]), eventsView());
}

namespace {

/// Sends an order that may be sent again, as it is idempotent.
ExitCode giveOrder(Session &session, const std::string &target, const std::string &done)
{
    const AdminResult result = session.m_client.call({"POST", target, "", Resend::Always, false});
    if (const auto *failure = std::get_if<AdminFailure>(&result))
        return complain(session, *failure);
    const HttpReply &reply = std::get<HttpReply>(result);
    if (exitCodeFor(reply) != ExitCode::Ok)
        return complain(session, reply);
    session.m_surroundings.m_print(done);
    return ExitCode::Ok;
}

} // namespace

ExitCode runQuarantine(Session &session)
{
    const auto &words = session.m_invocation.m_positionals;
    if (words.empty())
        return showList(session, "/-/quarantine", quarantineView());
    if (words.size() != 2 || words[0] != "lift") {
        session.m_surroundings.m_printError("gypsumctl: usage: gypsumctl quarantine [lift ID]\n");
        return ExitCode::Usage;
    }
    return giveOrder(session, HttpTargetBuilder("/-/quarantine/lift").segment(words[1]).build(),
                     fmt::format("lifted {}\n", words[1]));
}

ExitCode runRollouts(Session &session)
{
    const auto &words = session.m_invocation.m_positionals;
    if (words.empty())
        return showList(session, "/-/rollouts", rolloutsView());
    const bool isOrder = words[0] == "pause" || words[0] == "resume" || words[0] == "rollback";
    if (words.size() != 2 || !isOrder) {
        session.m_surroundings.m_printError(
                "gypsumctl: usage: gypsumctl rollouts [pause|resume|rollback NAME]\n");
        return ExitCode::Usage;
    }
    const std::string target =
            HttpTargetBuilder("/-/rollouts").segment(words[0]).segment(words[1]).build();
    return giveOrder(session, target,
                     fmt::format("{} of {} is passed on to the VM that decides\n", words[0],
                                 printable(words[1])));
}

ExitCode runQueues(Session &session)
{
    return showList(session, "/-/queues", queuesView());
}

ExitCode runDrain(Session &session)
{
    const auto &words = session.m_invocation.m_positionals;
    if (words[0] != "upstream" && words[0] != "node") {
        session.m_surroundings.m_printError("gypsumctl: usage: gypsumctl drain upstream|node ID\n");
        return ExitCode::Usage;
    }
    // Draining is idempotent, so the call may be sent again. Only the node itself accepts the order
    // to drain, so for a node each entry is tried.
    const Json body = {{words[0], words[1]}};
    constexpr bool escapeNonAscii = true;
    const AdminResult result = session.m_client.call(
            {"POST", "/admin/v1/drain",
             body.dump(-1, ' ', escapeNonAscii, Json::error_handler_t::replace), Resend::Always,
             words[0] == "node"});
    if (const auto *failure = std::get_if<AdminFailure>(&result))
        return complain(session, *failure);
    const HttpReply &reply = std::get<HttpReply>(result);
    if (exitCodeFor(reply) != ExitCode::Ok)
        return complain(session, reply);
    if (session.m_invocation.m_json)
        session.m_surroundings.m_print(reply.m_body + '\n');
    else
        session.m_surroundings.m_print(fmt::format(
                "{} {} accepts no new requests; `gypsumctl {}s` shows when it has finished\n",
                words[0], printable(words[1]), words[0]));
    return ExitCode::Ok;
}

} // namespace gypsumdale::ctl
