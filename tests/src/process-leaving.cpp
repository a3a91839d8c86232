#include "standins/answer.hpp"
#include "support/process_fleet.hpp"

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;
using standins::expectedAnswer;

namespace {

std::string stateOf(ProcessFleet &fleet, const Node &node, const std::string &upstream)
{
    for (const auto &entry : fleet.show(node, "upstreams")["upstreams"]) {
        if (entry.value("upstream", "") == upstream)
            return entry.value("state", "");
    }
    return "gone";
}

int startedOn(ProcessFleet &fleet, const std::string &engine)
{
    return fleet.standin(engine, "GET", "/admin/counters")["started"].get<int>();
}

/// Sends as many requests through each node as all engines have slots, and reads the answers to
/// their end.
void askEverywhere(ProcessFleet &fleet, int each)
{
    std::vector<std::shared_ptr<AnswerStream>> streams;
    for (int number = 0; number < each; ++number) {
        for (const Node &node : fleet.nodes())
            streams.push_back(fleet.ask(node, "ask " + std::to_string(number), 10));
    }
    for (const auto &stream : streams) {
        fleet.waitUntil("the answer came", [&] { return stream->isEnded(); });
        INFO(stream->status() << " " << stream->note());
        REQUIRE(stream->isWhole());
    }
}

} // namespace

// Guards against new requests at a runner that leaves, because the cloud announces the reclaim of
// its VM or an operator removes it. Once the entry VMs know, none of them sends it another request,
// however busy the other runners are. What runs there ends properly.
TEST_CASE("a leaving upstream gets no new request")
{
    ProcessFleet fleet({{"zone-a", "zone-b"}, 20, 5});
    const auto isNotice = GENERATE(true, false);
    INFO("by notice: " << isNotice);
    const std::string engine = "gpu-a-1";
    const std::string upstream = "up-" + engine;
    // More at once would be rejected because of their deadline.
    constexpr std::size_t mostAsked = 10;
    std::vector<std::shared_ptr<AnswerStream>> before;
    fleet.waitUntil("it serves an answer", [&] {
        if (before.size() < mostAsked)
            before.push_back(fleet.ask(fleet.node(0), "before", 60));
        return startedOn(fleet, engine) > 0;
    });

    if (isNotice) {
        fleet.standin("cloud", "POST", "/admin/reclaim",
                      {{"vm", engine}, {"noticeMillis", 60000}, {"die", false}});
    } else {
        const Answer drained = fleet.admin(fleet.node(0), "POST", "/admin/v1/drain",
                                           nlohmann::json{{"upstream", upstream}}.dump());
        REQUIRE(drained.m_status == 202);
    }
    for (const Node &node : fleet.nodes()) {
        fleet.waitUntil(node.m_name + " knows", [&] {
            const std::string state = stateOf(fleet, node, upstream);
            return state == "leaving" || state == "gone";
        });
    }
    const int started = startedOn(fleet, engine);
    askEverywhere(fleet, 16);
    REQUIRE(startedOn(fleet, engine) == started);
    for (const auto &stream : before) {
        fleet.waitUntil("what ran there ended", [&] { return stream->isEnded(); });
        INFO(stream->status() << " " << stream->note());
        REQUIRE(stream->isWhole());
        REQUIRE(stream->text() == expectedAnswer("before", 60, 60));
    }
}
