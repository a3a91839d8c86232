#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/usage_counts.hpp>

#include <functional> // function
#include <map> // map
#include <optional> // optional
#include <set> // set
#include <vector> // vector

namespace gypsumdale {

/// The usage windows as stored.
struct UsageLedger
{
    /// Final counts, never changed again: a window's report equals its entry here.
    std::map<WindowNumber, WindowCounts> m_fixed;
    /// Counts so far of windows that have ended and may still grow.
    std::map<WindowNumber, WindowCounts> m_provisional;

    bool operator==(const UsageLedger &) const = default;
};

struct UsageReport
{
    WindowNumber m_window = 0;
    WindowCounts m_counts;
};

/// Decides when the duty holder stores provisional and final counts of usage windows and reports
/// them.
///
/// A window's counts are made final in the store before its report, so that two holders never
/// report different counts. They become final once every VM of the fleet has reported its counts up
/// to the window's end or, where one stays silent, as late as still leaves a successor time to take
/// over and report. Until then, provisional counts of an ended window are stored: when all VMs were
/// killed while the report of an already replaced VM was awaited, nobody knew the counts any more,
/// and the bill lacked the window. Counts of the current window are lost with the VMs: provisional
/// counts would lack the requests since the last exchanges, which is more than the permitted error
/// of a report.
class UsageWindows
{
public:
    UsageWindows(Duration span, Duration due);

    /// The duty holder's view of the time and the fleet.
    struct FleetObservation
    {
        WallMillis m_now = 0;
        /// A report of every VM of the fleet was received at this time or later.
        WallMillis m_allReceivedSince = 0;
    };
    using CountsLookup = std::function<WindowCounts(WindowNumber)>;

    /// Changes the due time after a reload of the settings.
    void setDue(Duration due) { m_due = due; }

    /// Records the stored ledger, as just read or written. Complexity: linear in its windows.
    void setLedger(UsageLedger ledger) { m_ledger = std::move(ledger); }

    /// Returns the ledger that should replace the stored one, if any. Complexity: linear in
    /// accounts and the windows that are not reported.
    std::optional<UsageLedger> ledgerToStore(const FleetObservation &look,
                                             const CountsLookup &lookUp);

    /// Returns the reports that are due and may be sent. Complexity: linear in accounts.
    std::vector<UsageReport> dueReports(WallMillis now) const;

    /// Records that a report was accepted. Complexity: logarithmic.
    void onReportAccepted(WindowNumber window) { m_sent.insert(window); }

private:
    WallMillis endOf(WindowNumber window) const { return (window + 1) * m_span; }
    WindowNumber firstDue(WallMillis now) const;
    bool isFinal(WindowNumber window, const FleetObservation &look) const;
    /// Returns the known counts of a window, received or provisional.
    WindowCounts known(WindowNumber window, const CountsLookup &lookUp) const;
    void removeBefore(WindowNumber window, UsageLedger &ledger);

    WallMillis m_span;
    Duration m_due;
    UsageLedger m_ledger;
    std::set<WindowNumber> m_sent;
    WallMillis m_provisionalAt = 0;
};

} // namespace gypsumdale
