#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_client.hpp>

#include <runtime/detail/loop_core.hpp>
#include <runtime/detail/stream.hpp>

#include <array> // array
#include <cstddef> // size_t
#include <functional> // function
#include <memory> // make_shared, shared_ptr
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace gypsumdale;
using gypsumdale::detail::Stream;
using gypsumdale::detail::StreamStatus;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Duration shortLimit = std::chrono::milliseconds(20);
constexpr Duration hangGuard = std::chrono::seconds(20);
constexpr Duration checkInterval = std::chrono::milliseconds(1);
/// More than the kernel holds for both sides.
constexpr std::size_t uploadBytes = std::size_t{32} * 1024 * 1024;
/// Neither a length nor chunks tell where it ends.
constexpr std::string_view openAnswer = "HTTP/1.1 200 OK\r\n\r\npart";

/// The other side of one connection. All calls are made on the loop's thread, so that what it does
/// has reached the kernel's socket of this side before the loop polls again.
class OtherSide
{
public:
    tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

    void accept() { m_socket = m_acceptor.accept(); }

    void write(std::string_view text) { asio::write(m_socket, asio::buffer(text)); }

    void close() { m_socket.close(); }

    void reset()
    {
        m_socket.set_option(asio::socket_base::linger(true, 0));
        m_socket.close();
    }

private:
    asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, {asio::ip::make_address("127.0.0.1"), 0}};
    tcp::socket m_socket{m_context};
};

/// A call by which a stream may learn of a reset.
struct Discovery
{
    std::string m_name;
    std::function<void(Stream &)> m_call;
};

const std::array<Discovery, 4> discoveries = {{
        {"isIdleAndOpen",
         [](Stream &stream) {
             CHECK_FALSE(stream.isIdleAndOpen());
         }},
        {"hasUnread",
         [](Stream &stream) {
             CHECK(stream.hasUnread());
         }},
        {"hasEnded",
         [](Stream &stream) {
             CHECK(stream.hasEnded());
         }},
        {"write",
         [](Stream &stream) {
             std::array<asio::const_buffer, 1> buffers = {asio::buffer("text", 4)};
             CHECK(stream.write(buffers, shortLimit) == StreamStatus::Broken);
         }},
}};

/// Runs a test's part in a fiber, with both sides of a connection.
void withConnection(const std::function<void(Stream &, OtherSide &)> &part)
{
    FiberLoop loop("test");
    loop.start();
    loop.call([&] {
        OtherSide other;
        const auto stream = std::make_shared<Stream>(*detail::LoopCore::current());
        REQUIRE(stream->connect(other.endpoint(), hangGuard) == StreamStatus::Good);
        other.accept();
        part(*stream, other);
        stream->close();
    });
    loop.stop();
}

StreamStatus fill(Stream &stream)
{
    return stream.fill(detail::deadlineAfter(hangGuard));
}

std::string takeInput(Stream &stream)
{
    const auto data = stream.input().data();
    const std::string text(asio::buffers_begin(data), asio::buffers_end(data));
    stream.input().consume(text.size());
    return text;
}

/// Runs a test's part in a fiber, with an exchange whose request was sent and whose connection the
/// other side has accepted.
void withExchange(const std::string &body,
                  const std::function<void(HttpExchange &, OtherSide &, FiberLoop &)> &part)
{
    FiberLoop loop("test");
    loop.start();
    loop.call([&] {
        OtherSide other;
        HttpClient client(loop);
        HttpCall call;
        call.m_endpoint = {"127.0.0.1", other.endpoint().port()};
        call.m_method = "POST";
        call.m_body = body;
        call.m_headerTimeout = shortLimit;
        call.m_requiresNewConnection = true;
        call.m_acceptsCloseDelimited = true;
        CallResult<HttpExchange> sent = client.send(call);
        auto *exchange = std::get_if<HttpExchange>(&sent);
        REQUIRE(exchange);
        other.accept();
        part(*exchange, other, loop);
    });
    loop.stop();
}

/// Returns the next piece of an answer's body, its end, or why there is neither.
std::string readNext(HttpExchange &exchange)
{
    const auto piece = exchange.read(hangGuard);
    if (const auto *failure = std::get_if<CallFailure>(&piece))
        return std::string(errorName(failure->m_error.m_id));
    return std::get<std::optional<std::string>>(piece).value_or("the end");
}

} // namespace

// Guards against a reset that reads as an end, as the kernel reports it only to the first call.
TEST_CASE("a stream stays broken after any call has learned of a reset")
{
    for (const Discovery &discovery : discoveries) {
        CAPTURE(discovery.m_name);
        withConnection([&](Stream &stream, OtherSide &other) {
            other.reset();
            discovery.m_call(stream);
            CHECK(fill(stream) == StreamStatus::Broken);
        });
    }
}

// Guards against input that is lost, where the reset behind it is learned of first.
TEST_CASE("input that came before a reset is read first")
{
    withConnection([](Stream &stream, OtherSide &other) {
        other.write("text");
        other.reset();
        discoveries.back().m_call(stream);
        CHECK(fill(stream) == StreamStatus::Good);
        CHECK(takeInput(stream) == "text");
        CHECK(fill(stream) == StreamStatus::Broken);
    });
}

// Guards against a reset that is forgotten, as the write that learned of it followed one that timed
// out and says the same.
TEST_CASE("a stream stays broken after writes that timed out")
{
    withConnection([](Stream &stream, OtherSide &other) {
        const std::string upload(uploadBytes, 'x');
        std::array<asio::const_buffer, 1> buffers = {asio::buffer(upload)};
        CHECK(stream.write(buffers, shortLimit) == StreamStatus::TimedOut);
        other.reset();
        CHECK(stream.write(buffers, shortLimit) != StreamStatus::Good);
        CHECK(fill(stream) == StreamStatus::Broken);
    });
}

// Guards against orderly ends being taken for resets.
TEST_CASE("an end that any call has learned of stays an end")
{
    for (const Discovery &discovery : discoveries) {
        if (discovery.m_name == "write")
            continue;
        CAPTURE(discovery.m_name);
        withConnection([&](Stream &stream, OtherSide &other) {
            other.write("text");
            other.close();
            CHECK(fill(stream) == StreamStatus::Good);
            CHECK(takeInput(stream) == "text");
            discovery.m_call(stream);
            CHECK(fill(stream) == StreamStatus::Ended);
        });
    }
}

// Guards against an orderly end being taken for a reset, where the other side has refused what was
// written after it.
TEST_CASE("an end stays an end if what was written after it is reset")
{
    withConnection([](Stream &stream, OtherSide &other) {
        other.write("text");
        other.close();
        std::array<asio::const_buffer, 1> buffers = {asio::buffer("text", 4)};
        CHECK(stream.write(buffers, shortLimit) == StreamStatus::Good);
        discoveries.back().m_call(stream);
        CHECK(fill(stream) == StreamStatus::Good);
        CHECK(takeInput(stream) == "text");
        CHECK(fill(stream) == StreamStatus::Ended);
    });
}

// Guards against a part of an answer without a length that is taken for the whole, where its
// connection was reset while the wait for more of it was interrupted.
TEST_CASE("an answer whose connection was reset during an interrupted wait is truncated")
{
    withExchange("", [](HttpExchange &exchange, OtherSide &other, FiberLoop &loop) {
        other.write(openAnswer);
        REQUIRE(exchange.awaitBody(hangGuard));
        CHECK(readNext(exchange) == "part");
        std::optional<bool> hasArrived;
        loop.spawn([&] { hasArrived = exchange.awaitBody(hangGuard); });
        sleepFiber(shortLimit);
        other.reset();
        exchange.interrupt();
        while (!hasArrived)
            sleepFiber(checkInterval);
        CHECK(readNext(exchange) == errorName(ErrorId::AnswerTruncated));
    });
}

// Guards against a part of an early answer that is taken for the whole, where its connection was
// reset between two attempts to write the rest of a long upload.
TEST_CASE("an early answer whose connection was reset during the upload is truncated")
{
    const std::string upload(uploadBytes, 'x');
    withExchange(upload, [](HttpExchange &exchange, OtherSide &other, FiberLoop &) {
        CHECK_FALSE(exchange.awaitHeader(shortLimit));
        other.write(openAnswer);
        other.reset();
        REQUIRE(exchange.awaitBody(hangGuard));
        REQUIRE(exchange.hasHeader());
        CHECK(readNext(exchange) == "part");
        CHECK(readNext(exchange) == errorName(ErrorId::AnswerTruncated));
    });
}
