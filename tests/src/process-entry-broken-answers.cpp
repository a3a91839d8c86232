#include "support/cut_answer.hpp"
#include "support/raw_upstream_world.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono> // milliseconds
#include <cstddef> // size_t
#include <set> // set
#include <string> // string
#include <string_view> // string_view
#include <utility> // move
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string body = firstEvent + "id: 2\ndata: b\n\n";
const std::vector<std::string> targets = {"/again/x", "/once/x", "/draft/x", "/stream/x"};
const std::set<std::string> streams = {"/draft/x", "/stream/x"};
/// Enough for each request to be repeated.
constexpr int retrySlack = 400;
/// Too long to be written while its reader stands still.
constexpr std::size_t uploadBytes = std::size_t{4} * 1024 * 1024;
/// Of the answers that answersTo() returns.
constexpr std::size_t framingCount = 4;
constexpr std::size_t lengthFraming = 0;
constexpr std::size_t chunksFraming = 1;
constexpr std::size_t openFraming = 2;
constexpr std::string_view goodStatus = "200";
const std::string headField = "Content-Type";

/// Returns a text with its first occurrence of a part replaced.
std::string replaced(std::string text, std::string_view part, std::string_view by)
{
    return text.replace(text.find(part), part.size(), by);
}

/// VMs before two upstreams of a service that give the same answers.
struct BrokenAnswerWorld : RawUpstreamWorld
{
    explicit BrokenAnswerWorld(int nodes = 1, bool hasProxies = false)
        : RawUpstreamWorld(nodes, hasProxies, retrySlack)
    {
        answerWholly();
        list("u-1");
        list("u-2");
    }

    static std::string idOf(const std::string &request)
    {
        return RawUpstream::fieldOf(request, "Gypsumdale-Request-Id: ");
    }

    static std::string wholeAnswer(const std::string &request)
    {
        const CutAnswer answer = answersTo(idOf(request), body).front();
        return answer.m_head + answer.m_body;
    }

    static bool isWhole(const std::string &answer)
    {
        return isSuccess(answer) && answer.find("data: b") != std::string::npos && ends(answer);
    }

    void answerWholly() { m_raw.answerWith(wholeAnswer, ConnectionEnd::Close); }

    /// Sends whole answers in whose heads a part is replaced.
    void answerWith(std::size_t framing, std::string_view part, std::string by)
    {
        m_raw.answerWith(
                [framing, part, by = std::move(by)](const std::string &request) {
                    const CutAnswer answer = answersTo(idOf(request), body)[framing];
                    return replaced(answer.m_head, part, by) + answer.m_body;
                },
                ConnectionEnd::Close);
    }

    /// Sends a request that all upstreams answer in the same broken way, and checks that its caller
    /// gets nothing of that, and the next one its own answer.
    void checkRefused(const std::string &target, std::size_t index = 0)
    {
        const std::string answer = send(target, index);
        CHECK(answer.starts_with("HTTP/1.1 502"));
        CHECK(answer.find("data: a") == std::string::npos);
        answerWholly();
        awaitUse(index);
    }

    void allowUploads()
    {
        Json config = configuration(2, {"key"});
        config["limits"] = {{"max-body-bytes", uploadBytes}};
        store().put("config", "main", config);
        waitUntilLogged("\"config_version\":2");
    }

    void awaitUse(std::size_t index = 0)
    {
        waitUntil("the upstreams are used", [&] { return isWhole(send("/again/x", index)); });
    }
};

const std::vector<std::string> noStatuses = {"000", "001", "042", "099", "600", "799", "999"};

} // namespace

// Guards against an answer whose status is no status, such as 000, that its caller gets as one.
TEST_CASE("an answer whose status is none is refused")
{
    BrokenAnswerWorld world;
    world.awaitUse();
    for (const std::string &status : noStatuses) {
        for (std::size_t framing = 0; framing < framingCount; ++framing) {
            for (const std::string &target : targets) {
                CAPTURE(status, framing, target);
                world.answerWith(framing, goodStatus, status);
                world.checkRefused(target);
            }
        }
    }
}

// Guards against a relay that passes an answer on whose status is none.
TEST_CASE("a relayed answer whose status is none is refused")
{
    BrokenAnswerWorld world(2, true);
    // Nothing listens there: the first VM is cut off from its upstreams.
    world.store().replaceAddressFor(world.node(0).m_name, world.rawAddress(), "127.0.0.1:1");
    world.list("u-1");
    world.list("u-2");
    world.awaitUse(1);
    world.awaitUse(0);
    for (const std::string &target : targets) {
        CAPTURE(target);
        world.answerWith(lengthFraming, goodStatus, "000");
        world.checkRefused(target);
    }
}

// Guards against a stream with a part of its events, framed as whole, whose next upstream answers
// with a status that is none.
TEST_CASE("a stream that goes on with a status that is none is broken off")
{
    BrokenAnswerWorld world;
    world.awaitUse();
    world.m_raw.answerWith(
            [](const std::string &request) {
                const std::string id = BrokenAnswerWorld::idOf(request);
                const CutAnswer answer = answersTo(id, body).front();
                if (RawUpstream::fieldOf(request, "Last-Event-Id: ").empty())
                    return answer.m_head + firstEvent + "id: 2";
                return replaced(answer.m_head, goodStatus, "000") + answer.m_body;
            },
            ConnectionEnd::Close);
    const std::string answer = world.send("/stream/x");
    CHECK(BrokenAnswerWorld::isSuccess(answer));
    CHECK(answer.find("data: b") == std::string::npos);
    CHECK_FALSE(BrokenAnswerWorld::ends(answer));
}

// Guards against a line that is no field, which a caller gets passed on, or that moves the start of
// the body.
TEST_CASE("an answer whose head holds a line that is no field is refused")
{
    const std::vector<std::string> lines = {
            "X a: b\r\n",   "X\ta: b\r\n", "X\x01: b\r\n",
            "X\x7f: b\r\n", "X\ra: b\r\n", std::string("X\0a: b\r\n", 8),
            "X\xe4: b\r\n", ": b\r\n",     "Xa : b\r\n",
            "Xa\r\n",
    };
    BrokenAnswerWorld world;
    world.awaitUse();
    for (const std::string &line : lines) {
        for (std::size_t framing = 0; framing < framingCount; ++framing) {
            for (const std::string &target : targets) {
                CAPTURE(line, framing, target);
                world.answerWith(framing, headField, line + headField);
                world.checkRefused(target);
            }
        }
    }
}

// Guards against a coded body in an answer that no longer says so, as the field is one of a single
// connection.
TEST_CASE("an answer with a transfer coding that isn't undone is refused")
{
    BrokenAnswerWorld world;
    world.awaitUse();
    for (const std::string coding :
         {"gzip", "gzip, chunked", "gzip\r\nTransfer-Encoding: chunked", "chunked, gzip",
          "chunked, identity", "chunked, chunked", "chunked;a=b", "deflate"}) {
        for (const std::string &target : targets) {
            CAPTURE(coding, target);
            world.answerWith(chunksFraming, "chunked", coding);
            world.checkRefused(target);
        }
    }
}

TEST_CASE("an answer without a transfer coding but chunks is forwarded")
{
    BrokenAnswerWorld world;
    world.awaitUse();
    for (const std::string &target : targets) {
        CAPTURE(target);
        for (const std::string coding : {"Chunked", " chunked ,"}) {
            world.answerWith(chunksFraming, "chunked", coding);
            CHECK(BrokenAnswerWorld::isWhole(world.send(target)));
        }
        world.answerWith(openFraming, headField, "Transfer-Encoding: identity\r\n" + headField);
        CHECK(BrokenAnswerWorld::isWhole(world.send(target)));
    }
}

// Guards against bytes behind an answer without a body, which a kept connection takes for the
// beginning of the next answer.
TEST_CASE("an answer without a body is followed by nothing")
{
    BrokenAnswerWorld world;
    world.awaitUse();
    const std::string length = GENERATE("", "Content-Length: 0\r\n");
    for (const std::string &target : targets) {
        CAPTURE(length, target);
        world.m_raw.answerWith(
                [length](const std::string &request) {
                    return fmt::format("HTTP/1.1 204 No Content\r\nGypsumdale-Request-Id: {}\r\n"
                                       "Gypsumdale-Response-Signature: s\r\n{}\r\n",
                                       BrokenAnswerWorld::idOf(request), length);
                },
                ConnectionEnd::Close);
        RawCaller caller;
        caller.connect(world.node().m_callerPort);
        caller.write(world.textOf({.m_target = target, .m_fields = ""}));
        const std::string empty = caller.readUntil(headEnd);
        CHECK(empty.starts_with("HTTP/1.1 204"));
        CHECK(empty.find("Transfer-Encoding") == std::string::npos);
        world.answerWholly();
        caller.write(world.textOf({.m_target = target}));
        CHECK(BrokenAnswerWorld::isWhole(caller.readToEnd()));
    }
}

// Guards against a body in a coding that its caller didn't ask for and can't read.
TEST_CASE("an answer with a content coding that nobody asked for is refused")
{
    BrokenAnswerWorld world;
    world.awaitUse();
    for (const std::string &target : targets) {
        CAPTURE(target);
        world.answerWith(lengthFraming, headField, "Content-Encoding: gzip\r\n" + headField);
        world.checkRefused(target);
        world.answerWith(lengthFraming, headField, "Content-Encoding: identity\r\n" + headField);
        CHECK(BrokenAnswerWorld::isWhole(world.send(target)));
    }
}

// Guards against the refusal of answers that are coded as their callers asked.
TEST_CASE("an answer with a content coding that its caller asked for is forwarded")
{
    BrokenAnswerWorld world;
    world.awaitUse();
    world.answerWith(lengthFraming, headField, "Content-Encoding: gzip\r\n" + headField);
    for (const std::string &target : targets) {
        CAPTURE(target);
        const std::string answer =
                world.send({.m_target = target,
                            .m_fields = "Accept-Encoding: gzip, deflate\r\nConnection: close\r\n"});
        CHECK(BrokenAnswerWorld::isWhole(answer));
        CHECK(answer.find("Content-Encoding: gzip") != std::string::npos);
    }
}

// Guards against a part of an early answer that its caller gets as the whole, as its connection was
// reset while the upload was still written.
TEST_CASE("a part of an early answer to an upload is no answer if its connection is reset")
{
    BrokenAnswerWorld world;
    world.allowUploads();
    world.awaitUse();
    const std::string upload(uploadBytes, 'x');
    for (const int millis : {0, 1, 5, 20, 45, 60, 120, 300}) {
        for (const std::string &target : targets) {
            CAPTURE(millis, target);
            world.m_raw.answerWith(
                    [](const std::string &text) {
                        const std::string id = BrokenAnswerWorld::idOf(text);
                        return answersTo(id, body)[openFraming].m_head + firstEvent;
                    },
                    ConnectionEnd::Reset, std::chrono::milliseconds(millis));
            const std::string answer = world.send({.m_target = target, .m_body = upload});
            const bool isCut = BrokenAnswerWorld::isSuccess(answer)
                               && !BrokenAnswerWorld::ends(answer) && streams.contains(target);
            CHECK((isCut || answer.starts_with("HTTP/1.1 502")));
            world.answerWholly();
            world.awaitUse();
        }
    }
}
