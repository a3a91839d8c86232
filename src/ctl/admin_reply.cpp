#include <ctl/admin_reply.hpp>
#include <ctl/json_text.hpp>

#include <fmt/format.h>

#include <algorithm> // all_of

namespace gypsumdale::ctl {

namespace {

/// Prefix of the line that a node appends to a body it writes, so that it can recognize its own
/// write if the answer was lost.
constexpr std::string_view writeMarkerPrefix = "# write: ";
constexpr std::string_view unknownOutcome = "unknown";

std::string withoutWriteMarker(std::string body)
{
    const std::size_t lineEnd = body.find_last_not_of('\n');
    const std::size_t newline = body.rfind('\n', lineEnd);
    const std::size_t begin = newline == std::string::npos ? 0 : newline + 1;
    if (body.compare(begin, writeMarkerPrefix.size(), writeMarkerPrefix) == 0)
        body.erase(begin);
    return body;
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

std::optional<VersionedBody> parseVersionedBody(const Json &object)
{
    const auto version = integerAt(object, "version");
    const Json &body = memberAt(object, "body");
    if (!version || !body.is_string())
        return std::nullopt;
    return VersionedBody{*version, withoutWriteMarker(body.get<std::string>())};
}

Finding parseFinding(const Json &object, const std::string &document)
{
    const auto number = integerAt(object, "id").value_or(static_cast<int>(ErrorId::Internal));
    const int line = static_cast<int>(integerAt(object, "line").value_or(0));
    const int column = static_cast<int>(integerAt(object, "column").value_or(0));
    return {static_cast<ErrorId>(number),
            {document, line, column},
            textAt(object, "message"),
            textAt(object, "hint")};
}

DataCentreRollout parseDataCentre(const Json &object)
{
    DataCentreRollout result{textAt(object, "dataCentre"), {}};
    for (const Json &node : listAt(object, "nodes"))
        result.m_nodes.push_back({textAt(node, "node"), integerAt(node, "version")});
    return result;
}

} // namespace

bool DataCentreRollout::has(std::int64_t version) const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(),
                       [version](const NodeVersion &node) { return node.m_version >= version; });
}

bool Rollout::has(std::int64_t version) const
{
    return !m_dataCentres.empty()
           && std::all_of(m_dataCentres.begin(), m_dataCentres.end(),
                          [version](const DataCentreRollout &part) { return part.has(version); });
}

std::optional<ErrorReply> readErrorReply(const HttpReply &reply)
{
    const Json document = parseJson(reply.m_body);
    const Json &error = memberAt(document, "error");
    const auto number = integerAt(error, "id");
    if (isSuccess(reply.m_status) || !number)
        return std::nullopt;
    return ErrorReply{static_cast<ErrorId>(*number), textAt(error, "name"),
                      textAt(error, "message"), textAt(document, "outcome") == unknownOutcome};
}

ExitCode exitCodeFor(const HttpReply &reply)
{
    if (isSuccess(reply.m_status))
        return ExitCode::Ok;
    const auto error = readErrorReply(reply);
    if (error && error->m_isOutcomeUnknown)
        return ExitCode::OutcomeUnknown;
    return error ? exitCodeFor(error->m_id) : exitCodeForStatus(reply.m_status);
}

std::string errorText(const HttpReply &reply)
{
    const auto error = readErrorReply(reply);
    if (!error)
        return fmt::format("status {} without an error body", reply.m_status);
    return fmt::format("error {} ({}): {}", static_cast<int>(error->m_id), error->m_name,
                       error->m_message);
}

std::optional<VersionedBody> readVersionedBody(const HttpReply &reply)
{
    return parseVersionedBody(parseJson(reply.m_body));
}

std::optional<VersionedBody> readConflict(const HttpReply &reply)
{
    const Json document = parseJson(reply.m_body);
    return parseVersionedBody(memberAt(document, "current"));
}

std::optional<std::int64_t> readVersion(const HttpReply &reply)
{
    return integerAt(parseJson(reply.m_body), "version");
}

Findings readFindings(const HttpReply &reply, const std::string &document)
{
    Findings findings;
    const Json answer = parseJson(reply.m_body);
    for (const Json &finding : listAt(answer, "findings"))
        findings.push_back(parseFinding(finding, document));
    return findings;
}

std::optional<Rollout> readRollout(const HttpReply &reply)
{
    const Json document = parseJson(reply.m_body);
    const auto version = integerAt(document, "version");
    if (!version)
        return std::nullopt;
    Rollout rollout{*version, {}};
    for (const Json &dataCentre : listAt(document, "dataCentres"))
        rollout.m_dataCentres.push_back(parseDataCentre(dataCentre));
    return rollout;
}

} // namespace gypsumdale::ctl
