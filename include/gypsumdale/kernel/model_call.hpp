#pragma once

#include <gypsumdale/kernel/chat_request.hpp>
#include <gypsumdale/kernel/chunk_writer.hpp>
#include <gypsumdale/kernel/engine_call.hpp>
#include <gypsumdale/kernel/request_context.hpp>
#include <gypsumdale/kernel/traffic.hpp>

#include <memory> // shared_ptr
#include <optional> // optional
#include <string> // string

namespace gypsumdale {

/// Returns a profile's retry rules for model requests.
RetryProfile retryProfileOf(const Profile &profile, bool canResume);

/// Returns the properties of a chat request that the queue and the routing use.
WaitingRequest waitingRequestOf(const RequestContext &context, const ChatRequest &request);

/// Serves one model request that is not a durable job, from its placement to the last byte. Retries
/// continue the answer after what the caller has received. Used in one fiber of a traffic loop.
class ModelCall
{
public:
    ModelCall(Traffic &traffic, RequestContext context, ChatRequest request,
              HttpResponder &responder);

    /// Answers the request. In every case the caller receives a complete answer, an error, or a
    /// stream that is visibly truncated.
    void run();

private:
    struct AttemptResult
    {
        AttemptEnd m_end = AttemptEnd::Completed;
        AttemptOutcome m_outcome = AttemptOutcome::NothingSent;
        Error m_error;
        bool m_isPermanent = false;
    };

    AttemptResult attempt(const Placed &placed);
    AttemptResult readStream(EngineCall &call);
    AttemptResult resultOf(const EngineFailure &failure) const;
    bool writeTokens(const EngineProgress &progress);
    void reportProgress(bool isFinal);
    void finish();
    void refuse(const Error &error, Duration retryAfter);
    /// Reports a complete answer. Returns without waiting, so that the caller's last bytes aren't
    /// delayed; the control loop keeps the order, so the caller's next request is decided after the
    /// report.
    void reportCompleted();
    /// Reports a failed attempt and returns whether there is another one.
    RetryDecision reportFailed(const AttemptResult &attemptResult);
    void onCallerGone();
    DrainingRun drainingRun() const { return {m_request.expectedTokens()}; }

    Traffic &m_traffic;
    RequestContext m_context;
    ChatRequest m_request;
    HttpResponder &m_responder;
    ChunkWriter m_writer;
    AnswerAssembler m_assembler;
    WaitingRequest m_waiting;
    RetryProfile m_retry;
    AttemptInfo m_info;
    EngineCall *m_call = nullptr;
    std::string m_buffer;
    std::uint32_t m_attempts = 0;
    std::uint64_t m_truncated = 0;
    TimePoint m_attemptAt{};
    TimePoint m_lastTokenAt{};
    TimePoint m_reportedAt{};
    std::int64_t m_reportedTokens = 0;
    bool m_hasStarted = false;
    bool m_hasFirstToken = false;
    bool m_isCallerGone = false;
};

} // namespace gypsumdale
