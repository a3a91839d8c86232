#include <gypsumdale/core/names.hpp>
#include <gypsumdale/observe/log_field.hpp>

namespace gypsumdale {

namespace {

constexpr NameTable<LogField, 74> logFieldNames = {{
        {LogField::Node, "node"},
        {LogField::DataCentre, "data_centre"},
        {LogField::Region, "region"},
        {LogField::Peer, "peer"},
        {LogField::Vm, "vm"},
        {LogField::Upstream, "upstream"},
        {LogField::Service, "service"},
        {LogField::Member, "member"},
        {LogField::Profile, "profile"},
        {LogField::Request, "request"},
        {LogField::Attempt, "attempt"},
        {LogField::Job, "job"},
        {LogField::Epoch, "epoch"},
        {LogField::Offset, "offset"},
        {LogField::Tokens, "tokens"},
        {LogField::Shard, "shard"},
        {LogField::Incarnation, "incarnation"},
        {LogField::Kind, "kind"},
        {LogField::Name, "name"},
        {LogField::Version, "version"},
        {LogField::ErrorNumber, "error"},
        {LogField::ErrorName, "error_name"},
        {LogField::Text, "text"},
        {LogField::Reason, "reason"},
        {LogField::State, "state"},
        {LogField::Plugin, "plugin"},
        {LogField::Address, "address"},
        {LogField::Port, "port"},
        {LogField::Method, "method"},
        {LogField::Status, "status"},
        {LogField::Count, "count"},
        {LogField::Bytes, "bytes"},
        {LogField::Millis, "millis"},
        {LogField::DeadlineMillis, "deadline_millis"},
        {LogField::Signal, "signal"},
        {LogField::Place, "place"},
        {LogField::Suppressed, "suppressed"},
        {LogField::SuppressedEvent, "suppressed_event"},
        {LogField::Truncated, "truncated"},
        {LogField::Account, "account"},
        {LogField::Route, "route"},
        {LogField::Outcome, "outcome"},
        {LogField::ConfigVersion, "config_version"},
        {LogField::AgeMillis, "age_millis"},
        {LogField::Revision, "revision"},
        {LogField::Source, "source"},
        {LogField::Fence, "fence"},
        {LogField::Window, "window"},
        {LogField::Used, "used"},
        {LogField::Limit, "limit"},
        {LogField::SilentPeers, "silent_peers"},
        {LogField::BudgetLeft, "budget_left"},
        {LogField::Running, "running"},
        {LogField::OthersRunning, "others_running"},
        {LogField::HeldMillis, "held_millis"},
        {LogField::FirstMillis, "first_millis"},
        {LogField::PromptTokens, "prompt_tokens"},
        {LogField::OutputTokens, "output_tokens"},
        {LogField::PauseMillis, "pause_millis"},
        {LogField::Events, "events"},
        {LogField::RetryAfterMillis, "retry_after_millis"},
        {LogField::UpstreamDataCentre, "upstream_data_centre"},
        {LogField::Connections, "connections"},
        {LogField::TokensAhead, "tokens_ahead"},
        {LogField::ForecastMillis, "forecast_millis"},
        {LogField::ReadingSpeed, "reading_speed"},
        {LogField::ListAgeMillis, "list_age_millis"},
        {LogField::TermMillis, "term_millis"},
        {LogField::UnacknowledgedBytes, "unacknowledged_bytes"},
        {LogField::SoftwareVersion, "software_version"},
        {LogField::TargetSoftwareVersion, "target_software_version"},
        {LogField::Resumed, "resumed"},
        {LogField::Digest, "digest"},
        {LogField::PromptParts, "prompt_parts"},
}};

} // namespace

std::string_view logFieldName(LogField field)
{
    return enumName(logFieldNames, field);
}

} // namespace gypsumdale
