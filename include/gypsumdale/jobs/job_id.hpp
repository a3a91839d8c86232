#pragma once

#include <gypsumdale/core/ids.hpp>

#include <compare> // strong_ordering
#include <cstdint> // int64_t, uint64_t
#include <optional> // optional
#include <string> // string
#include <tuple> // tie

namespace gypsumdale {

/// The name of a log of job records in the platform. A log is named after the process that created
/// it, so that a restarted process never writes into the log of its predecessor.
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

/// Returns the name of the log of a process, "NODE.INCARNATION". Complexity: linear in the length
/// of the name.
JobLogId logOf(const ProcessRef &process);

/// Returns the process that created a log, or nothing for a text that is not a log name.
/// Complexity: linear.
std::optional<ProcessRef> processOf(const JobLogId &log);

/// Makes a job id, "NODE.INCARNATION.NUMBER.SALT" with hexadecimal numbers. The log can be derived
/// from it. The salt comes from the caller's random source and makes ids unguessable, but the id is
/// no secret: access is granted by member, never by knowledge of the id. Complexity: linear.
JobId makeJobId(const ProcessRef &origin, std::uint64_t number, std::uint64_t salt);

/// Returns the log that holds the records of a job, or nothing for a text that is not a job id.
/// Complexity: linear.
std::optional<JobLogId> logOf(const JobId &job);

} // namespace gypsumdale
