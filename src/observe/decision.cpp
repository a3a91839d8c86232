#include <gypsumdale/core/names.hpp>
#include <gypsumdale/observe/decision.hpp>
#include <gypsumdale/observe/log.hpp>

#include <nlohmann/json.hpp>

namespace gypsumdale {

namespace {

constexpr NameTable<DecisionSubject, 2> subjectNames = {{
        {DecisionSubject::Request, "request"},
        {DecisionSubject::Upstream, "upstream"},
}};

constexpr NameTable<Decision, 34> decisionNames = {{
        {Decision::Received, "received"},
        {Decision::Accepted, "accepted"},
        {Decision::Refused, "refused"},
        {Decision::Queued, "queued"},
        {Decision::Routed, "routed"},
        {Decision::Sent, "sent"},
        {Decision::FirstToken, "first-token"},
        {Decision::Retried, "retried"},
        {Decision::Hedged, "hedged"},
        {Decision::Claimed, "claimed"},
        {Decision::ClaimConflicted, "claim-conflicted"},
        {Decision::Held, "held"},
        {Decision::Checkpointed, "checkpointed"},
        {Decision::Resumed, "resumed"},
        {Decision::TakenOver, "taken-over"},
        {Decision::EventDropped, "event-dropped"},
        {Decision::Done, "done"},
        {Decision::NotRun, "not-run"},
        {Decision::OutcomeUnknown, "outcome-unknown"},
        {Decision::Failed, "failed"},
        {Decision::GivenUp, "given-up"},
        {Decision::Cancelled, "cancelled"},
        {Decision::Joined, "joined"},
        {Decision::Ready, "ready"},
        {Decision::Suspected, "suspected"},
        {Decision::Restored, "restored"},
        {Decision::Leaving, "leaving"},
        {Decision::Drained, "drained"},
        {Decision::Gone, "gone"},
        {Decision::LimitChanged, "limit-changed"},
        {Decision::Ordered, "ordered"},
        {Decision::OrderRefused, "order-refused"},
        {Decision::Rented, "rented"},
        {Decision::Released, "released"},
}};

constexpr NameTable<DecisionReason, 33> reasonNames = {{
        {DecisionReason::None, ""},
        {DecisionReason::Profile, "profile"},
        {DecisionReason::FairShare, "fair-share"},
        {DecisionReason::FreeSlot, "free-slot"},
        {DecisionReason::CachedPrefix, "cached-prefix"},
        {DecisionReason::LeastLoaded, "least-loaded"},
        {DecisionReason::LowerCost, "lower-cost"},
        {DecisionReason::OnlyChoice, "only-choice"},
        {DecisionReason::NoUpstream, "no-upstream"},
        {DecisionReason::QueueFull, "queue-full"},
        {DecisionReason::Deadline, "deadline"},
        {DecisionReason::OverLimit, "over-limit"},
        {DecisionReason::RetryBudget, "retry-budget"},
        {DecisionReason::NotRepeatable, "not-repeatable"},
        {DecisionReason::KeyKnown, "key-known"},
        {DecisionReason::ReclaimNotice, "reclaim-notice"},
        {DecisionReason::VmList, "vm-list"},
        {DecisionReason::OperatorOrder, "operator-order"},
        {DecisionReason::MissedProbes, "missed-probes"},
        {DecisionReason::ProbeAnswered, "probe-answered"},
        {DecisionReason::UpstreamFailed, "upstream-failed"},
        {DecisionReason::UpstreamSilent, "upstream-silent"},
        {DecisionReason::UpstreamRefused, "upstream-refused"},
        {DecisionReason::AnswerTruncated, "answer-truncated"},
        {DecisionReason::CallerGone, "caller-gone"},
        {DecisionReason::NodeLost, "node-lost"},
        {DecisionReason::NodeLeaving, "node-leaving"},
        {DecisionReason::PlatformDown, "platform-down"},
        {DecisionReason::PlatformConflict, "platform-conflict"},
        {DecisionReason::SettingsChanged, "settings-changed"},
        {DecisionReason::LoadReport, "load-report"},
        {DecisionReason::OldFence, "old-fence"},
        {DecisionReason::Internal, "internal"},
}};

} // namespace

std::string_view decisionName(Decision decision)
{
    return enumName(decisionNames, decision);
}

std::string_view decisionReasonName(DecisionReason reason)
{
    return enumName(reasonNames, reason);
}

std::string_view decisionSubjectName(DecisionSubject subject)
{
    return enumName(subjectNames, subject);
}

std::optional<Decision> decisionFrom(std::string_view name)
{
    return enumFromName(decisionNames, name);
}

std::optional<DecisionReason> decisionReasonFrom(std::string_view name)
{
    return enumFromName(reasonNames, name);
}

std::optional<DecisionSubject> decisionSubjectFrom(std::string_view name)
{
    return enumFromName(subjectNames, name);
}

std::string toJson(const std::vector<DecisionEvent> &events)
{
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const DecisionEvent &event : events) {
        list.push_back({{"atMillis", event.m_at},
                        {"node", event.m_node.text()},
                        {"what", decisionName(event.m_what)},
                        {"why", decisionReasonName(event.m_why)},
                        {"detail", redactSecrets(event.m_detail)}});
    }
    const nlohmann::ordered_json document = {{"events", std::move(list)}};
    constexpr bool escapeNonAscii = true;
    return document.dump(-1, ' ', escapeNonAscii, nlohmann::json::error_handler_t::replace);
}

} // namespace gypsumdale
