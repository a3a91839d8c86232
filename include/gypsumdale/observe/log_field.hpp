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
};

/// Returns the key as written in a line, such as "data_centre". Complexity: linear in the number of
/// keys.
std::string_view logFieldName(LogField field);

/// Value of a field. Text is quoted, escaped, redacted and truncated when it is written.
using LogValue = std::variant<std::string_view, std::int64_t, double, bool>;

/// One field of a log line. It refers to the caller's text and therefore must not outlive the call
/// it is passed to. An id converts to its own field: `RequestId("r-1")` becomes request=r-1.
struct LogItem
{
    LogItem(LogField field, std::string_view text)
        : m_field(field)
        , m_value(text)
    {}
    LogItem(LogField field, const char *text)
        : LogItem(field, std::string_view(text))
    {}
    LogItem(LogField field, bool flag)
        : m_field(field)
        , m_value(flag)
    {}
    LogItem(LogField field, double number)
        : m_field(field)
        , m_value(number)
    {}
    template <std::integral Number>
    LogItem(LogField field, Number number)
        : m_field(field)
        , m_value(static_cast<std::int64_t>(number))
    {}
    template <typename Tag>
    LogItem(LogField field, const Id<Tag> &id)
        : LogItem(field, std::string_view(id.text()))
    {}
    // The conversions from ids are implicit, so that a call can list ids without naming their
    // fields.
    LogItem(const NodeId &id)
        : LogItem(LogField::Node, id)
    {}
    LogItem(const DataCentreId &id)
        : LogItem(LogField::DataCentre, id)
    {}
    LogItem(const VmId &id)
        : LogItem(LogField::Vm, id)
    {}
    LogItem(const UpstreamId &id)
        : LogItem(LogField::Upstream, id)
    {}
    LogItem(const ServiceId &id)
        : LogItem(LogField::Service, id)
    {}
    LogItem(const MemberId &id)
        : LogItem(LogField::Member, id)
    {}
    LogItem(const AccountId &id)
        : LogItem(LogField::Account, id)
    {}
    LogItem(const ProfileId &id)
        : LogItem(LogField::Profile, id)
    {}
    LogItem(const RequestId &id)
        : LogItem(LogField::Request, id)
    {}
    LogItem(const JobId &id)
        : LogItem(LogField::Job, id)
    {}

    LogField m_field;
    LogValue m_value;
};

} // namespace gypsumdale
