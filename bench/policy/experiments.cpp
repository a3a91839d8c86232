#include "bench/policy/experiments.hpp"

#include "bench/policy/scenario.hpp"

#include <fmt/format.h>

#include <algorithm> // max, max_element, min_element
#include <chrono> // steady_clock
#include <functional> // function

namespace gypsumdale::bench {

namespace {

using namespace std::chrono_literals;

/// Requests per second of the default phone load for which six default engines generate the first
/// token in time; see `bench-policy overload`.
constexpr double phoneCapacity = 46.0;

/// Values of one table cell, one for each seed.
class Spread
{
public:
    void add(double value) { m_values.push_back(value); }

    /// Returns the median and, in brackets, the minimum and the maximum.
    std::string text(int digits) const
    {
        return fmt::format("{:.{}f} ({:.{}f}-{:.{}f})", percentile(m_values, 0.5), digits,
                           *std::min_element(m_values.begin(), m_values.end()), digits,
                           *std::max_element(m_values.begin(), m_values.end()), digits);
    }

private:
    std::vector<double> m_values;
};

/// Runs a scenario with each seed and passes each report to `use`.
void runSeeds(Scenario scenario, int seeds, const std::function<void(const Report &)> &use)
{
    for (int seed = 1; seed <= seeds; ++seed) {
        scenario.m_seed = static_cast<std::uint64_t>(seed);
        use(Simulation(scenario).run());
    }
}

Scenario withMembers(double share, double rush)
{
    Scenario scenario;
    for (const char *member : {"a", "b", "c", "d"}) {
        Load load;
        load.m_member = member;
        load.m_requestsPerSecond = phoneCapacity * share;
        scenario.m_loads.push_back(load);
    }
    scenario.m_loads[0].m_requestsPerSecond *= rush;
    return scenario;
}

std::vector<double> firstTokensOfOthers(const Report &report)
{
    std::vector<double> result;
    for (const char *member : {"b/phone", "c/phone", "d/phone"}) {
        const auto &values = report.m_outcomes.at(member).m_firstTokenMillis;
        result.insert(result.end(), values.begin(), values.end());
    }
    return result;
}

double refusedShareOfOthers(const Report &report)
{
    double submitted = 0.0;
    double refused = 0.0;
    for (const char *member : {"b/phone", "c/phone", "d/phone"}) {
        submitted += static_cast<double>(report.m_outcomes.at(member).m_submitted);
        refused += static_cast<double>(report.m_outcomes.at(member).m_refused);
    }
    return 100.0 * refused / submitted;
}

double inTimePerSecond(const Report &report, const Scenario &scenario)
{
    double inTime = 0.0;
    for (const auto &[name, outcome] : report.m_outcomes)
        inTime += static_cast<double>(outcome.m_inTime);
    return inTime / std::chrono::duration<double>(scenario.m_length).count();
}

} // namespace

void fairnessTable(int seeds)
{
    fmt::print(
            "| queue | rush of a | others' p95 first token ms | others refused % | in time per s "
            "| tokens per s |\n| --- | --- | --- | --- | --- | --- |\n");
    struct Way
    {
        const char *m_name;
        bool m_isFifo;
        double m_part;
        double m_headroom;
    };
    const Way ways[] = {{"fair", false, 0.0, 0.0},
                        {"fair, headroom 0.1", false, 0.0, 0.1},
                        {"fair, headroom 0.2", false, 0.0, 0.2},
                        {"fair, headroom 0.3", false, 0.0, 0.3},
                        {"fair, a limited to half", false, 0.5, 0.0},
                        {"FIFO", true, 0.0, 0.0}};
    for (const auto &[name, isFifo, part, headroom] : ways) {
        for (const double rush : {1.0, 10.0}) {
            Scenario scenario = withMembers(0.15, rush);
            scenario.m_isFifo = isFifo;
            scenario.m_ignoresTargets = isFifo;
            scenario.m_firstMemberPart = part;
            scenario.m_settings.m_headroom = headroom;
            Spread first;
            Spread refused;
            Spread inTime;
            Spread tokens;
            runSeeds(scenario, seeds, [&](const Report &report) {
                first.add(percentile(firstTokensOfOthers(report), 0.95));
                refused.add(refusedShareOfOthers(report));
                inTime.add(inTimePerSecond(report, scenario));
                tokens.add(report.m_tokensPerSecond);
            });
            fmt::print("| {} | {}x | {} | {} | {} | {} |\n", name, rush, first.text(0),
                       refused.text(2), inTime.text(1), tokens.text(0));
        }
    }
}

void gapTable(int seeds)
{
    fmt::print("| heartbeat s | b comes to | gap tokens | gap s of all tokens |\n"
               "| --- | --- | --- | --- |\n");
    for (const Duration heartbeat : {100ms, 250ms, 500ms, 1000ms, 2000ms, 60000ms}) {
        Scenario scenario;
        scenario.m_heartbeat = heartbeat;
        scenario.m_settings.m_peerMaxAge = 3 * heartbeat;
        scenario.m_settings.m_slots.m_window = 6 * heartbeat;
        scenario.m_settings.m_maxWaiting = 400;
        scenario.m_settings.m_maxWaitingPerMember = 200;
        // Both members exceed the capacity, but b's requests arrive mostly or only at one entry VM.
        Load everywhere;
        everywhere.m_member = "a";
        everywhere.m_requestsPerSecond = phoneCapacity * 1.5;
        everywhere.m_target = 1h;
        Load atOne = everywhere;
        atOne.m_member = "b";
        atOne.m_node = 0;
        Load spread = everywhere;
        spread.m_member = "b";
        for (const bool isSpread : {true, false}) {
            scenario.m_loads = {everywhere, atOne};
            if (isSpread)
                scenario.m_loads.push_back(spread);
            Spread gap;
            Spread seconds;
            runSeeds(scenario, seeds, [&](const Report &report) {
                gap.add(report.m_largestGap);
                seconds.add(report.m_largestGap / report.m_tokensPerSecond);
            });
            fmt::print("| {} | {} | {} | {} |\n", toMillis(heartbeat) / 1000.0,
                       isSpread ? "all, most to one" : "one VM only", gap.text(0), seconds.text(2));
        }
    }
}

void classesTable(int seeds)
{
    fmt::print("| order | phone load | draft load | phone p95 ms | phone refused % | draft p95 ms "
               "| draft refused % |\n"
               "| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto &[order, name] : classOrderNames) {
        for (const auto &[phones, drafts] :
             {std::pair(0.5, 0.3), {0.8, 0.5}, {1.5, 0.2}, {0.3, 1.2}}) {
            Scenario scenario;
            Load phone;
            phone.m_member = "a";
            phone.m_requestsPerSecond = phoneCapacity * phones;
            Load draft = phone;
            draft.m_profile = "draft";
            draft.m_priority = 2;
            // A draft is seven times the work of a phone call.
            draft.m_answerTokens = 600;
            draft.m_requestsPerSecond = phoneCapacity * drafts / 7.0;
            draft.m_target = 20s;
            scenario.m_loads = {phone, draft};
            scenario.m_settings.m_queue.m_classOrder = order;
            Spread cells[4];
            runSeeds(scenario, seeds, [&](const Report &report) {
                int cell = 0;
                for (const char *kind : {"a/phone", "a/draft"}) {
                    const Outcome &outcome = report.m_outcomes.at(kind);
                    cells[cell++].add(percentile(outcome.m_firstTokenMillis, 0.95));
                    cells[cell++].add(100.0 * static_cast<double>(outcome.m_refused)
                                      / static_cast<double>(outcome.m_submitted));
                }
            });
            fmt::print("| {} | {} | {} | {} | {} | {} | {} |\n", name, phones, drafts,
                       cells[0].text(0), cells[1].text(1), cells[2].text(0), cells[3].text(1));
        }
    }
}

namespace {

Scenario withPrefixes(const std::string &routing, Duration reportAge)
{
    Scenario scenario;
    scenario.m_engines = 12;
    scenario.m_routing = routing;
    scenario.m_reportAge = reportAge;
    Load load;
    load.m_member = "a";
    load.m_requestsPerSecond = 42.0;
    load.m_promptTokens = 1600;
    load.m_prefixes = 150;
    load.m_prefixBlocks = 20;
    load.m_target = 5s;
    scenario.m_loads = {load};
    return scenario;
}

void printRouting(const std::string &name, const Scenario &scenario, int seeds)
{
    Spread cells[4];
    runSeeds(scenario, seeds, [&](const Report &report) {
        const Outcome &outcome = report.m_outcomes.at("a/phone");
        cells[0].add(100.0 * static_cast<double>(report.m_cachedTokens)
                     / static_cast<double>(report.m_promptTokens));
        cells[1].add(percentile(outcome.m_firstTokenMillis, 0.95));
        cells[2].add(percentile(outcome.m_betweenTokensMillis, 0.95));
        cells[3].add(report.m_imbalance);
    });
    fmt::print("| {} | {} | {} | {} | {} | {} |\n", name, toMillis(scenario.m_reportAge) / 1000.0,
               cells[0].text(0), cells[1].text(0), cells[2].text(0), cells[3].text(2));
}

} // namespace

void routingTable(int seeds)
{
    fmt::print(
            "| policy | report period s | cached % | first token p95 ms | between tokens p95 ms | "
            "busiest/mean |\n| --- | --- | --- | --- | --- | --- |\n");
    for (const std::string &name : RoutingRegistry::instance().names()) {
        for (const Duration age : {0ms, 1000ms, 5000ms})
            printRouting(name, withPrefixes(name, age), seeds);
    }
    for (const Duration step : {2ms, 5ms, 10ms, 40ms, 80ms}) {
        Scenario scenario = withPrefixes("prefix-affinity", 1s);
        scenario.m_routingSettings.m_delayPerQueuedRequest = step;
        printRouting(fmt::format("prefix-affinity, step {} ms", toMillis(step)), scenario, seeds);
    }
}

void overloadTable(int seeds)
{
    fmt::print(
            "| queue | load | in time per s | p95 first token ms |\n| --- | --- | --- | --- |\n");
    for (const bool isFifo : {false, true}) {
        for (const double load : {0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 3.0}) {
            Scenario scenario = withMembers(0.25 * load, 1.0);
            scenario.m_isFifo = isFifo;
            scenario.m_ignoresTargets = isFifo;
            Spread inTime;
            Spread first;
            runSeeds(scenario, seeds, [&](const Report &report) {
                inTime.add(inTimePerSecond(report, scenario));
                first.add(percentile(firstTokensOfOthers(report), 0.95));
            });
            fmt::print("| {} | {} | {} | {} |\n", isFifo ? "FIFO, no refusals" : "fair", load,
                       inTime.text(1), first.text(0));
        }
    }
}

void retriesTable(int seeds)
{
    fmt::print("| retries | ejection | attempts by first attempts | failed for good % |\n"
               "| --- | --- | --- | --- |\n");
    for (const bool hasBudget : {true, false}) {
        for (const bool ejects : {true, false}) {
            Scenario scenario = withMembers(0.1, 1.0);
            scenario.m_failingEngines = scenario.m_engines / 2;
            scenario.m_hasRetryBudget = hasBudget;
            if (!ejects)
                scenario.m_settings.m_outlier.m_maxEjectedShare = 0.0;
            Spread attempts;
            Spread failed;
            runSeeds(scenario, seeds, [&](const Report &report) {
                const auto first = static_cast<double>(report.m_firstAttempts);
                attempts.add(static_cast<double>(report.m_attempts) / first);
                failed.add(100.0 * static_cast<double>(report.m_failedForGood) / first);
            });
            fmt::print("| {} | {} | {} | {} |\n", hasBudget ? "budget of a tenth" : "up to three",
                       ejects ? "half at most" : "none", attempts.text(3), failed.text(2));
        }
    }
}

void slotsTable(int seeds)
{
    fmt::print("| kept for idle peers | entry | most at an engine of 16 | slots in use % | in time "
               "per s |\n| --- | --- | --- | --- | --- |\n");
    for (const double reserve : {0.0, 0.25, 0.5, 0.75, 1.0}) {
        for (const int node : {-1, 0}) {
            Scenario scenario = withMembers(0.4, 1.0);
            for (Load &load : scenario.m_loads)
                load.m_node = node;
            scenario.m_settings.m_slots.m_peerReserve = reserve;
            Spread cells[3];
            runSeeds(scenario, seeds, [&](const Report &report) {
                cells[0].add(report.m_mostAtOneEngine);
                cells[1].add(100.0 * report.m_meanSlotUse);
                cells[2].add(inTimePerSecond(report, scenario));
            });
            fmt::print("| {} | {} | {} | {} | {} |\n", reserve, node < 0 ? "all VMs" : "one VM",
                       cells[0].text(0), cells[1].text(0), cells[2].text(1));
        }
    }
}

void costTable(int seeds)
{
    fmt::print("| upstreams | µs for each request |\n| --- | --- |\n");
    for (const int upstreams : {10, 100, 1100}) {
        Spread cost;
        for (int seed = 1; seed <= seeds; ++seed) {
            AdmissionController node = AdmissionController::Builder()
                                               .node(NodeId("olten-a-0"))
                                               .dataCentre(DataCentreId("olten-a"))
                                               .seed(static_cast<std::uint64_t>(seed))
                                               .build();
            TimePoint now{1h};
            for (int at = 0; at < upstreams; ++at) {
                UpstreamReport report;
                report.m_upstream = UpstreamId("runner-" + std::to_string(at));
                report.m_dataCentre = DataCentreId("olten-a");
                report.m_slots = 16;
                node.updateUpstream(report, now);
            }
            constexpr int requests = 2000;
            const auto before = std::chrono::steady_clock::now();
            for (int at = 0; at < requests; ++at) {
                now += 10ms;
                WaitingRequest request;
                request.m_id = RequestId(std::to_string(at));
                request.m_member = MemberId("a");
                request.m_prefixBlocks = {static_cast<std::uint64_t>(at % 50), 7, 8, 9};
                node.submit(request, now);
                node.finishAttempt(RequestId(std::to_string(at - 100)), AttemptEnd::Completed, now);
            }
            const std::chrono::duration<double, std::micro> passed =
                    std::chrono::steady_clock::now() - before;
            cost.add(passed.count() / requests);
        }
        fmt::print("| {} | {} |\n", upstreams, cost.text(0));
    }
}

} // namespace gypsumdale::bench
