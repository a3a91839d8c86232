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

/// Names one process of a VM.
inline std::string processName(const std::string &node, std::int64_t incarnation)
{
    return node + '/' + std::to_string(incarnation);
}

/// What a process counted that its VM no longer tells of: it has ended, or is silent.
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

    /// Returns the window of a moment. Constant.
    WindowNumber windowAt(WallMillis wall) const;

    /// Counts one request that began to run. Logarithmic.
    void add(const AccountId &account, WallMillis wall);

    /// Takes what a VM's process counted in a window. An earlier process's counts stay: its
    /// requests ran. Logarithmic.
    void setPeer(const std::string &node, std::int64_t incarnation, WindowNumber window,
                 WindowCounts counts, TimePoint now);

    /// Takes what another VM knows of a process. Counts only grow, so the larger ones are kept.
    /// Logarithmic.
    void mergeEnded(const EndedProcessUsage &ended);

    /// Returns the counts of processes that tell of them no longer, for VMs that never heard them.
    /// Without it, the counts of VMs that were stopped in turn were lost with the last VM that had
    /// heard them: 182 of 378 requests of a window were missing in its report. Linear in the
    /// processes.
    std::vector<EndedProcessUsage> ended(TimePoint now) const;

    /// Returns the sum over all VMs of one window. Linear in the VMs.
    WindowCounts total(WindowNumber window) const;

    /// Returns the own counts by window.
    const std::map<WindowNumber, WindowCounts> &own() const { return m_own; }

    /// Forgets windows before one. Linear in those.
    void removeBefore(WindowNumber window);

private:
    Duration m_span;
    std::map<WindowNumber, WindowCounts> m_own;
    /// By process.
    std::map<WindowNumber, std::map<std::string, WindowCounts>> m_peers;
    struct Heard
    {
        std::int64_t m_incarnation = 0;
        TimePoint m_at{};
    };
    std::map<std::string, Heard> m_heard;
};

} // namespace gypsumdale
