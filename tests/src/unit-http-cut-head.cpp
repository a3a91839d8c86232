#include "support/cut_answer.hpp"
#include "support/raw_upstream.hpp"

#include <gypsumdale/runtime/http_client.hpp>

#include <cstddef> // size_t
#include <string> // string
#include <variant> // get_if

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

const std::string body = "id: 1\ndata: a\n\n";

/// Calls an upstream whose answers are cut.
class Caller
{
public:
    Caller() { m_loop.start(); }

    CallResult<HttpReply> call(const std::string &bytes, ConnectionEnd end)
    {
        m_upstream.answerWith([bytes](const std::string &) { return bytes; }, end);
        HttpCall call;
        call.m_endpoint = {"127.0.0.1", m_upstream.port()};
        call.m_requiresNewConnection = true;
        call.m_acceptsCloseDelimited = true;
        return m_loop.call([&] { return m_client.call(call); });
    }

private:
    FiberLoop m_loop{"http"};
    HttpClient m_client{m_loop};
    RawUpstream m_upstream;
};

} // namespace

// Guards against an answer without a body, or with a part of one, taken for a whole one whose
// upstream ended while it sent the head.
TEST_CASE("an answer that is cut anywhere in its head is never whole")
{
    Caller caller;
    for (const CutAnswer &answer : answersTo("r", body)) {
        for (std::size_t size = 0; size < answer.m_head.size(); ++size) {
            for (const ConnectionEnd end : {ConnectionEnd::Close, ConnectionEnd::Reset}) {
                CAPTURE(answer.m_name, size, end == ConnectionEnd::Reset);
                const auto result = caller.call(answer.m_head.substr(0, size), end);
                const auto *failure = std::get_if<CallFailure>(&result);
                REQUIRE(failure);
                CHECK(failure->m_phase != SendPhase::NothingSent);
            }
        }
    }
}

// Guards against an answer with a part of its body taken for a whole one, where its head says where
// it ends.
TEST_CASE("an answer that is cut anywhere in its body is not whole")
{
    Caller caller;
    for (const CutAnswer &answer : answersTo("r", body)) {
        const bool hasEnd = answer.m_name != "neither length nor chunks";
        for (std::size_t size = 0; hasEnd && size < answer.m_body.size(); ++size) {
            CAPTURE(answer.m_name, size);
            const auto result = caller.call(answer.m_head + answer.m_body.substr(0, size),
                                            ConnectionEnd::Close);
            CHECK(std::get_if<CallFailure>(&result));
        }
        const auto whole = caller.call(answer.m_head + answer.m_body, ConnectionEnd::Close);
        const auto *reply = std::get_if<HttpReply>(&whole);
        REQUIRE(reply);
        CHECK(reply->m_status == 200);
        CHECK(reply->m_body == body);
    }
}
