#pragma once

#include "support/entry_world.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm> // count_if
#include <array> // array
#include <chrono> // seconds, steady_clock
#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <mutex> // lock_guard, mutex
#include <string> // string
#include <utility> // move
#include <vector> // vector

namespace gypsumdale::testing {

/// What a caller knows of its request from the outside.
struct SoakRequest
{
    std::size_t m_node = 0;
    bool m_mayRepeat = false;
    bool m_isStream = false;
    bool m_isLimited = false;
    /// The complete answer that a success must have.
    std::string m_whole;
    /// Revision up to which its VM had received the upstreams before the request was sent.
    std::int64_t m_takenIn = 0;
    /// How often its VM had been killed before.
    int m_kills = 0;
    std::chrono::steady_clock::time_point m_sentAt{};
};

/// Records what upstreams ran and what callers received, by request, and checks it against the
/// promises. Shared by all threads of a soak.
///
/// No verdict depends on the speed of the machine: what a VM knew is derived from what it asked of
/// the store, and a quota's use is counted from the sending to the arrival.
class SoakLedger
{
public:
    using Time = std::chrono::steady_clock::time_point;

    void sent(const std::string &id, SoakRequest request)
    {
        const std::lock_guard lock(m_mutex);
        m_requests[id].m_request = std::move(request);
    }

    /// Records the revision of its entry from which an upstream is leaving; 0 if it stays.
    void leaves(std::size_t upstream, std::int64_t revision)
    {
        const std::lock_guard lock(m_mutex);
        m_leavingSince.at(upstream) = revision;
    }

    void arrived(const std::string &id, std::size_t upstream)
    {
        const std::lock_guard lock(m_mutex);
        Entry &entry = m_requests[id];
        const std::int64_t since = m_leavingSince.at(upstream);
        entry.m_isAtLeaving =
                entry.m_isAtLeaving || (since > 0 && entry.m_request.m_takenIn >= since);
    }

    void ran(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        Entry &entry = m_requests[id];
        if (++entry.m_runs == 1)
            entry.m_ranAt = std::chrono::steady_clock::now();
    }

    /// Records an answer, and how often its VM had been killed when it arrived.
    void answered(const std::string &id, const EntryAnswer &answer, int kills)
    {
        const std::lock_guard lock(m_mutex);
        Entry &entry = m_requests[id];
        entry.m_isEnded = true;
        entry.m_wasKilled = kills != entry.m_request.m_kills;
        entry.m_answer = answer;
        ++m_byStatus[answer.m_status];
    }

    /// Checks every promise on what has been recorded so far.
    void check() const
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[id, entry] : m_requests) {
            INFO("request " << id << " at VM " << entry.m_request.m_node << ", status "
                            << entry.m_answer.m_status << ", ran " << entry.m_runs << " times");
            CHECK_FALSE(entry.m_isAtLeaving);
            if (entry.m_isEnded)
                checkAnswer(entry);
        }
        checkQuota();
    }

    int count(int status) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_byStatus.find(status);
        return found == m_byStatus.end() ? 0 : found->second;
    }

    std::string summary() const
    {
        const std::lock_guard lock(m_mutex);
        std::string text;
        for (const auto &[status, count] : m_byStatus)
            text += fmt::format("{}: {}  ", status, count);
        return text + fmt::format("most of the quota: {} of {}", mostInWindow(), tolerated());
    }

private:
    struct Entry
    {
        SoakRequest m_request;
        int m_runs = 0;
        Time m_ranAt{};
        EntryAnswer m_answer;
        bool m_isEnded = false;
        bool m_wasKilled = false;
        bool m_isAtLeaving = false;
    };

    static constexpr auto quotaWindow = std::chrono::seconds(8);
    static constexpr double quotaOverage = 0.1;

    static void checkAnswer(const Entry &entry)
    {
        const SoakRequest &request = entry.m_request;
        const int status = entry.m_answer.m_status;
        const bool isTwice = !request.m_mayRepeat && entry.m_runs > 1;
        CHECK_FALSE(isTwice);
        const bool saysNotRun = status == 429 || status == 503;
        const bool isFalselyRefused = saysNotRun && !request.m_mayRepeat && entry.m_runs > 0;
        CHECK_FALSE(isFalselyRefused);
        const bool isAnothers = status == 200 && entry.m_answer.m_body != request.m_whole;
        CHECK_FALSE(isAnothers);
        // A stream that broke is cut where its caller sees it. Everything else that was forwarded
        // is answered, unless the VM was killed.
        const bool isLost =
                status == 0 && !request.m_isStream && entry.m_runs > 0 && !entry.m_wasKilled;
        CHECK_FALSE(isLost);
    }

    /// Checks that in no window more requests of an account are both sent and run than its quota
    /// tolerates.
    void checkQuota() const
    {
        const std::size_t most = mostInWindow();
        INFO(most << " requests of one account in a window");
        CHECK(static_cast<double>(most) <= tolerated());
    }

    static double tolerated()
    {
        const double window = std::chrono::duration<double>(quotaWindow).count();
        return (EntryWorld::limitedRate * window + EntryWorld::limitedBurst) * (1 + quotaOverage);
    }

    std::size_t mostInWindow() const
    {
        std::vector<std::pair<Time, Time>> spans;
        for (const auto &[id, entry] : m_requests) {
            if (entry.m_request.m_isLimited && entry.m_runs > 0)
                spans.emplace_back(entry.m_request.m_sentAt, entry.m_ranAt);
        }
        std::size_t most = 0;
        for (const auto &[begin, unused] : spans) {
            const auto isWithin = [begin = begin](const std::pair<Time, Time> &span) {
                return span.first >= begin && span.second <= begin + quotaWindow;
            };
            most = std::max<std::size_t>(most, static_cast<std::size_t>(std::count_if(
                                                       spans.begin(), spans.end(), isWithin)));
        }
        return most;
    }

    mutable std::mutex m_mutex;
    std::map<std::string, Entry> m_requests;
    std::array<std::int64_t, 2> m_leavingSince{};
    std::map<int, int> m_byStatus;
};

} // namespace gypsumdale::testing
