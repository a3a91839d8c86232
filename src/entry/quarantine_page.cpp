#include <gypsumdale/runtime/http_status.hpp>

#include <entry/operator_reply.hpp>
#include <entry/quarantine_page.hpp>

#include <string> // string

namespace gypsumdale {

namespace {

using Json = nlohmann::json;

constexpr std::string_view listPath = "/-/quarantine";
constexpr std::string_view liftPath = "/-/quarantine/lift/";

std::string_view stateOf(const QuarantineEntry &entry, TimePoint now)
{
    if (entry.m_isLifted)
        return "lifted";
    return entry.m_until > now ? "rejected" : "due-for-trial";
}

HttpReply list(const QuarantineAccess &access)
{
    Json entries = Json::array();
    for (const QuarantineEntry &entry : access.m_entries) {
        entries.push_back({{"id", idOf(entry)},
                           {"service", entry.m_service.text()},
                           {"elements", textOf(entry.m_elements)},
                           {"times", entry.m_times},
                           {"state", stateOf(entry, access.m_now)},
                           {"remainingMillis", toWholeMillis(entry.m_until - access.m_now)},
                           {"known", entry.m_isLocal ? "here" : "everywhere"}});
    }
    return operatorReply(statusOk, {{"entries", entries}});
}

} // namespace

bool isQuarantinePage(const HttpRequest &request)
{
    return request.path().starts_with(listPath);
}

bool isLoopback(std::string_view ip)
{
    return ip.starts_with("127.") || ip == "::1";
}

HttpReply answerQuarantinePage(const HttpRequest &request, bool isLocal,
                               const QuarantineAccess &access)
{
    const std::string path(request.path());
    if (request.m_method == "GET" && path == listPath)
        return list(access);
    if (request.m_method != "POST" || !path.starts_with(liftPath))
        return operatorRefusal(statusNotFound, ErrorId::NotFound, "no such page");
    if (!isLocal)
        return operatorRefusal(statusForbidden, ErrorId::CredentialRefused,
                               "only from the machine itself");
    const std::string id = path.substr(liftPath.size());
    if (!access.m_lift(id))
        return operatorRefusal(statusNotFound, ErrorId::NotFound,
                               "nothing with this id is rejected");
    return operatorReply(statusOk, {{"lifted", id}});
}

} // namespace gypsumdale
