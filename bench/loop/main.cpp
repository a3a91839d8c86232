// Measures round trips and streamed chunks between HttpClient and HttpServer over loopback. Prints
// one line of figures for each case; cases with "relay" pass through a proxy on its own loop.

#include <gypsumdale/runtime/http_client.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <algorithm> // sort
#include <chrono> // steady_clock
#include <cstddef> // size_t
#include <string> // string
#include <vector> // vector

#include <fmt/format.h>

namespace {

using namespace gypsumdale;
using SteadyClock = std::chrono::steady_clock;

constexpr int roundTrips = 20000;
constexpr int streams = 20;
constexpr int chunksPerStream = 20000;

// Returns a text of the size of a server-sent event with one token.
const std::string &event()
{
    static const std::string text(180, 'x');
    return text;
}

void answer(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path() != "/stream") {
        HttpReply reply;
        reply.m_body = event();
        responder.send(reply);
        return;
    }
    responder.begin(200, {});
    for (int chunk = 0; chunk < chunksPerStream; ++chunk) {
        if (!responder.write(event()))
            return;
    }
    responder.finish();
}

/// Forwards a request and streams its answer back piece by piece, as a proxy's traffic fiber does.
void relay(HttpClient &client, const Endpoint &upstream, const HttpRequest &request,
           HttpResponder &responder)
{
    HttpCall call;
    call.m_endpoint = upstream;
    call.m_target = request.m_target;
    CallResult<HttpExchange> opened = client.open(call);
    auto *exchange = std::get_if<HttpExchange>(&opened);
    if (!exchange || !responder.begin(exchange->status(), exchange->headers()))
        return;
    for (;;) {
        const auto piece = exchange->read();
        const auto *text = std::get_if<std::optional<std::string>>(&piece);
        if (!text)
            return;
        if (!*text)
            break;
        if (!responder.write(**text))
            return;
    }
    responder.finish();
}

std::size_t bodyOf(HttpClient &client, const Endpoint &endpoint, const std::string &target)
{
    HttpCall call;
    call.m_endpoint = endpoint;
    call.m_target = target;
    call.m_maxBodyBytes = std::size_t(chunksPerStream) * 1024;
    const CallResult<HttpReply> result = client.call(call);
    const auto *reply = std::get_if<HttpReply>(&result);
    return reply ? reply->m_body.size() : 0;
}

void measureRoundTrips(const char *name, HttpClient &client, const Endpoint &endpoint)
{
    std::vector<double> micros;
    int failed = 0;
    for (int turn = 0; turn < roundTrips; ++turn) {
        const auto start = SteadyClock::now();
        failed += bodyOf(client, endpoint, "/") != event().size();
        const std::chrono::duration<double, std::micro> spent = SteadyClock::now() - start;
        micros.push_back(spent.count());
    }
    double total = 0;
    for (const double spent : micros)
        total += spent;
    std::sort(micros.begin(), micros.end());
    fmt::print("{}: {:.0f} round trips/s, p50 {:.1f} us, p99 {:.1f} us, failed {}\n", name,
               roundTrips / total * 1e6, micros[micros.size() / 2],
               micros[micros.size() * 99 / 100], failed);
}

void measureStream(const char *name, HttpClient &client, const Endpoint &endpoint,
                   const FiberLoop &measured)
{
    const Duration processorBefore = measured.processorTime();
    const auto start = SteadyClock::now();
    int failed = 0;
    for (int stream = 0; stream < streams; ++stream)
        failed += bodyOf(client, endpoint, "/stream") != chunksPerStream * event().size();
    const std::chrono::duration<double> spent = SteadyClock::now() - start;
    const double processor = toMillis(measured.processorTime() - processorBefore) / 1000;
    const double chunks = double(streams) * chunksPerStream;
    fmt::print("{}: {:.0f} chunks/s, {:.0f} chunks per processor second, failed {}\n", name,
               chunks / spent.count(), chunks / processor, failed);
}

} // namespace

int main()
{
    FiberLoop callers("callers");
    FiberLoop proxies("proxies");
    FiberLoop servers("servers");
    for (FiberLoop *loop : {&callers, &proxies, &servers})
        loop->start();
    auto server = HttpServerBuilder().runOn({&servers}).handleWith(answer).build();
    const Endpoint upstream{"127.0.0.1", valueOf(server).port()};
    HttpClient client(callers);
    HttpClient proxyClient(proxies);
    auto proxy = HttpServerBuilder()
                         .runOn({&proxies})
                         .handleWith([&](const HttpRequest &request, HttpResponder &responder) {
                             relay(proxyClient, upstream, request, responder);
                         })
                         .build();
    const Endpoint entry{"127.0.0.1", valueOf(proxy).port()};
    callers.call([&] {
        measureRoundTrips("direct", client, upstream);
        measureRoundTrips("relay", client, entry);
        measureStream("direct, server's loop", client, upstream, servers);
        measureStream("relay, proxy's loop", client, entry, proxies);
    });
    return 0;
}
