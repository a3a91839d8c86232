#include <support/job_world.hpp>

#include <catch2/catch.hpp>

#include <string> // string

using namespace gypsumdale;
using namespace gypsumdale::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t k_entry = 0;

/// Reads through one node until no more tokens arrive.
void readThrough(JobWorld &world, JobWorld::Caller &caller, std::size_t entry)
{
    for (int attempt = 0; attempt < 3; ++attempt) {
        CHECK(world.poll(caller, entry) == "");
        world.settle(2);
    }
}

void finishAll(JobWorld &world)
{
    for (int round = 0; round < 4; ++round) {
        for (std::size_t node = 0; node < world.nodes().size(); ++node)
            world.generate(node, JobWorld::k_answerTokens);
        world.settle();
    }
}

ErrorId errorIn(const ReattachAnswer &answer)
{
    const auto *error = std::get_if<Error>(&answer);
    return error == nullptr ? ErrorId::Internal : error->m_id;
}

} // namespace

TEST_CASE("a job is accepted only when it is held elsewhere", "[jobs]")
{
    JobWorld world({"a", "b", "c"});

    SECTION("by the platform's log")
    {
        const std::size_t job = *world.offer(k_entry, "roper");
        CHECK_FALSE(world.jobs()[job].m_isAccepted);
        CHECK(world.owners(world.jobs()[job].m_id) == 1);
        world.settle();
        CHECK(world.jobs()[job].m_isAccepted);
        CHECK(world.isLogged(world.jobs()[job].m_id));
    }

    SECTION("by a peer of another data centre while the platform is out")
    {
        world.setPlatform(false);
        const std::size_t job = *world.offer(k_entry, "roper");
        world.deliverAll();
        CHECK(world.jobs()[job].m_isAccepted);
        CHECK(world.table(1).heldCopyCount() + world.table(2).heldCopyCount() == 1);
        world.setPlatform(true);
        world.settle();
        CHECK(world.isLogged(world.jobs()[job].m_id));
        CHECK(world.table(1).heldCopyCount() + world.table(2).heldCopyCount() == 0);
    }

    SECTION("neither can be had: refused at once")
    {
        world.setPlatform(false);
        world.crash(1);
        world.crash(2);
        world.step();
        CHECK_FALSE(world.offer(k_entry, "roper").has_value());
        CHECK(world.table(k_entry).isDrained());
    }

    SECTION("the acknowledgement comes after the refusal")
    {
        // The platform is unreachable and the peer is slow: the caller's job was already refused
        // when the peer's answer arrives. The copy must not remain and be run for nobody.
        world.setPlatform(false);
        const std::size_t job = *world.offer(k_entry, "roper");
        for (int step = 0; step < 25; ++step)
            world.step();
        CHECK(world.jobs()[job].m_isRefused);
        world.deliverAll();
        CHECK_FALSE(world.jobs()[job].m_isAccepted);
        CHECK(world.table(1).heldCopyCount() + world.table(2).heldCopyCount() == 0);
        CHECK(world.owners(world.jobs()[job].m_id) == 0);
    }

    SECTION("the record takes effect after the refusal")
    {
        // The platform is slow but reachable: the offer reaches the log after the caller was
        // refused. Without the removal after it, a successor would find the offer there and run it.
        const std::size_t job = *world.offer(k_entry, "roper");
        world.drop(0);
        for (int step = 0; step < 25; ++step) {
            world.step();
            while (!world.messages().empty())
                world.drop(0);
        }
        CHECK(world.jobs()[job].m_isRefused);
        world.settle();
        CHECK_FALSE(world.jobs()[job].m_isAccepted);
        CHECK_FALSE(world.isLogged(world.jobs()[job].m_id));
        CHECK(world.table(k_entry).isDrained());
    }
}

TEST_CASE("an accepted job survives announced reclaims", "[jobs]")
{
    JobWorld world({"a", "a", "b", "c"});
    const bool isOut = GENERATE(false, true);
    CAPTURE(isOut);
    world.setPlatform(!isOut);
    const std::size_t job = *world.offer(k_entry, "roper");
    const JobId id = world.jobs()[job].m_id;
    JobWorld::Caller caller{job};
    world.settle();
    REQUIRE(world.jobs()[job].m_isAccepted);
    world.generate(k_entry, 5);
    readThrough(world, caller, k_entry);
    REQUIRE(caller.m_have.tokens() == 5);

    SECTION("of the runner's VM: nothing is generated twice")
    {
        world.runnersLeave(k_entry);
        CHECK(world.nodes()[k_entry].m_attempts.at(id).m_answer.tokens() == 5);
    }

    SECTION("of the entry VM: all tokens travel, none is generated twice")
    {
        world.notice(k_entry, ReclaimScope::OwnVm);
        world.settle(2);
        CHECK(world.table(k_entry).isDrained());
        const std::size_t successor = *world.runner(id);
        CHECK(world.nodes()[successor].m_attempts.at(id).m_answer.tokens() == 5);
        CHECK(world.table(k_entry).offer({}, world.now()).index() == 1);
        world.settle(40);
        CHECK_FALSE(world.nodes()[k_entry].isAlive());
    }

    SECTION("of the whole data centre: it moves out of it")
    {
        world.noticeDataCentre(DataCentreId("a"));
        world.settle(40);
        CHECK_FALSE(world.nodes()[1].isAlive());
        CHECK(*world.runner(id) >= 2);
        CHECK(world.nodes()[*world.runner(id)].m_attempts.at(id).m_answer.tokens() == 5);
    }

    SECTION("of the entry VM, whose process dies in the middle of it")
    {
        // The process dies during the hand-over after a reclaim notice, and the message is lost
        // with it. The job continues from what the log or the holder has, and the caller discards
        // its tokens after that.
        world.notice(k_entry, ReclaimScope::OwnVm);
        world.messages().clear();
        world.crash(k_entry);
        world.settle(5);
        world.setPlatform(true);
        world.settle(20);
        REQUIRE(world.runner(id).has_value());
    }

    SECTION("and the successor's answer is lost")
    {
        // The successor has accepted the job, its answer is lost, and the hand-over arrives again.
        // If it were accepted twice, two generations would share an epoch, and a caller could mix
        // them.
        world.notice(k_entry, ReclaimScope::OwnVm);
        world.deliver(0);
        world.messages().clear();
        CHECK(world.owners(id) == 1);
        world.settle(12);
        CHECK(world.owners(id) == 1);
        CHECK(world.table(k_entry).isDrained());
    }

    world.setPlatform(true);
    world.settle();
    finishAll(world);
    readThrough(world, caller, 3);
    CHECK(caller.m_isWhole);
    CHECK(caller.m_have.tokens() == JobWorld::k_answerTokens);
}

TEST_CASE("a hand-over comes back from its successor", "[jobs]")
{
    // The entry VM hands its job over and the successor accepts it. Then the successor's data
    // centre is to be reclaimed too, and it chooses the entry VM, of whose own notice it does not
    // know. If the entry VM confirmed because it knows the job, both would drop it and the accepted
    // job would be lost.
    JobWorld world({"a", "b", "c"});
    world.setPlatform(false);
    const std::size_t job = *world.offer(2, "roper");
    world.deliverAll();
    REQUIRE(world.jobs()[job].m_isAccepted);
    world.notice(2, ReclaimScope::OwnVm);
    world.deliver(0);
    const std::size_t successor = world.runner(world.jobs()[job].m_id).value();
    world.noticeDataCentre(world.nodes()[successor].m_dataCentre);
    world.settle(5);
    CHECK(world.runner(world.jobs()[job].m_id) == 1 - successor);
}

TEST_CASE("a paused owner is fenced by its log", "[jobs]")
{
    // The owner is paused for seconds with records on their way; the other nodes consider it dead,
    // and one takes its job over. Then the owner resumes, still acts as the owner, and its records
    // reach the log after the takeover. If they took effect, the answer would be mixed.
    JobWorld world({"a", "b", "c"});
    const std::size_t job = *world.offer(k_entry, "roper");
    const JobId id = world.jobs()[job].m_id;
    world.settle();
    world.generate(k_entry, 3);
    world.settle();
    JobWorld::Caller caller{job};
    world.generate(k_entry, 3);
    CHECK(world.poll(caller, k_entry) == "");
    REQUIRE(caller.m_have.tokens() == 6);
    world.step();
    REQUIRE_FALSE(world.nodes()[k_entry].m_appends.empty());
    world.pause(k_entry);
    world.suspect(k_entry);
    world.settle(20);
    const std::size_t successor = world.nodes()[1].m_attempts.contains(id) ? 1 : 2;
    REQUIRE(world.nodes()[successor].m_attempts.contains(id));
    CHECK(world.nodes()[successor].m_attempts.at(id).m_answer.tokens() == 3);
    REQUIRE(world.owners(id) == 2);

    world.flush(k_entry);
    world.read(successor);
    world.resume(k_entry);
    world.generate(k_entry, JobWorld::k_answerTokens);
    CHECK_FALSE(world.jobs()[job].m_isTold);
    world.settle();
    CHECK(world.owners(id) == 1);
    CHECK(world.table(k_entry).counters().m_fenced == 1);
    CHECK(world.table(k_entry).counters().m_tokensLost > 0);

    CHECK(world.poll(caller, k_entry) == "");
    CHECK(caller.m_have.tokens() == 3);
    finishAll(world);
    readThrough(world, caller, k_entry);
    CHECK(caller.m_isWhole);
}

TEST_CASE("an offset alone presents a mixed answer", "[jobs]")
{
    // The same loss, seen by two callers: one names its epoch, the other only counts tokens, which
    // means that it names the successor's epoch. Sampled generations differ, so that the second
    // caller ends with the first tokens of one and the last tokens of the other.
    JobWorld world({"a", "b", "c"});
    const std::size_t job = *world.offer(k_entry, "roper");
    world.settle();
    world.generate(k_entry, 8);
    JobWorld::Caller careful{job};
    JobWorld::Caller naive{job};
    CHECK(world.poll(careful, k_entry) == "");
    CHECK(world.poll(naive, k_entry) == "");
    world.crash(k_entry);
    world.settle(20);
    finishAll(world);
    JobWorld::Caller late{job};
    readThrough(world, late, 1);
    REQUIRE(late.m_isWhole);
    naive.m_epoch = late.m_epoch;
    CHECK(world.poll(naive, 1).starts_with("a mixed answer"));
    readThrough(world, careful, 1);
    CHECK(careful.m_isWhole);
    CHECK(careful.m_have.text() == late.m_have.text());
}

TEST_CASE("a job belongs to its member", "[jobs]")
{
    JobWorld world({"a", "b", "c"});
    const std::size_t job = *world.offer(k_entry, "roper");
    const JobId id = world.jobs()[job].m_id;
    world.settle();
    const JobId missing = makeJobId(world.nodes()[0].m_process, 99, 1);
    for (std::size_t node = 0; node < 2; ++node) {
        world.table(node).reattach(id, MemberId("roper"), {}, world.now());
        world.settle();
    }
    const auto stranger = world.table(0).reattach(id, MemberId("rival"), {}, world.now());
    const auto nobody = world.table(0).reattach(missing, MemberId("roper"), {}, world.now());
    REQUIRE(errorIn(stranger) == ErrorId::JobUnknown);
    REQUIRE(errorIn(nobody) == ErrorId::JobUnknown);
    CHECK(std::get<Error>(stranger).m_text == std::get<Error>(nobody).m_text);
    CHECK(errorIn(world.table(1).reattach(id, MemberId("rival"), {}, world.now()))
          == ErrorId::JobUnknown);
    CHECK(errorIn(world.table(0).reattach(JobId("x"), MemberId("rival"), {}, world.now()))
          == ErrorId::JobUnknown);
}

TEST_CASE("attempts that go wrong", "[jobs]")
{
    JobWorld world({"a", "b", "c"});
    const std::size_t job = *world.offer(k_entry, "roper");
    const JobId id = world.jobs()[job].m_id;
    world.settle();
    world.generate(k_entry, 4);
    const std::uint64_t first = world.nodes()[k_entry].m_attempts.at(id).m_number;

    SECTION("a truncated answer is not whole: the job goes on behind what it has")
    {
        world.truncateAttempts(k_entry);
        CHECK(world.owners(id) == 0);
        world.settle(5);
        CHECK(world.nodes()[k_entry].m_attempts.at(id).m_answer.tokens() == 4);
    }

    SECTION("events of an attempt that was replaced change nothing")
    {
        world.runnersLeave(k_entry);
        AnswerText late;
        late.append("late");
        world.table(k_entry).onTokens(id, first, 4, late, world.now());
        world.table(k_entry).onAttemptFinished(id, first, 4, "stop", world.now());
        world.table(k_entry).onAttemptFailed(id, first, true, world.now());
        CHECK(world.table(k_entry).counters().m_lateEvents == 3);
        CHECK(world.table(k_entry).summaries().front().m_tokens == 4);
    }

    SECTION("doubled and overlapping tokens count once, a gap not at all")
    {
        AnswerText piece;
        piece.append("p");
        piece.append("q");
        world.table(k_entry).onTokens(id, first, 3, piece, world.now());
        world.table(k_entry).onTokens(id, first, 3, piece, world.now());
        world.table(k_entry).onTokens(id, first, 9, piece, world.now());
        CHECK(world.table(k_entry).summaries().front().m_tokens == 5);
    }

    SECTION("a job that is past its deadline expires, and its caller is told")
    {
        world.step(6h);
        world.settle();
        CHECK(world.jobs()[job].m_isTold);
        CHECK(world.table(k_entry).counters().m_expired == 1);
        CHECK(world.table(k_entry).summaries().front().m_state == JobState::Expired);
    }

    SECTION("a finished answer is kept for a while, then forgotten everywhere")
    {
        finishAll(world);
        JobWorld::Caller caller{job};
        readThrough(world, caller, 2);
        CHECK(caller.m_isWhole);
        world.step(31min);
        world.settle();
        CHECK_FALSE(world.isLogged(id));
        CHECK(errorIn(world.table(k_entry).reattach(id, MemberId("roper"), {}, world.now()))
              == ErrorId::JobUnknown);
    }
}

// A VM that has read the log of another one is paused. Meanwhile the other VM accepts a job, which
// reaches the log, and is then considered dead. The first VM resumes and gets a request for the
// job: it used to look into its old read of the log and answer that there is no such job.
TEST_CASE("a node that was paused doesn't deny a job from its old reading of a log", "[jobs]")
{
    constexpr std::size_t asked = 1;
    JobWorld world({"a", "b", "c"});
    const std::size_t first = *world.offer(k_entry, "roper");
    world.settle();
    world.step(11s);
    JobWorld::Caller earlier{first};
    CHECK(world.poll(earlier, asked) == "");
    world.settle(2);

    world.pause(asked);
    const std::size_t job = *world.offer(k_entry, "roper");
    world.settle();
    REQUIRE(world.jobs()[job].m_isAccepted);
    world.step(2s);
    world.pause(k_entry);
    world.suspect(k_entry);
    world.resume(asked);
    world.step();

    JobWorld::Caller caller{job};
    CHECK(world.poll(caller, asked) == "");
    SECTION("and finds it once it has read the log anew")
    {
        world.settle(20);
        finishAll(world);
        readThrough(world, caller, asked);
        CHECK(caller.m_isWhole);
    }
    SECTION("and denies one that isn't there then")
    {
        const JobId nobody = makeJobId(world.nodes()[k_entry].m_process, 99, 1);
        const auto ask = [&] {
            return errorIn(world.table(asked).reattach(nobody, MemberId("roper"), {}, world.now()));
        };
        ask();
        world.settle(2);
        // A holder may still have the job.
        CHECK(ask() == ErrorId::NotReady);
        world.step(10s);
        ask();
        world.settle(2);
        CHECK(ask() == ErrorId::JobUnknown);
    }
}
