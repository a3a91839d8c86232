#include <gypsumdale/kernel/job_logs.hpp>
#include <gypsumdale/kernel/log_io.hpp>

#include <fmt/format.h>

#include <chrono> // duration_cast, milliseconds
#include <set> // set
#include <string_view> // string_view
#include <utility> // move

namespace gypsumdale {

namespace {

constexpr std::string_view jobsKind = "jobs";
/// The record of an offer contains the complete request, and a segment must stay below the
/// platform's limit of 1 MiB.
constexpr std::size_t maxRecordBytes = std::size_t{768} * 1024;
constexpr std::size_t maxSegmentBytes = std::size_t{900} * 1024;

} // namespace

JobLogs::JobLogs(ControlContext &context, JobTable &table, std::function<void()> onUpdate)
    : m_context(context)
    , m_table(table)
    , m_onUpdate(std::move(onUpdate))
{}

JobLogs::Log &JobLogs::logFor(const JobLogId &id)
{
    Log &log = m_logs[id];
    if (!log.m_log) {
        PlatformLogSettings settings;
        settings.m_maxRecordBytes = maxRecordBytes;
        settings.m_maxSegmentBytes = maxSegmentBytes;
        settings.m_writer =
                fmt::format("{}.{:x}", m_context.m_settings.m_node.text(), m_context.m_incarnation);
        log.m_log = std::make_unique<PlatformLog>(settings);
    }
    log.m_isReleased = false;
    return log;
}

void JobLogs::append(const JobLogId &id, const wire::JobRecord &record)
{
    const auto ticket = logFor(id).m_log->append(wire::encode(record));
    if (!succeeded(ticket)) {
        m_context.m_log.failure("job-record-not-appended", errorOf(ticket));
        m_table.onAppendLost(id, m_context.now());
    }
    executeCommands(id);
}

void JobLogs::follow(const JobLogId &id)
{
    logFor(id).m_log->refresh();
    executeCommands(id);
}

void JobLogs::leave(const JobLogId &id)
{
    const auto found = m_logs.find(id);
    if (found != m_logs.end())
        found->second.m_isReleased = true;
}

void JobLogs::tick(Duration retention)
{
    for (auto &[id, log] : m_logs) {
        trim(log, retention);
        executeCommands(id);
    }
    std::erase_if(m_logs, [](const auto &entry) {
        return entry.second.m_isReleased && !entry.second.m_log->hasOutstanding();
    });
}

void JobLogs::list()
{
    const auto result = m_context.m_platform.list(jobsKind, "", false);
    const auto *objects = std::get_if<PlatformObjects>(&result);
    if (!objects)
        return;
    std::set<JobLogId> names;
    for (const PlatformObject &object : objects->m_objects)
        names.insert(JobLogId(object.m_name.substr(0, object.m_name.rfind('/'))));
    m_table.onLogsListed({names.begin(), names.end()}, m_context.now());
    m_onUpdate();
}

void JobLogs::executeCommands(const JobLogId &id)
{
    const auto found = m_logs.find(id);
    if (found == m_logs.end())
        return;
    auto command = found->second.m_log->next(m_context.moment());
    if (!command)
        return;
    m_context.m_loop.spawn([this, id, command = std::move(*command)] {
        const LogAnswer answer =
                performLogCommand(m_context.m_platform, jobsKind, id.text(), command);
        const auto log = m_logs.find(id);
        if (log == m_logs.end())
            return;
        log->second.m_log->onAnswer(answer, m_context.moment());
        takeEvents(id);
        m_onUpdate();
        executeCommands(id);
    });
}

void JobLogs::takeEvents(const JobLogId &id)
{
    for (const PlatformLogEvent &event : m_logs.at(id).m_log->takeEvents())
        handle(id, event);
}

void JobLogs::handle(const JobLogId &id, const PlatformLogEvent &event)
{
    if (const auto *applied = std::get_if<RecordApplied>(&event)) {
        recordSegment(m_logs.at(id), *applied);
        const auto record = wire::decode<wire::JobRecord>(applied->m_record);
        if (succeeded(record))
            m_table.onRecordApplied(id, valueOf(record), m_context.now());
        else
            m_context.m_log.failure("job-record-malformed", errorOf(record));
    }
    if (std::holds_alternative<LogCaughtUp>(event))
        m_table.onLogCaughtUp(id, m_context.now());
    if (const auto *corrupt = std::get_if<LogCorrupt>(&event))
        m_context.m_log.error("job-log-corrupt", {{LogField::Text, corrupt->m_reason}});
}

void JobLogs::recordSegment(Log &log, const RecordApplied &applied)
{
    const bool isNew = log.m_segments.empty() || log.m_segments.back().m_number < applied.m_number;
    if (isNew)
        log.m_segments.push_back({applied.m_number, applied.m_writtenAt});
}

/// Without trimming, segments would accumulate in the platform without limit, and each listing of
/// the logs would grow with them. Segments older than the longest life of a job plus the retention
/// belong only to jobs that nobody may ask for any more.
void JobLogs::trim(Log &log, Duration retention)
{
    const auto maxAge = std::chrono::duration_cast<std::chrono::milliseconds>(
            JobTableSettings().m_maximumJobAge + retention);
    const WallMillis oldest = m_context.wallNow() - maxAge.count();
    while (!log.m_segments.empty() && log.m_segments.front().m_writtenAt < oldest) {
        log.m_log->trimBefore(log.m_segments.front().m_number + 1);
        log.m_segments.pop_front();
    }
}

} // namespace gypsumdale
