#include "support/fault_proxy.hpp"

#include <gypsumdale/runtime/http_client.hpp>

#include <array> // array
#include <atomic> // atomic
#include <chrono> // milliseconds, seconds, steady_clock
#include <future> // future, promise
#include <memory> // make_shared
#include <string> // string
#include <thread> // jthread, sleep_for

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Longer than the proxy takes to pass on what it held when a link heals.
constexpr auto settleTime = 150ms;
constexpr auto patience = 3s;

/// Accepts one connection after the other and counts the bytes that come.
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

/// A client whose path to a server can be silenced.
struct SilentPath
{
    SilentPath() { m_loop.start(); }

    HttpCall call() const
    {
        HttpCall call;
        call.m_endpoint = {"127.0.0.1", m_proxy.port()};
        call.m_method = "POST";
        call.m_body = "three pairs of size 39";
        call.m_freshConnection = true;
        call.m_closeAfter = true;
        return call;
    }

    std::future<CallResult<HttpReply>> begin(const HttpCall &call)
    {
        auto promise = std::make_shared<std::promise<CallResult<HttpReply>>>();
        m_loop.spawn([this, promise, call] { promise->set_value(m_client.call(call)); });
        return promise->get_future();
    }

    /// Lets through what was held back and still may come.
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

const CallFailure &failureOf(const CallResult<HttpReply> &result)
{
    return std::get<CallFailure>(result);
}

} // namespace

TEST_CASE("a request that was given up doesn't arrive when its path heals")
{
    // Closing in order let what the kernel held go out after the call had failed.
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
