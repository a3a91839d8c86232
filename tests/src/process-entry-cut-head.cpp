#include "support/cut_answer.hpp"
#include "support/raw_upstream_world.hpp"

#include <catch2/catch.hpp>

#include <cstddef> // size_t
#include <mutex> // lock_guard, mutex
#include <set> // set
#include <string> // string
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string body = firstEvent + "id: 2\ndata: b\n\n";
const std::vector<std::string> targets = {"/again/x", "/once/x", "/draft/x", "/stream/x"};
/// Enough for each request to be repeated.
constexpr int retrySlack = 200;
const std::set<std::string> repeatableTargets = {"/again/x", "/stream/x"};

/// VMs before an upstream that answers some requests with a cut head, and all others wholly.
struct CutHeadWorld : RawUpstreamWorld
{
    explicit CutHeadWorld(int nodes = 1, bool hasProxies = false)
        : RawUpstreamWorld(nodes, hasProxies, retrySlack)
    {
        answerWholly();
    }

    void answerWholly() { m_raw.answerWith(wholeAnswer, ConnectionEnd::Close); }

    /// Cuts the answers to the first requests with an id. Further ones are answered wholly.
    void cutFirstAnswers(std::size_t framing, std::size_t size, ConnectionEnd end)
    {
        m_raw.answerWith(
                [this, framing, size](const std::string &request) {
                    const std::string id = idOf(request);
                    if (!recordArrival(id))
                        return wholeAnswer(request);
                    return answersTo(id, body)[framing].m_head.substr(0, size);
                },
                end);
    }

    /// Cuts the answers to the requests that resume a stream, and ends the others within an event.
    void cutResumedAnswers(std::size_t size)
    {
        m_raw.answerWith(
                [this, size](const std::string &request) {
                    const std::string id = idOf(request);
                    const CutAnswer answer = answersTo(id, body).front();
                    if (!RawUpstream::fieldOf(request, "Last-Event-Id: ").empty())
                        return answer.m_head.substr(0, size);
                    return answer.m_head + firstEvent + "id: 2";
                },
                ConnectionEnd::Close);
    }

    bool hasArrived(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_arrived.contains(id);
    }

    void awaitUse(std::size_t index = 0)
    {
        waitUntil("the upstream is used", [&] { return isWhole(send("/again/x", index)); });
    }

    static bool isWhole(const std::string &answer)
    {
        return isSuccess(answer) && answer.find("data: b") != std::string::npos && ends(answer);
    }

private:
    static std::string idOf(const std::string &request)
    {
        return RawUpstream::fieldOf(request, "Gypsumdale-Request-Id: ");
    }

    static std::string wholeAnswer(const std::string &request)
    {
        const CutAnswer answer = answersTo(idOf(request), body).front();
        return answer.m_head + answer.m_body;
    }

    /// Returns whether a request has not arrived before.
    bool recordArrival(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_arrived.insert(id).second;
    }

    std::mutex m_mutex;
    std::set<std::string> m_arrived;
};

} // namespace

// Guards against a success without a body, framed as whole, from an upstream that ended while it
// sent the head of its answer.
TEST_CASE("an answer that is cut in its head is no success")
{
    const bool movesRuns = GENERATE(true, false);
    const ConnectionEnd end = GENERATE(ConnectionEnd::Close, ConnectionEnd::Reset);
    CutHeadWorld world;
    if (!movesRuns)
        world.configureWithoutMoves(2);
    world.list(world.upstream(0).id());
    world.awaitUse();
    std::size_t tried = 0;
    std::size_t arrived = 0;
    const std::vector<CutAnswer> answers = answersTo("r-1", body);
    for (std::size_t framing = 0; framing < answers.size(); ++framing) {
        for (const std::size_t size : cutsAroundLines(answers[framing].m_head)) {
            const std::string &target = targets[(size + framing) % targets.size()];
            CAPTURE(movesRuns, end == ConnectionEnd::Reset, target, answers[framing].m_name, size);
            world.cutFirstAnswers(framing, size, end);
            const std::string answer = world.send(target);
            const bool isAttempted = world.hasArrived(world.lastId());
            CHECK(answer.starts_with(isAttempted ? "HTTP/1.1 502" : "HTTP/1.1 503"));
            arrived += isAttempted ? 1 : 0;
            ++tried;
            world.answerWholly();
            world.awaitUse();
        }
    }
    CHECK(2 * arrived > tried);
}

// Guards against a request that is lost, runs twice or gets two answers in one, where a repeat
// follows an answer that was cut in its head.
TEST_CASE("a request whose answer is cut in its head is repeated only where it may be")
{
    CutHeadWorld world;
    world.list("u-1");
    world.list("u-2");
    world.awaitUse();
    const std::vector<CutAnswer> answers = answersTo("r-1", body);
    for (std::size_t framing = 0; framing < answers.size(); ++framing) {
        for (const std::string &target : targets) {
            CAPTURE(target, answers[framing].m_name);
            world.cutFirstAnswers(framing, answers[framing].m_head.size() - 2,
                                  ConnectionEnd::Close);
            const std::string answer = world.send(target);
            CHECK(world.hasArrived(world.lastId()));
            if (repeatableTargets.contains(target))
                CHECK(CutHeadWorld::isWhole(answer));
            else
                CHECK(answer.starts_with("HTTP/1.1 502"));
            CHECK(answer.find("data: b") == answer.rfind("data: b"));
            world.awaitUse();
        }
    }
}

// Guards against a stream with a part of its events, framed as whole, whose next upstream ended
// while it sent the head of its answer.
TEST_CASE("a stream that goes on in a cut head is broken off")
{
    CutHeadWorld world;
    world.list("u-1");
    world.list("u-2");
    world.awaitUse();
    for (const std::size_t size : cutsAroundLines(answersTo("r-1", body).front().m_head)) {
        CAPTURE(size);
        world.cutResumedAnswers(size);
        const std::string answer = world.send("/stream/x");
        CHECK(CutHeadWorld::isSuccess(answer));
        CHECK(answer.find("data: a") != std::string::npos);
        CHECK_FALSE(CutHeadWorld::ends(answer));
        // A caller of HTTP/1.0 reads no chunks, and learns the outcome from the status.
        CHECK(world.send("/stream/x", 0, "HTTP/1.0").starts_with("HTTP/1.1 502"));
        world.answerWholly();
        world.awaitUse();
    }
}

// Guards against a relay that passes an answer on as whole which was cut in its head.
TEST_CASE("a relayed answer that is cut in its head is no success")
{
    CutHeadWorld world(2, true);
    // Nothing listens there: the first VM is cut off from its upstream.
    world.store().replaceAddressFor(world.node(0).m_name, world.rawAddress(), "127.0.0.1:1");
    world.list(world.upstream(0).id());
    world.awaitUse(1);
    world.awaitUse(0);
    for (const std::string &target : targets) {
        for (const std::size_t size : cutsAroundLines(answersTo("r-1", body).front().m_head)) {
            CAPTURE(target, size);
            world.cutFirstAnswers(0, size, ConnectionEnd::Close);
            const std::string answer = world.send(target, 0);
            const bool isAttempted = world.hasArrived(world.lastId());
            CHECK(answer.starts_with(isAttempted ? "HTTP/1.1 502" : "HTTP/1.1 503"));
            world.answerWholly();
            world.awaitUse(0);
        }
    }
}
