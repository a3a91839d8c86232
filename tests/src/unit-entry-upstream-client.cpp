#include <gypsumdale/entry/upstream_client.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <cstdint> // uint16_t, uint64_t
#include <optional> // optional
#include <string> // string

using namespace gypsumdale;
using boost::asio::ip::tcp;

namespace {

HttpServer serveOk(FiberLoop &loop)
{
    return valueOf(HttpServerBuilder()
                           .runOn({&loop})
                           .handleWith([](const HttpRequest &, HttpResponder &responder) {
                               responder.send({200, {}, "ok"});
                           })
                           .build());
}

HttpCall callTo(std::uint16_t port)
{
    HttpCall call;
    call.m_endpoint = {"127.0.0.1", port};
    call.m_method = "POST";
    call.m_body = "body";
    call.m_requiresNewConnection = true;
    return call;
}

} // namespace

TEST_CASE("calls to upstreams are counted by what became of them")
{
    // Guards against failures of links and of upstreams that no counter tells apart.
    FiberLoop loop("client");
    loop.start();
    Metrics metrics;
    UpstreamClient client(loop, metrics);
    std::optional<HttpServer> server(serveOk(loop));
    const std::uint16_t port = server->port();
    const auto isAnswered = [&](std::uint16_t to) {
        return loop.call(
                [&] { return std::holds_alternative<HttpExchange>(client.open(callTo(to))); });
    };

    SECTION("what was sent")
    {
        CHECK(isAnswered(port));
        CHECK(isAnswered(port));
        CHECK(metrics.value(Counter::UpstreamBytesSent) == 2 * callTo(port).m_body.size());
        CHECK(server->traffic().m_bytesReceived > 2 * callTo(port).m_body.size());
        CHECK(server->traffic().m_bytesSent > 2 * std::string("ok").size());
        CHECK(metrics.value(Counter::UpstreamConnectsRefused) == 0);
        CHECK(metrics.value(Counter::UpstreamConnectsTimedOut) == 0);
    }
    SECTION("a host where nothing listens")
    {
        server.reset();
        // The loop closes the listener with some delay.
        while (isAnswered(port)) {
        }
        const std::uint64_t before = metrics.value(Counter::UpstreamBytesSent);
        const std::uint64_t refused = metrics.value(Counter::UpstreamConnectsRefused);
        CHECK_FALSE(isAnswered(port));
        CHECK(metrics.value(Counter::UpstreamConnectsRefused) == refused + 1);
        CHECK(metrics.value(Counter::UpstreamBytesSent) == before);
        CHECK(metrics.value(Counter::UpstreamConnectsTimedOut) == 0);
    }
    SECTION("a host that takes no connection in time")
    {
        // One connection fills a queue of this length, and the kernel drops further ones.
        constexpr int shortestQueue = 0;
        boost::asio::io_context context;
        const tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
        tcp::acceptor full(context, any.protocol());
        full.bind(any);
        full.listen(shortestQueue);
        tcp::socket first(context);
        first.connect(full.local_endpoint());
        CHECK_FALSE(isAnswered(full.local_endpoint().port()));
        CHECK(metrics.value(Counter::UpstreamConnectsTimedOut) == 1);
        CHECK(metrics.value(Counter::UpstreamConnectsRefused) == 0);
        CHECK(metrics.value(Counter::UpstreamBytesSent) == 0);
    }
}
