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

/// Faults that a stand-in can inject. docs/STANDINS.md lists the faults of each role.
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
    CodedAnswer,
    BadStatus,
    Slow,
    WrongIncarnation,
    Outage,
    Silence,
    RateLimit,
    ListLag,
    RefuseRental,
};

inline constexpr NameTable<FaultKind, 20> faultNames = {{
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
        {FaultKind::CodedAnswer, "coded-answer"},
        {FaultKind::BadStatus, "bad-status"},
        {FaultKind::Slow, "slow"},
        {FaultKind::WrongIncarnation, "wrong-incarnation"},
        {FaultKind::Outage, "outage"},
        {FaultKind::Silence, "silence"},
        {FaultKind::RateLimit, "rate-limit"},
        {FaultKind::ListLag, "list-lag"},
        {FaultKind::RefuseRental, "refuse-rental"},
}};

/// One fault to inject: how often, into which requests, and its parameters.
struct Fault
{
    FaultKind m_kind = FaultKind::NotRun;
    /// Number of requests that the fault still affects; if absent, it stays until cleared.
    std::optional<int> m_count;
    /// Limits the fault to requests whose "METHOD TARGET" contains this text.
    std::string m_match;
    /// Tokens of a stream that are sent before the fault.
    int m_afterTokens = 0;
    /// Added delay or duration of the fault, depending on the kind.
    Duration m_delay = {};
};

/// Faults that a stand-in injects, in the order in which they were added.
class FaultPlan
{
public:
    /// Appends a fault. Complexity: constant.
    void add(Fault fault);

    /// Removes the faults of one kind, or all faults. Complexity: linear in the number of faults.
    void clear(std::optional<FaultKind> kind = std::nullopt);

    /// Returns the first fault of the kind that matches the request ("METHOD TARGET") and consumes
    /// one use of it. Complexity: linear in the number of faults.
    std::optional<Fault> take(FaultKind kind, std::string_view request);

    /// Describes the remaining faults. Complexity: linear in the number of faults.
    Json describe() const;

private:
    std::vector<Fault> m_faults;
};

/// Parses the body of POST /admin/faults. Fails with RequestMalformed.
Result<Fault> readFault(const Json &json);

/// Answers GET, POST and DELETE on /admin/faults. Complexity: linear in the number of faults.
HttpReply answerFaultCall(FaultPlan &plan, const HttpRequest &request);

} // namespace gypsumdale::standins
