#include <gypsumdale/runtime/http_server.hpp>

#include <cerrno> // errno
#include <chrono> // milliseconds, steady_clock
#include <functional> // function
#include <future> // promise
#include <string> // string
#include <thread> // sleep_until
#include <vector> // vector

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

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

HttpServer serverOn(FiberLoop &loop, HttpHandler handler, HttpLimits limits = {})
{
    return valueOf(HttpServerBuilder()
                           .runOn({&loop})
                           .handleWith(std::move(handler))
                           .limitTo(limits)
                           .build());
}

void sendTarget(const HttpRequest &request, HttpResponder &responder)
{
    responder.send({200, {}, request.m_target});
}

std::string requestFor(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: h.example\r\n\r\n";
}

/// A caller's connection to a server on loopback.
class Caller
{
public:
    explicit Caller(const HttpServer &server) { connect(server); }
    /// Takes a descriptor and connects later.
    Caller() { m_socket.open(tcp::v4()); }

    void connect(const HttpServer &server)
    {
        m_socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    }

    void write(const std::string &text) { asio::write(m_socket, asio::buffer(text)); }

    /// Tells whether the server has left the connection open.
    bool isOpen()
    {
        char byte = 0;
        return ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
               && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    /// Takes what comes until the end of a text.
    void readUntil(const std::string &end)
    {
        m_input.erase(0, asio::read_until(m_socket, asio::dynamic_buffer(m_input), end));
    }

    std::string readToEnd()
    {
        boost::system::error_code error;
        asio::read(m_socket, asio::dynamic_buffer(m_input), error);
        return m_input;
    }

private:
    asio::io_context m_context;
    tcp::socket m_socket{m_context};
    std::string m_input;
};

/// Takes away the descriptors that the process may still open, as long as it lives.
class WithoutDescriptors
{
public:
    WithoutDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        rlimit limit = m_before;
        // The lowest that is free is the next to be opened.
        const int next = dup(STDIN_FILENO);
        close(next);
        limit.rlim_cur = static_cast<rlim_t>(next);
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~WithoutDescriptors() { setrlimit(RLIMIT_NOFILE, &m_before); }
    WithoutDescriptors(const WithoutDescriptors &) = delete;
    WithoutDescriptors &operator=(const WithoutDescriptors &) = delete;

private:
    rlimit m_before{};
};

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

// A caller writes two requests at once on one connection, and the VM gets its signal to stop while
// the first runs. Both were read whole. The first answer says that the connection closes, the
// second request is dropped, and its caller waits for an answer that never comes.
TEST_CASE("a planned stop answers a request that was read behind the one under way")
{
    FiberLoop loop("serving");
    std::promise<void> isStopping;
    auto isStoppingSeen = isStopping.get_future().share();
    HttpServer server = serverOn(loop, [&](const HttpRequest &request, HttpResponder &responder) {
        if (request.m_target == "/first")
            isStoppingSeen.wait();
        sendTarget(request, responder);
    });
    loop.start();
    Caller caller(server);
    caller.write(requestFor("/first") + requestFor("/second"));
    SECTION("that is told by the signal")
    {
        server.announceClose();
    }
    SECTION("that takes no connections any more")
    {
        server.announceClose();
        server.stopAccepting();
    }
    isStopping.set_value();
    const std::string answers = caller.readToEnd();
    INFO(answers);
    const std::size_t firstEnd = answers.find("/first");
    REQUIRE(firstEnd != std::string::npos);
    CHECK(answers.substr(0, firstEnd).find("Connection: close") == std::string::npos);
    CHECK(answers.find("Connection: close", firstEnd) != std::string::npos);
    CHECK(answers.ends_with("/second"));
}

// A stream began before the signal to stop, so that its caller was told that the connection stays.
// The VM stops to accept before the stream ends; as it ends, the caller's next request is there,
// and is reset with the connection although nothing had told the caller not to send it.
TEST_CASE("a planned stop answers a request that came with the end of a stream")
{
    FiberLoop loop("serving");
    std::promise<void> isBegun;
    std::promise<void> isWritten;
    auto nextIsWritten = isWritten.get_future();
    HttpServer server = serverOn(loop, [&](const HttpRequest &request, HttpResponder &responder) {
        if (request.m_target != "/stream") {
            sendTarget(request, responder);
            return;
        }
        responder.begin(200, {});
        // Blocks the loop, so that it can't take in what comes meanwhile.
        isBegun.set_value();
        nextIsWritten.wait();
        responder.finish();
    });
    loop.start();
    Caller caller(server);
    caller.write(requestFor("/stream"));
    isBegun.get_future().wait();
    server.announceClose();
    server.stopAccepting();
    caller.write(requestFor("/next"));
    isWritten.set_value();
    CHECK(caller.readToEnd().ends_with("/next"));
}

// A kept connection has been idle for as long as it may. On a busy VM its end is due, but other
// work comes first, and a buyer's request arrives before the connection is closed: it is reset,
// unread. The same moment comes in each stop, for connections that bring their first request late.
TEST_CASE("a connection is not closed as idle over a request that has come")
{
    constexpr auto idleTimeout = std::chrono::milliseconds(300);
    constexpr auto margin = std::chrono::milliseconds(20);
    const bool isKept = GENERATE(false, true);
    INFO("the connection was " << (isKept ? "used before" : "new"));
    FiberLoop loop("serving");
    HttpLimits limits;
    limits.m_idleTimeout = idleTimeout;
    HttpServer server = serverOn(loop, sendTarget, limits);
    loop.start();
    std::string answer;
    // Where this thread was held up, the connection was closed before; then it is played again.
    for (bool isPlayed = false; !isPlayed;) {
        Caller caller(server);
        if (isKept) {
            caller.write(requestFor("/first"));
            caller.readUntil("/first");
        }
        while (server.connections() == 0)
            std::this_thread::yield();
        // Its fiber, which was started before, waits by now.
        loop.call([] {});
        const auto idleEnd = std::chrono::steady_clock::now() + idleTimeout;
        // Other work that is always ready: the event loop gets its turns in between.
        bool isBusy = true;
        loop.spawn([&isBusy] {
            while (isBusy)
                boost::this_fiber::yield();
        });
        std::promise<void> isWritten;
        asio::post(loop.context(), [&] {
            std::this_thread::sleep_until(idleEnd + margin);
            // In these turns the idle time's end is found; the connection's fiber runs after them.
            afterTurns(loop, turns, [&] {
                isPlayed = caller.isOpen();
                if (isPlayed)
                    caller.write(requestFor("/late"));
                isBusy = false;
                isWritten.set_value();
            });
        });
        isWritten.get_future().wait();
        answer = caller.readToEnd();
    }
    CHECK(answer.ends_with("/late"));
}

// A rush has used up a VM's descriptors when it is stopped: what the kernel accepted for it can't
// be taken in at that moment. The VM stops to accept nevertheless, and the kernel resets those
// callers' connections, with their requests in them.
TEST_CASE("a planned stop waits for descriptors to take in what was accepted")
{
    FiberLoop loop("serving");
    HttpServer server = serverOn(loop, sendTarget);
    loop.start();
    std::vector<Caller> callers(3);
    {
        const WithoutDescriptors none;
        for (Caller &caller : callers) {
            caller.connect(server);
            caller.write(requestFor("/waiting"));
        }
        server.stopAccepting();
        // The loop has dealt with it.
        for (int turn = 0; turn < turns; ++turn)
            loop.call([] {});
        CHECK(server.hasCallers());
    }
    for (Caller &caller : callers)
        CHECK(caller.readToEnd().ends_with("/waiting"));
    while (server.hasCallers())
        std::this_thread::yield();
}
