#include "support/fault_proxy.hpp"

#include <gypsumdale/runtime/http_client.hpp>

#include <array> // array
#include <atomic> // atomic
#include <chrono> // milliseconds, seconds, steady_clock
#include <future> // future, promise
#include <memory> // make_shared
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <thread> // jthread, sleep_for

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Longer than the proxy takes to pass on held data after a link heals.
constexpr auto settleTime = 150ms;
constexpr auto patience = 3s;
/// Long enough for a step of the test to complete first.
constexpr auto firstTerm = 1s;
constexpr auto endlessTerm = 60s;

/// Accepts connections one after another and counts the received bytes.
class CountingServer
{
public:
    CountingServer()
        : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
    {
        accept();
        m_thread = std::jthread([this] { m_context.run(); });
    }
    ~CountingServer() { m_context.stop(); }
    CountingServer(const CountingServer &) = delete;
    CountingServer &operator=(const CountingServer &) = delete;

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    std::size_t bytes() const { return m_bytes; }
    int connections() const { return m_connections; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](auto error, tcp::socket socket) {
            if (error)
                return;
            ++m_connections;
            read(std::make_shared<tcp::socket>(std::move(socket)));
            accept();
        });
    }

    void read(const std::shared_ptr<tcp::socket> &socket)
    {
        socket->async_read_some(asio::buffer(m_buffer), [this, socket](auto error, auto length) {
            m_bytes += length;
            if (!error)
                read(socket);
        });
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::array<char, 65536> m_buffer{};
    std::atomic<std::size_t> m_bytes = 0;
    std::atomic<int> m_connections = 0;
    std::jthread m_thread;
};

template <typename Condition>
bool becomesTrue(Condition condition)
{
    const auto deadline = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(1ms);
    }
    return true;
}

/// A client whose path to a server can be interrupted.
struct SilentPath
{
    SilentPath() { m_loop.start(); }

    HttpCall call() const
    {
        HttpCall call;
        call.m_endpoint = {"127.0.0.1", m_proxy.port()};
        call.m_method = "POST";
        call.m_body = "three pairs of size 39";
        call.m_requiresNewConnection = true;
        call.m_closeAfterAnswer = true;
        return call;
    }

    std::future<CallResult<HttpReply>> begin(const HttpCall &call)
    {
        auto promise = std::make_shared<std::promise<CallResult<HttpReply>>>();
        m_loop.spawn([this, promise, call] { promise->set_value(m_client.call(call)); });
        return promise->get_future();
    }

    /// Restores the path and waits until held data that can still arrive has arrived.
    void heal()
    {
        m_proxy.set(LinkFault::None);
        std::this_thread::sleep_for(settleTime);
    }

    CountingServer m_server;
    FaultProxy m_proxy{m_server.port()};
    FiberLoop m_loop{"http"};
    HttpClient m_client{m_loop};
};

/// A delivery deadline that starts when the first byte may be sent, and that a test moves on the
/// loop's thread.
class MovableTerm : public DeliveryDeadline
{
public:
    explicit MovableTerm(Duration time)
        : m_time(time)
    {}

    Duration left() const override
    {
        return m_until ? *m_until - std::chrono::steady_clock::now() : m_time;
    }
    bool maySend(Duration connecting) const override
    {
        if (!m_until)
            m_until = std::chrono::steady_clock::now() + m_time;
        return left() > 0ns && connecting <= m_longestConnecting;
    }
    void endNow()
    {
        m_until = std::chrono::steady_clock::now();
        notifyShortened();
    }

    Duration m_time;
    mutable std::optional<std::chrono::steady_clock::time_point> m_until;
    Duration m_longestConnecting = patience;
};

/// Accepts no connection, so that one more has to wait.
class FullListener
{
public:
    FullListener()
        : m_acceptor(m_context, tcp::v4())
    {
        m_acceptor.bind({asio::ip::address_v4::loopback(), 0});
        m_acceptor.listen(0);
        for (tcp::socket &socket : m_sockets) {
            socket.open(tcp::v4());
            socket.non_blocking(true);
            const tcp::endpoint endpoint = m_acceptor.local_endpoint();
            // The library's connect() would wait for the result.
            ::connect(socket.native_handle(), endpoint.data(),
                      static_cast<socklen_t>(endpoint.size()));
        }
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::array<tcp::socket, 3> m_sockets{tcp::socket(m_context), tcp::socket(m_context),
                                         tcp::socket(m_context)};
};

/// Reads only on demand, and has a minimal receive buffer until then.
class LazyServer
{
public:
    LazyServer()
        : m_acceptor(m_context, tcp::v4())
    {
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(1));
        m_acceptor.bind({asio::ip::address_v4::loopback(), 0});
        m_acceptor.listen();
    }

    HttpCall call(std::size_t bodySize) const
    {
        HttpCall call;
        call.m_endpoint = {"127.0.0.1", m_acceptor.local_endpoint().port()};
        call.m_method = "POST";
        call.m_body.assign(bodySize, 'x');
        call.m_requiresNewConnection = true;
        call.m_closeAfterAnswer = true;
        return call;
    }

    /// Reads the header and a body.
    void readBody(std::size_t size)
    {
        accept();
        std::string input;
        const std::size_t head =
                asio::read_until(m_socket, asio::dynamic_buffer(input), "\r\n\r\n");
        const std::size_t came = input.size() - head;
        std::string rest(size - came, '\0');
        asio::read(m_socket, asio::buffer(rest));
    }
    void answer()
    {
        asio::write(m_socket,
                    asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    }
    /// Reads until the connection ends in any way; returns the number of bytes received.
    std::size_t readToEnd()
    {
        accept();
        std::string input;
        boost::system::error_code error;
        return asio::read(m_socket, asio::dynamic_buffer(input), error);
    }

private:
    void accept() { m_socket = m_acceptor.accept(); }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    tcp::socket m_socket{m_context};
};

const CallFailure &failureOf(const CallResult<HttpReply> &result)
{
    return std::get<CallFailure>(result);
}

} // namespace

TEST_CASE("a request that was given up doesn't arrive when its path heals")
{
    // An orderly close would let the kernel send its buffered data after the call had failed.
    SilentPath path;
    path.m_proxy.set(LinkFault::CutToTarget);
    HttpCall call = path.call();

    SECTION("cancelled")
    {
        call.m_cancellation = std::make_shared<CallCancellation>();
        auto result = path.begin(call);
        REQUIRE(becomesTrue([&] { return path.m_server.connections() == 1; }));
        std::this_thread::sleep_for(30ms);
        path.m_loop.spawn([cancellation = call.m_cancellation] { cancellation->cancel(); });
        REQUIRE(failureOf(result.get()).m_error.m_id == ErrorId::Cancelled);
    }

    SECTION("its header time over")
    {
        call.m_headerTimeout = 60ms;
        const auto result = path.begin(call).get();
        REQUIRE(failureOf(result).m_error.m_id == ErrorId::UpstreamSilent);
        REQUIRE(failureOf(result).m_phase == SendPhase::MayHaveBeenRead);
    }

    SECTION("its loop stopped")
    {
        auto result = path.begin(call);
        REQUIRE(becomesTrue([&] { return path.m_server.connections() == 1; }));
        std::this_thread::sleep_for(30ms);
        path.m_loop.stop();
    }

    path.heal();
    REQUIRE(path.m_server.bytes() == 0);
}

TEST_CASE("a request doesn't go out once its term is over")
{
    // A connection that opened late would carry the request to an upstream that has left meanwhile.
    SilentPath path;
    HttpCall call = path.call();
    const auto term = std::make_shared<MovableTerm>(1s);
    call.m_term = term;

    SECTION("on a connection that took too long")
    {
        term->m_longestConnecting = -1ns;
    }

    SECTION("as the time has passed")
    {
        term->m_until = std::chrono::steady_clock::now();
    }

    const CallFailure failed = failureOf(path.begin(call).get());
    REQUIRE(failed.m_error.m_id == ErrorId::TermOver);
    REQUIRE(failed.m_phase == SendPhase::NothingSent);
    path.heal();
    REQUIRE(path.m_server.bytes() == 0);
}

TEST_CASE("a connection that is awaited ends with the term")
{
    // The attempt would hold its request for the whole connect timeout, although the request could
    // go elsewhere.
    FullListener listener;
    FiberLoop loop("http");
    loop.start();
    HttpClient client(loop);
    HttpCall call;
    call.m_endpoint = {"127.0.0.1", listener.port()};
    call.m_connectTimeout = patience;
    const auto term = std::make_shared<MovableTerm>(patience);
    call.m_term = term;
    std::promise<CallResult<HttpReply>> promise;
    const auto beganAt = std::chrono::steady_clock::now();
    loop.spawn([&] { promise.set_value(client.call(call)); });
    std::this_thread::sleep_for(50ms);
    loop.spawn([term] { term->endNow(); });
    const CallFailure failed = failureOf(promise.get_future().get());
    REQUIRE(failed.m_error.m_id == ErrorId::TermOver);
    REQUIRE(failed.m_phase == SendPhase::NothingSent);
    REQUIRE(std::chrono::steady_clock::now() - beganAt < patience / 2);
}

TEST_CASE("what has not arrived within its term is taken back")
{
    // A request in the send buffer would be delivered after its upstream has left.
    const std::size_t size = GENERATE(std::size_t{8000}, std::size_t{6} * 1024 * 1024);
    LazyServer server;
    FiberLoop loop("http");
    loop.start();
    HttpClient client(loop);
    HttpCall call = server.call(size);
    const auto term = std::make_shared<MovableTerm>(firstTerm);
    call.m_term = term;
    std::promise<CallResult<HttpReply>> promise;
    auto future = promise.get_future();
    const auto begin = [&] {
        loop.spawn([&] { promise.set_value(client.call(call)); });
    };

    SECTION("at its end")
    {
        begin();
        const CallFailure failed = failureOf(future.get());
        REQUIRE(failed.m_error.m_id == ErrorId::TermOver);
        REQUIRE(failed.m_phase == SendPhase::MayHaveBeenRead);
        REQUIRE(failed.m_unacknowledgedBytes > 0);
        REQUIRE(server.readToEnd() < size);
    }

    SECTION("as soon as it is cut short")
    {
        term->m_time = endlessTerm;
        begin();
        std::this_thread::sleep_for(firstTerm / 2);
        REQUIRE(future.wait_for(0s) == std::future_status::timeout);
        loop.spawn([term] { term->endNow(); });
        REQUIRE(failureOf(future.get()).m_error.m_id == ErrorId::TermOver);
        REQUIRE(server.readToEnd() < size);
    }

    SECTION("but not if the term has moved on")
    {
        begin();
        loop.spawn([term] { term->m_until = std::chrono::steady_clock::now() + endlessTerm; });
        std::this_thread::sleep_for(firstTerm + settleTime);
        server.readBody(size);
        server.answer();
        REQUIRE(std::holds_alternative<HttpReply>(future.get()));
    }
}

TEST_CASE("a request that has arrived outlasts its term")
{
    // An upstream that leaves finishes the requests that it has received: aborting one would waste
    // its run.
    constexpr std::size_t size = 8000;
    LazyServer server;
    FiberLoop loop("http");
    loop.start();
    HttpClient client(loop);
    HttpCall call = server.call(size);
    const auto term = std::make_shared<MovableTerm>(firstTerm);
    call.m_term = term;
    std::promise<CallResult<HttpReply>> promise;
    loop.spawn([&] { promise.set_value(client.call(call)); });
    server.readBody(size);

    SECTION("though it ends by itself")
    {
        std::this_thread::sleep_for(firstTerm + settleTime);
    }

    SECTION("though it is cut short")
    {
        std::this_thread::sleep_for(50ms);
        loop.spawn([term] { term->endNow(); });
        std::this_thread::sleep_for(50ms);
    }

    server.answer();
    REQUIRE(std::holds_alternative<HttpReply>(promise.get_future().get()));
}
