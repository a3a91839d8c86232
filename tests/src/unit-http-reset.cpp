#include <gypsumdale/runtime/http_client.hpp>

#include <string> // string

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// How an upstream ends a connection.
enum class Ending {
    Reset,
    Close,
};

/// Upstream that ends each connection before it has read anything, and returns what it received.
class UnreadingUpstream
{
public:
    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    void endNext(Ending ending)
    {
        tcp::socket socket = m_acceptor.accept();
        if (ending == Ending::Reset)
            socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }

private:
    asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, {asio::ip::make_address("127.0.0.1"), 0}};
};

} // namespace

// Guards against a 502 for a request that reached no upstream, as its connection was reset before a
// byte was written.
TEST_CASE("a connection that ends before a byte was written proves that nothing was run")
{
    FiberLoop loop("http");
    loop.start();
    UnreadingUpstream upstream;
    HttpClient client(loop);
    for (const Ending ending : {Ending::Reset, Ending::Close}) {
        HttpCall call;
        call.m_endpoint = upstream.endpoint();
        call.m_method = "POST";
        call.m_body = "body";
        call.m_requiresNewConnection = true;
        call.m_onConnected = [&] {
            upstream.endNext(ending);
            sleepFiber(20ms);
        };
        const auto result = loop.call([&] { return client.call(call); });
        const auto *failure = std::get_if<CallFailure>(&result);
        REQUIRE(failure);
        CHECK(failure->m_phase == SendPhase::NothingSent);
        CHECK(failure->m_error.m_id == ErrorId::ConnectionClosed);
    }
}

// Guards against a request that runs twice: an upstream may read it and reset the connection then.
TEST_CASE("a connection that is reset after the request was written proves nothing")
{
    FiberLoop loop("http");
    loop.start();
    UnreadingUpstream upstream;
    HttpClient client(loop);
    HttpCall call;
    call.m_endpoint = upstream.endpoint();
    call.m_method = "POST";
    call.m_body = "body";
    call.m_requiresNewConnection = true;
    loop.spawn([&] {
        sleepFiber(30ms);
        upstream.endNext(Ending::Reset);
    });
    const auto result = loop.call([&] { return client.call(call); });
    const auto *failure = std::get_if<CallFailure>(&result);
    REQUIRE(failure);
    CHECK(failure->m_phase == SendPhase::MayHaveBeenRead);
}
