#pragma once

#include <gypsumdale/jobs/job_table.hpp>
#include <gypsumdale/kernel/control_context.hpp>
#include <gypsumdale/ledger/platform_log.hpp>

#include <deque> // deque
#include <functional> // function
#include <map> // map
#include <memory> // unique_ptr

namespace gypsumdale {

/// The logs of jobs in the platform that this node writes or follows. What they say goes to the
/// table; the driver is told when it has commands to carry out. Lives on the control loop.
class JobLogs
{
public:
    /// `onNews` is called after the table was told something.
    JobLogs(ControlContext &context, JobTable &table, std::function<void()> onNews);

    void append(const JobLogId &id, const wire::JobRecord &record);
    /// Reads the log to its end, and keeps it.
    void follow(const JobLogId &id);
    /// The log is dropped once nothing of it is under way.
    void leave(const JobLogId &id);

    /// What only time tells: old segments go, and waiting commands are sent. Linear.
    void tick(Duration retention);

    /// Lists the logs that the platform has, and tells the table. Suspends the calling fiber.
    void list();

private:
    struct Segment
    {
        SegmentNumber m_number = 0;
        WallMillis m_writtenAt = 0;
    };

    struct Log
    {
        std::unique_ptr<PlatformLog> m_log;
        /// Segments applied and not trimmed, oldest first.
        std::deque<Segment> m_segments;
        bool m_isLeft = false;
    };

    Log &named(const JobLogId &id);
    void pump(const JobLogId &id);
    void takeEvents(const JobLogId &id);
    void handle(const JobLogId &id, const PlatformLogEvent &event);
    static void noteSegment(Log &log, const RecordApplied &applied);
    void trim(Log &log, Duration retention);

    ControlContext &m_context;
    JobTable &m_table;
    std::function<void()> m_onNews;
    std::map<JobLogId, Log> m_logs;
};

} // namespace gypsumdale
