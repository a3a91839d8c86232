#include "standins/answer.hpp"
#include "support/process_fleet.hpp"

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;
using standins::expectedAnswer;

namespace {

constexpr int length = 200;

/// Starts a streamed answer; returns when its job was accepted and the first events have arrived.
std::shared_ptr<AnswerStream> beginDraft(ProcessFleet &fleet, const Node &entry)
{
    auto draft = fleet.ask(entry, "draft", length, "quote-draft");
    fleet.waitUntil("the draft streams", [&] {
        return draft->tokens() > 10 || (draft->isEnded() && !draft->isWhole());
    });
    INFO(draft->status() << " " << draft->note());
    REQUIRE(draft->tokens() > 10);
    REQUIRE(draft->tokens() < length);
    return draft;
}

/// Returns the name of the engine that generates the only answer in progress.
std::string runnerOf(ProcessFleet &fleet)
{
    for (const std::string &engine : fleet.engines()) {
        const auto counters = fleet.standin(engine, "GET", "/admin/counters");
        if (counters["started"]
            != counters["finished"].get<int>() + counters["cancelled"].get<int>())
            return engine;
    }
    return {};
}

void reclaim(ProcessFleet &fleet, const char *what, const std::string &name, int noticeMillis)
{
    fleet.standin("cloud", "POST", "/admin/reclaim",
                  {{what, name}, {"noticeMillis", noticeMillis}});
}

void requireWhole(ProcessFleet &fleet, const std::shared_ptr<AnswerStream> &draft)
{
    REQUIRE(draft->text() == expectedAnswer("draft", length, length));
    for (const std::string &engine : fleet.engines()) {
        // An engine that has died by now has no counters; it resumed nothing.
        const auto counters = fleet.standin(engine, "GET", "/admin/counters");
        REQUIRE((!counters.is_object() || counters["resume_mismatches"] == 0));
    }
}

void requireHidden(ProcessFleet &fleet, const Node &node, const std::string &job)
{
    const Answer foreign =
            fleet.call(node.m_callerPort, "GET", "/v1/jobs/" + job + "/events",
                       headersOf({{"Authorization", "Bearer " + ProcessFleet::bob}}));
    REQUIRE(foreign.m_status == 404);
}

} // namespace

// Guards against an accepted job that ends or repeats tokens when its runner's VM is reclaimed. The
// job continues on another runner, and the caller reads every token once.
TEST_CASE("the runner's VM is reclaimed while a job streams")
{
    ProcessFleet fleet({{"zone-a", "zone-b"}, 20, 5});
    const auto draft = beginDraft(fleet, fleet.node(0));
    const std::string runner = runnerOf(fleet);
    REQUIRE(!runner.empty());
    reclaim(fleet, "vm", runner, 1500);
    fleet.readToEnd({"node-a-1", "node-b-1"}, draft);
    requireWhole(fleet, draft);
}

// Guards against a job that is lost when the VM that holds the caller's connection is reclaimed
// with a notice. The VM hands the job over and tells the caller where to continue; the caller
// reconnects through another entry VM with the last event's id. The leaving process ends by itself
// and cuts nothing.
TEST_CASE("the entry VM is reclaimed while a job streams")
{
    ProcessFleet fleet({{"zone-a", "zone-b"}, 20, 5});
    Node &entry = fleet.node(0);
    const auto draft = beginDraft(fleet, entry);
    reclaim(fleet, "vm", entry.m_name, 10000);
    fleet.readToEnd({"node-b-2"}, draft);
    requireWhole(fleet, draft);
    requireHidden(fleet, fleet.node(1), draft->job());
    requireHidden(fleet, fleet.node("node-b-1"), draft->job());
    fleet.waitUntil("the process ended", [&] { return entry.m_process->exited(); });
    REQUIRE(entry.m_process->exitStatus() == 0);
}

// Guards against a job that is lost with its data centre: both entry VMs and all runners there are
// reclaimed. The job continues in another data centre.
TEST_CASE("the data centre is reclaimed while a job streams")
{
    ProcessFleet fleet;
    const auto platformOut = GENERATE(false, true);
    INFO("platform out: " << platformOut);
    const auto draft = beginDraft(fleet, fleet.node(0));
    if (platformOut)
        fleet.addFault("platform", {{"fault", "outage"}});
    reclaim(fleet, "zone", "zone-a", 8000);
    fleet.readToEnd({"node-b-1", "node-c-2"}, draft);
    requireWhole(fleet, draft);
    requireHidden(fleet, fleet.node("node-c-1"), draft->job());
}

// Guards against a job that is lost when its entry VM dies during its hand-over, before the
// announced time. The job is already in the log or with another node. It continues, after the
// platform's return if that was unavailable as well, and is read completely.
TEST_CASE("the entry VM dies in the middle of its reclaim")
{
    ProcessFleet fleet;
    const auto platformOut = GENERATE(false, true);
    INFO("platform out: " << platformOut);
    Node &entry = fleet.node(0);
    const auto draft = beginDraft(fleet, entry);
    if (platformOut)
        fleet.addFault("platform", {{"fault", "outage"}});
    reclaim(fleet, "vm", entry.m_name, 20000);
    fleet.waitUntil("the entry VM knows", [&] { return !fleet.isReady(entry); });
    entry.m_process->send(SIGKILL);
    fleet.waitUntil("the process ended", [&] { return entry.m_process->exited(); });
    if (platformOut) {
        fleet.reattach(fleet.node("node-b-1"), draft);
        fleet.waitUntil("it was answered", [&] { return draft->isEnded(); });
        fleet.clearFaults("platform");
    }
    fleet.readToEnd({"node-b-1", "node-c-2"}, draft);
    requireWhole(fleet, draft);
    requireHidden(fleet, fleet.node("node-c-1"), draft->job());
}

// Guards against a job that is lost when its entry VM dies without a notice. The job is in the
// platform's log, so another node takes it over and generates again what followed the last
// checkpoint. The caller discards what it read after the position that the node names.
TEST_CASE("the entry VM dies without a notice")
{
    ProcessFleet fleet({{"zone-a", "zone-b"}, 20, 5});
    Node &entry = fleet.node(0);
    const auto draft = beginDraft(fleet, entry);
    entry.m_process->send(SIGKILL);
    fleet.waitUntil("the process ended", [&] { return entry.m_process->exited(); });
    fleet.readToEnd({"node-b-1", "node-a-2"}, draft);
    requireWhole(fleet, draft);
    requireHidden(fleet, fleet.node("node-b-2"), draft->job());
}

// Guards against the loss of a job that was accepted while the platform is unavailable. A peer in
// another data centre holds it; then the entry VM is reclaimed, and the job continues without the
// platform.
TEST_CASE("a job accepted in an outage survives a reclaim")
{
    ProcessFleet fleet;
    fleet.addFault("platform", {{"fault", "outage"}});
    const auto draft = beginDraft(fleet, fleet.node(0));
    reclaim(fleet, "vm", fleet.node(0).m_name, 10000);
    fleet.readToEnd({"node-a-2", "node-b-1", "node-c-2"}, draft);
    requireWhole(fleet, draft);
}

// Guards against an end marker that doesn't say that the answer is provisional, and against an
// answer that stays provisional.
TEST_CASE("an answer of an outage is provisional until the platform has it")
{
    ProcessFleet fleet;
    fleet.addFault("platform", {{"fault", "outage"}});
    const auto draft = beginDraft(fleet, fleet.node(0));
    fleet.readToEnd({fleet.node(0).m_name}, draft);
    requireWhole(fleet, draft);
    CHECK(draft->isProvisional());
    fleet.clearFaults("platform");
    fleet.waitUntil("the answer is final", [&] {
        if (!draft->isEnded())
            return false;
        if (draft->isProvisional())
            fleet.reattach(fleet.node(0), draft);
        return draft->isWhole() && !draft->isProvisional();
    });
    requireWhole(fleet, draft);
}
