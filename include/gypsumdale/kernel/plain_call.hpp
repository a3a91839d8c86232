#pragma once

#include <gypsumdale/kernel/request_context.hpp>
#include <gypsumdale/kernel/traffic.hpp>
#include <gypsumdale/ledger/claim_messages.hpp>
#include <gypsumdale/ledger/outcome.hpp>

#include <cstdint> // uint32_t
#include <optional> // optional
#include <string> // string

namespace gypsumdale {

/// Serves one request to a plain service: at most once if the profile requires it, with a claim in
/// the platform if the caller sent an idempotency key. Used in one fiber of a traffic loop.
class PlainCall
{
public:
    PlainCall(Traffic &traffic, RequestContext context, const HttpRequest &request,
              std::string target, HttpResponder &responder);

    /// Answers the request. The header X-Outcome of the answer says whether the request ran.
    void run();

private:
    struct AttemptResult
    {
        CallPhase m_phase = CallPhase::NothingSent;
        HttpReply m_reply;
        Error m_error;
    };

    bool isAtMostOnce() const { return m_context.m_profile->m_repeatSafety == RepeatSafety::Once; }
    void runClaimed(const std::string &key);
    void refuse(const NotPlaced &refusal);
    void runAttempts(const std::optional<AttemptId> &claimed);
    AttemptResult attempt(const Placed &placed);
    AttemptResult resultOf(const HttpReply &reply) const;
    bool isForOtherRequest(const HttpReply &reply) const;
    /// Reports an answer. Returns without waiting, so that the caller isn't delayed; the control
    /// loop keeps the order, so the caller's next request is decided after the report.
    void reportAnswered(const HttpReply &reply);
    /// Reports an attempt without an answer and returns whether there is another one.
    RetryDecision reportFailed(const AttemptResult &attemptResult);
    void finishCall(const std::optional<AttemptId> &claimed, const AttemptResult &attemptResult,
                    Duration retryAfter);
    void answer(const HttpReply &reply, Outcome outcome);
    void answerClaimed(const ClaimResult &result);
    void count(Outcome outcome, const Error &error);

    Traffic &m_traffic;
    RequestContext m_context;
    const HttpRequest &m_request;
    std::string m_target;
    HttpResponder &m_responder;
    WaitingRequest m_waiting;
    RetryProfile m_retry;
    AttemptInfo m_info;
    std::string m_attemptName;
    TimePoint m_attemptAt{};
    std::uint32_t m_attempts = 0;
};

} // namespace gypsumdale
