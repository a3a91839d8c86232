#pragma once

#include "support/entry_world.hpp"
#include "support/timed_streams.hpp"

#include <atomic> // atomic
#include <chrono> // milliseconds, steady_clock
#include <cstddef> // size_t
#include <map> // map
#include <memory> // make_unique, unique_ptr
#include <mutex> // lock_guard, mutex
#include <string> // stoi, string
#include <vector> // vector

namespace gypsumdale::testing {

/// Interval between the events of a slow upstream.
inline constexpr Duration slowEventInterval = std::chrono::milliseconds(300);

/// Time at which an upstream was at work on a request; the end is unset while it is.
struct StreamRun
{
    std::chrono::steady_clock::time_point m_startedAt;
    std::optional<std::chrono::steady_clock::time_point> m_endedAt;
};

/// Runs by the id of their request, in the order in which they began.
using StreamRuns = std::map<std::string, std::vector<StreamRun>>;

/// Timed streams whose runs are recorded, at upstreams that can be slowed down. It must outlive the
/// world that it serves.
class RecordedStreams
{
public:
    /// Lets all upstreams serve streams of as many events as the end of their target says.
    void serve(EntryWorld &world)
    {
        for (std::size_t index = 0; index < world.upstreamCount(); ++index) {
            std::atomic<bool> &isSlow =
                    *m_slow.emplace_back(std::make_unique<std::atomic<bool>>(false));
            world.upstream(index).behave([this, &isSlow](const HttpRequest &request,
                                                         HttpResponder &responder,
                                                         const HttpHeaders &headers) {
                const std::string id(request.m_headers.value("Gypsumdale-Request-Id"));
                const std::size_t run = noteStart(id);
                send(request, responder, headers, isSlow);
                noteEnd(id, run);
            });
        }
    }

    void setSlow(std::size_t upstream, bool isSlow) { *m_slow.at(upstream) = isSlow; }

    StreamRuns runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    static void send(const HttpRequest &request, HttpResponder &responder,
                     const HttpHeaders &headers, const std::atomic<bool> &isSlow)
    {
        const int events = std::stoi(request.m_target.substr(request.m_target.rfind('/') + 1));
        bool isConnected = responder.begin(200, headers);
        for (int number = 1; isConnected && number <= events; ++number) {
            isConnected = responder.write(fmt::format("id: {}\ndata: x\n\n", number));
            sleepFiber(isSlow ? slowEventInterval : timedEventInterval);
        }
        responder.finish();
    }

    std::size_t noteStart(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[id].push_back({std::chrono::steady_clock::now(), std::nullopt});
        return m_runs[id].size() - 1;
    }

    void noteEnd(const std::string &id, std::size_t run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[id][run].m_endedAt = std::chrono::steady_clock::now();
    }

    std::vector<std::unique_ptr<std::atomic<bool>>> m_slow;
    mutable std::mutex m_mutex;
    StreamRuns m_runs;
};

} // namespace gypsumdale::testing
