#pragma once

#include "support/entry_world.hpp"
#include "support/stream_caller.hpp"

#include <algorithm> // min
#include <atomic> // atomic
#include <chrono> // milliseconds
#include <cstddef> // size_t
#include <mutex> // lock_guard, mutex
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale::testing {

/// Enough for each stream to go on several times.
inline constexpr int streamRetrySlack = 200;
inline constexpr int lastEvent = 6;

/// Returns the number of the event after which a request resumes its stream; 0 if it begins.
inline int resumedAfter(const HttpRequest &request)
{
    const std::string last(request.m_headers.value("Last-Event-Id"));
    return last.empty() ? 0 : std::stoi(last);
}

/// Upstreams of several software versions, whose events name the version that made them. A run ends
/// in the middle of an event after `m_eventsPerRun` events, unless it reaches the last one. At the
/// address of an upstream another one may stand later, which refuses requests for the first one.
struct VersionWorld : EntryWorld
{
    explicit VersionWorld(int nodes, const std::vector<std::string> &versions)
        : EntryWorld(nodes, true, std::nullopt, versions, streamRetrySlack)
    {
        for (std::size_t index = 0; index < upstreamCount(); ++index) {
            m_standing.push_back({upstream(index).id(), versionOf(upstream(index))});
            upstream(index).behave([this, index](const HttpRequest &request,
                                                 HttpResponder &responder,
                                                 const HttpHeaders &headers) {
                serve(index, request, responder, headers);
            });
        }
    }

    /// Replaces an upstream by another one of a software version at the same address.
    void replaceUpstream(std::size_t index, const std::string &version)
    {
        store().remove("servers", standing(index).m_id);
        list(index, {fmt::format("{}-{}", upstream(index).id(), ++m_replaced), version});
    }

    /// Starts an upstream again as another software version, under the same id.
    void restartUpstream(std::size_t index, const std::string &version)
    {
        list(index, {standing(index).m_id, version});
    }

    std::atomic<int> m_eventsPerRun = 2;
    std::atomic<bool> m_staysOpen = false;

private:
    struct Standing
    {
        std::string m_id;
        std::string m_version;
    };

    Standing standing(std::size_t index)
    {
        const std::lock_guard lock(m_mutex);
        return m_standing.at(index);
    }

    void list(std::size_t index, const Standing &now)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_standing.at(index) = now;
        }
        const std::string address = fmt::format("127.0.0.1:{}", upstreamLink(index).port());
        store().put("servers", now.m_id,
                    {{"service", "app"},
                     {"address", address},
                     {"zone", "here"},
                     {"version", now.m_version},
                     {"slots", 8},
                     {"state", "ready"}});
    }

    void serve(std::size_t index, const HttpRequest &request, HttpResponder &responder,
               const HttpHeaders &headers)
    {
        const Standing self = standing(index);
        if (request.m_headers.value("Gypsumdale-Expect-Instance") != self.m_id) {
            responder.send({421, {}, {}});
            return;
        }
        responder.begin(200, headers);
        const int first = resumedAfter(request) + 1;
        const int end = std::min(lastEvent + 1, first + m_eventsPerRun);
        for (int number = first; number < end; ++number)
            responder.write(versionEvent(self.m_version, number));
        if (m_staysOpen) {
            for (int wait = 0; wait < 2000 && m_staysOpen; ++wait)
                sleepFiber(std::chrono::milliseconds(10));
            return;
        }
        if (end > lastEvent) {
            responder.finish();
            return;
        }
        responder.write(fmt::format("id: {}\ndata: {}", end, self.m_version));
        // A reset would overtake the events.
        sleepFiber(std::chrono::milliseconds(20));
        responder.abandon();
    }

    std::mutex m_mutex;
    std::vector<Standing> m_standing;
    std::atomic<int> m_replaced = 0;
};

} // namespace gypsumdale::testing
