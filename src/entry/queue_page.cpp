#include <gypsumdale/runtime/http_status.hpp>

#include <entry/operator_reply.hpp>
#include <entry/queue_page.hpp>

#include <fmt/format.h>

#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

namespace {

using Json = nlohmann::json;

constexpr std::string_view listPath = "/-/queues";

std::string orderText(const GateView &view)
{
    std::string text;
    for (const MemberId &account : view.m_order)
        text += (text.empty() ? "" : " ") + account.text();
    return text;
}

std::string rejectionsText(const GateView &view)
{
    std::string text;
    for (const auto &[reason, count] : view.m_rejections)
        text += fmt::format("{}{}={}", text.empty() ? "" : " ", enumName(turnReasonNames, reason),
                            count);
    return text;
}

Json entryOf(const ServiceId &service, const GateView &view)
{
    return {{"service", service.text()},    {"state", enumName(roomStateNames, view.m_state)},
            {"slots", view.m_room.m_slots}, {"inFlight", view.m_room.m_inFlight},
            {"window", view.m_window},      {"ownInFlight", view.m_ownInFlight},
            {"waiting", view.m_waiting},    {"peersWaiting", view.m_peersWaiting},
            {"order", orderText(view)},     {"rejections", rejectionsText(view)}};
}

} // namespace

bool isQueuePage(const HttpRequest &request)
{
    return request.path().starts_with(listPath);
}

HttpReply answerQueuePage(const HttpRequest &request, const std::map<ServiceId, GateView> &views)
{
    if (request.m_method != "GET" || std::string(request.path()) != listPath)
        return operatorRefusal(statusNotFound, ErrorId::NotFound, "no such page");
    Json entries = Json::array();
    for (const auto &[service, view] : views)
        entries.push_back(entryOf(service, view));
    return operatorReply(statusOk, {{"queues", entries}});
}

} // namespace gypsumdale
