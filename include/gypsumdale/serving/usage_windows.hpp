#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/usage_counts.hpp>

#include <functional> // function
#include <map> // map
#include <optional> // optional
#include <set> // set
#include <vector> // vector

namespace gypsumdale {

/// The usage windows as they stand in the store.
struct UsageLedger
{
    /// Never changed again: what is reported of a window is what was fixed.
    std::map<WindowNumber, WindowCounts> m_fixed;
    /// What is known so far of windows that are over and may still grow.
    std::map<WindowNumber, WindowCounts> m_provisional;

    bool operator==(const UsageLedger &) const = default;
};

struct UsageReport
{
    WindowNumber m_window = 0;
    WindowCounts m_counts;
};

/// Decides when the holder of the duties notes, fixes and reports usage windows.
///
/// A window is fixed in the store before its report, so that two holders never report different
/// counts. It is fixed once every VM of the fleet has told what it counted until the window's end,
/// or, where one stays silent, as late as leaves a successor the time to take over and report.
/// Until then a window that is over is noted in the store: when all VMs were killed while one that
/// had been replaced was waited for, nobody was left who knew the counts, and the bill lacked the
/// window. What VMs counted in the window under way goes with them: a note of it would lack what
/// came in since the last exchanges, which is more than a report may be off.
class UsageWindows
{
public:
    UsageWindows(Duration span, Duration due);

    /// What the holder sees.
    struct FleetObservation
    {
        WallMillis m_now = 0;
        /// Every VM of the fleet was heard then or later.
        WallMillis m_allReceivedSince = 0;
    };
    using Heard = std::function<WindowCounts(WindowNumber)>;

    /// Takes in the bounds after a reload of the settings.
    void setDue(Duration due) { m_due = due; }

    /// Takes in what stands in the store, read or written just now. Linear in its windows.
    void setLedger(UsageLedger ledger) { m_ledger = std::move(ledger); }

    /// Returns what should stand in the store instead, if anything. Linear in accounts and the
    /// windows that are not reported.
    std::optional<UsageLedger> ledgerToStore(const FleetObservation &look, const Heard &heard);

    /// Returns the reports that are due and may be sent. Linear in accounts.
    std::vector<UsageReport> dueReports(WallMillis now) const;

    /// Takes in that a report was accepted. Logarithmic.
    void onReportAccepted(WindowNumber window) { m_sent.insert(window); }

private:
    WallMillis endOf(WindowNumber window) const { return (window + 1) * m_span; }
    WindowNumber firstDue(WallMillis now) const;
    bool isSettled(WindowNumber window, const FleetObservation &look) const;
    /// Returns what is known of a window, heard or noted.
    WindowCounts known(WindowNumber window, const Heard &heard) const;
    void removeBefore(WindowNumber window, UsageLedger &ledger);

    WallMillis m_span;
    Duration m_due;
    UsageLedger m_ledger;
    std::set<WindowNumber> m_sent;
    WallMillis m_notedAt = 0;
};

} // namespace gypsumdale
