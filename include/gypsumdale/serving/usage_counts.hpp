#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstdint> // int64_t
#include <map> // map
#include <string> // string, to_string
#include <vector> // vector

namespace gypsumdale {

/// Number of a usage window: window k begins k spans after the start of 1970.
using WindowNumber = std::int64_t;
using WindowCounts = std::map<AccountId, std::int64_t>;

/// Returns the name of one process of a VM.
inline std::string processName(const std::string &node, std::int64_t incarnation)
{
    return node + '/' + std::to_string(incarnation);
}

/// Counts of a process that its VM no longer reports, because it has ended or its VM is silent.
struct EndedProcessUsage
{
    std::string m_process;
    WindowNumber m_window = 0;
    WindowCounts m_counts;
};

/// Counts of requests that began to run, by window and account, of this VM and of the others.
class UsageCounts
{
public:
    explicit UsageCounts(Duration span)
        : m_span(span)
    {}

    /// Returns the window of a moment. Complexity: constant.
    WindowNumber windowAt(WallMillis wall) const;

    /// Counts one request that began to run. Complexity: logarithmic.
    void add(const AccountId &account, WallMillis wall);

    /// Records the counts of a VM's process for a window. An earlier process's counts remain, as
    /// its requests ran. Complexity: logarithmic.
    void setPeer(const std::string &node, std::int64_t incarnation, WindowNumber window,
                 WindowCounts counts, TimePoint now);

    /// Merges another VM's counts of a process. Counts only grow, so the larger ones are kept.
    /// Complexity: logarithmic.
    void mergeEnded(const EndedProcessUsage &ended);

    /// Returns the counts of processes that no longer report them, for VMs that never received
    /// them. Without this, the counts of VMs that were stopped one after another were lost with the
    /// last VM that had received them: 182 of 378 requests of a window were missing from its
    /// report. Complexity: linear in the processes.
    std::vector<EndedProcessUsage> ended(TimePoint now) const;

    /// Returns the sum over all VMs for one window. Complexity: linear in the VMs.
    WindowCounts total(WindowNumber window) const;

    /// Returns this VM's counts by window.
    const std::map<WindowNumber, WindowCounts> &own() const { return m_own; }

    /// Removes the windows before one. Complexity: linear in those.
    void removeBefore(WindowNumber window);

private:
    Duration m_span;
    std::map<WindowNumber, WindowCounts> m_own;
    /// Counts by window and process.
    std::map<WindowNumber, std::map<std::string, WindowCounts>> m_peers;
    struct LastReport
    {
        std::int64_t m_incarnation = 0;
        TimePoint m_at{};
    };
    std::map<std::string, LastReport> m_lastReports;
};

} // namespace gypsumdale
