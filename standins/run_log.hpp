#pragma once

#include "standins/json_fields.hpp"

#include <cstdint> // uint64_t
#include <map> // map
#include <string> // string

namespace gypsumdale::standins {

/// Number of runs so far: of all calls, of one attempt and of one business key.
struct RunCount
{
    std::uint64_t m_total = 0;
    std::uint64_t m_ofAttempt = 0;
    std::uint64_t m_ofKey = 0;
};

/// Counts the runs of a plain service. A business key identifies an action that the caller wants
/// done once, such as one reservation; tests look for keys with more than one run, which is a
/// failure.
class RunLog
{
public:
    /// Counts one run and returns the new counts. Complexity: logarithmic.
    RunCount record(const std::string &attempt, const std::string &path, const std::string &key);

    /// Describes the counts of all runs, or of one business key.
    /// Complexity: linear in the number of attempts and keys.
    Json describe(const std::string &key = {}) const;

private:
    std::uint64_t m_total = 0;
    std::map<std::string, std::uint64_t> m_attempts;
    std::map<std::string, std::uint64_t> m_keys; ///< number of runs by "PATH KEY"
};

} // namespace gypsumdale::standins
