#include <gypsumdale/runtime/http_server.hpp>

#include <catch2/catch.hpp>

#include <chrono> // milliseconds, seconds, steady_clock
#include <cstddef> // size_t
#include <string> // string
#include <thread> // sleep_for

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace gypsumdale;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// More than the caller's side takes unread, less than the server's kernel holds.
constexpr std::size_t bodyBytes = std::size_t{200} * 1024;
constexpr int receiveBufferBytes = 4096;
constexpr Duration hangGuard = std::chrono::seconds(10);

/// Waits until the server has handed its whole answer to the kernel.
bool awaitAnswered(const HttpServer &server)
{
    const auto end = std::chrono::steady_clock::now() + hangGuard;
    while (server.traffic().m_bytesSent < bodyBytes) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

} // namespace

// Guards against an answer without its end: the caller reads slowly and has sent another request
// when the server closes the connection, which resets it.
TEST_CASE("a slow reader gets the whole answer after which the server closes the connection")
{
    FiberLoop loop("serving");
    HttpServer server =
            valueOf(HttpServerBuilder()
                            .runOn({&loop})
                            .handleWith([](const HttpRequest &, HttpResponder &responder) {
                                responder.send({200, {}, std::string(bodyBytes, 'x')});
                            })
                            .build());
    loop.start();
    server.announceClose();
    asio::io_context context;
    tcp::socket caller(context);
    caller.open(tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
    caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    const std::string request = "GET /first HTTP/1.1\r\nHost: h.example\r\n\r\n";
    asio::write(caller, asio::buffer(request));
    REQUIRE(awaitAnswered(server));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    boost::system::error_code error;
    asio::write(caller, asio::buffer(request), error);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    std::string answer;
    asio::read(caller, asio::dynamic_buffer(answer), error);
    CHECK(answer.size() > bodyBytes);
    CHECK(error == asio::error::eof);
}
