#include "support/fault_proxy.hpp"

#include <gypsumdale/runtime/frame_channel.hpp>

#include <atomic> // atomic
#include <chrono> // milliseconds, seconds
#include <future> // future, promise
#include <memory> // make_shared
#include <string> // string
#include <thread> // jthread, sleep_for
#include <vector> // vector

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/future/promise.hpp>
#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t maxFrameBytes = 1024 * 1024;

std::string echo(std::string frame)
{
    return "echo " + frame;
}

FrameServer listenOn(FiberLoop &loop, FrameHandler handler, std::uint16_t port = 0)
{
    return valueOf(
            FrameServer::listen(loop, {"127.0.0.1", port}, std::move(handler), maxFrameBytes));
}

} // namespace

TEST_CASE("frames are answered in order over one connection")
{
    FiberLoop loop("frames");
    loop.start();
    FrameServer server = listenOn(loop, echo);
    FrameChannel channel(loop, {"127.0.0.1", server.port()});

    SECTION("small, empty and large frames come back whole, and traffic is counted")
    {
        const std::string large(maxFrameBytes, 'x');
        for (const std::string &frame : {std::string("a"), std::string(), large}) {
            const auto answer = loop.call([&] { return channel.exchange(frame, 10s); });
            REQUIRE(valueOf(answer) == "echo " + frame);
        }
        REQUIRE(channel.traffic().m_framesSent == 3);
        REQUIRE(channel.traffic().m_bytesSent == 3 * 4 + 1 + large.size());
        REQUIRE(server.traffic().m_bytesReceived == channel.traffic().m_bytesSent);
        REQUIRE(server.traffic().m_bytesSent == channel.traffic().m_bytesReceived);
    }

    SECTION("calls of several fibers wait their turn and get their own answers")
    {
        std::vector<std::future<std::string>> answers;
        for (int number = 0; number < 50; ++number) {
            std::promise<std::string> promise;
            answers.push_back(promise.get_future());
            loop.spawn(
                    [&, number, shared = std::make_shared<decltype(promise)>(std::move(promise))] {
                        shared->set_value(valueOf(channel.exchange(std::to_string(number), 10s)));
                    });
        }
        for (int number = 0; number < 50; ++number)
            REQUIRE(answers[number].get() == "echo " + std::to_string(number));
    }

    SECTION("a frame longer than the server's bound closes the connection")
    {
        const std::string tooLong(maxFrameBytes + 1, 'x');
        const auto refused = loop.call([&] { return channel.exchange(tooLong, 10s); });
        REQUIRE(errorOf(refused).m_id == ErrorId::ConnectionClosed);
        const auto next = loop.call([&] { return channel.exchange("next", 10s); });
        REQUIRE(valueOf(next) == "echo next");
    }
}

TEST_CASE("a late answer is never taken for the next one's")
{
    // A peer takes longer than the caller's timeout. The caller gives up and sends another frame;
    // then the answer to the first one arrives. On a connection that stayed open, it would be read
    // as the answer to the second.
    FiberLoop loop("frames");
    FiberLoop peer("peer");
    loop.start();
    peer.start();
    boost::fibers::promise<void> release;
    auto released = release.get_future().share();
    FrameServer server = listenOn(peer, [&](const std::string &frame) {
        if (frame == "slow")
            released.wait();
        return echo(frame);
    });
    FrameChannel channel(loop, {"127.0.0.1", server.port()});

    const auto late = loop.call([&] { return channel.exchange("slow", 20ms); });
    REQUIRE(errorOf(late).m_id == ErrorId::Timeout);
    release.set_value();
    const auto next = loop.call([&] { return channel.exchange("next", 10s); });
    REQUIRE(valueOf(next) == "echo next");
}

// Abandoned frames must not fill a slow path ahead of later ones.
TEST_CASE("a frame that was given up doesn't arrive when its way heals")
{
    FiberLoop loop("frames");
    loop.start();
    std::atomic<int> arrived = 0;
    FrameServer server = listenOn(loop, [&arrived](std::string frame) {
        ++arrived;
        return echo(std::move(frame));
    });
    gypsumdale::testing::FaultProxy proxy(server.port());
    FrameChannel channel(loop, {"127.0.0.1", proxy.port()});
    REQUIRE(succeeded(loop.call([&] { return channel.exchange("before", 10s); })));

    proxy.set(gypsumdale::testing::LinkFault::CutToTarget);
    REQUIRE_FALSE(succeeded(loop.call([&] { return channel.exchange("given up", 60ms); })));
    proxy.set(gypsumdale::testing::LinkFault::None);

    // The markers arrive after anything that the proxy held back.
    FrameChannel other(loop, {"127.0.0.1", proxy.port()});
    for (int marker = 0; marker < 20; ++marker) {
        REQUIRE(succeeded(loop.call([&] { return other.exchange("marker", 10s); })));
        std::this_thread::sleep_for(10ms);
    }
    CHECK(arrived == 21);
}

TEST_CASE("what came of a cut frame is counted")
{
    // Without this count, links could be full of transfers that all break off while the counters do
    // not change.
    FiberLoop loop("frames");
    loop.start();
    FrameServer server = listenOn(loop, echo);
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    const std::string begun("\0\0\2\0half", 8);
    asio::write(socket, asio::buffer(begun));
    socket.shutdown(tcp::socket::shutdown_send);
    char byte = 0;
    boost::system::error_code error;
    asio::read(socket, asio::buffer(&byte, 1), error);
    CHECK(server.traffic().m_bytesReceived == begun.size());
    CHECK(server.traffic().m_framesReceived == 0);
}

TEST_CASE("a channel survives its peer's restart")
{
    // A peer's process is replaced by one on the same address. The channel doesn't know that its
    // old connection is dead; the first exchange after the restart must open a new one.
    FiberLoop loop("frames");
    loop.start();
    auto peer = std::make_unique<FiberLoop>("peer");
    peer->start();
    std::optional<FrameServer> server = listenOn(*peer, echo);
    const std::uint16_t port = server->port();
    FrameChannel channel(loop, {"127.0.0.1", port});
    REQUIRE(succeeded(loop.call([&] { return channel.exchange("before", 10s); })));

    server.reset();
    peer->stop();
    const auto during = loop.call([&] { return channel.exchange("during", 10s); });
    REQUIRE(errorOf(during).m_id == ErrorId::PeerUnreachable);

    FiberLoop successor("successor");
    successor.start();
    const FrameServer again = listenOn(successor, echo, port);
    const auto after = loop.call([&] { return channel.exchange("after", 10s); });
    REQUIRE(valueOf(after) == "echo after");
}

TEST_CASE("a frame server withstands peers that break off or send nonsense")
{
    FiberLoop loop("frames");
    loop.start();
    FrameServer server = listenOn(loop, echo);
    asio::io_context context;
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), server.port());
    for (const std::string &bytes : {std::string("\0\0", 2), std::string("\0\0\0\5ab", 6),
                                     std::string("\xff\xff\xff\xff", 4)}) {
        tcp::socket socket(context);
        socket.connect(endpoint);
        asio::write(socket, asio::buffer(bytes));
        socket.shutdown(tcp::socket::shutdown_send);
        char byte = 0;
        boost::system::error_code error;
        asio::read(socket, asio::buffer(&byte, 1), error);
        REQUIRE(error);
    }
    FrameChannel channel(loop, {"127.0.0.1", server.port()});
    REQUIRE(succeeded(loop.call([&] { return channel.exchange("well", 10s); })));
}

TEST_CASE("an address in use is reported")
{
    FiberLoop loop("frames");
    loop.start();
    const FrameServer server = listenOn(loop, echo);
    const auto second = FrameServer::listen(loop, {"127.0.0.1", server.port()}, echo, 1);
    REQUIRE(errorOf(second).m_id == ErrorId::AddressInUse);
}

namespace {

/// Receives one frame and answers it with a length of ten bytes and the given number of single
/// bytes, then waits until the other side closes.
void answerSlowly(tcp::acceptor &acceptor, int bytes, std::chrono::milliseconds between)
{
    tcp::socket socket = acceptor.accept();
    std::string request(5, ' ');
    asio::read(socket, asio::buffer(request));
    boost::system::error_code error;
    asio::write(socket, asio::buffer(std::string("\0\0\0\x0a", 4)), error);
    for (int sent = 0; sent < bytes && !error; ++sent) {
        std::this_thread::sleep_for(between);
        asio::write(socket, asio::buffer("x", 1), error);
    }
    while (!error)
        asio::read(socket, asio::buffer(request, 1), error);
}

} // namespace

// Transfers that make progress must not be aborted and started again.
TEST_CASE("an exchange that is limited by silence")
{
    FiberLoop loop("frames");
    loop.start();
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    FrameChannel channel(loop, {"127.0.0.1", acceptor.local_endpoint().port()});
    const auto exchange = [&](const ExchangeLimits &limits) {
        return loop.call([&] { return channel.exchange("a", limits); });
    };

    SECTION("goes on while bytes come")
    {
        std::jthread server([&] { answerSlowly(acceptor, 10, 100ms); });
        CHECK(valueOf(exchange({800ms, 30s})) == std::string(10, 'x'));
        // Nobody answers the second exchange, so the connection closes.
        CHECK(errorOf(exchange({100ms, 30s})).m_id == ErrorId::Timeout);
    }

    SECTION("ends when none comes")
    {
        std::jthread server([&] { answerSlowly(acceptor, 3, 10ms); });
        REQUIRE(errorOf(exchange({300ms, 30s})).m_id == ErrorId::Timeout);
    }

    SECTION("ends when its whole time is over")
    {
        std::jthread server([&] { answerSlowly(acceptor, 10, 100ms); });
        REQUIRE(errorOf(exchange({30s, 300ms})).m_id == ErrorId::Timeout);
    }
}

TEST_CASE("what a last answer holds is let go when the peer has closed the connection")
{
    FiberLoop loop("frames");
    loop.start();
    const auto held = std::make_shared<int>();
    FrameServer server = listenOn(loop, [&](const std::string &) {
        return FrameAnswer("whole", std::shared_ptr<void>(held));
    });
    {
        FrameChannel channel(loop, {"127.0.0.1", server.port()});
        REQUIRE(valueOf(loop.call([&] { return channel.exchange("a", 10s); })) == "whole");
        CHECK(held.use_count() == 2);
    }
    while (held.use_count() > 1)
        std::this_thread::sleep_for(1ms);
}
