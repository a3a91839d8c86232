#pragma once

#include <gypsumdale/core/error.hpp>
#include <gypsumdale/core/finding.hpp>
#include <gypsumdale/fleet/config_object.hpp>

#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <variant> // monostate, variant

namespace gypsumdale {

/// One change that an operator asks for.
struct ConfigEdit
{
    ConfigKey m_key;
    /// The version that the operator edited; 0 to create.
    ConfigVersion m_editedVersion = 0;
    std::string m_body;
    bool m_delete = false;
    /// Unique among all writes; the written body carries it.
    std::string m_writeId;
};

/// Put the body, on the condition that the object is at the version (0: doesn't exist).
struct PutObject
{
    ConfigKey m_key;
    ConfigVersion m_ifVersion = 0;
    std::string m_body;
};

/// Delete the object, on the condition that it is at the version.
struct DeleteObject
{
    ConfigKey m_key;
    ConfigVersion m_ifVersion = 0;
};

/// Read the object.
struct ReadObject
{
    ConfigKey m_key;
};

/// The platform took the change. The version is 0 for a deletion.
struct EditAccepted
{
    ConfigVersion m_version = 0;
};

/// The body was refused before anything was sent.
struct EditRefused
{
    Findings m_findings;
};

/// Another change came first, and this one had no effect. Carries both: the body that the operator
/// sent and the object as it is now (nothing if it doesn't exist).
struct EditConflict
{
    ConfigVersion m_editedVersion = 0;
    std::string m_body;
    std::optional<ConfigObject> m_current;
    /// False when the object couldn't be read, so that nothing is known of it.
    bool m_isRead = true;
};

/// It can't be told whether the change took effect: no answer in time, or another change has
/// overwritten what would tell.
struct EditUnknown
{
    Error m_error;
    std::optional<ConfigObject> m_current;
};

/// The platform refused the call or couldn't be asked; the change had no effect.
struct EditFailed
{
    Error m_error;
};

using ConfigWriterStep = std::variant<PutObject, DeleteObject, ReadObject, EditAccepted,
                                      EditRefused, EditConflict, EditUnknown, EditFailed>;

/// One operator's write, from the check to a settled outcome.
///
/// The write is conditional on the version that was edited. When its answer is lost it is settled
/// by reading back: the body carries a write id in its last line. Only when the object is still at
/// the edited version is the same write sent again; if the first one arrives after all, the
/// condition lets one of the two through, and the read after the other's refusal finds the same id.
/// Each function returns the next step: a call to make, or an outcome, which ends the write.
class ConfigWriter
{
public:
    explicit ConfigWriter(ConfigEdit edit);

    /// Checks the body and returns the write, or EditRefused.
    ConfigWriterStep start();

    /// The platform took the write and gave it a version.
    ConfigWriterStep onWritten(ConfigVersion version);

    /// The platform refused the write, since the object is at another version.
    ConfigWriterStep onConflict();

    /// The write failed before the platform can have seen it, or the platform refused it for
    /// another reason than its version (its rate, say).
    ConfigWriterStep onRefused(const Error &error);

    /// The answer to the write was lost.
    ConfigWriterStep onAnswerLost(const Error &error);

    /// The answer to ReadObject; nothing if the object doesn't exist.
    ConfigWriterStep onRead(const std::optional<ConfigObject> &object);

    /// ReadObject had no answer.
    ConfigWriterStep onReadFailed(const Error &error);

private:
    ConfigWriterStep write() const;
    ConfigWriterStep readAgain(const Error &error);

    ConfigEdit m_edit;
    bool m_answerLost = false;
    int m_callsLeft;
};

/// Returns the body with the write id in its last line, in place of an earlier one. Linear.
std::string withWriteId(std::string_view body, std::string_view writeId);

/// Returns the write id that a body carries, or nothing. Linear.
std::optional<std::string> writeIdOf(std::string_view body);

} // namespace gypsumdale
