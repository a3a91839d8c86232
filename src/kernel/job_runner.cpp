#include <gypsumdale/kernel/chat_request.hpp>
#include <gypsumdale/kernel/engine_call.hpp>
#include <gypsumdale/kernel/job_runner.hpp>

#include <fmt/format.h>

namespace gypsumdale {

namespace {

constexpr Duration silenceTimeout = std::chrono::seconds(10);

} // namespace

/// One attempt of a job: admitted like any other request, with its tokens reported to the job table
/// as they arrive.
class JobRunner::Attempt
{
public:
    Attempt(Traffic &traffic, TrafficThread &thread, StartAttempt command)
        : m_traffic(traffic)
        , m_thread(thread)
        , m_command(std::move(command))
        , m_name(attemptName(m_command.m_job, m_command.m_epoch, m_command.m_attempt))
        , m_assembler(m_command.m_soFar)
    {}

    /// Runs in a fiber of the attempt's own traffic loop.
    void run()
    {
        const auto request = ChatRequest::parse(m_command.m_request.m_body);
        if (!succeeded(request)) {
            fail(true);
            return;
        }
        const Placement placement = place(valueOf(request));
        const auto *placed = std::get_if<Placed>(&placement);
        if (!placed) {
            fail(false);
            return;
        }
        const AttemptEnd end =
                m_isCancelled ? AttemptEnd::Abandoned : stream(*placed, valueOf(request));
        countDroppedEvents(m_traffic.metrics(), m_assembler);
        m_traffic.callControl([&](Control &control) {
            control.admission().finishAttempt(m_command.m_request.m_service, requestId(), end);
        });
    }

    /// Closes the attempt's connection. Called on the control loop.
    void cancel(const std::shared_ptr<Attempt> &self)
    {
        m_isCancelled = true;
        m_traffic.postToControl([self](Control &control) {
            control.admission().cancel(self->m_command.m_request.m_service, self->requestId());
        });
        m_thread.m_loop.spawn([self] {
            if (self->m_call)
                self->m_call->cancel();
        });
    }

private:
    RequestId requestId() const { return RequestId(m_name); }

    Placement place(const ChatRequest &request)
    {
        WaitingRequest waiting;
        waiting.m_id = requestId();
        waiting.m_member = m_command.m_request.m_member;
        waiting.m_profile = m_command.m_request.m_profile;
        waiting.m_promptTokens = request.promptTokens();
        waiting.m_expectedTokens = request.expectedTokens();
        waiting.m_prefixBlocks = request.prefixBlocks();
        return m_traffic.callControl([&](Control &control) {
            const auto profile = control.config().view().profile(waiting.m_profile);
            // An accepted job waits without a deadline here; the job table enforces its deadline.
            waiting.m_arrivedAt = control.context().now();
            waiting.m_priority = profile ? profile->m_priority : 0;
            m_priority = waiting.m_priority;
            Placement placement = control.admission().place(m_command.m_request.m_service, waiting);
            if (const auto *placed = std::get_if<Placed>(&placement))
                control.jobs().onAttemptPlaced(m_command.m_job, m_command.m_attempt,
                                               placed->m_upstream);
            return placement;
        });
    }

    AttemptEnd stream(const Placed &placed, const ChatRequest &request)
    {
        EngineCall call(m_thread.m_client, m_assembler);
        m_call = &call;
        EngineAttempt attempt;
        attempt.m_endpoint = placed.m_endpoint;
        attempt.m_name = m_name;
        attempt.m_body = request.bodyFor(m_priority, m_assembler.answer());
        attempt.m_headerTimeout = silenceTimeout;
        attempt.m_silenceTimeout = silenceTimeout;
        const auto opened = call.open(attempt);
        const AttemptEnd end = std::holds_alternative<EngineFailure>(opened)
                                       ? failedBy(std::get<EngineFailure>(opened))
                                       : read(call);
        m_call = nullptr;
        return end;
    }

    AttemptEnd read(EngineCall &call)
    {
        for (;;) {
            const auto result = call.read();
            if (const auto *failure = std::get_if<EngineFailure>(&result))
                return failedBy(*failure);
            const auto &progress = std::get<EngineProgress>(result);
            if (progress.m_tokenCount > progress.m_firstNewToken)
                reportTokens(progress);
            if (progress.m_isComplete) {
                reportWhole();
                return AttemptEnd::Completed;
            }
        }
    }

    void reportTokens(const EngineProgress &progress)
    {
        AnswerText newTokens;
        for (std::int64_t index = progress.m_firstNewToken; index < progress.m_tokenCount; ++index)
            newTokens.append(m_assembler.answer().token(index));
        m_traffic.postToControl([command = key(), epoch = m_command.m_epoch,
                                 from = progress.m_firstNewToken,
                                 service = m_command.m_request.m_service, id = requestId(),
                                 newTokens = std::move(newTokens)](Control &control) {
            control.admission().tokens(service, id, static_cast<std::uint32_t>(newTokens.tokens()));
            control.jobs().onTokens(command.first, command.second, epoch, from, newTokens);
        });
    }

    void reportWhole()
    {
        m_traffic.postToControl([command = key(), tokens = m_assembler.answer().tokens(),
                                 reason = m_assembler.finishReason()](Control &control) {
            control.jobs().onAttemptFinished(command.first, command.second, tokens, reason);
        });
    }

    AttemptEnd failedBy(const EngineFailure &failure)
    {
        if (m_isCancelled)
            return AttemptEnd::Abandoned;
        fail(failure.m_isPermanent);
        return failure.m_isPermanent            ? AttemptEnd::Abandoned
               : failure.m_isRefusedBeforeStart ? AttemptEnd::Refused
                                                : AttemptEnd::Failed;
    }

    void fail(bool isPermanent)
    {
        m_traffic.postToControl([command = key(), isPermanent](Control &control) {
            control.jobs().onAttemptFailed(command.first, command.second, isPermanent);
        });
    }

    std::pair<JobId, std::uint64_t> key() const { return {m_command.m_job, m_command.m_attempt}; }

    Traffic &m_traffic;
    TrafficThread &m_thread;
    StartAttempt m_command;
    std::string m_name;
    AnswerAssembler m_assembler;
    EngineCall *m_call = nullptr;
    int m_priority = 0;
    std::atomic<bool> m_isCancelled = false;
};

JobRunner::JobRunner(Traffic &traffic)
    : m_traffic(traffic)
{}

AttemptCallbacks JobRunner::callbacks()
{
    return {[this](const StartAttempt &command) { start(command); },
            [this](const CancelAttempt &command) {
                cancel(command);
            }};
}

void JobRunner::start(const StartAttempt &command)
{
    TrafficThread &thread = m_traffic.next();
    auto attempt = std::make_shared<Attempt>(m_traffic, thread, command);
    const auto key = std::pair(command.m_job, command.m_attempt);
    m_running[key] = attempt;
    thread.m_loop.spawn([this, attempt, key] {
        attempt->run();
        m_traffic.postToControl([this, key](Control &) { m_running.erase(key); });
    });
}

void JobRunner::cancel(const CancelAttempt &command)
{
    const auto found = m_running.find({command.m_job, command.m_attempt});
    if (found != m_running.end())
        found->second->cancel(found->second);
}

} // namespace gypsumdale
