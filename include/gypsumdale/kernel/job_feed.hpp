#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/jobs/job_commands.hpp>

#include <boost/fiber/buffered_channel.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <memory> // shared_ptr

namespace gypsumdale {

/// New tokens of a job's answer, from the given offset.
struct FeedTokens
{
    std::int64_t m_epoch = 0;
    std::int64_t m_firstToken = 0;
    AnswerText m_tokens;
};

/// The job is held durably and will finish.
struct FeedAccepted
{};

struct FeedRefused
{
    Error m_error;
};

/// Another node sends the next tokens: reattach there at the current position.
struct FeedMoved
{
    NodeId m_node;
};

struct FeedEnded
{
    JobState m_state = JobState::Finished;
};

using FeedEvent = std::variant<FeedTokens, FeedAccepted, FeedRefused, FeedMoved, FeedEnded>;

/// Channel for one caller of a job, from the control loop to the traffic fiber that writes to the
/// caller. Its capacity is limited: a caller that reads too slowly loses the feed, but not the job,
/// and can reattach.
class JobFeed
{
public:
    /// Adds an event without waiting; closes the feed if it is full. Called on the control loop.
    void push(FeedEvent event)
    {
        const auto status = m_channel.try_push(std::move(event));
        if (status == boost::fibers::channel_op_status::full)
            m_channel.close();
    }

    /// Waits for the next event. Returns nothing once the feed is closed and empty. May be called
    /// in any fiber.
    std::optional<FeedEvent> next()
    {
        FeedEvent event;
        if (m_channel.pop(event) != boost::fibers::channel_op_status::success)
            return std::nullopt;
        return event;
    }

    void close() { m_channel.close(); }
    bool isClosed() const { return m_channel.is_closed(); }

private:
    static constexpr std::size_t capacity = 1024;
    boost::fibers::buffered_channel<FeedEvent> m_channel{capacity};
};

} // namespace gypsumdale
