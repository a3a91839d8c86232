#pragma once

#include <gypsumdale/runtime/http_client.hpp>

namespace gypsumdale {

/// What became of the attempts of one request so far: how many arrived at an upstream, and how many
/// of these may have run. An attempt that arrived uses the retry budget's allowance for the next
/// one, also if the upstream rejected it, and wherever the request was sent from.
class CallAttempts
{
public:
    /// Records an attempt whose answer has begun.
    void recordAnswer() { ++m_arrived; }

    /// Records that the last attempt, whose answer has begun, may have run.
    void recordPossibleRun() { ++m_possibleRuns; }

    /// Records an attempt that failed before its answer began. A connection that was not answered
    /// costs the request the time of its timeout, a refused one hardly any.
    void recordFailure(SendPhase phase, bool isUnanswered = false)
    {
        if (phase == SendPhase::NothingSent) {
            ++m_connectFailures;
            m_unansweredConnects += isUnanswered ? 1 : 0;
            return;
        }
        ++m_arrived;
        ++m_possibleRuns;
    }

    /// Records attempts that a relay made before it passed the request back.
    void recordRelayed(int arrived) { m_arrived += arrived; }

    /// Returns whether no attempt was made yet.
    bool isNone() const { return m_arrived == 0 && m_connectFailures == 0; }
    bool hasArrived() const { return m_arrived > 0; }
    bool mayHaveRun() const { return m_possibleRuns > 0; }
    int arrived() const { return m_arrived; }
    int possibleRuns() const { return m_possibleRuns; }
    int connectFailures() const { return m_connectFailures; }
    int unansweredConnects() const { return m_unansweredConnects; }
    /// Returns the number of the next attempt, from 1 on.
    int next() const { return m_arrived + m_connectFailures + 1; }

private:
    int m_arrived = 0;
    int m_connectFailures = 0;
    int m_unansweredConnects = 0;
    int m_possibleRuns = 0;
};

} // namespace gypsumdale
