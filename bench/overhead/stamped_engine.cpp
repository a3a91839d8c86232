#include "bench/overhead/stamped_engine.hpp"

#include <fmt/format.h>

#include <charconv> // from_chars
#include <chrono> // steady_clock
#include <cstdio> // stderr
#include <cstdlib> // exit
#include <string> // string

namespace gypsumdale::overhead {

namespace {

constexpr int statusOk = 200;
constexpr int failedExitCode = 1;
constexpr Duration tokenTime = std::chrono::milliseconds(5);
constexpr std::string_view textField = R"("content":" )";

HttpServer listen(FiberLoop &loop, std::uint16_t port, HttpHandler handler)
{
    auto built = HttpServerBuilder()
                         .listenOn("127.0.0.1", port)
                         .runOn({&loop})
                         .handleWith(std::move(handler))
                         .build();
    if (!succeeded(built)) {
        fmt::print(stderr, "bench-overhead: port {} can't be had\n", port);
        std::exit(failedExitCode);
    }
    return valueOf(std::move(built));
}

std::string eventText(std::string_view attempt, int index)
{
    const bool isLast = index + 1 == stampedEvents;
    return fmt::format(
            "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"token_index\":{},"
            "\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\" "
            "{}\"}},\"finish_reason\":{}}}]}}\n\n",
            attempt, index, nanosNow(), isLast ? "\"stop\"" : "null");
}

} // namespace

std::int64_t nanosNow()
{
    return std::chrono::steady_clock::now().time_since_epoch().count();
}

std::int64_t stampIn(std::string_view event)
{
    const std::size_t field = event.find(textField);
    if (field == std::string_view::npos)
        return 0;
    std::int64_t stamp = 0;
    const char *begin = event.data() + field + textField.size();
    std::from_chars(begin, event.data() + event.size(), stamp);
    return stamp;
}

StampedEngine::StampedEngine(std::uint16_t port)
    : m_loop("stamped-engine")
    , m_server(listen(m_loop, port, [this](const HttpRequest &request, HttpResponder &responder) {
        answer(request, responder);
    }))
{
    m_loop.start();
}

void StampedEngine::answer(const HttpRequest &request, HttpResponder &responder)
{
    if (request.m_method == "POST") {
        ++m_running;
        stream(request, responder);
        --m_running;
        return;
    }
    HttpReply reply;
    reply.m_body = fmt::format(R"({{"slots":{},"running":{},"queued":0,"cached_tokens":0,)"
                               R"("incarnation":1,"model":"stamped","at_millis":0}})",
                               stampedSlots, m_running);
    responder.send(reply);
}

void StampedEngine::stream(const HttpRequest &request, HttpResponder &responder)
{
    const std::string attempt(request.m_headers.value("X-Attempt-Id"));
    HttpHeaders headers;
    headers.add("Content-Type", "text/event-stream");
    responder.begin(statusOk, headers);
    // Random offset: streams that start together would otherwise write at the same moments, and
    // each event would wait for those of all other streams.
    sleepFiber(tokenTime * m_random(stampedSlots) / stampedSlots);
    for (int index = 0; index < stampedEvents; ++index) {
        sleepFiber(tokenTime);
        if (!responder.write(eventText(attempt, index)))
            return;
    }
    responder.write("data: [DONE]\n\n");
    responder.finish();
}

} // namespace gypsumdale::overhead
