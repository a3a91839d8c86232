#include <gypsumdale/kernel/caller_api.hpp>
#include <gypsumdale/kernel/error_reply.hpp>
#include <gypsumdale/kernel/health_reply.hpp>
#include <gypsumdale/kernel/job_call.hpp>
#include <gypsumdale/kernel/model_call.hpp>
#include <gypsumdale/kernel/plain_call.hpp>

namespace gypsumdale {

namespace {

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view servicesPrefix = "/services/";
constexpr std::string_view jobsPrefix = "/v1/jobs/";
constexpr std::string_view eventsSuffix = "/events";
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr Duration notReadyRetryAfter = std::chrono::seconds(1);

} // namespace

std::string_view bearerCredential(const HttpRequest &request)
{
    std::string_view value = request.m_headers.value("Authorization");
    if (!value.starts_with(bearerPrefix))
        return {};
    value.remove_prefix(bearerPrefix.size());
    return value;
}

CallerApi::CallerApi(Traffic &traffic)
    : m_traffic(traffic)
{}

void CallerApi::handle(const HttpRequest &request, HttpResponder &responder)
{
    const std::string_view path = request.path();
    if (path == chatPath)
        handleChat(request, responder);
    else if (path.starts_with(servicesPrefix))
        handleService(request, responder);
    else if (path.starts_with(jobsPrefix))
        handleJob(request, responder);
    else if (path == "/readyz")
        responder.send(readyReply(m_traffic));
    else if (path == "/healthz")
        responder.send(textReply(200, "ok"));
    else
        responder.send(errorReply({ErrorId::NotFound, "no such path"}));
}

Result<RequestContext> CallerApi::resolve(const HttpRequest &request, const ServiceId &service,
                                          ServiceKind kind)
{
    CallerHeaders claim;
    claim.m_credential = bearerCredential(request);
    claim.m_profile = ProfileId(std::string(request.m_headers.value("X-Profile")));
    claim.m_service = service;
    claim.m_kind = kind;
    RequestId id = m_traffic.nextRequestId();
    return m_traffic.callControl([&](Control &control) -> Result<RequestContext> {
        if (const auto reason = control.unreadyReason())
            return *reason;
        return control.resolve(claim, std::move(id));
    });
}

void CallerApi::handleChat(const HttpRequest &request, HttpResponder &responder)
{
    if (request.m_method != "POST") {
        responder.send(errorReply({ErrorId::MethodNotAllowed, "use POST"}));
        return;
    }
    auto chat = ChatRequest::parse(request.m_body);
    if (!succeeded(chat)) {
        responder.send(errorReply(errorOf(chat), Outcome::NotRun));
        return;
    }
    auto context = resolve(request, valueOf(chat).service(), ServiceKind::Model);
    if (!succeeded(context)) {
        responder.send(errorReply(errorOf(context), Outcome::NotRun, notReadyRetryAfter));
        return;
    }
    const RequestsUnderWay::Entry underWay(m_traffic.requestsUnderWay(), valueOf(context));
    const bool isDurable = valueOf(context).m_profile->m_durability == Durability::Job;
    if (isDurable)
        JobCall(m_traffic, responder).runNew(valueOf(context), valueOf(chat), request.m_body);
    else
        ModelCall(m_traffic, valueOf(context), valueOf(std::move(chat)), responder).run();
}

void CallerApi::handleService(const HttpRequest &request, HttpResponder &responder)
{
    const std::string_view path = request.path();
    const std::string_view rest = path.substr(servicesPrefix.size());
    const std::size_t slash = rest.find('/');
    const ServiceId service(std::string(rest.substr(0, slash)));
    const std::size_t consumed =
            servicesPrefix.size() + (slash == std::string_view::npos ? rest.size() : slash);
    std::string target = request.m_target.substr(consumed);
    if (target.empty() || target.front() != '/')
        target.insert(target.begin(), '/');
    auto context = resolve(request, service, ServiceKind::Plain);
    if (!succeeded(context)) {
        responder.send(errorReply(errorOf(context), Outcome::NotRun, notReadyRetryAfter));
        return;
    }
    const RequestsUnderWay::Entry underWay(m_traffic.requestsUnderWay(), valueOf(context));
    PlainCall(m_traffic, valueOf(std::move(context)), request, std::move(target), responder).run();
}

void CallerApi::handleJob(const HttpRequest &request, HttpResponder &responder)
{
    if (request.m_method != "GET") {
        responder.send(errorReply({ErrorId::MethodNotAllowed, "use GET"}));
        return;
    }
    std::string_view name = request.path().substr(jobsPrefix.size());
    if (name.ends_with(eventsSuffix))
        name.remove_suffix(eventsSuffix.size());
    const auto member = m_traffic.callControl([&](Control &control) {
        return control.config().view().accounts().authenticate(bearerCredential(request));
    });
    if (!succeeded(member)) {
        responder.send(errorReply(errorOf(member)));
        return;
    }
    AnswerPosition position;
    std::string from(request.m_headers.value("Last-Event-ID"));
    if (from.empty())
        from = request.parameter("from").value_or("");
    if (!from.empty()) {
        const auto parsed = parsePosition(from);
        if (!parsed) {
            responder.send(
                    errorReply({ErrorId::RequestMalformed, "the position must be EPOCH:OFFSET"}));
            return;
        }
        position = *parsed;
    }
    JobCall(m_traffic, responder)
            .runReattached(valueOf(member), JobId(std::string(name)), position, request);
}

} // namespace gypsumdale
