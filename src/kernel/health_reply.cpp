#include <gypsumdale/kernel/health_reply.hpp>
#include <gypsumdale/runtime/http_status.hpp>

#include <optional> // optional
#include <utility> // move

namespace gypsumdale {

HttpReply textReply(int status, std::string text)
{
    HttpReply reply;
    reply.m_status = status;
    reply.m_headers.add("Content-Type", "text/plain");
    reply.m_body = std::move(text);
    return reply;
}

HttpReply readyReply(Traffic &traffic)
{
    const auto reason = traffic.callControl([](Control &control) -> std::optional<Error> {
        if (!control.drain().isReady())
            return Error{ErrorId::Draining, "this process is shutting down"};
        return control.unreadyReason();
    });
    return reason ? textReply(statusUnavailable, reason->m_text) : textReply(statusOk, "ok");
}

} // namespace gypsumdale
