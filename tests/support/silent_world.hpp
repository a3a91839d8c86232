#pragma once

#include "support/entry_world.hpp"
#include "support/stream_caller.hpp"
#include "support/version_world.hpp"

#include <algorithm> // any_of, count_if
#include <array> // array
#include <atomic> // atomic
#include <chrono> // milliseconds
#include <cstddef> // size_t
#include <deque> // deque
#include <map> // map
#include <string> // string
#include <string_view> // string_view
#include <thread> // sleep_for
#include <vector> // vector

namespace gypsumdale::testing {

inline constexpr int longStreamEvents = 40;
inline constexpr Duration eventInterval = std::chrono::milliseconds(10);

/// Upstreams of one software version that stand still, one by one or all at once, for as long as a
/// test says, and then go on with the runs that they have. The retry budget has no slack unless a
/// test gives one.
struct SilentWorld : EntryWorld
{
    static constexpr std::size_t upstreams = 3;

    explicit SilentWorld(int nodes, int retrySlack = 0)
        : EntryWorld(nodes, true, std::nullopt, {"v1", "v1", "v1"}, retrySlack)
    {
        for (std::size_t index = 0; index < upstreams; ++index) {
            upstream(index).behave([this, index](const HttpRequest &request,
                                                 HttpResponder &responder,
                                                 const HttpHeaders &headers) {
                serve(index, request, responder, headers);
            });
        }
    }

    /// Lets all runs end, which use this object.
    ~SilentWorld()
    {
        setAllSilent(false);
        const auto end = std::chrono::steady_clock::now() + entryHangGuard;
        while (isAnyRunning() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(eventInterval);
    }

    void setSilent(std::size_t index, bool isSilent) { m_isSilent.at(index) = isSilent; }

    void setAllSilent(bool isSilent)
    {
        for (std::atomic<bool> &silent : m_isSilent)
            silent = isSilent;
    }

    /// Lets all upstreams stand still for a time.
    void standStill(std::chrono::milliseconds time)
    {
        setAllSilent(true);
        std::this_thread::sleep_for(time);
        setAllSilent(false);
    }

    /// Returns the number of runs of each request that the upstreams have seen.
    std::map<std::string, int> runs()
    {
        std::map<std::string, int> counts;
        for (std::size_t index = 0; index < upstreams; ++index) {
            for (const HttpRequest &request : upstream(index).seen())
                ++counts[std::string(request.m_headers.value("Gypsumdale-Request-Id"))];
        }
        return counts;
    }

    /// Returns the number of runs whose caller has left before their end.
    int abandonedRuns() const { return m_abandoned; }

    /// Returns the runs that an upstream holds.
    int running(std::size_t index) const { return m_running.at(index); }

private:
    bool isAnyRunning() const
    {
        return std::ranges::any_of(m_running,
                                   [](const std::atomic<int> &runs) { return runs > 0; });
    }

    /// Waits while the upstream stands still. Returns false if the run's caller is gone.
    bool awaitSpeech(std::size_t index, HttpResponder &responder)
    {
        while (m_isSilent.at(index) && !responder.isCallerGone())
            sleepFiber(std::chrono::milliseconds(5));
        return !responder.isCallerGone();
    }

    void serve(std::size_t index, const HttpRequest &request, HttpResponder &responder,
               const HttpHeaders &headers)
    {
        ++m_running.at(index);
        if (!answer(index, request, responder, headers))
            ++m_abandoned;
        --m_running.at(index);
    }

    bool answer(std::size_t index, const HttpRequest &request, HttpResponder &responder,
                const HttpHeaders &headers)
    {
        if (!awaitSpeech(index, responder))
            return false;
        if (!request.m_target.starts_with("/stream/"))
            return responder.send({200, headers, "from " + upstream(index).id()});
        if (!responder.begin(200, headers))
            return false;
        for (int number = resumedAfter(request) + 1; number <= longStreamEvents; ++number) {
            if (!awaitSpeech(index, responder) || !responder.write(versionEvent("v1", number)))
                return false;
            sleepFiber(eventInterval);
        }
        return responder.finish();
    }

    std::array<std::atomic<bool>, upstreams> m_isSilent{};
    std::array<std::atomic<int>, upstreams> m_running{};
    std::atomic<int> m_abandoned = 0;
};

/// Clients whose streams have begun, at the VMs in turn.
class BegunStreams
{
public:
    BegunStreams(SilentWorld &world, int count)
    {
        for (int number = 0; number < count; ++number) {
            StreamCaller &caller = m_callers.emplace_back("/stream/x");
            const std::size_t node = static_cast<std::size_t>(number) % world.nodeCount();
            REQUIRE(caller.begin(world.node(node).m_callerPort, fmt::format("r-{}", number)));
        }
    }

    /// Reads all streams to their ends. Returns how many are whole, without a gap.
    int finish()
    {
        for (StreamCaller &caller : m_callers)
            caller.finish();
        return static_cast<int>(std::ranges::count_if(m_callers, [](const StreamCaller &caller) {
            const ReceivedStream &received = caller.received();
            return received.m_isWhole && !received.m_hasGap
                   && received.m_lastEvent == longStreamEvents;
        }));
    }

private:
    std::deque<StreamCaller> m_callers;
};

} // namespace gypsumdale::testing
