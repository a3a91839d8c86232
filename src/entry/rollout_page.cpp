#include <gypsumdale/runtime/http_status.hpp>
#include <gypsumdale/runtime/http_target.hpp>

#include <entry/operator_reply.hpp>
#include <entry/rollout_page.hpp>

#include <algorithm> // any_of
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

namespace {

using Json = nlohmann::json;

constexpr std::string_view listPath = "/-/rollouts";

HttpReply list(const RolloutAccess &access)
{
    Json entries = Json::array();
    for (const RolloutView &view : access.m_rollouts) {
        entries.push_back({{"name", view.m_rollout},
                           {"service", view.m_service},
                           {"target", view.m_target},
                           {"stage", view.m_isPaused ? "paused" : view.m_stage},
                           {"reason", view.m_reason},
                           {"share", view.m_share},
                           {"answers", view.m_answers},
                           {"badAnswers", view.m_badAnswers},
                           {"controlAnswers", view.m_controlAnswers},
                           {"remainingMillis", view.m_remainingMillis}});
    }
    return operatorReply(statusOk, {{"rollouts", entries}});
}

/// Reads "/-/rollouts/ACTION/NAME".
std::optional<RolloutOrder> orderOf(std::string_view path)
{
    if (!path.starts_with(listPath) || path.size() <= listPath.size() + 1)
        return std::nullopt;
    const std::string_view rest = path.substr(listPath.size() + 1);
    const std::size_t slash = rest.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto action = enumFromName(rolloutActionNames, rest.substr(0, slash));
    const auto name = percentDecoded(rest.substr(slash + 1));
    if (!action || !name)
        return std::nullopt;
    return RolloutOrder{*name, *action};
}

} // namespace

bool isRolloutPage(const HttpRequest &request)
{
    return request.path().starts_with(listPath);
}

HttpReply answerRolloutPage(const HttpRequest &request, bool isLocal, const RolloutAccess &access)
{
    const std::string path(request.path());
    if (request.m_method == "GET" && path == listPath)
        return list(access);
    const auto order = request.m_method == "POST" ? orderOf(path) : std::nullopt;
    if (!order)
        return operatorRefusal(statusNotFound, ErrorId::NotFound, "no such page");
    if (!isLocal)
        return operatorRefusal(statusForbidden, ErrorId::CredentialRefused,
                               "only from the machine itself");
    const bool isKnown = std::any_of(
            access.m_rollouts.begin(), access.m_rollouts.end(),
            [&order](const RolloutView &view) { return view.m_rollout == order->m_rollout; });
    if (!isKnown)
        return operatorRefusal(statusNotFound, ErrorId::NotFound, "no roll-out of this name");
    access.m_order(*order);
    return operatorReply(statusOk, {{"ordered", enumName(rolloutActionNames, order->m_action)}});
}

} // namespace gypsumdale
