#include "support/entry_world.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono> // duration_cast, milliseconds, steady_clock
#include <csignal> // SIGTERM
#include <cstddef> // size_t
#include <cstdint> // uint16_t
#include <memory> // make_unique, unique_ptr
#include <string> // stoul, string
#include <string_view> // string_view
#include <thread> // sleep_until, thread
#include <utility> // move
#include <vector> // vector

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::string_view answerEnd = "whole-end";
constexpr std::size_t kib = 1024;

/// What a caller sends behind its request.
enum class Behind {
    Nothing,
    /// The beginning of another request, once the answer has begun.
    PartOfRequest,
    /// Another request, once the answer has begun.
    Request,
};

enum class Connection {
    Keep,
    Close,
};

struct Request
{
    std::string m_target;
    Connection m_connection = Connection::Keep;
    Behind m_behind = Behind::Nothing;
};

std::string textOf(const Request &request, std::string_view id)
{
    const bool isLast = request.m_connection == Connection::Close;
    return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nGypsumdale-Request-Id: {}\r\n"
                       "Authorization: Bearer key\r\n{}Content-Length: 4\r\n\r\nbody",
                       request.m_target, id, isLast ? "Connection: close\r\n" : "");
}

/// Lets all upstreams answer at once with as many KiB as the end of the target says.
void answerBySize(EntryWorld &world)
{
    world.behave(
            [](const HttpRequest &request, HttpResponder &responder, const HttpHeaders &headers) {
                const std::size_t size =
                        kib * std::stoul(request.m_target.substr(request.m_target.rfind('/') + 1));
                if (!request.m_target.starts_with("/draft/")) {
                    responder.send({200, headers, std::string(size, 'x') + std::string(answerEnd)});
                    return;
                }
                responder.begin(200, headers);
                const std::string event = "data: " + std::string(16 * kib, 'x') + "\n\n";
                for (std::size_t sent = 0; sent < size; sent += event.size())
                    responder.write(event);
                responder.write(fmt::format("data: {}\n\n", answerEnd));
                responder.finish();
            });
}

/// Caller that reads slowly.
class SlowCaller
{
public:
    SlowCaller(std::uint16_t port, const Request &request, std::string id)
        : m_request(request)
        , m_id(std::move(id))
    {
        constexpr int receiveBytes = 32 * 1024;
        m_socket.open(tcp::v4());
        m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBytes));
        m_socket.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(m_socket, asio::buffer(textOf(request, m_id)));
    }

    /// Reads the first byte of the answer, and sends what comes behind the request then.
    void begin()
    {
        readSome(1);
        const std::string next = textOf(m_request, m_id + "-next");
        boost::system::error_code ignored;
        if (m_request.m_behind == Behind::Request)
            asio::write(m_socket, asio::buffer(next), ignored);
        if (m_request.m_behind == Behind::PartOfRequest)
            asio::write(m_socket, asio::buffer(next.substr(0, 20)), ignored);
    }

    void readToEnd()
    {
        while (!m_error)
            readSome(64 * kib);
    }

    /// Reads evenly, so that an answer of a size ends at a time.
    void readUntil(std::size_t size, steady_clock::time_point end)
    {
        const auto begin = steady_clock::now();
        const std::size_t step = 16 * kib;
        for (std::size_t read = 0; !m_error && m_answer.size() < size; read += step) {
            std::this_thread::sleep_until(
                    begin + (end - begin) * static_cast<long>(read) / static_cast<long>(size));
            readSome(step);
        }
        readToEnd();
    }

    bool isWhole() const
    {
        if (!m_answer.starts_with("HTTP/1.1 200"))
            return false;
        return m_request.m_target.starts_with("/draft/")
                       ? m_answer.find("\r\n0\r\n\r\n") != std::string::npos
                       : m_answer.find(answerEnd) != std::string::npos;
    }

    std::string describe() const
    {
        return fmt::format("{} {} {}, behind it {}: {} bytes, {}", m_id, m_request.m_target,
                           m_request.m_connection == Connection::Keep ? "keep" : "close",
                           static_cast<int>(m_request.m_behind), m_answer.size(),
                           m_error.message());
    }

private:
    void readSome(std::size_t most)
    {
        std::vector<char> bytes(most);
        const std::size_t got = asio::read(m_socket, asio::buffer(bytes), m_error);
        m_answer.append(bytes.data(), got);
    }

    Request m_request;
    std::string m_id;
    asio::io_context m_context;
    tcp::socket m_socket{m_context};
    boost::system::error_code m_error;
    std::string m_answer;
};

/// Returns each kind of connection and of what follows, for answers of a size. A caller that has
/// announced its last request sends nothing behind it.
std::vector<Request> requestsOf(std::size_t kibibytes)
{
    std::vector<Request> requests;
    for (const std::string kind : {"/again/", "/draft/"}) {
        for (const Connection connection : {Connection::Keep, Connection::Close}) {
            for (const Behind behind : {Behind::Nothing, Behind::PartOfRequest, Behind::Request})
                if (connection == Connection::Keep || behind == Behind::Nothing)
                    requests.push_back({fmt::format("{}{}", kind, kibibytes), connection, behind});
        }
    }
    return requests;
}

std::vector<std::unique_ptr<SlowCaller>> sendAll(EntryWorld &world,
                                                 const std::vector<Request> &requests)
{
    std::vector<std::unique_ptr<SlowCaller>> callers;
    for (const Request &request : requests) {
        callers.push_back(std::make_unique<SlowCaller>(world.node().m_callerPort, request,
                                                       fmt::format("r-{}", callers.size())));
    }
    return callers;
}

void waitUntilEnded(EntryWorld &world)
{
    world.waitUntil("it has ended", [&] { return world.node().m_process->exited(); });
}

} // namespace

// Guards against an answer without its end, of which the kernel still held a part when the process
// ended: its caller reads nothing before that.
TEST_CASE("answers that are in the kernel when a process ends are delivered")
{
    EntryWorld world;
    answerBySize(world);
    constexpr std::size_t inKernel = 150;
    world.node().m_process->send(SIGTERM);
    world.waitUntil("it says that it isn't ready", [&] { return !world.isReady(world.node()); });
    const auto callers = sendAll(world, requestsOf(inKernel));
    for (const auto &caller : callers)
        caller->begin();
    waitUntilEnded(world);
    CHECK(world.node().m_process->exitStatus() == 0);
    for (const auto &caller : callers) {
        caller->readToEnd();
        INFO(caller->describe());
        CHECK(caller->isWhole());
    }
}

// Guards against an answer without its end, whose caller reads it slowly while the process stops.
TEST_CASE("slow readers get whole answers from a process that stops")
{
    const std::size_t kibibytes = GENERATE(1024, 4096);
    EntryWorld world;
    answerBySize(world);
    const auto callers = sendAll(world, requestsOf(kibibytes));
    for (const auto &caller : callers)
        caller->begin();
    world.node().m_process->send(SIGTERM);
    const auto end = steady_clock::now() + milliseconds(4000);
    std::vector<std::thread> readers;
    for (const auto &caller : callers)
        readers.emplace_back(
                [&caller, kibibytes, end] { caller->readUntil(kibibytes * kib, end); });
    for (std::thread &reader : readers)
        reader.join();
    for (const auto &caller : callers) {
        INFO(caller->describe());
        CHECK(caller->isWhole());
    }
    waitUntilEnded(world);
    CHECK(world.node().m_process->exitStatus() == 0);
}

// Guards against an answer without its end, which its upstream had given long before the end of
// the grace time and whose caller takes it slowly.
TEST_CASE("slow readers of answers that are done get them whole at the end of the grace time")
{
    EntryWorld world;
    answerBySize(world);
    const auto callers = sendAll(world, {{"/again/1024"}, {"/draft/1024"}});
    for (const auto &caller : callers)
        caller->begin();
    const auto signal = steady_clock::now();
    world.node().m_process->send(SIGTERM);
    std::vector<std::thread> readers;
    // The grace time is 6 s, and requests are cancelled after 5.3 s.
    const auto end = signal + milliseconds(5900);
    for (const auto &caller : callers)
        readers.emplace_back([&caller, end] { caller->readUntil(1024 * kib, end); });
    for (std::thread &reader : readers)
        reader.join();
    for (const auto &caller : callers) {
        INFO(caller->describe());
        CHECK(caller->isWhole());
    }
    waitUntilEnded(world);
}
