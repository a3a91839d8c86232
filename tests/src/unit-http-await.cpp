#include "support/raw_upstream.hpp"

#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_client.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic> // atomic
#include <chrono> // milliseconds
#include <cstddef> // size_t
#include <functional> // function
#include <future> // promise
#include <optional> // optional
#include <string> // string
#include <thread> // jthread, sleep_for, yield
#include <utility> // move

using namespace gypsumdale;
namespace asio = boost::asio;

namespace {

constexpr Duration shortLimit = std::chrono::milliseconds(20);
constexpr Duration hangGuard = std::chrono::seconds(20);
constexpr Duration checkInterval = std::chrono::milliseconds(1);
constexpr int maxWaits = 10'000;

/// A server whose answer a test lets go on step by step.
class SteppedServer
{
public:
    SteppedServer()
    {
        m_loop.start();
        m_server.emplace(
                valueOf(HttpServerBuilder()
                                .runOn({&m_loop})
                                .handleWith([this](const HttpRequest &, HttpResponder &responder) {
                                    answer(responder);
                                })
                                .build()));
    }
    ~SteppedServer()
    {
        m_step = lastStep;
        m_server.reset();
        m_loop.stop();
    }

    /// Runs a test's part in a fiber, with an exchange whose request was sent.
    void withExchange(const std::function<void(HttpExchange &)> &part)
    {
        m_loop.call([&] {
            HttpClient client(m_loop);
            HttpCall call;
            call.m_endpoint = {"127.0.0.1", m_server->port()};
            call.m_requiresNewConnection = true;
            CallResult<HttpExchange> sent = client.send(call);
            auto *exchange = std::get_if<HttpExchange>(&sent);
            REQUIRE(exchange);
            part(*exchange);
            m_step = lastStep;
        });
    }

    void goOn() { ++m_step; }
    FiberLoop &loop() { return m_loop; }

private:
    static constexpr int lastStep = 100;

    void awaitStep(int step) const
    {
        while (m_step < step)
            sleepFiber(checkInterval);
    }

    void answer(HttpResponder &responder)
    {
        awaitStep(1);
        responder.begin(200, {});
        awaitStep(2);
        responder.write("piece");
        awaitStep(3);
        responder.finish();
    }

    FiberLoop m_loop{"test"};
    int m_step = 0;
    std::optional<HttpServer> m_server;
};

} // namespace

// Guards against an answer that is lost because a wait for it was too short.
TEST_CASE("a wait that ends without an answer leaves the exchange as it is")
{
    SteppedServer server;
    server.withExchange([&](HttpExchange &exchange) {
        CHECK_FALSE(exchange.awaitHeader(shortLimit));
        CHECK_FALSE(exchange.hasHeader());
        CHECK_FALSE(exchange.failure());
        server.goOn();
        REQUIRE(exchange.awaitHeader(hangGuard));
        CHECK(exchange.hasHeader());
        CHECK(exchange.status() == 200);
        CHECK_FALSE(exchange.awaitBody(shortLimit));
        server.goOn();
        REQUIRE(exchange.awaitBody(hangGuard));
        const auto piece = exchange.read(hangGuard);
        CHECK(std::get<std::optional<std::string>>(piece) == "piece");
        CHECK_FALSE(exchange.awaitBody(shortLimit));
        server.goOn();
        REQUIRE(exchange.awaitBody(hangGuard));
        CHECK_FALSE(std::get<std::optional<std::string>>(exchange.read(hangGuard)));
    });
}

TEST_CASE("another fiber ends a wait, and the answer can still arrive")
{
    SteppedServer server;
    server.withExchange([&](HttpExchange &exchange) {
        for (const bool isBody : {false, true}) {
            server.loop().spawn([&exchange] {
                sleepFiber(shortLimit);
                exchange.interrupt();
            });
            CHECK_FALSE((isBody ? exchange.awaitBody(hangGuard) : exchange.awaitHeader(hangGuard)));
            server.goOn();
            CHECK((isBody ? exchange.awaitBody(hangGuard) : exchange.awaitHeader(hangGuard)));
        }
    });
}

TEST_CASE("an interruption while nobody waits changes nothing")
{
    SteppedServer server;
    server.withExchange([&](HttpExchange &exchange) {
        exchange.interrupt();
        server.goOn();
        CHECK(exchange.awaitHeader(hangGuard));
        CHECK(exchange.hasHeader());
    });
}

TEST_CASE("an exchange that is given up or cancelled says so")
{
    SteppedServer server;
    SECTION("given up as too late")
    {
        server.withExchange([&](HttpExchange &exchange) {
            CHECK(exchange.giveUp().m_error.m_id == ErrorId::UpstreamSilent);
            CHECK(exchange.awaitHeader(hangGuard));
            CHECK_FALSE(exchange.hasHeader());
            CHECK(exchange.failure()->m_phase == SendPhase::MayHaveBeenRead);
        });
    }
    SECTION("cancelled while it is awaited")
    {
        server.withExchange([&](HttpExchange &exchange) {
            server.loop().spawn([&exchange] {
                sleepFiber(shortLimit);
                exchange.cancel();
            });
            CHECK(exchange.awaitBody(hangGuard));
            CHECK(exchange.giveUp().m_error.m_id == ErrorId::Cancelled);
        });
    }
}

// Guards against a request that is given up because its server takes it slowly.
TEST_CASE("a request that is not taken in time is written while its answer is awaited")
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
    // More than the kernel holds for both sides.
    const std::string body(std::size_t{32} * 1024 * 1024, 'x');
    std::promise<void> goOn;
    std::jthread server([&] {
        asio::ip::tcp::socket socket(context);
        acceptor.accept(socket);
        goOn.get_future().wait();
        std::string request;
        const std::size_t head =
                asio::read_until(socket, asio::dynamic_buffer(request), testing::headEnd);
        asio::read(socket, asio::dynamic_buffer(request),
                   asio::transfer_exactly(head + body.size() - request.size()));
        const bool isWhole = request.substr(head) == body;
        asio::write(socket, asio::buffer(fmt::format("HTTP/1.1 {} X\r\nContent-Length: 0\r\n\r\n",
                                                     isWhole ? 200 : 400)));
    });
    FiberLoop loop("test");
    loop.start();
    loop.call([&] {
        HttpClient client(loop);
        HttpCall call;
        call.m_endpoint = {"127.0.0.1", acceptor.local_endpoint().port()};
        call.m_method = "POST";
        call.m_body = body;
        call.m_headerTimeout = shortLimit;
        CallResult<HttpExchange> sent = client.send(call);
        auto &exchange = std::get<HttpExchange>(sent);
        CHECK_FALSE(exchange.awaitHeader(shortLimit));
        loop.spawn([&exchange] { exchange.interrupt(); });
        CHECK_FALSE(exchange.awaitHeader(hangGuard));
        goOn.set_value();
        CHECK(exchange.awaitHeader(hangGuard));
        REQUIRE(exchange.hasHeader());
        CHECK(exchange.status() == 200);
    });
    loop.stop();
}

// Guards against a thread that was held up and takes an answer that has arrived for silence.
TEST_CASE("a wait whose time is over takes what has arrived")
{
    testing::RawUpstream raw;
    std::atomic<bool> isAnswered = false;
    raw.answerWith(
            [&isAnswered](const std::string &) {
                isAnswered = true;
                return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
            },
            testing::ConnectionEnd::Close);
    FiberLoop loop("test");
    loop.start();
    loop.call([&] {
        HttpClient client(loop);
        HttpCall call;
        call.m_endpoint = {"127.0.0.1", raw.port()};
        CallResult<HttpExchange> sent = client.send(call);
        auto &exchange = std::get<HttpExchange>(sent);
        // Blocks the loop until the answer is on its way.
        while (!isAnswered)
            std::this_thread::yield();
        bool hasArrived = false;
        for (int wait = 0; wait < maxWaits && !hasArrived; ++wait) {
            std::this_thread::sleep_for(checkInterval);
            hasArrived = exchange.awaitHeader(Duration::zero());
        }
        CHECK(hasArrived);
        CHECK(exchange.hasHeader());
    });
    loop.stop();
}

// Guards against an answer that broke off and is awaited until its deadline.
TEST_CASE("a wait ends where the connection does")
{
    testing::RawUpstream raw;
    const std::string text = GENERATE("HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    raw.answerWith([text](const std::string &) { return text; }, testing::ConnectionEnd::Close);
    FiberLoop loop("test");
    loop.start();
    loop.call([&] {
        HttpClient client(loop);
        HttpCall call;
        call.m_endpoint = {"127.0.0.1", raw.port()};
        CallResult<HttpExchange> sent = client.send(call);
        auto &exchange = std::get<HttpExchange>(sent);
        CHECK(exchange.awaitBody(hangGuard));
        CHECK(exchange.failure()->m_error.m_id == ErrorId::AnswerTruncated);
    });
    loop.stop();
}
