#include "support/endless_server.hpp"

#include <gypsumdale/runtime/http_client.hpp>

#include <chrono> // milliseconds, seconds, steady_clock
#include <cstddef> // size_t
#include <optional> // optional
#include <string> // string
#include <thread> // sleep_for
#include <variant> // get_if
#include <vector> // vector

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxBodyBytes = std::size_t{512} * 1024;
/// Limit of an answer's bytes, plus what the kernel's buffers hold of it.
constexpr std::uint64_t mostBytesOfHead = 8ULL * 1024 * 1024;
constexpr std::uint64_t mostBytesOfBody = 24ULL * 1024 * 1024;
/// Time that a call may exceed its limit on a busy machine.
constexpr Duration slack = 2500ms;

const std::string good = "HTTP/1.1 200 OK\r\n";
const std::string chunked = good + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kilobyte(1024, 'a');
const std::string field = "Name: " + kilobyte + "\r\n";
const std::string chunk = "400\r\n" + kilobyte + "\r\n";

std::vector<EndlessBytes> endlessHeads()
{
    return {
            {"status line", "HTTP/1.1 200 ", kilobyte},
            {"field", good + "Name: ", kilobyte},
            {"fields", good, field},
            {"fields that arrive one at a time", good, field, 1ms},
            {"interim heads", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
            {"interim heads that arrive one at a time", "",
             "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n", 1ms},
            {"bytes that are no HTTP", "", std::string("\x16\x03\x01 no HTTP")},
            {"bytes that begin like HTTP", "HTTP/1.1 ", "9"},
    };
}

std::vector<EndlessBytes> endlessFraming()
{
    return {
            {"chunk size", chunked, "0"},
            {"chunk extension", chunked + "1;name=", kilobyte},
            {"chunk extensions", chunked, "1;name=" + kilobyte + "\r\na\r\n"},
            {"trailer", chunked + "0\r\nName: ", kilobyte},
            {"trailers", chunked + "0\r\n", field},
            {"trailers that arrive one at a time", chunked + "0\r\n", field, 1ms},
    };
}

std::vector<EndlessBytes> endlessBodies()
{
    return {
            {"length", good + "Content-Length: 1000000000000\r\n\r\n", kilobyte},
            {"chunks", chunked, chunk},
            {"neither length nor chunks", good + "\r\n", kilobyte},
    };
}

/// Answers that are within all limits of bytes for longer than a call may take.
std::vector<EndlessBytes> slowAnswers()
{
    return {
            {"status line", "HTTP/1.1 200 ", "a", 5ms},
            {"fields", good, "A: a\r\n", 5ms},
            {"interim heads", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 5ms},
            {"length", good + "Content-Length: 100000\r\n\r\n", "a", 5ms},
            {"chunks", chunked, "1\r\na\r\n", 5ms},
            {"chunk extension", chunked + "1;name=", "a", 5ms},
            {"trailers", chunked + "0\r\n", "A: a\r\n", 5ms},
            {"neither length nor chunks", good + "\r\n", "a", 5ms},
    };
}

/// Calls a server from a loop of its own.
struct Caller
{
    Caller()
        : m_loop("caller")
        , m_client(m_loop)
    {
        m_loop.start();
    }
    ~Caller() { m_loop.stop(); }

    static HttpCall callTo(const EndlessServer &server, Duration total)
    {
        HttpCall call;
        call.m_endpoint = {"127.0.0.1", server.port()};
        call.m_totalTimeout = total;
        call.m_maxBodyBytes = maxBodyBytes;
        call.m_acceptsCloseDelimited = true;
        return call;
    }

    /// Calls, and checks that the call fails as one that may have run. Returns its error.
    ErrorId failureOf(const HttpCall &call)
    {
        const CallResult<HttpReply> result = m_loop.call([&] { return m_client.call(call); });
        const auto *failure = std::get_if<CallFailure>(&result);
        REQUIRE(failure);
        CHECK(failure->m_phase == SendPhase::AnswerStarted);
        INFO(failure->m_error.m_text);
        return failure->m_error.m_id;
    }

    FiberLoop m_loop;
    HttpClient m_client;
};

void checkClosed(EndlessServer &server)
{
    for (int wait = 0; wait < 500 && server.openConnections() > 0; ++wait)
        std::this_thread::sleep_for(10ms);
    CHECK(server.openConnections() == 0);
    CHECK(server.givenUp() == 0);
}

} // namespace

// Guards against a client that reads the head of an answer for as long as bytes arrive.
TEST_CASE("an endless head ends the call within a limit of bytes")
{
    Caller caller;
    for (const EndlessBytes &bytes : endlessHeads()) {
        CAPTURE(bytes.m_name);
        EndlessServer server(bytes);
        CHECK(caller.failureOf(Caller::callTo(server, 60s)) == ErrorId::UpstreamFailed);
        checkClosed(server);
        CHECK(server.mostBytes() < mostBytesOfHead);
    }
}

// Guards against memory that grows with chunk extensions and trailers, which no limit of the body
// covers.
TEST_CASE("endless framing of an endless body ends the call within a limit of bytes")
{
    Caller caller;
    for (const EndlessBytes &bytes : endlessFraming()) {
        CAPTURE(bytes.m_name);
        EndlessServer server(bytes);
        CHECK(caller.failureOf(Caller::callTo(server, 60s)) == ErrorId::UpstreamFailed);
        checkClosed(server);
        CHECK(server.mostBytes() < mostBytesOfBody);
    }
}

TEST_CASE("an endless body ends the call within a limit of bytes")
{
    Caller caller;
    for (const EndlessBytes &bytes : endlessBodies()) {
        CAPTURE(bytes.m_name);
        EndlessServer server(bytes);
        CHECK(caller.failureOf(Caller::callTo(server, 60s)) == ErrorId::UpstreamFailed);
        checkClosed(server);
        CHECK(server.mostBytes() < mostBytesOfBody);
    }
}

// Guards against limits of time that start anew with each piece.
TEST_CASE("an endless head or endless body that arrives slowly ends the call at its time limit")
{
    Caller caller;
    for (const EndlessBytes &bytes : slowAnswers()) {
        CAPTURE(bytes.m_name);
        EndlessServer server(bytes);
        const auto beganAt = std::chrono::steady_clock::now();
        CHECK(caller.failureOf(Caller::callTo(server, 300ms)) == ErrorId::UpstreamSilent);
        CHECK(std::chrono::steady_clock::now() - beganAt < 300ms + slack);
        checkClosed(server);
    }
}

// Guards against a deadline that passes unnoticed while each read finds bytes at once.
TEST_CASE("an endless body that is read in pieces ends at the time limit of its call")
{
    Caller caller;
    for (const EndlessBytes &bytes : endlessBodies()) {
        CAPTURE(bytes.m_name);
        EndlessServer server(bytes);
        const auto beganAt = std::chrono::steady_clock::now();
        const auto error = caller.m_loop.call([&]() -> std::optional<ErrorId> {
            auto opened = caller.m_client.open(Caller::callTo(server, 300ms));
            auto *exchange = std::get_if<HttpExchange>(&opened);
            if (!exchange)
                return std::nullopt;
            for (;;) {
                const auto piece = exchange->read(50ms);
                if (const auto *failure = std::get_if<CallFailure>(&piece))
                    return failure->m_error.m_id;
            }
        });
        CHECK(error == ErrorId::UpstreamSilent);
        CHECK(std::chrono::steady_clock::now() - beganAt < 300ms + slack);
        checkClosed(server);
    }
}

// Guards against limits that cut off whole answers.
TEST_CASE("an answer within the limits is read whole")
{
    const std::string body(maxBodyBytes, 'b');
    std::string pieces;
    for (std::size_t at = 0; at < body.size(); at += 8)
        pieces += "8;name=value\r\n" + body.substr(at, 8) + "\r\n";
    std::string head = good;
    for (int number = 0; number < 48; ++number)
        head += field;
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    const std::vector<EndlessBytes> answers = {
            {"length", interim + head + "Content-Length: 524288\r\n\r\n" + body, ""},
            {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + pieces + "0\r\nA: a\r\n\r\n",
             ""},
    };
    Caller caller;
    for (const EndlessBytes &bytes : answers) {
        CAPTURE(bytes.m_name);
        EndlessServer server(bytes);
        const HttpCall call = Caller::callTo(server, 20s);
        const auto result = caller.m_loop.call([&] { return caller.m_client.call(call); });
        const auto *reply = std::get_if<HttpReply>(&result);
        REQUIRE(reply);
        CHECK(reply->m_body == body);
    }
}
