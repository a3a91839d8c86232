#include "support/raw_upstream_world.hpp"

#include <catch2/catch.hpp>

#include <string> // string

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string lastEvent = "id: 2\ndata: b\n\n";
const std::string halfEvent = "id: 2\nda";

/// A VM before one upstream that ends its answers with their connections.
struct CloseDelimitedWorld : RawUpstreamWorld
{
    explicit CloseDelimitedWorld(bool movesRuns)
    {
        if (!movesRuns)
            configureWithoutMoves(2);
        list(upstream(0).id());
        m_raw.setBody(firstEvent + lastEvent);
        waitUntil("the upstream is used", [this] { return isWhole(send("/again/x")); });
    }

    /// Returns whether an answer is a success with both events that ends properly.
    static bool isWhole(const std::string &answer)
    {
        return isSuccess(answer) && answer.find("data: b") != std::string::npos && ends(answer);
    }
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
