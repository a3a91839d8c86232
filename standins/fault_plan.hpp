#pragma once

#include "standins/json_fields.hpp"

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/core/result.hpp>

#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale::standins {

/// What can go wrong on request. docs/STANDINS.md says which role knows which.
enum class FaultKind {
    RefuseConnections,
    NotRun,
    HangBefore,
    HangAfter,
    CloseBefore,
    CloseAfter,
    CutStream,
    EndEarly,
    SilentStream,
    DuplicateEvent,
    CrossedAnswer,
    Slow,
    WrongIncarnation,
    Outage,
    Silence,
    RateLimit,
    ListLag,
    RefuseRental,
};

inline constexpr NameTable<FaultKind, 18> faultNames = {{
        {FaultKind::RefuseConnections, "refuse-connections"},
        {FaultKind::NotRun, "not-run"},
        {FaultKind::HangBefore, "hang-before"},
        {FaultKind::HangAfter, "hang-after"},
        {FaultKind::CloseBefore, "close-before"},
        {FaultKind::CloseAfter, "close-after"},
        {FaultKind::CutStream, "cut-stream"},
        {FaultKind::EndEarly, "end-early"},
        {FaultKind::SilentStream, "silent-stream"},
        {FaultKind::DuplicateEvent, "duplicate-event"},
        {FaultKind::CrossedAnswer, "crossed-answer"},
        {FaultKind::Slow, "slow"},
        {FaultKind::WrongIncarnation, "wrong-incarnation"},
        {FaultKind::Outage, "outage"},
        {FaultKind::Silence, "silence"},
        {FaultKind::RateLimit, "rate-limit"},
        {FaultKind::ListLag, "list-lag"},
        {FaultKind::RefuseRental, "refuse-rental"},
}};

/// One fault to cause: how often, to which requests and how strongly.
struct Fault
{
    FaultKind m_kind = FaultKind::NotRun;
    /// Requests still to be struck; absent, until cleared.
    std::optional<int> m_count;
    /// Strikes only requests whose "METHOD TARGET" contains this text.
    std::string m_match;
    /// Tokens of a stream that pass before the fault.
    int m_afterTokens = 0;
    /// Added time, or how long the fault lasts, by kind.
    Duration m_delay = {};
};

/// The faults that a stand-in has been told to cause.
class FaultPlan
{
public:
    /// Adds a fault behind the others. Constant.
    void add(Fault fault);

    /// Removes the faults of one kind, or all of them. Linear.
    void clear(std::optional<FaultKind> kind = std::nullopt);

    /// Returns the first fault of the kind that strikes the request ("METHOD TARGET") and counts it
    /// as spent once. Linear.
    std::optional<Fault> take(FaultKind kind, std::string_view request);

    /// Describes the faults that are left. Linear.
    Json describe() const;

private:
    std::vector<Fault> m_faults;
};

/// Reads a fault from the body of POST /admin/faults. Fails with RequestMalformed.
Result<Fault> readFault(const Json &json);

/// Answers GET, POST and DELETE on /admin/faults. Linear in the faults.
HttpReply answerFaultCall(FaultPlan &plan, const HttpRequest &request);

} // namespace gypsumdale::standins
