#include "support/entry_world.hpp"
#include "support/raw_caller.hpp"
#include "support/raw_upstream.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <string> // string

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string lastEvent = "id: 2\ndata: b\n\n";
const std::string halfEvent = "id: 2\nda";

/// A VM before one upstream that ends its answers with their connections.
struct CloseDelimitedWorld : EntryWorld
{
    explicit CloseDelimitedWorld(bool movesRuns)
        : EntryWorld(1, false, std::nullopt, {"v1"})
    {
        if (!movesRuns)
            configureWithoutMoves(2);
        store().put("servers", upstream(0).id(),
                    {{"service", "app"},
                     {"address", fmt::format("127.0.0.1:{}", m_raw.port())},
                     {"zone", "here"},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"}});
        m_raw.setBody(firstEvent + lastEvent);
        waitUntil("the upstream is used", [this] { return isWhole(send("/again/x")); });
    }

    /// Returns all that a caller receives on its connection.
    std::string send(const std::string &target)
    {
        RawCaller caller;
        caller.connect(node().m_callerPort);
        caller.write(fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\n"
                                 "Gypsumdale-Request-Id: r-{}\r\nGypsumdale-Deadline-Ms: 3000\r\n"
                                 "Authorization: Bearer key\r\nConnection: close\r\n"
                                 "Content-Length: 0\r\n\r\n",
                                 target, ++m_sent));
        return caller.readToEnd();
    }

    /// Waits until the VM has logged a text.
    void waitUntilLogged(const std::string &text)
    {
        waitUntil(text + " is logged",
                  [&] { return fullLog(node()).find(text) != std::string::npos; });
    }

    /// Returns whether an answer is a success with both events that ends properly.
    static bool isWhole(const std::string &answer)
    {
        return isSuccess(answer) && answer.find("data: b") != std::string::npos && ends(answer);
    }

    static bool isSuccess(const std::string &answer) { return answer.starts_with("HTTP/1.1 200"); }

    /// Returns whether an answer with chunks has its last one.
    static bool ends(const std::string &answer)
    {
        const bool isChunked = answer.find("chunked") != std::string::npos;
        return !isChunked || answer.ends_with("0\r\n\r\n");
    }

    RawUpstream m_raw;

private:
    int m_sent = 0;
};

} // namespace

// Guards against whole answers being taken for broken ones that end with their connection.
TEST_CASE("answers that end with their connection are forwarded")
{
    const bool movesRuns = GENERATE(true, false);
    CloseDelimitedWorld world(movesRuns);
    for (const std::string target : {"/draft/x", "/stream/x", "/again/x", "/once/x"}) {
        CAPTURE(movesRuns, target);
        CHECK(CloseDelimitedWorld::isWhole(world.send(target)));
    }
}

// Guards against a stream that ends inside an event being finished as a whole one.
TEST_CASE("a stream that ends with its connection inside an event is broken off")
{
    const bool movesRuns = GENERATE(true, false);
    CloseDelimitedWorld world(movesRuns);
    world.m_raw.setBody(firstEvent + halfEvent);
    for (const std::string target : {"/draft/x", "/stream/x"}) {
        CAPTURE(movesRuns, target);
        const std::string answer = world.send(target);
        CHECK_FALSE((CloseDelimitedWorld::isSuccess(answer) && CloseDelimitedWorld::ends(answer)));
    }
    world.waitUntilLogged("answer-truncated");
}

// Guards against a stream without any event, of an upstream that ended after the header, being
// finished as a whole one.
TEST_CASE("a stream that ends with its connection before an event is broken off")
{
    const bool movesRuns = GENERATE(true, false);
    CloseDelimitedWorld world(movesRuns);
    world.m_raw.setBody("");
    for (const std::string target : {"/draft/x", "/stream/x"}) {
        CAPTURE(movesRuns, target);
        CHECK_FALSE(CloseDelimitedWorld::isSuccess(world.send(target)));
    }
    world.waitUntilLogged("answer-truncated");
}
