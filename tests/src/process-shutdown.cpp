#include "standins/answer.hpp"
#include "support/process_fleet.hpp"

#include <atomic> // atomic
#include <future> // async

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;
using standins::expectedAnswer;

namespace {

/// Sends a request as a caller behind a balancer does: to the first node whose check passes. A
/// refused connection counts as not sent. Returns the last answer.
Answer lookUpBalanced(ProcessFleet &fleet, std::size_t turn, const std::string &businessKey)
{
    const std::size_t count = fleet.nodes().size();
    Answer answer;
    for (std::size_t tried = 0; tried < 2 * count; ++tried) {
        const Node &node = fleet.node((turn + tried) % count);
        if (!fleet.isReady(node))
            continue;
        answer = fleet.lookUp(node, businessKey, "key of " + businessKey);
        if (answer.m_status != 0 || answer.m_phase != SendPhase::NothingSent)
            return answer;
    }
    return answer;
}

} // namespace

// Guards against answers that are cut by a planned stop. SIGTERM arrives while answers are
// streamed, one of them by a slow plain service. The balancer must see the node as not ready before
// the node refuses anybody, and every request in progress is served to its end.
TEST_CASE("a planned stop cuts nothing")
{
    ProcessFleet fleet({{"zone-a", "zone-b"}, 20, 1500});
    Node &leaving = fleet.node(0);
    std::vector<std::shared_ptr<AnswerStream>> streams(5);
    for (std::size_t number = 0; number < streams.size(); ++number)
        streams[number] = fleet.ask(leaving, "long " + std::to_string(number), 120);
    auto slow = std::async(std::launch::async,
                           [&] { return fleet.lookUp(leaving, "slow", "slow key"); });
    fleet.waitUntil("all are being served", [&] {
        return fleet.runs("slow") == 1 && std::ranges::all_of(streams, [](const auto &stream) {
                   return stream->tokens() > 0;
               });
    });

    leaving.m_process->send(SIGTERM);
    bool wasSeenNotReady = false;
    fleet.waitUntil("new connections are refused", [&] {
        const Answer ready = fleet.call(leaving.m_callerPort, "GET", "/readyz");
        wasSeenNotReady = wasSeenNotReady || ready.m_status == 503;
        return ready.m_status == 0;
    });
    REQUIRE(wasSeenNotReady);
    REQUIRE_FALSE(leaving.m_process->exited());
    fleet.waitUntil("the process ended", [&] { return leaving.m_process->exited(); });

    REQUIRE(leaving.m_process->exitStatus() == 0);
    const Answer served = slow.get();
    REQUIRE(served.m_status == 200);
    REQUIRE(served.outcome() == "done");
    REQUIRE(fleet.runs("slow") == 1);
    for (std::size_t number = 0; number < streams.size(); ++number) {
        fleet.waitUntil("the stream ended", [&] { return streams[number]->isEnded(); });
        REQUIRE(streams[number]->isWhole());
        REQUIRE(streams[number]->text()
                == expectedAnswer("long " + std::to_string(number), 120, 120));
    }
}

// Guards against errors and duplicate runs during a rolling restart: all entry VMs are restarted
// one after another while callers continue to send.
TEST_CASE("a rolling restart loses no request and doubles none")
{
    ProcessFleet fleet({{"zone-a", "zone-b"}, 5, 20});
    std::atomic<bool> isOver = false;
    const auto trickle = [&](const std::string &caller, std::size_t first) {
        std::vector<Answer> answers;
        while (!isOver) {
            const auto name = fmt::format("{}-{}", caller, answers.size());
            answers.push_back(lookUpBalanced(fleet, first + answers.size(), name));
            std::this_thread::sleep_for(std::chrono::milliseconds(25));
        }
        return answers;
    };
    std::vector<std::future<std::vector<Answer>>> callers;
    for (std::size_t number = 0; number < 3; ++number)
        callers.push_back(
                std::async(std::launch::async, trickle, "caller" + std::to_string(number), number));
    // A failed check must not leave the callers running.
    const std::shared_ptr<void> end(nullptr, [&](void *) { isOver = true; });

    for (Node &node : fleet.nodes()) {
        node.m_process->send(SIGTERM);
        fleet.waitUntil(node.m_name + " ended", [&] { return node.m_process->exited(); });
        REQUIRE(node.m_process->exitStatus() == 0);
        fleet.start(node);
        fleet.waitUntilComplete(node);
    }
    isOver = true;

    std::size_t total = 0;
    for (std::size_t caller = 0; caller < callers.size(); ++caller) {
        const auto answers = callers[caller].get();
        REQUIRE(!answers.empty());
        for (std::size_t number = 0; number < answers.size(); ++number) {
            const auto name = fmt::format("caller{}-{}", caller, number);
            INFO(name << ": " << answers[number].m_body);
            REQUIRE(answers[number].m_status == 200);
            REQUIRE(answers[number].outcome() == "done");
            REQUIRE(fleet.runs(name) == 1);
        }
        total += answers.size();
    }
    // Enough that every restart met some of them.
    REQUIRE(total >= callers.size() * fleet.nodes().size());
}
