#pragma once

#include <gypsumdale/jobs/job.hpp>

#include <cstddef> // size_t
#include <deque> // deque
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set

namespace gypsumdale {

/// What became of a record.
enum class RecordEffect { Applied, Repeated, Fenced, Malformed };

inline constexpr NameTable<RecordEffect, 4> recordEffectNames{{
        {RecordEffect::Applied, "applied"},
        {RecordEffect::Repeated, "repeated"},
        {RecordEffect::Fenced, "fenced"},
        {RecordEffect::Malformed, "malformed"},
}};

/// What one log says. Every reader that applies the same records in the same order has the same
/// jobs. A record counts only if it names the epoch that its job is in, so that what a former owner
/// appends behind a takeover changes nothing. Records may be appended twice: the second one finds
/// its bytes there.
class JobLogState
{
public:
    /// Applies the next record. Amortised linear in the record.
    RecordEffect apply(const wire::JobRecord &record);

    /// Returns a job, or nullptr. Constant.
    const Job *find(const JobId &job) const;

    /// Removes a job without a record, such as a copy that its owner released. Constant.
    void forget(const JobId &job);

    const std::unordered_map<JobId, Job> &jobs() const { return m_jobs; }

    /// Tells whether a job was in the log and is no longer. The last ten thousand are remembered.
    /// Constant.
    bool wasRemoved(const JobId &job) const { return m_removed.contains(job); }

private:
    RecordEffect applyOffered(const wire::JobOffered &record);
    RecordEffect applyProgress(const wire::JobProgress &record);
    RecordEffect applyFinished(const wire::JobFinished &record);
    RecordEffect applyTakeover(const wire::JobTakeover &record);
    RecordEffect applyRemoved(const wire::JobRemoved &record);
    void rememberRemoved(const JobId &job);

    std::unordered_map<JobId, Job> m_jobs;
    std::unordered_set<JobId> m_removed;
    std::deque<JobId> m_removedOrder;
};

} // namespace gypsumdale
