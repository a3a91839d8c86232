#include <support/job_world.hpp>

#include <catch2/catch.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr std::size_t k_owner = 0;
constexpr std::size_t k_other = 1;
constexpr std::size_t k_third = 2;
/// Steps in which a death is detected, the job is taken over and the takeover reaches the log.
constexpr int k_takeoverSteps = 20;

void finishAll(JobWorld &world)
{
    for (int round = 0; round < 4; ++round) {
        for (std::size_t node = 0; node < world.nodes().size(); ++node)
            world.generate(node, JobWorld::k_answerTokens);
        world.settle();
    }
}

/// Reads through one node until no more tokens arrive.
void readThrough(JobWorld &world, JobWorld::Caller &caller, std::size_t entry)
{
    for (int attempt = 0; attempt < 3; ++attempt) {
        CHECK(world.poll(caller, entry) == "");
        world.settle(2);
    }
}

/// Creates a job whose owner is the only node without the platform and has generated the complete
/// answer.
std::size_t generateCutOff(JobWorld &world)
{
    const std::size_t job = *world.offer(k_owner, "roper");
    world.settle();
    REQUIRE(world.jobs()[job].m_isAccepted);
    world.setReachable(k_owner, false);
    world.generate(k_owner, JobWorld::k_answerTokens);
    world.settle();
    return job;
}

/// Returns how many answers were overruled after the owner and one more node lost the platform and
/// the owner was paused. All callers must end with the same answers.
std::uint64_t playTakeover(std::size_t cutOff)
{
    constexpr std::size_t jobs = 6;
    JobWorld world({"a", "b", "c"});
    std::vector<JobWorld::Caller> early;
    while (early.size() < jobs)
        early.push_back({*world.offer(k_owner, "roper")});
    world.settle();
    world.setReachable(k_owner, false);
    world.generate(k_owner, JobWorld::k_answerTokens);
    world.settle();
    for (JobWorld::Caller &caller : early) {
        CHECK(world.poll(caller, k_owner) == "");
        CHECK(caller.m_isProvisional);
    }
    world.setReachable(cutOff, false);
    world.pause(k_owner);
    world.suspect(k_owner);
    world.settle(k_takeoverSteps);
    finishAll(world);
    std::vector<JobWorld::Caller> late;
    for (const JobWorld::Caller &caller : early)
        late.push_back({caller.m_job});
    for (JobWorld::Caller &caller : late)
        readThrough(world, caller, cutOff == k_other ? k_third : k_other);
    world.setReachable(k_owner, true);
    world.setReachable(cutOff, true);
    world.resume(k_owner);
    world.settle(k_takeoverSteps);
    finishAll(world);
    for (std::size_t index = 0; index < jobs; ++index) {
        readThrough(world, early[index], k_owner);
        readThrough(world, late[index], k_owner);
        CHECK(early[index].m_isWhole);
        CHECK(late[index].m_isWhole);
        CHECK(early[index].m_have.text() == late[index].m_have.text());
    }
    return world.table(k_owner).counters().m_overruled;
}

} // namespace

// Guards against an answer that its owner, which alone has lost the platform, reports as final
// although the log, which others reach, overrules it.
TEST_CASE("an owner that alone has lost the platform shows no final answer before the log",
          "[jobs]")
{
    JobWorld world({"a", "b", "c"});
    const std::size_t job = generateCutOff(world);
    JobWorld::Caller early{job};
    CHECK(world.poll(early, k_owner) == "");
    CHECK(early.m_have.tokens() == JobWorld::k_answerTokens);
    CHECK(early.m_isProvisional);
    CHECK_FALSE(early.m_isWhole);

    world.setReachable(k_owner, true);
    world.settle();
    CHECK(world.poll(early, k_owner) == "");
    CHECK(early.m_isWhole);
    CHECK(world.table(k_owner).counters().m_overruled == 0);
    JobWorld::Caller late{job};
    readThrough(world, late, k_third);
    CHECK(late.m_have.text() == early.m_have.text());
}

// Guards against two complete answers of one job without a death: its owner is paused, its holder
// has lost the platform as well, and a third node continues from the log.
TEST_CASE("a provisional answer that the log overrules is cut back", "[jobs]")
{
    // Hashing chooses the holders and the caretaker of the log: one of the two partitioned nodes is
    // not the caretaker.
    const std::uint64_t overruled = playTakeover(k_other) + playTakeover(k_third);
    CHECK(overruled > 0);
}

// Guards against a final answer that is lost with its owner and its only holder.
TEST_CASE("an answer that only its owner and a holder have is not final", "[jobs]")
{
    JobWorld world({"a", "b", "c"});
    const std::size_t job = generateCutOff(world);
    JobWorld::Caller early{job};
    CHECK(world.poll(early, k_owner) == "");
    CHECK_FALSE(early.m_isWhole);
    const std::size_t holder = world.table(k_other).heldCopyCount() > 0 ? k_other : k_third;
    world.crash(k_owner);
    world.crash(holder);
    world.settle(k_takeoverSteps);
    finishAll(world);
    readThrough(world, early, holder == k_other ? k_third : k_other);
    CHECK(early.m_isWhole);
}

// Guards against a caller that waits for the end of an answer until an outage ends.
TEST_CASE("an answer in full is told in an outage of the whole platform", "[jobs]")
{
    JobWorld world({"a", "b", "c"});
    world.setPlatform(false);
    const std::size_t job = *world.offer(k_owner, "roper");
    world.settle();
    world.generate(k_owner, JobWorld::k_answerTokens);
    world.settle();
    JobWorld::Caller caller{job};
    CHECK(world.poll(caller, k_owner) == "");
    CHECK(caller.m_isProvisional);
    world.setPlatform(true);
    world.settle();
    CHECK(world.poll(caller, k_owner) == "");
    CHECK(caller.m_isWhole);
}

// Guards against a job that is missing in the log for seconds after a hand-over in an outage.
TEST_CASE("a successor's epoch is in the log soon after both wrote the job's offer", "[jobs]")
{
    JobWorld world({"a", "b", "c"});
    world.setPlatform(false);
    const std::size_t job = *world.offer(k_third, "roper");
    const JobId id = world.jobs()[job].m_id;
    world.settle();
    world.generate(k_third, 4);
    world.notice(k_third, ReclaimScope::OwnVm);
    // Neither node finds the offer in the log, so both append it.
    world.setPlatform(true);
    world.step();
    world.settle(5);
    const auto successor = world.runner(id);
    REQUIRE(successor);
    REQUIRE(*successor != k_third);
    world.generate(*successor, JobWorld::k_answerTokens);
    world.settle(5);
    JobWorld::Caller caller{job};
    CHECK(world.poll(caller, *successor) == "");
    CHECK(caller.m_isWhole);
}

// Guards against an accepted job that nobody runs: its takeover was refused by the log and never
// appended again.
TEST_CASE("a takeover that the log refused is appended again", "[jobs]")
{
    JobWorld world({"a", "b", "c"});
    const std::size_t job = *world.offer(k_third, "roper");
    // This node read the log while it was empty.
    CHECK(world.pry(job, k_other) == "");
    world.settle(1);
    REQUIRE(world.jobs()[job].m_isAccepted);
    world.notice(k_third, ReclaimScope::OwnVm);
    world.setPlatform(false);
    world.deliverAll();
    world.step();
    REQUIRE(world.runner(world.jobs()[job].m_id) == k_owner);
    world.crash(k_owner);
    world.settle();
    world.setPlatform(true);
    world.settle(k_takeoverSteps);
    finishAll(world);
    JobWorld::Caller caller{job};
    readThrough(world, caller, k_other);
    CHECK(caller.m_isWhole);
}

// Guards against a caller that gets "no such job" while only the holder knows the job.
TEST_CASE("a job that only a holder has is not denied at its owner's death", "[jobs]")
{
    JobWorld world({"a", "a", "b", "b"});
    constexpr int k_longUp = 120;
    world.settle(k_longUp);
    world.setReachable(k_owner, false);
    const std::size_t job = *world.offer(k_owner, "roper");
    world.settle();
    REQUIRE(world.jobs()[job].m_isAccepted);
    constexpr std::size_t k_fourth = 3;
    const std::size_t holder = world.table(k_third).heldCopyCount() > 0 ? k_third : k_fourth;
    const std::size_t asked = holder == k_third ? k_fourth : k_third;
    world.pause(holder);
    world.crash(k_owner);
    JobWorld::Caller caller{job};
    readThrough(world, caller, asked);
    world.resume(holder);
    world.settle(k_takeoverSteps);
    finishAll(world);
    readThrough(world, caller, asked);
    CHECK(caller.m_isWhole);
}

// Guards against jobs that two leaving nodes both drop, as each is told that the other has them.
TEST_CASE("finished jobs that come back from a successor that leaves too are not dropped", "[jobs]")
{
    // Hashing chooses the successors: some of the jobs come back to the first owner.
    constexpr std::size_t jobs = 8;
    JobWorld world({"a", "b", "c"});
    world.setPlatform(false);
    std::vector<JobWorld::Caller> callers;
    while (callers.size() < jobs)
        callers.push_back({*world.offer(k_owner, "roper")});
    world.settle();
    world.generate(k_owner, JobWorld::k_answerTokens);
    world.settle();
    world.notice(k_owner, ReclaimScope::OwnVm);
    // The hand-overs arrive twice, and the answers to the first ones are lost.
    const std::size_t handOvers = world.messages().size();
    for (std::size_t index = 0; index < handOvers; ++index)
        world.deliver(index, true);
    std::erase_if(world.messages(), [](const JobWorld::Message &message) {
        return std::holds_alternative<AnswerHandOver>(message.m_body);
    });
    // A successor leaves before it learns that the first owner does.
    world.notice(k_other, ReclaimScope::OwnVm);
    world.settle(k_takeoverSteps);
    world.setPlatform(true);
    world.settle(k_takeoverSteps);
    for (JobWorld::Caller &caller : callers) {
        REQUIRE(world.jobs()[caller.m_job].m_isAccepted);
        readThrough(world, caller, k_third);
        CHECK(caller.m_isWhole);
    }
}

// Guards against the loss of an accepted job through the next process of its owner's node.
TEST_CASE("a restarted owner's node doesn't have the copy of its former process dropped", "[jobs]")
{
    JobWorld world({"a", "b", "c"});
    world.setPlatform(false);
    const std::size_t job = *world.offer(k_owner, "roper");
    // The message with the copy arrives twice, the second time after the owner's death.
    const JobWorld::Message hold = world.messages().front();
    world.settle();
    REQUIRE(world.jobs()[job].m_isAccepted);
    const std::size_t holder = hold.m_to;
    world.pause(holder);
    world.crash(k_owner);
    world.start(k_owner);
    world.resume(holder);
    world.messages().push_back(hold);
    world.deliverAll();
    world.setPlatform(true);
    world.settle(k_takeoverSteps);
    finishAll(world);
    JobWorld::Caller caller{job};
    readThrough(world, caller, k_owner);
    CHECK(caller.m_isWhole);
}
