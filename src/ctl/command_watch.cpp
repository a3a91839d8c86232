#include <ctl/admin_reply.hpp>
#include <ctl/command.hpp>
#include <ctl/rollout.hpp>

#include <fmt/format.h>

#include <variant> // get_if

namespace gypsumdale::ctl {

namespace {

constexpr auto watchInterval = std::chrono::seconds(1);

std::string describe(const Rollout &rollout)
{
    return fmt::format("version {}\n{}", rollout.m_version,
                       formatRollout(rollout, rollout.m_version));
}

/// Reports an answer that is not a rollout. The command then fails even if the status is a success.
ExitCode failOn(const Session &session, const HttpReply &reply)
{
    const ExitCode code = complain(session, reply);
    return code == ExitCode::Ok ? ExitCode::Failed : code;
}

} // namespace

ExitCode runWatch(Session &session)
{
    const Environment &surroundings = session.m_surroundings;
    const auto &words = session.m_invocation.m_positionals;
    const std::string target = objectTarget("rollout", words[0], words[1]);
    const Duration limit = session.m_invocation.m_timeout;
    const TimePoint end = surroundings.m_now() + limit;
    std::string lastText;
    do {
        const AdminResult result = session.m_client.get(target);
        const auto *reply = std::get_if<HttpReply>(&result);
        const auto rollout = reply != nullptr ? readRollout(*reply) : std::nullopt;
        if (reply != nullptr && !rollout)
            return failOn(session, *reply);
        const bool wantsJson = session.m_invocation.m_json;
        const std::string text = !rollout    ? "no entry VM answers; retrying\n"
                                 : wantsJson ? reply->m_body + '\n'
                                             : describe(*rollout);
        if (text != lastText)
            surroundings.m_print(text);
        lastText = text;
        surroundings.m_pause(watchInterval);
    } while (limit == Duration::zero() || surroundings.m_now() < end);
    return ExitCode::Ok;
}

} // namespace gypsumdale::ctl
