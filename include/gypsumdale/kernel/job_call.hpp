#pragma once

#include <gypsumdale/kernel/chat_request.hpp>
#include <gypsumdale/kernel/chunk_writer.hpp>
#include <gypsumdale/kernel/job_feed.hpp>
#include <gypsumdale/kernel/request_context.hpp>
#include <gypsumdale/kernel/traffic.hpp>

#include <memory> // shared_ptr
#include <optional> // optional
#include <string> // string

namespace gypsumdale {

/// Serves one caller of a durable job: the one that requested it, or one that reattaches. Used in
/// one fiber of a traffic loop; the job itself doesn't depend on it.
class JobCall
{
public:
    JobCall(Traffic &traffic, HttpResponder &responder);

    /// Offers a job and streams its answer once the job is accepted. A job that isn't accepted is
    /// answered with the error and not continued.
    void runNew(const RequestContext &context, const ChatRequest &request, const std::string &body);

    /// Continues a job's answer from a position, here or at the node that has the job.
    void runReattached(const MemberId &member, const JobId &job, AnswerPosition position,
                       const HttpRequest &original);

private:
    bool awaitAcceptance(JobFeed &feed);
    void follow(JobFeed &feed);
    bool processTokens(const FeedTokens &tokens);
    void sendStored(const ServeFrom &answer, const std::shared_ptr<JobFeed> &feed);
    void sendEnd(std::string_view finishReason, Finality finality);
    void sendRemainder();
    void sendReattachHint();
    void proxy(const wire::JobLocated &located, const HttpRequest &original);
    bool begin();
    bool write();

    Traffic &m_traffic;
    HttpResponder &m_responder;
    JobId m_job;
    MemberId m_member;
    std::optional<ChunkWriter> m_writer;
    std::string m_buffer;
    AnswerPosition m_position;
    /// Answer so far, for a caller that requested it in one piece.
    std::optional<AnswerText> m_collected;
    std::uint32_t m_promptTokens = 0;
    RequestSeries *m_series = nullptr;
    TimePoint m_arrivedAt{};
    TimePoint m_lastTokenAt{};
    std::vector<FeedTokens> m_earlyTokens;
    bool m_hasStarted = false;
};

} // namespace gypsumdale
