#include <catch2/catch.hpp>

#include <platform/rollout_codec.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

platform::StoreObject order(const std::string &name, const std::string &spec,
                            const std::string &status = {})
{
    platform::StoreObject object{name, 7, spec};
    object.m_statusText = status;
    object.m_createdRevision = 5;
    return object;
}

const std::string usual = R"({"service":"llm","target":"v2","duration-s":12})";

} // namespace

TEST_CASE("an order is read with its time and its revisions")
{
    const RolloutList list = platform::decodeRollouts({9, {order("llm", usual)}});
    REQUIRE(list.m_rollouts.size() == 1);
    const Rollout &rollout = list.m_rollouts.at("llm");
    CHECK(rollout.m_service == ServiceId("llm"));
    CHECK(rollout.m_target == SoftwareVersion("v2"));
    CHECK(rollout.m_duration == 12s);
    CHECK(rollout.m_state == RolloutState::Ordered);
    CHECK(rollout.m_createdRevision == 5);
}

TEST_CASE("a recorded state holds for its own target only")
{
    const std::string done = R"({"state":"succeeded","target":"v2"})";
    const std::string earlier = R"({"state":"succeeded","target":"v1"})";
    const auto state = [](const std::string &status) {
        return platform::decodeRollouts({9, {order("llm", usual, status)}})
                .m_rollouts.at("llm")
                .m_state;
    };
    CHECK(state(done) == RolloutState::Succeeded);
    CHECK(state(earlier) == RolloutState::Ordered);
    CHECK(state(R"({"state":"rolled_back","target":"v2"})") == RolloutState::RolledBack);
    CHECK(state("[]") == RolloutState::Ordered);
}

TEST_CASE("an order that lacks a field is unusable, and its target stays closed")
{
    const RolloutList list = platform::decodeRollouts(
            {9,
             {order("a", R"({"target":"v2","duration-s":12})"), order("b", R"({"service":"b"})"),
              order("c", R"({"service":"c","target":"v3"})"),
              order("d", R"({"service":"d","target":"v4","duration-s":-1})"), order("e", "5")}});
    CHECK(list.m_rollouts.empty());
    CHECK(list.m_unusable.size() == 5);
    CHECK(list.m_unusableTargets.at(ServiceId("a")).contains(SoftwareVersion("v2")));
    CHECK(list.m_unusableTargets.at(ServiceId("c")).contains(SoftwareVersion("v3")));
    CHECK(list.m_unusableTargets.at(ServiceId("d")).contains(SoftwareVersion("v4")));
}

// Guards against an order that begins though no state of it can be recorded.
TEST_CASE("an order without a name is unusable, and its target stays closed")
{
    const RolloutList list = platform::decodeRollouts({9, {order("", usual)}});
    CHECK(list.m_rollouts.empty());
    CHECK(list.m_unusable.size() == 1);
    CHECK(list.m_unusableTargets.at(ServiceId("llm")).contains(SoftwareVersion("v2")));
}

TEST_CASE("of two orders for one service none is carried out")
{
    const RolloutList list = platform::decodeRollouts(
            {9,
             {order("first", usual),
              order("second", R"({"service":"llm","target":"v3","duration-s":12})")}});
    CHECK(list.m_rollouts.empty());
    CHECK(list.m_unusable.size() == 2);
    CHECK(list.m_unusableTargets.at(ServiceId("llm")).size() == 2);
}

TEST_CASE("a recorded state is written with the order's revision")
{
    Rollout rollout;
    rollout.m_target = SoftwareVersion("v2");
    rollout.m_revision = 7;
    const platform::StoreObject object =
            platform::encodeRolloutStatus("llm", rollout, RolloutState::RolledBack);
    CHECK(object.m_revision == 7);
    CHECK(object.m_statusText == R"({"state":"rolled_back","target":"v2"})");
}

TEST_CASE("what a deciding VM leaves to its successor is read back")
{
    platform::RolloutRecord record;
    record.m_target = SoftwareVersion("v2");
    record.m_createdRevision = 5;
    record.m_orderedAt = 1234;
    record.m_excessBadAnswers = 7.5;
    const platform::RolloutRecord read =
            platform::decodeRolloutRecord(platform::encodeRolloutRecord("llm", record));
    CHECK(read.m_target == record.m_target);
    CHECK(read.m_createdRevision == 5);
    CHECK(read.m_orderedAt == 1234);
    CHECK(read.m_excessBadAnswers == 7.5);
}
