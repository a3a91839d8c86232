#include <gypsumdale/serving/usage_windows.hpp>

#include <catch2/catch.hpp>

#include <map> // map
#include <optional> // optional

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const AccountId huber("huber");
const AccountId meier("meier");

/// Window 100 lasts from 500 s to 505 s; its report is due at 515 s.
constexpr WindowNumber window = 100;
constexpr WallMillis end = 505000;

/// A holder, its received counts, and the stored object.
class Holder
{
public:
    /// Acts at a moment, with the slowest VM's last report as old as given. Returns whether it
    /// wrote.
    bool act(WallMillis now, WallMillis silence)
    {
        const auto next =
                m_windows.ledgerToStore({now, now - silence}, [this](WindowNumber number) {
                    const auto heard = m_heard.find(number);
                    return heard == m_heard.end() ? WindowCounts() : heard->second;
                });
        if (next) {
            m_stored = *next;
            m_windows.setLedger(*next);
        }
        return next.has_value();
    }

    std::map<WindowNumber, WindowCounts> m_heard;
    UsageLedger m_stored;
    UsageWindows m_windows{5s, 10s};
};

} // namespace

TEST_CASE("a usage window")
{
    Holder holder;
    holder.m_heard[window] = {{huber, 40}};

    SECTION("is fixed once every VM has told what it counted until its end")
    {
        holder.act(end + 999, 0);
        CHECK(holder.m_stored.m_fixed.empty());
        CHECK(holder.act(end + 1000, 0));
        CHECK(holder.m_stored.m_fixed.at(window) == WindowCounts{{huber, 40}});
        CHECK(holder.m_stored.m_provisional.empty());
    }
    SECTION("is not fixed while a VM's last word is of before")
    {
        holder.act(end + 2500, 1501);
        CHECK_FALSE(holder.m_stored.m_fixed.contains(window));
        holder.act(end + 2501, 1501);
        CHECK(holder.m_stored.m_fixed.contains(window));
    }
    SECTION("is fixed in time for a successor if a VM stays silent")
    {
        holder.act(end + 4999, 20000);
        CHECK_FALSE(holder.m_stored.m_fixed.contains(window));
        holder.act(end + 5000, 20000);
        CHECK(holder.m_stored.m_fixed.contains(window));
    }
    SECTION("that is too late for its report is left alone")
    {
        CHECK_FALSE(holder.act(end + 10001, 0));
    }
    SECTION("of which nothing is known yet waits")
    {
        holder.m_heard.clear();
        CHECK_FALSE(holder.act(end + 5000, 0));
        holder.m_heard[window] = {{huber, 1}};
        CHECK(holder.act(end + 5400, 0));
    }
    SECTION("is reported as it was fixed, until that is accepted or too late")
    {
        holder.act(end + 1000, 0);
        holder.m_heard[window] = {{huber, 44}};
        CHECK_FALSE(holder.act(end + 3000, 0));
        const auto reports = holder.m_windows.dueReports(end + 10000);
        REQUIRE(reports.size() == 1);
        CHECK(reports[0].m_window == window);
        CHECK(reports[0].m_counts == WindowCounts{{huber, 40}});
        CHECK(holder.m_windows.dueReports(end + 10001).empty());
        holder.m_windows.onReportAccepted(window);
        CHECK(holder.m_windows.dueReports(end + 4000).empty());
    }
    SECTION("stays in the store beyond its time, for a successor whose clock is behind")
    {
        holder.act(end + 1000, 0);
        holder.m_heard[window + 3] = {{huber, 2}};
        holder.act(end + 16000, 0);
        CHECK(holder.m_stored.m_fixed.contains(window));
        holder.m_heard[window + 4] = {{huber, 2}};
        holder.act(end + 21000, 0);
        CHECK_FALSE(holder.m_stored.m_fixed.contains(window));
    }
}

// A VM was replaced, so that each window waited for its report. All VMs were then killed: no
// process had the counts of a window that had ended three seconds earlier, and it was never
// reported.
TEST_CASE("a usage window that waits for a silent VM is noted")
{
    Holder holder;
    holder.m_heard[window] = {{huber, 40}, {meier, 7}};
    CHECK_FALSE(holder.act(end + 399, 5000));
    REQUIRE(holder.act(end + 400, 5000));
    CHECK(holder.m_stored.m_fixed.empty());
    CHECK(holder.m_stored.m_provisional.at(window) == holder.m_heard[window]);
    CHECK(holder.m_windows.dueReports(end + 400).empty());

    SECTION("so that a successor that heard nothing can report it")
    {
        Holder successor;
        successor.m_windows.setLedger(holder.m_stored);
        CHECK(successor.act(end + 4500, 0));
        CHECK(successor.m_stored.m_fixed.at(window) == holder.m_heard[window]);
        CHECK(successor.m_stored.m_provisional.empty());
        CHECK(successor.m_windows.dueReports(end + 4500).size() == 1);
    }
    SECTION("and a successor that heard more of some accounts takes the larger counts")
    {
        Holder successor;
        successor.m_windows.setLedger(holder.m_stored);
        successor.m_heard[window] = {{huber, 42}, {meier, 3}};
        successor.act(end + 4500, 0);
        CHECK(successor.m_stored.m_fixed.at(window) == WindowCounts{{huber, 42}, {meier, 7}});
    }
    SECTION("again only after a second, and if there is something new")
    {
        CHECK_FALSE(holder.act(end + 2000, 5000));
        holder.m_heard[window][huber] = 41;
        CHECK(holder.act(end + 2400, 5000));
        holder.m_heard[window][huber] = 42;
        CHECK_FALSE(holder.act(end + 3399, 5000));
        CHECK(holder.act(end + 3400, 5000));
        CHECK(holder.m_stored.m_provisional.at(window).at(huber) == 42);
    }
}
