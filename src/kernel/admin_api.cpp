#include <gypsumdale/kernel/admin_api.hpp>
#include <gypsumdale/kernel/caller_api.hpp>
#include <gypsumdale/kernel/error_reply.hpp>
#include <gypsumdale/kernel/health_reply.hpp>
#include <gypsumdale/runtime/http_target.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv> // from_chars
#include <map> // map
#include <vector> // vector

namespace gypsumdale {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::string_view adminPrefix = "/admin/v1/";
constexpr Duration peerTimeout = std::chrono::seconds(1);

HttpReply jsonReply(const Json &document, int status = 200)
{
    HttpReply reply;
    reply.m_status = status;
    reply.m_headers.add("Content-Type", "application/json");
    reply.m_body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return reply;
}

HttpReply notFound()
{
    return errorReply({ErrorId::NotFound, "no such path"});
}

/// Parses "KIND/NAME".
std::optional<ConfigKey> parseConfigKey(std::string_view text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto kind = enumFromName(settingsKindNames, text.substr(0, slash));
    if (!kind)
        return std::nullopt;
    const auto name = percentDecoded(text.substr(slash + 1));
    if (!name)
        return std::nullopt;
    return ConfigKey{*kind, *name};
}

Json findingsJson(const Findings &findings)
{
    Json list = Json::array();
    for (const Finding &finding : findings) {
        list.push_back({{"id", static_cast<int>(finding.m_id)},
                        {"name", errorName(finding.m_id)},
                        {"line", finding.m_place.m_line},
                        {"column", finding.m_place.m_column},
                        {"message", finding.m_text},
                        {"hint", finding.m_hint}});
    }
    return list;
}

Json errorJson(const Error &error)
{
    return {{"id", static_cast<int>(error.m_id)},
            {"name", errorName(error.m_id)},
            {"message", error.m_text}};
}

HttpReply conflictReply(const EditConflict &conflict)
{
    Json document;
    document["error"] =
            errorJson({ErrorId::PlatformConflict,
                       conflict.m_isRead ? "the object was changed in the meantime"
                                         : "the object was changed in the meantime; its current "
                                           "version can't be read now"});
    document["edited"] = {{"version", conflict.m_editedVersion}, {"body", conflict.m_body}};
    if (conflict.m_current)
        document["current"] = {{"version", conflict.m_current->m_version},
                               {"body", conflict.m_current->m_body}};
    return jsonReply(document, 409);
}

HttpReply editReply(const ConfigWriterStep &step)
{
    if (const auto *accepted = std::get_if<EditAccepted>(&step))
        return jsonReply({{"version", accepted->m_version}});
    if (const auto *refused = std::get_if<EditRefused>(&step)) {
        Json document;
        document["error"] = errorJson({ErrorId::SettingsSyntax, "the document has findings"});
        document["findings"] = findingsJson(refused->m_findings);
        return jsonReply(document, 422);
    }
    if (const auto *conflict = std::get_if<EditConflict>(&step))
        return conflictReply(*conflict);
    if (const auto *unknown = std::get_if<EditUnknown>(&step))
        return errorReply(unknown->m_error, Outcome::Unknown);
    if (const auto *failed = std::get_if<EditFailed>(&step))
        return errorReply(failed->m_error, Outcome::NotRun);
    return errorReply({ErrorId::Internal, "the edit ended without a result"});
}

} // namespace

AdminApi::AdminApi(Traffic &traffic, OperatorTable operators)
    : m_traffic(traffic)
    , m_operators(std::move(operators))
    , m_startedAt(traffic.now())
    , m_writePrefix(fmt::format("{:x}", traffic.clock().wallNow()))
{}

void AdminApi::handle(const HttpRequest &request, HttpResponder &responder)
{
    responder.send(answer(request));
}

HttpReply AdminApi::answer(const HttpRequest &request)
{
    const std::string_view path = request.path();
    if (path == "/healthz")
        return textReply(200, "ok");
    if (path == "/readyz")
        return readyReply(m_traffic);
    if (path == "/metrics")
        return metricsReply();
    const auto allowed = m_operators.authenticate(bearerCredential(request));
    if (!succeeded(allowed)) {
        m_traffic.postToControl([](Control &control) {
            control.context().m_metrics.add(Counter::OperatorCallsRefused);
        });
        return errorReply(errorOf(allowed));
    }
    m_traffic.postToControl(
            [](Control &control) { control.context().m_metrics.add(Counter::OperatorCalls); });
    return path.starts_with(adminPrefix) ? answerOperator(request) : notFound();
}

HttpReply AdminApi::answerOperator(const HttpRequest &request)
{
    const std::string_view rest = request.path().substr(adminPrefix.size());
    const auto remainderAfter = [&](std::string_view prefix) {
        return rest.substr(prefix.size());
    };
    if (rest.starts_with("config/"))
        return configReply(request, remainderAfter("config/"));
    if (rest == "drain")
        return drainReply(request);
    if (request.m_method != "GET")
        return errorReply({ErrorId::MethodNotAllowed, "use GET"});
    if (rest == "status")
        return statusReply();
    if (rest == "nodes")
        return nodesReply();
    if (rest == "upstreams")
        return upstreamsReply();
    if (rest == "members")
        return membersReply();
    if (rest == "jobs")
        return jobsReply();
    if (rest == "config")
        return configListReply();
    if (rest.starts_with("rollout/"))
        return rolloutReply(remainderAfter("rollout/"));
    if (rest.starts_with("explain/"))
        return explainReply(remainderAfter("explain/"));
    return notFound();
}

HttpReply AdminApi::metricsReply()
{
    HttpReply reply;
    reply.m_headers.add("Content-Type", std::string(metricsContentType));
    const auto trafficMillis = toWholeMillis(m_traffic.processorTime());
    const Metrics *metrics = m_traffic.callControl([&](Control &control) {
        control.context().m_metrics.assign(Counter::TrafficProcessorMillis,
                                           static_cast<std::uint64_t>(trafficMillis));
        return &control.context().m_metrics;
    });
    // Outside the control thread, as formatting thousands of series takes milliseconds.
    reply.m_body = metrics->expose();
    return reply;
}

HttpReply AdminApi::statusReply()
{
    const auto uptime = toWholeMillis(m_traffic.now() - m_startedAt);
    return jsonReply(m_traffic.callControl([&](Control &control) {
        const NodeSettings &settings = control.context().m_settings;
        const auto reason = control.unreadyReason();
        Json document;
        document["node"] = settings.m_node.text();
        document["dataCentre"] = settings.m_dataCentre.text();
        document["region"] = settings.m_region.text();
        document["ready"] = !reason && control.drain().isReady();
        document["draining"] = control.drain().phase() != DrainPhase::Serving;
        document["reason"] = reason ? reason->m_text : control.drain().reason();
        document["configVersion"] = control.config().store().versionInForce();
        document["uptimeMillis"] = uptime;
        document["requestsInFlight"] = control.requestsInFlight();
        document["platform"] = control.context().m_platform.isReachable() ? "up" : "down";
        return document;
    }));
}

HttpReply AdminApi::nodesReply()
{
    return jsonReply(m_traffic.callControl([](Control &control) {
        Json list = Json::array();
        const ControlContext &context = control.context();
        list.push_back({{"node", context.m_settings.m_node.text()},
                        {"dataCentre", context.m_settings.m_dataCentre.text()},
                        {"state", control.drain().isReady() ? "alive" : "leaving"},
                        {"incarnation", context.m_incarnation},
                        {"configVersion", control.config().store().versionInForce()},
                        {"ageMillis", 0}});
        for (const NodeView &view : control.fleet().membership().nodes()) {
            const auto version = control.peerVersion(view.m_identity.m_node);
            const bool wasReceived = view.m_lastReceivedAt != TimePoint();
            const auto age =
                    wasReceived ? toWholeMillis(context.now() - view.m_lastReceivedAt) : -1;
            list.push_back({{"node", view.m_identity.m_node.text()},
                            {"dataCentre", view.m_identity.m_dataCentre.text()},
                            {"state", nodeStateText(view.m_state, view.m_isLeaving)},
                            {"incarnation", view.m_identity.m_incarnation},
                            {"configVersion", version},
                            {"ageMillis", age}});
        }
        return Json{{"nodes", std::move(list)}};
    }));
}

HttpReply AdminApi::upstreamsReply()
{
    return jsonReply(m_traffic.callControl([](Control &control) {
        Json list = Json::array();
        for (const UpstreamView &view : control.fleet().upstreams().views()) {
            const UpstreamDeclaration &declaration = view.m_declaration;
            const auto age =
                    view.hasLoad() ? toWholeMillis(view.loadAge(control.context().now())) : -1;
            list.push_back({{"upstream", declaration.m_upstream.text()},
                            {"service", declaration.m_service.text()},
                            {"dataCentre", declaration.m_dataCentre.text()},
                            {"state", enumName(upstreamStateNames, view.m_state)},
                            {"slots", view.m_load.m_slots},
                            {"running", view.m_load.m_running},
                            {"queued", view.m_load.m_queued},
                            {"inFlight", view.m_ownInFlight},
                            {"ageMillis", age},
                            {"reason", view.m_reason}});
        }
        return Json{{"upstreams", std::move(list)}};
    }));
}

HttpReply AdminApi::membersReply()
{
    return jsonReply(m_traffic.callControl([](Control &control) {
        Json list = Json::array();
        const SettingsView &view = control.config().view();
        for (const auto &[id, member] : view.members()) {
            list.push_back({{"member", id.text()},
                            {"weight", view.weightOf(*member)},
                            {"servedTokens", control.admission().servedTokens(id)},
                            {"waiting", control.admission().waiting(id)},
                            {"inFlight", control.admission().inFlight(id)}});
        }
        return Json{{"members", std::move(list)}};
    }));
}

HttpReply AdminApi::jobsReply()
{
    return jsonReply(m_traffic.callControl([](Control &control) {
        Json list = Json::array();
        for (const JobSummary &job : control.jobs().table().summaries()) {
            list.push_back({{"job", job.m_job.text()},
                            {"member", job.m_member.text()},
                            {"profile", job.m_profile.text()},
                            {"state", enumName(jobStateNames, job.m_state)},
                            {"owner", job.m_owner.text()},
                            {"epoch", job.m_epoch},
                            {"tokens", job.m_tokens},
                            {"held", job.m_held}});
        }
        return Json{{"jobs", std::move(list)}};
    }));
}

HttpReply AdminApi::configListReply()
{
    return jsonReply(m_traffic.callControl([](Control &control) {
        Json list = Json::array();
        for (const ConfigObject &object : control.config().store().inForce()) {
            list.push_back({{"kind", enumName(settingsKindNames, object.m_key.m_kind)},
                            {"name", object.m_key.m_name},
                            {"version", object.m_version}});
        }
        return Json{{"objects", std::move(list)}};
    }));
}

HttpReply AdminApi::configReply(const HttpRequest &request, std::string_view rest)
{
    const auto key = parseConfigKey(rest);
    if (!key)
        return notFound();
    if (request.m_method == "GET")
        return configGetReply(*key);
    if (request.m_method == "PUT")
        return configPutReply(request, *key);
    return errorReply({ErrorId::MethodNotAllowed, "use GET or PUT"});
}

HttpReply AdminApi::configGetReply(const ConfigKey &key)
{
    const auto object = m_traffic.callControl(
            [&](Control &control) { return control.config().store().inForce(key); });
    if (!object)
        return errorReply({ErrorId::NotFound, "no such object is in force"});
    return jsonReply({{"kind", enumName(settingsKindNames, key.m_kind)},
                      {"name", key.m_name},
                      {"version", object->m_version},
                      {"body", object->m_body}});
}

HttpReply AdminApi::configPutReply(const HttpRequest &request, const ConfigKey &key)
{
    const std::string text = request.parameter("version").value_or("");
    ConfigEdit edit;
    const auto [end, error] =
            std::from_chars(text.data(), text.data() + text.size(), edit.m_editedVersion);
    if (error != std::errc() || end != text.data() + text.size())
        return errorReply({ErrorId::RequestMalformed,
                           "the parameter 'version' must be the edited version, or 0 to create"});
    edit.m_key = key;
    edit.m_body = request.m_body;
    const auto step = m_traffic.callControl([&](Control &control) {
        edit.m_writeId = fmt::format("{}.{}.{}", control.context().m_settings.m_node.text(),
                                     m_writePrefix, ++m_writes);
        return control.config().edit(edit);
    });
    return editReply(step);
}

HttpReply AdminApi::rolloutReply(std::string_view rest)
{
    const auto key = parseConfigKey(rest);
    if (!key)
        return notFound();
    struct RolloutNode
    {
        std::string m_dataCentre;
        std::string m_node;
        std::optional<NodeIdentity> m_peer;
    };
    ConfigVersion version = 0;
    const auto rolloutNodes = m_traffic.callControl([&](Control &control) {
        const NodeSettings &settings = control.context().m_settings;
        const auto object = control.config().store().inForce(*key);
        version = object ? object->m_version : 0;
        std::vector<RolloutNode> result{
                {settings.m_dataCentre.text(), settings.m_node.text(), std::nullopt}};
        for (const NodeView &view : control.fleet().membership().nodes()) {
            const NodeIdentity &identity = view.m_identity;
            // A dead node has no version in force; if it were listed, a rollout would never be
            // complete.
            if (view.m_state == NodeState::Dead)
                continue;
            result.push_back({identity.m_dataCentre.text(), identity.m_node.text(), identity});
        }
        return result;
    });
    std::map<std::string, Json> dataCentres;
    for (const RolloutNode &rolloutNode : rolloutNodes) {
        std::optional<ConfigVersion> at = version;
        if (rolloutNode.m_peer) {
            at = m_traffic.callControl([&](Control &control) {
                return control.queryVersion(*rolloutNode.m_peer, *key, peerTimeout);
            });
        }
        Json entry{{"node", rolloutNode.m_node}, {"version", nullptr}};
        if (at)
            entry["version"] = *at;
        Json &list = dataCentres[rolloutNode.m_dataCentre];
        list.push_back(std::move(entry));
    }
    Json list = Json::array();
    for (auto &[name, nodes] : dataCentres)
        list.push_back({{"dataCentre", name}, {"nodes", std::move(nodes)}});
    return jsonReply({{"version", version}, {"dataCentres", std::move(list)}});
}

HttpReply AdminApi::explainReply(std::string_view rest)
{
    const std::size_t slash = rest.find('/');
    const auto subject = decisionSubjectFrom(rest.substr(0, slash));
    if (slash == std::string_view::npos || !subject)
        return notFound();
    const auto id = percentDecoded(rest.substr(slash + 1));
    if (!id)
        return notFound();
    const auto events = m_traffic.callControl(
            [&](Control &control) { return control.explain(*subject, *id, peerTimeout); });
    if (events.empty())
        return errorReply({ErrorId::NotFound, "no decisions are recorded for it"});
    HttpReply reply;
    reply.m_headers.add("Content-Type", "application/json");
    reply.m_body = toJson(events);
    return reply;
}

HttpReply AdminApi::drainReply(const HttpRequest &request)
{
    if (request.m_method != "POST")
        return errorReply({ErrorId::MethodNotAllowed, "use POST"});
    const auto document = nlohmann::json::parse(request.m_body, nullptr, false);
    const auto textOf = [&](const char *name) {
        const bool has =
                document.is_object() && document.contains(name) && document[name].is_string();
        return has ? document[name].get<std::string>() : std::string();
    };
    const std::string upstream = textOf("upstream");
    const std::string node = textOf("node");
    const bool isKnown = m_traffic.callControl([&](Control &control) {
        if (!upstream.empty())
            return control.fleet().drainUpstream(UpstreamId(upstream));
        if (node != control.context().m_settings.m_node.text())
            return false;
        control.shutDown(DrainCause::Operator, std::nullopt);
        return true;
    });
    if (!isKnown)
        return errorReply(
                {ErrorId::NotFound,
                 "no such upstream, or the node is another one: send the request to that node"});
    return jsonReply({{"draining", upstream.empty() ? node : upstream}}, 202);
}

} // namespace gypsumdale
