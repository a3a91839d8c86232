#include <gypsumdale/serving/canary_judge.hpp>

#include <catch2/catch.hpp>

#include <cstddef> // size_t
#include <random> // bernoulli_distribution, mt19937
#include <set> // set
#include <variant> // get_if, holds_alternative

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

/// Answers of a control group and of a new version's upstreams, in batches of half a second.
class AnswerSource
{
public:
    explicit AnswerSource(CanaryTest test = SequentialTest{}, unsigned seed = 1)
        : m_judge(test)
        , m_random(seed)
    {}

    void control(const std::string &route, int answers, double errors, Duration time = 100ms)
    {
        add({route, UpstreamId()}, answers, errors, time);
    }
    void canary(const std::string &route, const char *upstream, int answers, double errors,
                Duration time = 100ms)
    {
        add({route, UpstreamId(upstream)}, answers, errors, time);
    }
    void step()
    {
        m_now += 500ms;
        m_judge.add(m_batch, m_now);
        m_batch.clear();
    }
    CanaryVerdict verdict() const { return m_judge.verdict(m_upstreams); }
    void setUpstreams(std::size_t count) { m_upstreams = count; }
    bool isBad() const { return std::holds_alternative<CanaryBad>(verdict()); }
    bool isSound() const { return std::holds_alternative<CanarySound>(verdict()); }
    const CanaryJudge &judge() const { return m_judge; }

private:
    void add(const EvidenceKey &key, int answers, double errors, Duration time)
    {
        std::bernoulli_distribution isError(errors);
        for (int answer = 0; answer < answers; ++answer)
            m_batch[key].add(isError(m_random), time);
    }

    CanaryJudge m_judge;
    std::mt19937 m_random;
    CanaryEvidence m_batch;
    TimePoint m_now{1h};
    std::size_t m_upstreams = 3;
};

} // namespace

TEST_CASE("a version whose requests fail is bad before fifty bad answers")
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        AnswerSource answers(SequentialTest{}, seed);
        while (!answers.isBad()) {
            answers.control("draft", 100, 0.02);
            answers.canary("draft", "a", 4, 0.32);
            answers.canary("draft", "b", 4, 0.32);
            answers.step();
            REQUIRE(answers.judge().excessBadAnswers() < 50);
        }
    }
}

TEST_CASE("a version that turns bad late is found as fast as one that is bad from its start")
{
    AnswerSource answers;
    for (int step = 0; step < 40; ++step) {
        answers.control("draft", 100, 0.02);
        answers.canary("draft", "a", 10, 0.02);
        answers.canary("draft", "b", 10, 0.02);
        answers.step();
    }
    CHECK(answers.isSound());
    int steps = 0;
    for (; !answers.isBad(); ++steps) {
        answers.control("draft", 100, 0.02);
        answers.canary("draft", "a", 10, 0.5);
        answers.canary("draft", "b", 10, 0.5);
        answers.step();
    }
    CHECK(steps <= 3);
}

TEST_CASE("a version that is slow on one route is bad, and the verdict names the route")
{
    AnswerSource answers;
    for (int step = 0; step < 10; ++step) {
        answers.control("draft", 100, 0, 200ms);
        answers.control("match", 100, 0, 100ms);
        answers.canary("draft", "a", 10, 0, 210ms);
        answers.canary("match", "a", 10, 0, 800ms);
        answers.canary("match", "b", 10, 0, 800ms);
        answers.step();
    }
    const CanaryVerdict verdict = answers.verdict();
    REQUIRE(std::holds_alternative<CanaryBad>(verdict));
    CHECK(std::get<CanaryBad>(verdict).m_route == "match");
}

TEST_CASE("a sound version whose caches are empty is not slow")
{
    AnswerSource answers;
    for (int step = 0; step < 20; ++step) {
        answers.control("draft", 100, 0, 100ms);
        answers.canary("draft", "a", 10, 0, 190ms);
        answers.step();
    }
    CHECK(answers.isSound());
}

TEST_CASE("errors that all versions have are not the new version's")
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        AnswerSource answers(SequentialTest{}, seed);
        for (int step = 0; step < 40; ++step) {
            answers.control("lookup", 50, 0.14);
            answers.canary("lookup", "a", 4, 0.14);
            answers.canary("lookup", "b", 4, 0.14);
            answers.step();
            REQUIRE_FALSE(answers.isBad());
        }
        CHECK(answers.isSound());
    }
}

TEST_CASE("one faulty upstream of several doesn't make its version bad")
{
    AnswerSource answers;
    for (int step = 0; step < 40; ++step) {
        answers.control("draft", 100, 0.02);
        answers.canary("draft", "a", 10, 0.5);
        answers.canary("draft", "b", 10, 0.02);
        answers.canary("draft", "c", 10, 0.02);
        answers.step();
        REQUIRE_FALSE(answers.isBad());
    }
}

TEST_CASE("a version of one upstream is judged by it")
{
    AnswerSource answers;
    answers.setUpstreams(1);
    for (int step = 0; step < 10; ++step) {
        answers.control("draft", 100, 0.02);
        answers.canary("draft", "a", 10, 0.5);
        answers.step();
    }
    CHECK(answers.isBad());
}

TEST_CASE("a version of several upstreams isn't judged by one, which is told to be suspect")
{
    AnswerSource answers;
    for (int step = 0; step < 10; ++step) {
        answers.control("draft", 100, 0.02);
        answers.canary("draft", "a", 10, 0.5);
        answers.step();
    }
    CHECK_FALSE(answers.isBad());
    CHECK(answers.judge().suspects() == std::set<UpstreamId>{UpstreamId("a")});
    for (int step = 0; step < 5; ++step) {
        answers.control("draft", 100, 0.02);
        answers.canary("draft", "b", 10, 0.5);
        answers.step();
    }
    CHECK(answers.isBad());
}

TEST_CASE("a version without enough answers on a used route is not sound")
{
    AnswerSource answers;
    for (int step = 0; step < 20; ++step) {
        answers.control("draft", 100, 0);
        answers.control("match", 100, 0);
        answers.canary("draft", "a", 10, 0);
        answers.step();
    }
    CHECK_FALSE(answers.isSound());
    CHECK_FALSE(answers.isBad());
}

TEST_CASE("a comparison of rates finds a bad version too")
{
    AnswerSource answers(RateComparison{});
    for (int step = 0; step < 10; ++step) {
        answers.control("draft", 100, 0.02);
        answers.canary("draft", "a", 10, 0.5);
        answers.canary("draft", "b", 10, 0.5);
        answers.step();
    }
    CHECK(answers.isBad());
}
