#pragma once

#include <gypsumdale/core/error.hpp>
#include <gypsumdale/core/finding.hpp>
#include <gypsumdale/runtime/http_message.hpp>

#include <ctl/exit_code.hpp>

#include <cstdint> // int64_t
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale::ctl {

/// Error body of an answer.
struct ErrorReply
{
    ErrorId m_id = ErrorId::Internal;
    std::string m_name;
    std::string m_message;
    /// Whether the node reported that it does not know if the call took effect.
    bool m_isOutcomeUnknown = false;
};

/// A settings object at one version.
struct VersionedBody
{
    std::int64_t m_version = 0;
    std::string m_body;
};

/// Version that one node has in force; unset if the node could not be queried.
struct NodeVersion
{
    std::string m_node;
    std::optional<std::int64_t> m_version;
};

/// Versions that the nodes of one data centre have in force.
struct DataCentreRollout
{
    std::string m_dataCentre;
    std::vector<NodeVersion> m_nodes;

    /// Returns whether all nodes have this version or a later one in force. Complexity: linear.
    bool has(std::int64_t version) const;
};

/// Versions of one object in force, by data centre.
struct Rollout
{
    std::int64_t m_version = 0;
    std::vector<DataCentreRollout> m_dataCentres;

    /// Returns whether every data centre has this version or a later one in force; false if there
    /// are no data centres.
    bool has(std::int64_t version) const;
};

/// Parses the error of an answer; returns nothing if it has no error body.
std::optional<ErrorReply> readErrorReply(const HttpReply &reply);

/// Returns the exit code for an answer: Ok for a 2xx status, otherwise the code of the error id or,
/// without an error body, of the status.
ExitCode exitCodeFor(const HttpReply &reply);

/// Returns a readable message for an error answer.
std::string errorText(const HttpReply &reply);

/// Parses `{"version","body"}`; returns nothing for anything else. Removes the last line of the
/// body if it is the marker by which a node recognizes its own write.
std::optional<VersionedBody> readVersionedBody(const HttpReply &reply);

/// Parses the current version from a conflict answer; returns nothing if it has none.
std::optional<VersionedBody> readConflict(const HttpReply &reply);

/// Parses the new version from the answer to an accepted write; returns nothing if it has none.
std::optional<std::int64_t> readVersion(const HttpReply &reply);

/// Parses the findings of a refused write.
Findings readFindings(const HttpReply &reply, const std::string &document);

/// Parses a rollout; returns nothing for anything else.
std::optional<Rollout> readRollout(const HttpReply &reply);

} // namespace gypsumdale::ctl
