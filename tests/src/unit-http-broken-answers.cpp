#include "support/raw_upstream.hpp"

#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_client.hpp>

#include <catch2/catch.hpp>

#include <string> // string
#include <variant> // get_if

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

/// Returns what a call makes of an answer.
CallResult<HttpReply> callOf(const std::string &answer)
{
    RawUpstream raw;
    raw.answerWith([answer](const std::string &) { return answer; }, ConnectionEnd::Close);
    FiberLoop loop("test");
    loop.start();
    HttpClient client(loop);
    HttpCall call;
    call.m_endpoint = {"127.0.0.1", raw.port()};
    call.m_acceptsCloseDelimited = true;
    CallResult<HttpReply> result = loop.call([&] { return client.call(call); });
    loop.stop();
    return result;
}

} // namespace

// Guards against any caller of the client, such as the store's, that takes for a refusal, or for an
// answer, what is none.
TEST_CASE("an answer that is none in HTTP fails as malformed, and may have run")
{
    const std::string answer =
            GENERATE(as<std::string>(), "HTTP/1.1 000 X\r\nContent-Length: 0",
                     "HTTP/1.1 099 X\r\nContent-Length: 0", "HTTP/1.1 600 X\r\nContent-Length: 0",
                     "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 0",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip",
                     "HTTP/1.1 200 OK\r\nX a: b\r\nContent-Length: 0");
    CAPTURE(answer);
    const CallResult<HttpReply> result = callOf(answer + "\r\n\r\n");
    const auto *failure = std::get_if<CallFailure>(&result);
    REQUIRE(failure);
    CHECK(failure->m_error.m_id == ErrorId::UpstreamFailed);
    CHECK(failure->m_phase == SendPhase::AnswerStarted);
    CHECK(failure->m_isMalformed);
}

TEST_CASE("answers with valid statuses are answers")
{
    const int status = GENERATE(200, 400, 599);
    const CallResult<HttpReply> result =
            callOf(fmt::format("HTTP/1.1 {} X\r\nContent-Length: 0\r\n\r\n", status));
    const auto *reply = std::get_if<HttpReply>(&result);
    REQUIRE(reply);
    CHECK(reply->m_status == status);
}
