#pragma once

#include <gypsumdale/core/ids.hpp>

#include <concepts> // integral
#include <cstdint> // int64_t
#include <string_view> // string_view
#include <variant> // variant

namespace gypsumdale {

/// Keys of the fields in a log line. The set is closed, so that a caller's text never becomes a key
/// and no key exists for a credential, a prompt or an answer.
enum class LogField {
    Node,
    DataCentre,
    Region,
    Peer,
    Vm,
    Upstream,
    Service,
    Member,
    Profile,
    Request,
    Attempt,
    Job,
    Epoch,
    Offset,
    Tokens,
    Shard,
    Incarnation,
    Kind,
    Name,
    Version,
    ErrorNumber,
    ErrorName,
    Text,
    Reason,
    State,
    Plugin,
    Address,
    Port,
    Method,
    Status,
    Count,
    Bytes,
    Millis,
    DeadlineMillis,
    Signal,
    Place,
    Suppressed,
    SuppressedEvent,
    Truncated,
    Account,
    Route,
    Outcome,
    ConfigVersion,
    AgeMillis,
    Revision,
    Source,
    Fence,
    Window,
    Used,
    Limit,
    SilentPeers,
    BudgetLeft,
    Running,
    OthersRunning,
    HeldMillis,
    FirstMillis,
    PromptTokens,
    OutputTokens,
    PauseMillis,
    Events,
    RetryAfterMillis,
    UpstreamDataCentre,
    Connections,
    TokensAhead,
    ForecastMillis,
    ReadingSpeed,
    ListAgeMillis,
    TermMillis,
    UnacknowledgedBytes,
    SoftwareVersion,
    TargetSoftwareVersion,
    Resumed,
    Digest,
    PromptParts,
    Stage,
    Share,
    Answers,
    BadAnswers,
    ControlShare,
    Score,
    RelativeSpeed,
    Samples,
    SecondRuns,
    SecondRunsHelped,
    Slots,
    InFlight,
    Waiting,
    Priority,
    Demand,
    FleetDemand,
    ReadSinceSignalMillis,
    PlacedSinceSignalMillis,
    Arriving,
    Unfinished,
    BrokenOff,
};

/// Returns the key as written in a line, such as "data_centre". Complexity: linear in the number of
/// keys.
std::string_view logFieldName(LogField field);

/// Value of a field. Text is quoted, escaped, redacted and truncated when it is written.
using LogValue = std::variant<std::string_view, std::int64_t, double, bool>;

/// One field of a log line. It refers to the caller's text and therefore must not outlive the call
/// it is passed to. An id converts to its own field: `RequestId("r-1")` becomes request=r-1.
struct LogFieldValue
{
    LogFieldValue(LogField field, std::string_view text)
        : m_field(field)
        , m_value(text)
    {}
    LogFieldValue(LogField field, const char *text)
        : LogFieldValue(field, std::string_view(text))
    {}
    LogFieldValue(LogField field, bool flag)
        : m_field(field)
        , m_value(flag)
    {}
    LogFieldValue(LogField field, double number)
        : m_field(field)
        , m_value(number)
    {}
    template <std::integral Number>
    LogFieldValue(LogField field, Number number)
        : m_field(field)
        , m_value(static_cast<std::int64_t>(number))
    {}
    template <typename Tag>
    LogFieldValue(LogField field, const Id<Tag> &id)
        : LogFieldValue(field, std::string_view(id.text()))
    {}
    // The conversions from ids are implicit, so that a call can list ids without naming their
    // fields.
    LogFieldValue(const NodeId &id)
        : LogFieldValue(LogField::Node, id)
    {}
    LogFieldValue(const DataCentreId &id)
        : LogFieldValue(LogField::DataCentre, id)
    {}
    LogFieldValue(const VmId &id)
        : LogFieldValue(LogField::Vm, id)
    {}
    LogFieldValue(const UpstreamId &id)
        : LogFieldValue(LogField::Upstream, id)
    {}
    LogFieldValue(const ServiceId &id)
        : LogFieldValue(LogField::Service, id)
    {}
    LogFieldValue(const MemberId &id)
        : LogFieldValue(LogField::Member, id)
    {}
    LogFieldValue(const AccountId &id)
        : LogFieldValue(LogField::Account, id)
    {}
    LogFieldValue(const ProfileId &id)
        : LogFieldValue(LogField::Profile, id)
    {}
    LogFieldValue(const RequestId &id)
        : LogFieldValue(LogField::Request, id)
    {}
    LogFieldValue(const SoftwareVersion &version)
        : LogFieldValue(LogField::SoftwareVersion, version)
    {}
    LogFieldValue(const RequestDigest &digest)
        : LogFieldValue(LogField::Digest, digest)
    {}
    LogFieldValue(const JobId &id)
        : LogFieldValue(LogField::Job, id)
    {}

    LogField m_field;
    LogValue m_value;
};

} // namespace gypsumdale
