#include "standins/answer.hpp"
#include "support/process_fleet.hpp"

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;
using standins::expectedAnswer;

namespace {

constexpr const char *chatPath = "/v1/chat/completions";

HttpHeaders caller(const std::string &credential, const std::string &profile = "part-match")
{
    return headersOf({{"Authorization", "Bearer " + credential}, {"X-Profile", profile}});
}

std::string chat(const std::string &prompt)
{
    return nlohmann::json{{"model", "gypsum-llm"},
                          {"messages", {{{"role", "user"}, {"content", prompt}}}}}
            .dump();
}

} // namespace

// Guards against entry VMs that differ in what they serve or refuse. Complete answers arrive as the
// engines gave them, plain requests run, and refusals carry a name and a number and reveal nothing
// about the system to callers without a valid credential.
TEST_CASE("a fleet serves callers and refuses what it must")
{
    ProcessFleet fleet;

    for (const Node &node : fleet.nodes()) {
        INFO(node.m_name);
        const std::string prompt = "part for " + node.m_name;
        const auto stream = fleet.ask(node, prompt, 40);
        fleet.waitUntil("the stream ended", [&] { return stream->isEnded(); });
        REQUIRE(stream->isWhole());
        REQUIRE(stream->text() == expectedAnswer(prompt, 40, 40));
        const Answer looked = fleet.lookUp(node, "stock-" + node.m_name, "key-" + node.m_name);
        REQUIRE(looked.m_status == 200);
        REQUIRE(looked.outcome() == "done");
        REQUIRE(fleet.runs("stock-" + node.m_name) == 1);
    }
    const Node &entry = fleet.node(0);

    // A wrong credential gets nothing, whether the target exists or not.
    const Answer stranger =
            fleet.call(entry.m_callerPort, "POST", chatPath, caller("wrong"), chat("hello"));
    REQUIRE(stranger.m_status == 401);
    REQUIRE(stranger.outcome() == "not-run");
    for (const char *secret : {"part-match", "gypsum-llm", "huber", "wrong", "gpu-", "node-"})
        REQUIRE(stranger.m_body.find(secret) == std::string::npos);
    const Answer elsewhere = fleet.call(entry.m_callerPort, "POST", chatPath,
                                        caller("wrong", "no-such-profile"), chat("hello"));
    REQUIRE(elsewhere.m_status == 401);
    REQUIRE(elsewhere.m_body == stranger.m_body);
    REQUIRE(fleet.call(entry.m_adminPort, "GET", "/admin/v1/nodes", caller("wrong")).m_status
            == 401);

    const Answer malformed = fleet.call(entry.m_callerPort, "POST", chatPath,
                                        caller(ProcessFleet::alice), R"({"model":)");
    REQUIRE(malformed.m_status == 400);
    REQUIRE(malformed.json()["error"]["id"].get<int>() > 0);
    const Answer oversized =
            fleet.call(entry.m_callerPort, "POST", chatPath, caller(ProcessFleet::alice),
                       std::string(std::size_t(2) << 20U, 'x'));
    REQUIRE(oversized.m_status == 413);
    REQUIRE(oversized.json()["error"]["id"].get<int>() > 0);

    // A job is visible to its own member only: to another one it looks like an unknown job, on
    // every node.
    const auto job = fleet.ask(entry, "quote", 60, "quote-draft");
    fleet.readToEnd({entry.m_name}, job);
    REQUIRE(job->text() == expectedAnswer("quote", 60, 60));
    for (const Node &node : fleet.nodes()) {
        INFO(node.m_name);
        const auto target = "/v1/jobs/" + job->job() + "/events";
        const Answer foreign =
                fleet.call(node.m_callerPort, "GET", target, caller(ProcessFleet::bob));
        REQUIRE(foreign.m_status == 404);
        const Answer none = fleet.call(node.m_callerPort, "GET", "/v1/jobs/no-such-job/events",
                                       caller(ProcessFleet::bob));
        REQUIRE(none.m_status == 404);
        REQUIRE(none.m_body == foreign.m_body);
    }
}
