#pragma once

#include "support/stop_soak.hpp"

#include <algorithm> // min
#include <optional> // optional
#include <set> // set
#include <sstream> // istringstream

namespace gypsumdale::testing {

/// Grace time of the VMs' settings, and its last sixth, in which an upstream that is still at work
/// excuses a cut of a request that was sent early enough.
inline constexpr std::chrono::milliseconds soakGrace(6000);
inline constexpr std::chrono::milliseconds excusedFrom(5000);
inline constexpr std::chrono::milliseconds latestExcusedSend(3000);
inline constexpr std::chrono::milliseconds stopEnd = soakGrace + std::chrono::seconds(1);
/// A connection that ends so soon after a request has crossed it.
inline constexpr std::chrono::milliseconds crossingSlack(200);

enum class StreamFate {
    Whole,
    /// 503, not run.
    Refused,
    /// It was never read.
    CrossedClose,
    Excused,
    TimedOut,
    /// 503, although an upstream has run it.
    RefusedAfterRun,
    /// Read and not run, and its connection ended without an answer.
    Unanswered,
    Lost,
};

inline constexpr NameTable<StreamFate, 8> fateNames = {{
        {StreamFate::Whole, "whole"},
        {StreamFate::Refused, "refused"},
        {StreamFate::CrossedClose, "crossed a close"},
        {StreamFate::Excused, "cut and excused"},
        {StreamFate::TimedOut, "timed out"},
        {StreamFate::RefusedAfterRun, "refused after its run"},
        {StreamFate::Unanswered, "unanswered"},
        {StreamFate::Lost, "lost"},
}};

struct SoakVerdict
{
    std::map<StreamFate, int> m_counts;
    /// Requests whose fate is a fault.
    std::vector<std::string> m_faults;
    /// Requests that ran and have no whole answer, of which their VM's log tells nothing.
    std::vector<std::string> m_unlogged;
};

/// Judges every request of a soak: around a stop, by its times and those of its upstream; at other
/// times only the timeout of its route excuses an answer that isn't whole. No upstream of the soak
/// breaks off by itself, and no caller states a deadline.
class StopSoakJudge
{
public:
    explicit StopSoakJudge(StopSoak &soak)
        : m_soak(soak)
        , m_runs(soak.m_streams.runs())
    {
        for (std::size_t node = 0; node < soak.m_world.nodeCount(); ++node)
            m_endsLogged.push_back(idsOfEnds(soak.m_world.fullLog(soak.m_world.node(node))));
    }

    SoakVerdict judge() const
    {
        SoakVerdict verdict;
        for (const SentStream &stream : m_soak.m_sent) {
            const StreamFate fate = fateOf(stream);
            ++verdict.m_counts[fate];
            if (isFault(fate))
                verdict.m_faults.push_back(describe(stream, fate));
            const bool isCut = fate != StreamFate::Whole && m_runs.contains(stream.m_id);
            if (isCut && !m_endsLogged[stream.m_node].contains(stream.m_id))
                verdict.m_unlogged.push_back(describe(stream, fate));
        }
        return verdict;
    }

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    static bool isFault(StreamFate fate)
    {
        return fate == StreamFate::RefusedAfterRun || fate == StreamFate::Unanswered
               || fate == StreamFate::Lost;
    }

    /// Returns the ids of the requests whose end without a whole answer a log tells.
    static std::set<std::string> idsOfEnds(const std::string &log)
    {
        constexpr std::string_view key = "\"request\":\"";
        std::set<std::string> ids;
        std::istringstream lines(log);
        for (std::string line; std::getline(lines, line);) {
            const bool tellsEnd = line.find("\"request-cut-by-stop\"") != std::string::npos
                                  || line.find("\"request-failed\"") != std::string::npos;
            const std::size_t at = line.find(key);
            if (tellsEnd && at != std::string::npos)
                ids.insert(line.substr(at + key.size(),
                                       line.find('"', at + key.size()) - at - key.size()));
        }
        return ids;
    }

    static bool isWhole(const SentStream &stream)
    {
        return stream.m_answer.starts_with("HTTP/1.1 200") && stream.m_answer.ends_with(lastChunk)
               && stream.m_answer.find(fmt::format("id: {}\n", stream.m_events))
                          != std::string::npos;
    }

    StreamFate fateOf(const SentStream &stream) const
    {
        if (isWhole(stream))
            return StreamFate::Whole;
        const bool isRefusal = stream.m_answer.starts_with("HTTP/1.1 503");
        if (!m_runs.contains(stream.m_id))
            return fateOfUnrun(stream, isRefusal);
        if (isRefusal)
            return StreamFate::RefusedAfterRun;
        if (stream.m_endedAt >= stream.m_startedAt + soakRouteTimeout)
            return StreamFate::TimedOut;
        return isExcused(stream) ? StreamFate::Excused : StreamFate::Lost;
    }

    static StreamFate fateOfUnrun(const SentStream &stream, bool isRefusal)
    {
        if (isRefusal)
            return StreamFate::Refused;
        const bool hasCrossed =
                stream.m_answer.empty() && stream.m_endedAt <= stream.m_isDueFrom + crossingSlack;
        return hasCrossed ? StreamFate::CrossedClose : StreamFate::Unanswered;
    }

    /// Returns the last signal to a VM before the end of a request, if the request ended in that
    /// stop.
    std::optional<TimePoint> stopOf(const SentStream &stream) const
    {
        std::optional<TimePoint> last;
        const auto signals = m_soak.m_signals.find(stream.m_node);
        if (signals == m_soak.m_signals.end())
            return last;
        for (const TimePoint signal : signals->second) {
            if (signal <= stream.m_endedAt && stream.m_endedAt <= signal + stopEnd)
                last = signal;
        }
        return last;
    }

    /// Returns when the last upstream that a request was passed on to ended its work, no later than
    /// the request's own end.
    TimePoint workEndOf(const SentStream &stream) const
    {
        const auto runEnd = m_runs.at(stream.m_id).back().m_endedAt;
        return std::min(runEnd.value_or(stream.m_endedAt), stream.m_endedAt);
    }

    /// Returns whether a stop may cut a request: it was sent early enough, and its upstream was
    /// still at work late in the grace time.
    bool isExcused(const SentStream &stream) const
    {
        const auto signal = stopOf(stream);
        return signal && stream.m_sentAt <= *signal + latestExcusedSend
               && workEndOf(stream) >= *signal + excusedFrom;
    }

    std::string describe(const SentStream &stream, StreamFate fate) const
    {
        const auto signal = stopOf(stream);
        const auto since = [&](TimePoint at) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(
                           at - signal.value_or(stream.m_sentAt))
                    .count();
        };
        const bool hasRun = m_runs.contains(stream.m_id);
        return fmt::format(
                "{}: {} ({}{}, {}) at VM {}, sent {}, upstream done {}, ended {} ms after "
                "{}: {}",
                enumName(fateNames, fate), stream.m_id, stream.m_prefix, stream.m_events,
                enumName(wayNames, stream.m_way), stream.m_node, since(stream.m_sentAt),
                hasRun ? fmt::format("{}", since(workEndOf(stream))) : "never",
                since(stream.m_endedAt), signal ? "the signal" : "it was sent",
                stream.m_answer.substr(0, stream.m_answer.find('\r')));
    }

    StopSoak &m_soak;
    StreamRuns m_runs;
    /// By VM.
    std::vector<std::set<std::string>> m_endsLogged;
};

} // namespace gypsumdale::testing
