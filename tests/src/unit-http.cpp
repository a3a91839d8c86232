#include <gypsumdale/runtime/http_client.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <chrono> // milliseconds, seconds
#include <future> // future, promise
#include <memory> // make_shared
#include <string> // string, to_string
#include <vector> // vector

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/future/promise.hpp>
#include <catch2/catch.hpp>
#include <pcg_random.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using Piece = std::optional<std::string>;

/// One end of a connection that a test drives byte by byte.
class RawPeer
{
public:
    explicit RawPeer(tcp::socket socket)
        : m_socket(std::move(socket))
    {}

    void write(std::string_view text) { asio::write(m_socket, asio::buffer(text)); }
    /// Returns the input up to and including the mark.
    std::string readUntil(std::string_view mark)
    {
        const std::size_t size = asio::read_until(m_socket, asio::dynamic_buffer(m_input), mark);
        const std::string text = m_input.substr(0, size);
        m_input.erase(0, size);
        return text;
    }
    /// Returns all input until the other side closes.
    std::string readToEnd()
    {
        boost::system::error_code error;
        asio::read(m_socket, asio::dynamic_buffer(m_input), error);
        return std::exchange(m_input, std::string());
    }
    void close() { m_socket.close(); }

private:
    tcp::socket m_socket;
    std::string m_input;
};

/// A server or caller that a test drives by hand.
class RawNetwork
{
public:
    RawPeer accept() { return RawPeer(m_acceptor.accept()); }
    RawPeer connect(std::uint16_t port)
    {
        tcp::socket socket(m_context);
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
        return RawPeer(std::move(socket));
    }
    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    void closeAcceptor() { m_acceptor.close(); }

private:
    asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, {asio::ip::make_address("127.0.0.1"), 0}};
};

/// Runs work in a fiber of the loop; the test's thread continues meanwhile.
template <typename Work>
auto begin(FiberLoop &loop, Work work)
{
    using Value = std::invoke_result_t<Work>;
    auto promise = std::make_shared<std::promise<Value>>();
    loop.spawn([promise, work] { promise->set_value(work()); });
    return promise->get_future();
}

HttpServer serve(std::vector<FiberLoop *> loops, HttpHandler handler, HttpLimits limits = {})
{
    return valueOf(HttpServerBuilder()
                           .runOn(std::move(loops))
                           .handleWith(std::move(handler))
                           .limitTo(limits)
                           .build());
}

void echo(const HttpRequest &request, HttpResponder &responder)
{
    HttpReply reply;
    reply.m_headers.add("X-Echo", std::string(request.m_headers.value("x-in")));
    reply.m_body = request.m_method + " " + request.m_target + " " + request.m_body;
    responder.send(reply);
}

HttpCall callTo(Endpoint endpoint)
{
    HttpCall call;
    call.m_endpoint = std::move(endpoint);
    return call;
}

HttpCall callTo(const HttpServer &server)
{
    return callTo({"127.0.0.1", server.port()});
}

template <typename T>
const CallFailure &failureOf(const CallResult<T> &result)
{
    return std::get<CallFailure>(result);
}

bool isWhole(const CallResult<HttpReply> &result)
{
    return std::holds_alternative<HttpReply>(result);
}

/// Reads an exchange to its end or its failure.
std::pair<std::string, std::optional<CallFailure>> readAll(HttpExchange &exchange)
{
    std::string text;
    for (;;) {
        auto piece = exchange.read();
        if (auto *failed = std::get_if<CallFailure>(&piece))
            return {text, *failed};
        if (!std::get<Piece>(piece))
            return {text, std::nullopt};
        text += *std::get<Piece>(piece);
    }
}

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("requests are answered whole")
{
    FiberLoop loop("http");
    loop.start();
    HttpServer server = serve({&loop}, echo);
    HttpClient client(loop);
    HttpCall call = callTo(server);
    call.m_method = "POST";
    call.m_target = "/a?b=c%20d&e";
    call.m_headers.add("X-In", "value\r\nForged: yes");

    SECTION("body and headers travel both ways, and the connection is used again")
    {
        for (const std::size_t size : {std::size_t(0), std::size_t(5), std::size_t(900000)}) {
            call.m_body = std::string(size, 'x');
            const auto result = loop.call([&] { return client.call(call); });
            const auto &reply = std::get<HttpReply>(result);
            REQUIRE(reply.m_status == 200);
            REQUIRE(reply.m_headers.value("x-echo") == "value  Forged: yes");
            REQUIRE_FALSE(reply.m_headers.find("Forged"));
            REQUIRE(reply.m_body == "POST /a?b=c%20d&e " + call.m_body);
        }
        REQUIRE(server.connections() == 1);
    }

    SECTION("a fresh connection is opened where one is asked for")
    {
        REQUIRE(isWhole(loop.call([&] { return client.call(call); })));
        call.m_requiresNewConnection = true;
        REQUIRE(isWhole(loop.call([&] { return client.call(call); })));
        REQUIRE(server.connections() == 2);
    }

    SECTION("an answer larger than the caller's bound is a failure")
    {
        call.m_body = "more than ten bytes";
        call.m_maxBodyBytes = 10;
        const auto result = loop.call([&] { return client.call(call); });
        REQUIRE(failureOf(result).m_error.m_id == ErrorId::UpstreamFailed);
    }
}

TEST_CASE("a query's parameters are decoded")
{
    HttpRequest request;
    request.m_target = "/v1/jobs/7?offset=3&text=a%20b+c&flag&bad=%zz";
    REQUIRE(request.path() == "/v1/jobs/7");
    REQUIRE(request.parameter("offset") == "3");
    REQUIRE(request.parameter("text") == "a b c");
    REQUIRE(request.parameter("flag") == "");
    REQUIRE_FALSE(request.parameter("bad"));
    REQUIRE_FALSE(request.parameter("none"));
}

TEST_CASE("pieces of a streamed answer arrive as they are written")
{
    FiberLoop loop("http");
    loop.start();
    boost::fibers::promise<void> goOn;
    HttpServer server = serve({&loop}, [&](const HttpRequest &request, HttpResponder &responder) {
        responder.begin(200, {});
        responder.write("first");
        goOn.get_future().wait();
        responder.write("second");
        if (request.m_target == "/whole")
            responder.finish();
    });
    HttpClient client(loop);
    HttpCall call = callTo(server);
    const auto readBoth = [&] {
        auto opened = client.open(call);
        auto &exchange = std::get<HttpExchange>(opened);
        auto first = exchange.read();
        REQUIRE(std::get<Piece>(first) == "first");
        goOn.set_value();
        return readAll(exchange);
    };

    SECTION("with the proper end")
    {
        call.m_target = "/whole";
        const auto [text, failed] = loop.call(readBoth);
        REQUIRE(text == "second");
        REQUIRE_FALSE(failed);
    }

    SECTION("a stream that the handler never finished is no whole answer")
    {
        const auto [text, failed] = loop.call(readBoth);
        REQUIRE(text == "second");
        REQUIRE(failed->m_error.m_id == ErrorId::AnswerTruncated);
        REQUIRE(failed->m_phase == SendPhase::AnswerStarted);
    }
}

TEST_CASE("a cut answer is never taken for a whole one")
{
    // An engine's VM is reclaimed in the middle of an answer. The kernel closes its connection as
    // after a proper end; a reader that takes the close for the end would pass half a quote to the
    // caller as a complete one.
    FiberLoop loop("http");
    loop.start();
    RawNetwork network;
    HttpClient client(loop);
    const std::string answer = GENERATE(
            std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
            std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"),
            std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
            std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"));
    auto result = begin(loop, [&] {
        auto opened = client.open(callTo(network.endpoint()));
        return readAll(std::get<HttpExchange>(opened));
    });
    RawPeer peer = network.accept();
    peer.readUntil(headEnd);
    peer.write(answer);
    peer.close();
    const auto [text, failed] = result.get();
    REQUIRE(text == "half");
    REQUIRE(failed->m_error.m_id == ErrorId::AnswerTruncated);
    REQUIRE(failed->m_phase == SendPhase::AnswerStarted);
}

TEST_CASE("a failed call says how far the request got")
{
    // A stock lookup must not run twice. Only a call whose bytes can't have reached the service may
    // be reported as not run, so the phase decides between "not run" and "unknown".
    FiberLoop loop("http");
    loop.start();
    RawNetwork network;
    HttpClient client(loop);
    HttpCall call = callTo(network.endpoint());

    SECTION("nothing was sent where nobody listens")
    {
        network.closeAcceptor();
        const auto result = loop.call([&] { return client.call(call); });
        REQUIRE(failureOf(result).m_phase == SendPhase::NothingSent);
        REQUIRE(failureOf(result).m_error.m_id == ErrorId::UpstreamUnreachable);
    }

    SECTION("a service that reads and stays silent may have run the request")
    {
        call.m_headerTimeout = 20ms;
        auto result = begin(loop, [&] { return client.call(call); });
        RawPeer peer = network.accept();
        peer.readUntil(headEnd);
        const auto failed = failureOf(result.get());
        REQUIRE(failed.m_phase == SendPhase::MayHaveBeenRead);
        REQUIRE(failed.m_error.m_id == ErrorId::UpstreamSilent);
        REQUIRE(peer.readToEnd().empty());
    }

    SECTION("so may one that closes without an answer")
    {
        auto result = begin(loop, [&] { return client.call(call); });
        RawPeer peer = network.accept();
        peer.readUntil(headEnd);
        peer.close();
        const auto failed = failureOf(result.get());
        REQUIRE(failed.m_phase == SendPhase::MayHaveBeenRead);
        REQUIRE(failed.m_error.m_id == ErrorId::ConnectionClosed);
    }

    SECTION("silence within the body is told from an end")
    {
        call.m_silenceTimeout = 20ms;
        auto result = begin(loop, [&] { return client.call(call); });
        RawPeer peer = network.accept();
        peer.readUntil(headEnd);
        peer.write(chunkedHead);
        REQUIRE(failureOf(result.get()).m_error.m_id == ErrorId::UpstreamSilent);
    }

    SECTION("what is no HTTP is a failure of the upstream")
    {
        auto result = begin(loop, [&] { return client.call(call); });
        RawPeer peer = network.accept();
        peer.readUntil(headEnd);
        peer.write("220 mail ready\r\n\r\n");
        REQUIRE(failureOf(result.get()).m_error.m_id == ErrorId::UpstreamFailed);
    }
}

TEST_CASE("a connection serves the next request only after a clean end")
{
    // A buyer cancels while the answer is in transit. The answer still arrives; if the connection
    // were reused, the next buyer would read the first one's answer.
    FiberLoop loop("http");
    loop.start();
    RawNetwork network;
    HttpClient client(loop);
    const HttpCall call = callTo(network.endpoint());
    const auto answerNextCall = [&] {
        auto next = begin(loop, [&] { return client.call(call); });
        RawPeer peer = network.accept();
        peer.readUntil(headEnd);
        peer.write(okAnswer);
        REQUIRE(std::get<HttpReply>(next.get()).m_body == "ok");
    };

    SECTION("not after cancel(), which also wakes the reader")
    {
        std::promise<HttpExchange *> reading;
        auto result = begin(loop, [&] {
            auto opened = client.open(call);
            auto &exchange = std::get<HttpExchange>(opened);
            reading.set_value(&exchange);
            return readAll(exchange);
        });
        RawPeer peer = network.accept();
        peer.readUntil(headEnd);
        peer.write(chunkedHead);
        HttpExchange *exchange = reading.get_future().get();
        loop.call([&] { exchange->cancel(); });
        REQUIRE(result.get().second->m_error.m_id == ErrorId::Cancelled);
        REQUIRE(peer.readToEnd().empty());
        answerNextCall();
    }

    SECTION("not after an exchange that was dropped before its end")
    {
        auto opened = begin(loop, [&] { return client.open(call).index(); });
        RawPeer peer = network.accept();
        peer.readUntil(headEnd);
        peer.write(chunkedHead);
        REQUIRE(opened.get() == 0);
        REQUIRE(peer.readToEnd().empty());
        answerNextCall();
    }

    SECTION("not after bytes behind the answer, or a close while it idled")
    {
        const std::string_view behind = GENERATE(std::string_view("HTTP/1.1 200 OK\r\n"), "");
        auto first = begin(loop, [&] { return client.call(call); });
        RawPeer peer = network.accept();
        peer.readUntil(headEnd);
        peer.write(std::string(okAnswer) + std::string(behind));
        REQUIRE(isWhole(first.get()));
        peer.close();
        answerNextCall();
    }

    SECTION("an interim answer is skipped")
    {
        auto first = begin(loop, [&] { return client.call(call); });
        RawPeer peer = network.accept();
        peer.readUntil(headEnd);
        peer.write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + std::string(okAnswer));
        REQUIRE(std::get<HttpReply>(first.get()).m_body == "ok");
    }
}

TEST_CASE("the handler learns that its caller has gone")
{
    // A parent closes the page while a long report is being written. If the entry VM doesn't
    // notice, the engine keeps generating for nobody.
    FiberLoop loop("http");
    loop.start();
    RawNetwork network;
    std::promise<bool> noticed;
    HttpServer server = serve({&loop}, [&](const HttpRequest &, HttpResponder &responder) {
        boost::fibers::promise<void> gone;
        responder.onCallerGone([&] { gone.set_value(); });
        responder.begin(200, {});
        gone.get_future().wait();
        noticed.set_value(responder.isCallerGone() && !responder.write("late"));
    });
    RawPeer caller = network.connect(server.port());
    // Bytes of a further request don't hide the close that follows them.
    caller.write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTT");
    caller.readUntil(headEnd);
    caller.close();
    REQUIRE(noticed.get_future().get());
}

TEST_CASE("what a caller may send is bounded")
{
    FiberLoop loop("http");
    loop.start();
    RawNetwork network;
    HttpLimits limits;
    limits.m_headerBytes = 1024;
    limits.m_bodyBytes = 1024;
    limits.m_readTimeout = 20ms;
    HttpServer server = serve({&loop}, echo, limits);
    const std::string large(100 * 1024, 'x');

    const auto refusal = [&](const std::string &request) {
        RawPeer caller = network.connect(server.port());
        caller.write(request);
        return caller.readToEnd();
    };
    const auto requireRefusal = [&](const std::string &answer, int status, int id) {
        REQUIRE(answer.find("HTTP/1.1 " + std::to_string(status)) == 0);
        REQUIRE(answer.find("{\"error\":{\"id\":" + std::to_string(id)) != std::string::npos);
        REQUIRE(answer.find("Connection: close") != std::string::npos);
    };

    SECTION("malformed requests")
    {
        requireRefusal(refusal("nonsense\r\n\r\n"), 400, 201);
        requireRefusal(refusal("GET / HTTP/1.1\r\nContent-Length: 5\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"),
                       400, 201);
    }

    SECTION("oversized headers and bodies, which may still be on their way")
    {
        requireRefusal(refusal("GET / HTTP/1.1\r\nX: " + large + "\r\n\r\n"), 431, 202);
        requireRefusal(refusal("PUT / HTTP/1.1\r\nContent-Length: 102400\r\n\r\n" + large), 413,
                       202);
        requireRefusal(
                refusal("PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n19000\r\n" + large),
                413, 202);
    }

    SECTION("slow requests")
    {
        requireRefusal(refusal("GET / HTTP/1.1\r\n"), 408, 203);
        requireRefusal(refusal("PUT / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"), 408, 203);
    }

    SECTION("garbled requests never end the server")
    {
        const std::string request = "PUT /a?b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                                    "Expect: 100-continue\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        pcg32 random(20261202);
        for (int round = 0; round < 300; ++round) {
            std::string garbled = request;
            for (int change = 0; change < 3; ++change)
                garbled[random(garbled.size())] = static_cast<char>(random(256));
            RawPeer caller = network.connect(server.port());
            caller.write(garbled);
            caller.close();
        }
        RawPeer caller = network.connect(server.port());
        const std::size_t headSize = request.find(headEnd) + headEnd.size();
        caller.write(request.substr(0, headSize));
        REQUIRE(caller.readUntil(headEnd) == "HTTP/1.1 100 Continue\r\n\r\n");
        caller.write(request.substr(headSize));
        REQUIRE(caller.readUntil("PUT /a?b abc").find("200 OK") != std::string::npos);
    }
}

TEST_CASE("pipelined requests are answered in order")
{
    FiberLoop loop("http");
    loop.start();
    RawNetwork network;
    HttpServer server = serve({&loop}, echo);
    RawPeer caller = network.connect(server.port());
    std::string requests;
    for (int number = 0; number < 200; ++number)
        requests += "GET /" + std::to_string(number) + "- HTTP/1.1\r\n\r\n";
    requests += "HEAD /head HTTP/1.1\r\n\r\nGET /last HTTP/1.0\r\n\r\n";
    caller.write(requests);
    for (int number = 0; number < 200; ++number)
        caller.readUntil("GET /" + std::to_string(number) + "- ");
    const std::string rest = caller.readToEnd();
    REQUIRE(rest.find("GET /last ") != std::string::npos);
    REQUIRE(rest.find("HEAD /head") == std::string::npos);
    REQUIRE(rest.find("Connection: close") != std::string::npos);
}

TEST_CASE("many callers over two loops each get their own answer")
{
    FiberLoop first("first");
    FiberLoop second("second");
    first.start();
    second.start();
    HttpServer server = serve({&first, &second}, echo);
    HttpClient clients[] = {HttpClient(first), HttpClient(second)};
    std::vector<std::future<int>> answered;
    for (int caller = 0; caller < 100; ++caller) {
        HttpClient &client = clients[caller % 2];
        answered.push_back(begin(caller % 2 ? second : first, [&client, &server, caller] {
            int good = 0;
            HttpCall call = callTo(server);
            for (int turn = 0; turn < 20; ++turn) {
                call.m_target = "/" + std::to_string(caller) + "/" + std::to_string(turn);
                const auto result = client.call(call);
                good += std::get<HttpReply>(result).m_body == "GET " + call.m_target + " ";
            }
            return good;
        }));
    }
    for (std::future<int> &good : answered)
        REQUIRE(good.get() == 20);
    REQUIRE(server.requestsInFlight() == 0);
}

TEST_CASE("a planned stop cuts off no request in flight")
{
    // An entry VM is replaced. It closes its listening socket while a draft is being written and
    // while a connection that the kernel has completed waits to be accepted; both must be answered.
    FiberLoop loop("http");
    loop.start();
    RawNetwork network;
    boost::fibers::promise<void> goOn;
    HttpServer server = serve({&loop}, [&](const HttpRequest &request, HttpResponder &responder) {
        if (request.m_target == "/long")
            goOn.get_future().wait();
        echo(request, responder);
    });
    RawPeer idle = network.connect(server.port());
    idle.write("GET /idle HTTP/1.1\r\n\r\n");
    idle.readUntil("GET /idle ");
    RawPeer busy = network.connect(server.port());
    busy.write("GET /long HTTP/1.1\r\n\r\n");
    while (loop.call([&] { return server.requestsInFlight(); }) == 0)
        continue;
    RawPeer late = network.connect(server.port());
    late.write("GET /late HTTP/1.1\r\n\r\n");
    server.stopAccepting();

    REQUIRE(idle.readToEnd().empty());
    REQUIRE(late.readToEnd().find("GET /late ") != std::string::npos);
    goOn.set_value();
    const std::string answer = busy.readToEnd();
    REQUIRE(answer.find("GET /long ") != std::string::npos);
    REQUIRE(answer.find("Connection: close") != std::string::npos);
    const Endpoint endpoint{"127.0.0.1", server.port()};
    HttpClient client(loop);
    const auto refused = loop.call([&] { return client.call(callTo(endpoint)); });
    REQUIRE(failureOf(refused).m_phase == SendPhase::NothingSent);
}

TEST_CASE("an address in use is reported")
{
    FiberLoop loop("http");
    HttpServer server = serve({&loop}, echo);
    auto second = HttpServerBuilder()
                          .listenOn("127.0.0.1", server.port())
                          .runOn({&loop})
                          .handleWith(echo)
                          .build();
    REQUIRE(errorOf(second).m_id == ErrorId::AddressInUse);
}
