#pragma once

#include "support/entry_world.hpp"

#include <fmt/format.h>

#include <chrono> // milliseconds
#include <cstddef> // size_t
#include <set> // set
#include <string> // stoi, string

namespace gypsumdale::testing {

inline constexpr Duration timedEventInterval = std::chrono::milliseconds(100);

/// Lets all upstreams serve streams of as many events as the end of their target says, one each
/// 100 ms: `/draft/40` takes 4 s.
inline void serveTimedStreams(EntryWorld &world)
{
    world.behave([](const HttpRequest &request, HttpResponder &responder,
                    const HttpHeaders &headers) {
        const int events = std::stoi(request.m_target.substr(request.m_target.rfind('/') + 1));
        bool isConnected = responder.begin(200, headers);
        for (int number = 1; isConnected && number <= events; ++number) {
            isConnected = responder.write(fmt::format("id: {}\ndata: x\n\n", number));
            sleepFiber(timedEventInterval);
        }
        responder.finish();
    });
}

/// Returns the ids of the requests that an upstream has seen.
inline std::set<std::string> idsSeen(EntryWorld &world)
{
    std::set<std::string> seen;
    for (std::size_t index = 0; index < world.upstreamCount(); ++index) {
        for (const HttpRequest &request : world.upstream(index).seen())
            seen.insert(std::string(request.m_headers.value("Gypsumdale-Request-Id")));
    }
    return seen;
}

} // namespace gypsumdale::testing
