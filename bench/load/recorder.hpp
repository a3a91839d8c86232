#pragma once

#include <gypsumdale/core/clock.hpp>

#include <nlohmann/json.hpp>

#include <map> // map
#include <string> // string
#include <utility> // pair
#include <vector> // vector

namespace gypsumdale::load {

/// Result of one request. Times count from the scheduled arrival, not from sending, so that the
/// time in which a stalled system keeps callers waiting is included.
struct Outcome
{
    std::string m_member;
    std::string m_class;
    /// Empty for a complete answer, else the name of an error, "wrong-answer", "status-503" etc.
    std::string m_error;
    Duration m_firstToken = {};
    Duration m_total = {};
    std::vector<Duration> m_betweenTokens;
    std::size_t m_tokens = 0;
};

/// Collects outcomes by member and class. Keeps all times, since the length of a run is limited.
class Recorder
{
public:
    void record(const Outcome &outcome);

    /// Returns counts, errors and p50/p95/p99 in milliseconds. Sorts all times.
    nlohmann::json describe() const;

    /// Returns the same figures as a text table.
    std::string table() const;

private:
    struct Series
    {
        std::size_t m_complete = 0;
        std::size_t m_tokens = 0;
        std::map<std::string, std::size_t> m_errors;
        std::vector<Duration> m_firstToken;
        std::vector<Duration> m_betweenTokens;
        std::vector<Duration> m_total;
    };

    std::map<std::pair<std::string, std::string>, Series> m_series;
};

} // namespace gypsumdale::load
