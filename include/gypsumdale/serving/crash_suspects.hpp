#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/crash_elements.hpp>
#include <gypsumdale/serving/upstream_process.hpp>

#include <cstddef> // size_t
#include <map> // map
#include <optional> // optional
#include <vector> // vector

namespace gypsumdale {

/// A run that its upstream had not begun to deliver when it ended.
struct SuspectRun
{
    CrashElements m_elements;
    /// The header of its answer had arrived.
    bool m_hasBegun = false;
};

/// An upstream's process that ended without notice, and the runs there that may be the cause. Runs
/// that had delivered something are none of them.
struct UpstreamEnd
{
    UpstreamProcess m_process;
    ServiceId m_service;
    TimePoint m_endedAt{};
    std::vector<SuspectRun> m_runs;
};

/// Drops elements from an end, as runs with them have delivered something, and runs of which
/// nothing is left. Complexity: linear in the runs.
void removeElements(UpstreamEnd &end, const CrashElements &proven);

/// Ends of upstreams of all VMs, and what is their cause.
///
/// What crashes each upstream that begins to answer it is under way at each of these ends, and no
/// run with it has ever delivered anything. Others are under way at some ends by chance, or because
/// their clients repeat them. The verdict is the set of all elements that the runs in question have
/// in common, and concerns only requests that hold the whole set: of a part that is always sent
/// beside the lethal one nothing is known.
class CrashSuspects
{
public:
    /// Number of ends, at different moments, from which something can be found to be their cause.
    static constexpr std::size_t minEnds = 3;
    /// Number that is enough although other ends are not explained.
    static constexpr std::size_t manyEnds = 5;

    /// Records an end. Reports of one end by several VMs are joined. Complexity: linear in the
    /// recorded ends.
    void record(const UpstreamEnd &end, TimePoint now);

    /// Drops elements from all ends, as runs with them have delivered something. Complexity: linear
    /// in the recorded runs.
    void clear(const CrashElements &proven);

    /// Returns the ends at which one of some elements was under way. Complexity: linear in the
    /// recorded runs.
    std::vector<UpstreamEnd> endsWith(const CrashElements &elements) const;

    /// Returns all elements that may be the cause of an end. Complexity: linear in the recorded
    /// runs.
    CrashElements elements() const;

    /// Returns whether an end of a process is recorded.
    bool isRecorded(const UpstreamProcess &process) const { return m_ends.contains(process); }

    /// Returns the number of ends of requests that hold some elements. Those of one moment count
    /// once, as upstreams that end together have another cause. Complexity: linear in the recorded
    /// ends.
    std::size_t endCount(const CrashElements &elements) const;

    /// Returns what else is found to be the cause of a service's ends, or nothing. `known` are the
    /// causes found before, which explain theirs. Complexity: quadratic in the recorded ends.
    std::optional<CrashElements> findCause(const ServiceId &service,
                                           const std::vector<CrashElements> &known) const;

private:
    using Ends = std::vector<const UpstreamEnd *>;

    struct Explanation
    {
        CrashElements m_elements;
        Ends m_ends;
        std::size_t m_count = 0;
        /// Of these, the ones at which its runs had begun to be answered.
        std::size_t m_begunCount = 0;
        /// Expected number of its ends that it has caused, if each suspected run is as likely.
        double m_weight = 0;
        /// Another explanation has as many of the same ends.
        bool m_hasRival = false;
    };

    static std::vector<const SuspectRun *> suspectsOf(const UpstreamEnd &end);
    static std::size_t requiredEnds(const Explanation &explanation, std::size_t unexplained);
    static bool isExplained(const UpstreamEnd &end, const CrashElements &cause);
    static std::size_t moments(const Ends &ends);
    static std::optional<Explanation> bestExplanation(const Ends &open);
    static CrashElements commonOf(const CrashElement &element, const Ends &ends);
    static Explanation explanationOf(const CrashElement &element, const Ends &ends);
    std::optional<CrashElements> narrowed(const Ends &ends,
                                          const std::vector<CrashElements> &known) const;
    Ends endsOf(const ServiceId &service) const;

    std::map<UpstreamProcess, UpstreamEnd> m_ends;
};

} // namespace gypsumdale
