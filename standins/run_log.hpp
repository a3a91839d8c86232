#pragma once

#include "standins/json_fields.hpp"

#include <cstdint> // uint64_t
#include <map> // map
#include <string> // string

namespace gypsumdale::standins {

/// How often a call has run by now, counted the two ways a test asks for.
struct RunCount
{
    std::uint64_t m_total = 0;
    std::uint64_t m_ofAttempt = 0;
    std::uint64_t m_ofKey = 0;
};

/// What a plain service has run. A business key names what the caller wanted done once, such as one
/// reservation; more than one run of it is the failure that tests look for.
class RunLog
{
public:
    /// Counts one run. Logarithmic.
    RunCount record(const std::string &attempt, const std::string &path, const std::string &key);

    /// Describes all runs, or those of one business key. Linear.
    Json describe(const std::string &key = {}) const;

private:
    std::uint64_t m_total = 0;
    std::map<std::string, std::uint64_t> m_attempts;
    std::map<std::string, std::uint64_t> m_keys; ///< by "PATH KEY"
};

} // namespace gypsumdale::standins
