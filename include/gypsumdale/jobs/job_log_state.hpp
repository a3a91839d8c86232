#pragma once

#include <gypsumdale/jobs/job.hpp>

#include <cstddef> // size_t
#include <deque> // deque
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set

namespace gypsumdale {

/// Result of applying a record.
enum class RecordEffect { Applied, Repeated, Fenced, Malformed };

inline constexpr NameTable<RecordEffect, 4> recordEffectNames{{
        {RecordEffect::Applied, "applied"},
        {RecordEffect::Repeated, "repeated"},
        {RecordEffect::Fenced, "fenced"},
        {RecordEffect::Malformed, "malformed"},
}};

/// The jobs described by one log. All readers that apply the same records in the same order have
/// the same jobs.
///
/// A record takes effect only if it names the current epoch of its job, so that records which a
/// former owner appends after a takeover change nothing. A record may be appended twice: the second
/// one is recognised as a repetition.
class JobLogState
{
public:
    /// Applies the next record. Complexity: amortised linear in the size of the record.
    RecordEffect apply(const wire::JobRecord &record);

    /// Returns a job, or nullptr. Complexity: constant.
    const Job *find(const JobId &job) const;

    /// Removes a job without a record, such as a copy that its owner released. Complexity:
    /// constant.
    void forget(const JobId &job);

    const std::unordered_map<JobId, Job> &jobs() const { return m_jobs; }

    /// Returns whether a job was in the log and was removed. The last 10,000 removals are
    /// remembered. Complexity: constant.
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
