#include "standins/run_log.hpp"

namespace gypsumdale::standins {

RunCount RunLog::record(const std::string &attempt, const std::string &path, const std::string &key)
{
    RunCount count;
    count.m_total = ++m_total;
    count.m_ofAttempt = ++m_attempts[attempt];
    count.m_ofKey = ++m_keys[path + " " + key];
    return count;
}

Json RunLog::describe(const std::string &key) const
{
    Json keys = Json::object();
    const std::string ending = " " + key;
    for (const auto &[name, count] : m_keys) {
        if (key.empty() || name.ends_with(ending))
            keys[name] = count;
    }
    return {{"total", m_total}, {"attempts", m_attempts}, {"keys", std::move(keys)}};
}

} // namespace gypsumdale::standins
