#pragma once

#include <gypsumdale/core/ids.hpp>

#include <compare> // strong_ordering
#include <cstdint> // int64_t, uint64_t
#include <optional> // optional
#include <string> // string
#include <tuple> // tie

namespace gypsumdale {

/// One log of job records in the platform. It is named after the process that began it, so that a
/// restarted process never writes into the log of the one before it.
using JobLogId = Id<struct JobLogIdTag>;

/// One process of the system: a node and its incarnation.
struct ProcessRef
{
    NodeId m_node;
    std::int64_t m_incarnation = 0;

    friend bool operator==(const ProcessRef &, const ProcessRef &) = default;
    friend std::strong_ordering operator<=>(const ProcessRef &left, const ProcessRef &right)
    {
        return std::tie(left.m_node, left.m_incarnation)
               <=> std::tie(right.m_node, right.m_incarnation);
    }
};

/// Returns the name of a process's own log, "NODE.INCARNATION". Linear in the name.
JobLogId logOf(const ProcessRef &process);

/// Returns the process that began a log, or nothing for a text that names none. Linear.
std::optional<ProcessRef> processOf(const JobLogId &log);

/// Makes the name of a job, "NODE.INCARNATION.NUMBER.SALT" with hexadecimal numbers. The log is
/// readable from it; the salt comes from the caller's random source and makes names unguessable.
/// It carries no secret: access is granted by member, never by knowing the name. Linear.
JobId makeJobId(const ProcessRef &origin, std::uint64_t number, std::uint64_t salt);

/// Returns the log that a job's records are in, or nothing for a text that names no job. Linear.
std::optional<JobLogId> logOf(const JobId &job);

} // namespace gypsumdale
