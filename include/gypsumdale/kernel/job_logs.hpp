#pragma once

#include <gypsumdale/jobs/job_table.hpp>
#include <gypsumdale/kernel/control_context.hpp>
#include <gypsumdale/ledger/platform_log.hpp>

#include <deque> // deque
#include <functional> // function
#include <map> // map
#include <memory> // unique_ptr

namespace gypsumdale {

/// Logs of jobs in the platform that this node writes or follows. Passes their records to the job
/// table, and notifies the driver that the table may have commands to execute. Used on the control
/// loop only.
class JobLogs
{
public:
    /// `onUpdate` is called after each update of the table.
    JobLogs(ControlContext &context, JobTable &table, std::function<void()> onUpdate);

    void append(const JobLogId &id, const wire::JobRecord &record);
    /// Reads the log to its end and keeps it open.
    void follow(const JobLogId &id);
    /// Drops the log once no command of it is pending.
    void leave(const JobLogId &id);

    /// Trims old segments and sends delayed commands. Must be called regularly. Complexity: linear.
    void tick(Duration retention);

    /// Lists the logs in the platform and passes the list to the table. Suspends the calling fiber.
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
        /// Applied segments that are not trimmed yet, oldest first.
        std::deque<Segment> m_segments;
        bool m_isReleased = false;
    };

    Log &logFor(const JobLogId &id);
    void executeCommands(const JobLogId &id);
    void takeEvents(const JobLogId &id);
    void handle(const JobLogId &id, const PlatformLogEvent &event);
    static void recordSegment(Log &log, const RecordApplied &applied);
    void trim(Log &log, Duration retention);

    ControlContext &m_context;
    JobTable &m_table;
    std::function<void()> m_onUpdate;
    std::map<JobLogId, Log> m_logs;
};

} // namespace gypsumdale
