#pragma once

#include <gypsumdale/core/error.hpp>
#include <gypsumdale/core/finding.hpp>
#include <gypsumdale/fleet/config_object.hpp>

#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <variant> // monostate, variant

namespace gypsumdale {

/// One change requested by an operator.
struct ConfigEdit
{
    ConfigKey m_key;
    /// Version that the operator edited; 0 to create the object.
    ConfigVersion m_editedVersion = 0;
    std::string m_body;
    bool m_delete = false;
    /// Unique among all writes; stored in the written body.
    std::string m_writeId;
};

/// Writes the body on condition that the object is at the version (0: doesn't exist).
struct PutObject
{
    ConfigKey m_key;
    ConfigVersion m_ifVersion = 0;
    std::string m_body;
};

/// Deletes the object on condition that it is at the version.
struct DeleteObject
{
    ConfigKey m_key;
    ConfigVersion m_ifVersion = 0;
};

/// Reads the object.
struct ReadObject
{
    ConfigKey m_key;
};

/// The platform accepted the change. The version is 0 for a deletion.
struct EditAccepted
{
    ConfigVersion m_version = 0;
};

/// The body was refused before anything was sent.
struct EditRefused
{
    Findings m_findings;
};

/// Another change came first, and this one had no effect. Contains the body that the operator sent
/// and the current object (nothing if it doesn't exist).
struct EditConflict
{
    ConfigVersion m_editedVersion = 0;
    std::string m_body;
    std::optional<ConfigObject> m_current;
    /// False if the object couldn't be read, so that its current state is unknown.
    bool m_isRead = true;
};

/// It is unknown whether the change took effect: there was no answer in time, or another change has
/// overwritten the evidence.
struct EditUnknown
{
    Error m_error;
    std::optional<ConfigObject> m_current;
};

/// The platform refused the call or was unreachable; the change had no effect.
struct EditFailed
{
    Error m_error;
};

using ConfigWriterStep = std::variant<PutObject, DeleteObject, ReadObject, EditAccepted,
                                      EditRefused, EditConflict, EditUnknown, EditFailed>;

/// One operator's write, from the check to its final outcome.
///
/// The write is conditional on the version that was edited. If its answer is lost, the outcome is
/// determined by reading the object: the last line of the body contains a write id. The same write
/// is sent again only if the object is still at the edited version; if the first one arrives after
/// all, the condition lets one of the two succeed, and the read after the refusal of the other
/// finds the same id. Each function returns the next step: a call to make, or an outcome, which
/// ends the write.
class ConfigWriter
{
public:
    explicit ConfigWriter(ConfigEdit edit);

    /// Checks the body and returns the write, or EditRefused.
    ConfigWriterStep start();

    /// Handles success: the platform applied the write and assigned it a version.
    ConfigWriterStep onWritten(ConfigVersion version);

    /// Handles a refused condition: the object is at another version.
    ConfigWriterStep onConflict();

    /// Handles a write that failed before it could reach the platform, or that the platform refused
    /// for a reason other than its version, such as its rate limit.
    ConfigWriterStep onRefused(const Error &error);

    /// Handles a write whose answer was lost.
    ConfigWriterStep onAnswerLost(const Error &error);

    /// Handles the answer to ReadObject; nothing if the object doesn't exist.
    ConfigWriterStep onRead(const std::optional<ConfigObject> &object);

    /// Handles a ReadObject without an answer.
    ConfigWriterStep onReadFailed(const Error &error);

private:
    ConfigWriterStep write() const;
    ConfigWriterStep readBack(const Error &error);

    ConfigEdit m_edit;
    bool m_answerLost = false;
    int m_callsLeft;
};

/// Returns the body with the write id in its last line, replacing an earlier one. Complexity:
/// linear.
std::string withWriteId(std::string_view body, std::string_view writeId);

/// Returns the write id in a body, or nothing. Complexity: linear.
std::optional<std::string> writeIdOf(std::string_view body);

} // namespace gypsumdale
