#pragma once

#include <gypsumdale/core/clock.hpp>

#include <nlohmann/json.hpp>

#include <map> // map
#include <string> // string
#include <utility> // pair
#include <vector> // vector

namespace gypsumdale::load {

/// What became of one request. Times count from its scheduled arrival, so that a system which
/// stalls its callers is charged for those who had to wait.
struct Outcome
{
    std::string m_member;
    std::string m_class;
    /// Empty if the answer was whole; else an error's name or "wrong-answer", "status-503" etc.
    std::string m_error;
    Duration m_firstToken = {};
    Duration m_total = {};
    std::vector<Duration> m_betweenTokens;
    std::size_t m_tokens = 0;
};

/// Collects outcomes by member and class. The run is bounded, so all times are kept.
class Recorder
{
public:
    void record(const Outcome &outcome);

    /// Describes counts, errors and p50/p95/p99 in milliseconds. Sorts all times.
    nlohmann::json describe() const;

    /// Writes the same as a table for people.
    std::string table() const;

private:
    struct Series
    {
        std::size_t m_whole = 0;
        std::size_t m_tokens = 0;
        std::map<std::string, std::size_t> m_errors;
        std::vector<Duration> m_firstToken;
        std::vector<Duration> m_betweenTokens;
        std::vector<Duration> m_total;
    };

    std::map<std::pair<std::string, std::string>, Series> m_series;
};

} // namespace gypsumdale::load
