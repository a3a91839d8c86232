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

/// The error body of an answer.
struct ErrorReply
{
    ErrorId m_id = ErrorId::Internal;
    std::string m_name;
    std::string m_message;
    /// Whether the node itself does not know if the call took effect.
    bool m_isOutcomeUnknown = false;
};

/// One version of a settings object.
struct VersionedBody
{
    std::int64_t m_version = 0;
    std::string m_body;
};

/// Which version a node has in force; nothing if it could not be asked.
struct NodeVersion
{
    std::string m_node;
    std::optional<std::int64_t> m_version;
};

struct DataCentreRollout
{
    std::string m_dataCentre;
    std::vector<NodeVersion> m_nodes;

    /// Tells whether all nodes have that version or a later one in force. Linear.
    bool has(std::int64_t version) const;
};

/// Which version of one object is in force where.
struct Rollout
{
    std::int64_t m_version = 0;
    std::vector<DataCentreRollout> m_dataCentres;

    /// Tells whether every data centre has that version; an answer that names none has it nowhere.
    bool has(std::int64_t version) const;
};

/// Returns the error of an answer, or nothing if it has no error body.
std::optional<ErrorReply> readErrorReply(const HttpReply &reply);

/// Returns how to end on an answer: Ok for a status of the 200s, otherwise by the error's number
/// or, without one, by the status.
ExitCode exitCodeFor(const HttpReply &reply);

/// Returns what to tell a person about an answer that is an error.
std::string errorText(const HttpReply &reply);

/// Reads `{"version","body"}`, or nothing from anything else. The line by which a node marks a body
/// as its own write, the last one, is left out.
std::optional<VersionedBody> readVersionedBody(const HttpReply &reply);

/// Reads the current version out of a conflict's answer, or nothing if it has none.
std::optional<VersionedBody> readConflict(const HttpReply &reply);

/// Reads the version out of an accepted write's answer, or nothing if it has none.
std::optional<std::int64_t> readVersion(const HttpReply &reply);

/// Reads the findings of a refused write.
Findings readFindings(const HttpReply &reply, const std::string &document);

/// Reads which version is in force where, or nothing from anything else.
std::optional<Rollout> readRollout(const HttpReply &reply);

} // namespace gypsumdale::ctl
