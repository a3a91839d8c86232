#include "standins/fault_plan.hpp"

#include <algorithm> // find_if
#include <utility> // move

namespace gypsumdale::standins {

namespace {

bool matchesRequest(const Fault &fault, FaultKind kind, std::string_view request)
{
    return fault.m_kind == kind && request.find(fault.m_match) != std::string_view::npos;
}

HttpReply addFault(FaultPlan &plan, const HttpRequest &request)
{
    Result<Fault> fault = readFault(parseJson(request.m_body));
    if (!succeeded(fault))
        return errorReply(400, errorOf(fault).m_text);
    plan.add(valueOf(std::move(fault)));
    return jsonReply(200, plan.describe());
}

HttpReply clearFaults(FaultPlan &plan, const HttpRequest &request)
{
    const auto name = request.parameter("fault");
    if (!name) {
        plan.clear();
        return jsonReply(200, plan.describe());
    }
    const auto kind = enumFromName(faultNames, *name);
    if (!kind)
        return errorReply(400, "unknown fault '" + *name + "'");
    plan.clear(kind);
    return jsonReply(200, plan.describe());
}

} // namespace

void FaultPlan::add(Fault fault)
{
    m_faults.push_back(std::move(fault));
}

void FaultPlan::clear(std::optional<FaultKind> kind)
{
    std::erase_if(m_faults, [&](const Fault &fault) { return !kind || fault.m_kind == *kind; });
}

std::optional<Fault> FaultPlan::take(FaultKind kind, std::string_view request)
{
    const auto found = std::find_if(m_faults.begin(), m_faults.end(), [&](const Fault &fault) {
        return matchesRequest(fault, kind, request);
    });
    if (found == m_faults.end())
        return std::nullopt;
    Fault fault = *found;
    if (found->m_count && --*found->m_count <= 0)
        m_faults.erase(found);
    return fault;
}

Json FaultPlan::describe() const
{
    Json list = Json::array();
    for (const Fault &fault : m_faults) {
        Json entry = {{"fault", enumName(faultNames, fault.m_kind)},
                      {"match", fault.m_match},
                      {"afterTokens", fault.m_afterTokens},
                      {"delayMillis", toMillis(fault.m_delay)}};
        if (fault.m_count)
            entry["count"] = *fault.m_count;
        list.push_back(std::move(entry));
    }
    return {{"faults", std::move(list)}};
}

Result<Fault> readFault(const Json &json)
{
    if (!json.is_object())
        return Error{ErrorId::RequestMalformed, "the body is not a JSON object"};
    const std::string name = textField(json, "fault");
    const auto kind = enumFromName(faultNames, name);
    if (!kind)
        return Error{ErrorId::RequestMalformed, "unknown fault '" + name + "'"};
    Fault fault;
    fault.m_kind = *kind;
    fault.m_count = integerField(json, "count");
    fault.m_match = textField(json, "match");
    fault.m_afterTokens = integerField(json, "afterTokens").value_or(0);
    fault.m_delay = fromMillis(numberField(json, "delayMillis").value_or(0));
    return fault;
}

HttpReply answerFaultCall(FaultPlan &plan, const HttpRequest &request)
{
    if (request.m_method == "GET")
        return jsonReply(200, plan.describe());
    if (request.m_method == "POST")
        return addFault(plan, request);
    if (request.m_method == "DELETE")
        return clearFaults(plan, request);
    return errorReply(405, "GET, POST or DELETE");
}

} // namespace gypsumdale::standins
