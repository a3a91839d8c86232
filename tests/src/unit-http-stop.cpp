#include <gypsumdale/runtime/http_server.hpp>

#include <functional> // function
#include <future> // promise
#include <string> // string

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

using namespace gypsumdale;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Turns of the event loop in which it takes in what has arrived, with room to spare.
constexpr int turns = 50;

/// Runs an action on a loop after a number of turns in which no fiber runs.
void afterTurns(FiberLoop &loop, int left, std::function<void()> action)
{
    asio::post(loop.context(), [&loop, left, action = std::move(action)]() mutable {
        if (left == 0)
            action();
        else
            afterTurns(loop, left - 1, std::move(action));
    });
}

} // namespace

// A buyer asks again on the connection of the last answer, just as the VM stops to accept. On a
// busy VM the request has been read from the socket and waits for its turn among other work; the
// connection still counts as idle and is closed. The buyer's request was read whole and gets no
// answer.
TEST_CASE("a planned stop closes no connection whose request has been read")
{
    FiberLoop loop("serving");
    HttpServer server =
            valueOf(HttpServerBuilder()
                            .runOn({&loop})
                            .handleWith([](const HttpRequest &request, HttpResponder &responder) {
                                responder.send({200, {}, request.m_target});
                            })
                            .build());
    loop.start();
    asio::io_context context;
    tcp::socket caller(context);
    caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    const std::string first = "GET /first HTTP/1.1\r\nHost: h.example\r\n\r\n";
    const std::string second = "GET /second HTTP/1.1\r\nHost: h.example\r\n\r\n";
    std::string input;
    asio::write(caller, asio::buffer(first));
    const std::size_t size = asio::read_until(caller, asio::dynamic_buffer(input), "/first");
    input.erase(0, size);

    // Other work that is always ready: the event loop gets its turns in between.
    bool isBusy = true;
    loop.spawn([&isBusy] {
        while (isBusy)
            boost::this_fiber::yield();
    });
    std::promise<void> isWritten;
    std::promise<void> isStopped;
    asio::post(loop.context(), [&] {
        isWritten.get_future().wait();
        afterTurns(loop, turns, [&] {
            server.stopAccepting();
            afterTurns(loop, 1, [&] {
                isBusy = false;
                isStopped.set_value();
            });
        });
    });
    asio::write(caller, asio::buffer(second));
    isWritten.set_value();
    isStopped.get_future().wait();

    boost::system::error_code error;
    asio::read(caller, asio::dynamic_buffer(input), error);
    CHECK(input.starts_with("HTTP/1.1 200"));
    CHECK(input.ends_with("/second"));
}
