#include <gypsumdale/serving/usage_windows.hpp>

#include <algorithm> // max
#include <utility> // move

namespace gypsumdale {

namespace {

/// Time after a window's end from which a VM's report contains everything that it counted in the
/// window: the age of its report, a message's latency, and the difference between synchronised
/// clocks.
constexpr WallMillis reportingDelay = 1000;
/// Margin before a report is due where a VM stays silent: a lease takeover needs 3.4 s at most, and
/// the successor two calls.
constexpr WallMillis reportMargin = 5000;
/// Delay from a window's end to its first provisional counts: one exchange of a small fleet.
constexpr WallMillis provisionalDelay = 400;
/// Minimum interval between two writes of provisional counts.
constexpr WallMillis provisionalInterval = 1000;
/// Number of final windows that are kept beyond those that can still be reported: a successor whose
/// clock is behind must not make one of them final again with other counts.
constexpr WindowNumber keptFinalWindows = 2;

WallMillis millisOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

UsageWindows::UsageWindows(Duration span, Duration due)
    : m_span(millisOf(span))
    , m_due(due)
{}

/// Returns the first window that can still be reported in time.
WindowNumber UsageWindows::firstDue(WallMillis now) const
{
    const WallMillis firstEnd = now - millisOf(m_due);
    return (firstEnd + m_span - 1) / m_span - 1;
}

bool UsageWindows::isFinal(WindowNumber window, const FleetObservation &look) const
{
    const bool isReported = look.m_allReceivedSince >= endOf(window) + reportingDelay;
    const WallMillis longestWait = std::max(millisOf(m_due) - reportMargin, reportingDelay);
    return isReported || look.m_now >= endOf(window) + longestWait;
}

WindowCounts UsageWindows::known(WindowNumber window, const CountsLookup &lookUp) const
{
    WindowCounts counts = lookUp(window);
    const auto provisional = m_ledger.m_provisional.find(window);
    if (provisional == m_ledger.m_provisional.end())
        return counts;
    for (const auto &[account, count] : provisional->second) {
        std::int64_t &known = counts[account];
        known = std::max(known, count);
    }
    return counts;
}

void UsageWindows::removeBefore(WindowNumber window, UsageLedger &ledger)
{
    const auto eraseBefore = [](auto &windows, WindowNumber first) {
        windows.erase(windows.begin(), windows.lower_bound(first));
    };
    eraseBefore(ledger.m_provisional, window);
    eraseBefore(ledger.m_fixed, window - keptFinalWindows);
    eraseBefore(m_sent, window - keptFinalWindows);
}

std::optional<UsageLedger> UsageWindows::ledgerToStore(const FleetObservation &look,
                                                       const CountsLookup &lookUp)
{
    UsageLedger next = m_ledger;
    bool isWorthWriting = false;
    const bool mayWriteProvisional = look.m_now >= m_provisionalAt + provisionalInterval;
    for (WindowNumber window = firstDue(look.m_now); endOf(window) + provisionalDelay <= look.m_now;
         ++window) {
        if (m_sent.contains(window) || m_ledger.m_fixed.contains(window))
            continue;
        WindowCounts counts = known(window, lookUp);
        if (counts.empty())
            continue;
        if (isFinal(window, look)) {
            next.m_fixed[window] = std::move(counts);
            next.m_provisional.erase(window);
            isWorthWriting = true;
            continue;
        }
        WindowCounts &provisional = next.m_provisional[window];
        isWorthWriting = isWorthWriting || (mayWriteProvisional && provisional != counts);
        provisional = std::move(counts);
    }
    if (!isWorthWriting)
        return std::nullopt;
    removeBefore(firstDue(look.m_now), next);
    m_provisionalAt = look.m_now;
    return next;
}

std::vector<UsageReport> UsageWindows::dueReports(WallMillis now) const
{
    std::vector<UsageReport> reports;
    for (auto entry = m_ledger.m_fixed.lower_bound(firstDue(now)); entry != m_ledger.m_fixed.end();
         ++entry) {
        if (!m_sent.contains(entry->first))
            reports.push_back({entry->first, entry->second});
    }
    return reports;
}

} // namespace gypsumdale
