#include <gypsumdale/observe/metric_names.hpp>

#include <observe/detail/metric_texts.hpp>

#include <array> // array

namespace gypsumdale {

namespace {

/// Name and HELP text of one metric.
template <typename Enum>
struct MetricText
{
    Enum m_metric;
    std::string_view m_name;
    std::string_view m_help;
};

template <typename Enum, std::size_t Size>
using MetricTexts = std::array<MetricText<Enum>, Size>;

template <typename Enum, std::size_t Size>
const MetricText<Enum> &textOf(const MetricTexts<Enum, Size> &texts, Enum metric)
{
    return texts[static_cast<std::size_t>(metric)];
}

/// Returns whether the index of each text equals the value of its metric, which textOf() relies on.
template <typename Enum, std::size_t Size>
constexpr bool isInOrder(const MetricTexts<Enum, Size> &texts)
{
    for (std::size_t place = 0; place < Size; ++place) {
        if (texts[place].m_metric != static_cast<Enum>(place))
            return false;
    }
    return true;
}

constexpr MetricTexts<Latency, latencyCount> latencyTexts = {{
        {Latency::FirstToken, "gypsumdale_time_to_first_token_seconds", "Time to the first token."},
        {Latency::BetweenTokens, "gypsumdale_time_between_tokens_seconds",
         "Time between two tokens."},
        {Latency::Queueing, "gypsumdale_queueing_seconds", "Time until an upstream is chosen."},
        {Latency::Total, "gypsumdale_request_seconds", "Time to the end of the answer."},
}};
static_assert(isInOrder(latencyTexts));

constexpr MetricTexts<RequestCounter, requestCounterCount> requestCounterTexts = {{
        {RequestCounter::Received, "gypsumdale_requests_received_total", "Requests received."},
        {RequestCounter::Done, "gypsumdale_requests_done_total", "Answered whole."},
        {RequestCounter::Refused, "gypsumdale_requests_refused_total", "At admission."},
        {RequestCounter::Failed, "gypsumdale_requests_failed_total", "Requests that failed."},
        {RequestCounter::NotRun, "gypsumdale_requests_not_run_total", "Answered as not run."},
        {RequestCounter::OutcomeUnknown, "gypsumdale_requests_outcome_unknown_total",
         "Outcome unknown."},
        {RequestCounter::Cancelled, "gypsumdale_requests_cancelled_total", "Caller went away."},
        {RequestCounter::WithinTarget, "gypsumdale_requests_within_target_total", "In time."},
        {RequestCounter::BeyondTarget, "gypsumdale_requests_beyond_target_total", "Too late."},
        {RequestCounter::PromptTokens, "gypsumdale_prompt_tokens_total", "Processed."},
        {RequestCounter::GeneratedTokens, "gypsumdale_generated_tokens_total", "For callers."},
        {RequestCounter::RecomputedTokens, "gypsumdale_recomputed_tokens_total",
         "Tokens computed again."},
}};
static_assert(isInOrder(requestCounterTexts));

constexpr MetricTexts<Counter, counterCount> counterTexts = {{
        {Counter::Retries, "gypsumdale_retries_total", "Attempts after the first."},
        {Counter::RetriesDenied, "gypsumdale_retries_denied_total", "By the budget."},
        {Counter::StrayEvents, "gypsumdale_stray_events_total", "Late or foreign events."},
        {Counter::TruncatedAnswers, "gypsumdale_truncated_answers_total", "Without their end."},
        {Counter::ClaimsWritten, "gypsumdale_claims_written_total", "Written."},
        {Counter::ClaimConflicts, "gypsumdale_claim_conflicts_total", "Met another's record."},
        {Counter::JobsAccepted, "gypsumdale_jobs_accepted_total", "Durable jobs accepted."},
        {Counter::JobsFinished, "gypsumdale_jobs_finished_total", "Durable jobs finished."},
        {Counter::JobTakeovers, "gypsumdale_job_takeovers_total", "Durable jobs taken over."},
        {Counter::JobsOverruled, "gypsumdale_jobs_overruled_total", "Provisional, replaced."},
        {Counter::Checkpoints, "gypsumdale_checkpoints_total", "Written, of durable jobs."},
        {Counter::CheckpointBytes, "gypsumdale_checkpoint_bytes_total", "Bytes written."},
        {Counter::PlatformCalls, "gypsumdale_platform_calls_total", "Calls to the platform."},
        {Counter::PlatformFailures, "gypsumdale_platform_failures_total", "Failed calls."},
        {Counter::PlatformConflicts, "gypsumdale_platform_conflicts_total", "Refused writes."},
        {Counter::PlatformLimited, "gypsumdale_platform_limited_total", "Rate-limited calls."},
        {Counter::PeerFramesSent, "gypsumdale_peer_frames_sent_total", "To peers."},
        {Counter::PeerFramesReceived, "gypsumdale_peer_frames_received_total", "From peers."},
        {Counter::PeerBytesSent, "gypsumdale_peer_bytes_sent_total", "To peers."},
        {Counter::PeerBytesReceived, "gypsumdale_peer_bytes_received_total", "From peers."},
        {Counter::PeerFramesRefused, "gypsumdale_peer_frames_refused_total",
         "Malformed or disallowed."},
        {Counter::ReclaimNotices, "gypsumdale_reclaim_notices_total", "Reclaim notices received."},
        {Counter::UpstreamsJoined, "gypsumdale_upstreams_joined_total", "Joined."},
        {Counter::UpstreamsLeft, "gypsumdale_upstreams_left_total", "Left."},
        {Counter::UpstreamsSuspected, "gypsumdale_upstreams_suspected_total", "Became suspect."},
        {Counter::OrdersSent, "gypsumdale_orders_sent_total", "Sent to engines."},
        {Counter::OrdersRefused, "gypsumdale_orders_refused_total", "Refused by engines."},
        {Counter::VmsRented, "gypsumdale_vms_rented_total", "Rented."},
        {Counter::VmsRefused, "gypsumdale_vms_refused_total", "VMs that the cloud refused."},
        {Counter::VmsReleased, "gypsumdale_vms_released_total", "VMs given back."},
        {Counter::SettingsAdopted, "gypsumdale_settings_adopted_total", "Versions in force."},
        {Counter::SettingsRefused, "gypsumdale_settings_refused_total", "Versions refused."},
        {Counter::OperatorCalls, "gypsumdale_operator_calls_total", "Admin calls."},
        {Counter::OperatorCallsRefused, "gypsumdale_operator_calls_refused_total",
         "Wrong credential."},
        {Counter::LogLinesSuppressed, "gypsumdale_log_lines_suppressed_total",
         "Held back by rate."},
        {Counter::LogLinesLost, "gypsumdale_log_lines_lost_total", "Lost."},
        {Counter::ControlProcessorMillis, "gypsumdale_control_processor_milliseconds_total",
         "Of control."},
        {Counter::TrafficProcessorMillis, "gypsumdale_traffic_processor_milliseconds_total",
         "Of traffic."},
        {Counter::NoCapacityInTime, "gypsumdale_no_room_in_time_total", "Rejected as too late."},
        {Counter::CallerBytesReceived, "gypsumdale_caller_bytes_received_total", "From callers."},
        {Counter::CallerBytesSent, "gypsumdale_caller_bytes_sent_total", "Bytes of answers."},
        {Counter::UpstreamBytesSent, "gypsumdale_upstream_bytes_sent_total", "Bytes of bodies."},
        {Counter::UpstreamConnectsTimedOut, "gypsumdale_upstream_connects_timed_out_total",
         "Timed out."},
        {Counter::UpstreamConnectsRefused, "gypsumdale_upstream_connects_refused_total",
         "Refused connections."},
        {Counter::PlatformBytesReceived, "gypsumdale_platform_bytes_received_total",
         "Bytes of bodies."},
        {Counter::MetricsBytesSent, "gypsumdale_metrics_bytes_sent_total", "Earlier pages."},
        {Counter::ListTooOld, "gypsumdale_list_too_old_total", "Not made: list too old."},
        {Counter::TermOverUnsent, "gypsumdale_term_over_unsent_total", "Ended unsent."},
        {Counter::RequestsTakenBack, "gypsumdale_requests_taken_back_total", "At their term."},
        {Counter::ServicesCutOff, "gypsumdale_services_cut_off_total", "Times cut off."},
        {Counter::RequestsRelayed, "gypsumdale_requests_relayed_total", "Answered by a peer."},
        {Counter::RelaysFailed, "gypsumdale_relays_failed_total", "Failed at a peer."},
        {Counter::RequestsTakenForPeers, "gypsumdale_requests_taken_for_peers_total",
         "Taken for cut-off peers."},
        {Counter::StreamsTakenUp, "gypsumdale_streams_taken_up_total", "Taken up, origin known."},
        {Counter::StreamOriginsUnknown, "gypsumdale_stream_origins_unknown_total",
         "Taken up, origin unknown."},
        {Counter::StreamOriginsDropped, "gypsumdale_stream_origins_dropped_total",
         "Records of origins dropped."},
        {Counter::NoUpstreamOfVersion, "gypsumdale_no_upstream_of_version_total",
         "Lacking their version."},
        {Counter::UpstreamsEnded, "gypsumdale_upstreams_ended_total", "Ended under requests."},
        {Counter::UpstreamEndsUnjudged, "gypsumdale_ends_unjudged_total", "Not judged."},
        {Counter::QuarantineRejections, "gypsumdale_quarantined_total", "Crash upstreams."},
        {Counter::CanaryPlacements, "gypsumdale_canary_placements_total", "On the target."},
        {Counter::CanaryErrors, "gypsumdale_canary_errors_total", "Of the target."},
        {Counter::AnswersTooLarge, "gypsumdale_answers_too_large_total", "Too large."},
        {Counter::ErrorsRetried, "gypsumdale_errors_retried_total", "Tried again."},
        {Counter::ErrorsNotRetried, "gypsumdale_errors_not_retried_total", "No use."},
        {Counter::NoConnection, "gypsumdale_no_connection_total", "No free connection."},
        {Counter::TurnsRejected, "gypsumdale_no_turn_total", "No slot in time."},
        {Counter::BackpressureRejections, "gypsumdale_backpressure_rejections_total",
         "Asked for less."},
        {Counter::RequestsWithoutMemory, "gypsumdale_no_memory_total", "Refused."},
}};
static_assert(isInOrder(counterTexts));

constexpr MetricTexts<Gauge, gaugeCount> gaugeTexts = {{
        {Gauge::Ready, "gypsumdale_ready", "1 while the node takes requests."},
        {Gauge::Draining, "gypsumdale_draining", "1 while it finishes its requests."},
        {Gauge::PlatformUp, "gypsumdale_platform_up", "1 if it answers."},
        {Gauge::ConfigVersion, "gypsumdale_config_version", "Highest in force."},
        {Gauge::RequestsInFlight, "gypsumdale_requests_in_flight", "Being answered."},
        {Gauge::RequestsWaiting, "gypsumdale_requests_waiting", "Wait for an upstream."},
        {Gauge::CallerConnections, "gypsumdale_caller_connections", "Open, of callers."},
        {Gauge::PeersLive, "gypsumdale_peers_live", "Heartbeats arrive."},
        {Gauge::PeersSuspected, "gypsumdale_peers_suspected", "Heartbeats missing."},
        {Gauge::UpstreamsLive, "gypsumdale_upstreams_live", "Take requests."},
        {Gauge::UpstreamsSuspected, "gypsumdale_upstreams_suspected", "Missed probes."},
        {Gauge::UpstreamsLeaving, "gypsumdale_upstreams_leaving", "Upstreams that drain."},
        {Gauge::UpstreamSlots, "gypsumdale_upstream_slots", "Known slots."},
        {Gauge::UpstreamSlotsUsed, "gypsumdale_upstream_slots_used", "Slots used by this node."},
        {Gauge::JobsOwned, "gypsumdale_jobs_owned", "Run here."},
        {Gauge::ClaimShards, "gypsumdale_claim_shards", "Claim shards preferred here."},
        {Gauge::VmsLive, "gypsumdale_vms_live", "VMs that run."},
        {Gauge::CostPerHourMicros, "gypsumdale_cost_per_hour_micros",
         "Hourly price of VMs, millionths."},
        {Gauge::ResidentBytes, "gypsumdale_resident_bytes", "Memory of the process."},
        {Gauge::UpstreamListAgeMillis, "gypsumdale_upstream_list_age_millis",
         "Age of the upstream list."},
        {Gauge::PlacementListAgeMillis, "gypsumdale_placement_list_age_millis",
         "Highest at a placement."},
        {Gauge::QuarantinedRequests, "gypsumdale_quarantined_requests", "Known causes of crashes."},
        {Gauge::RolloutsUnderWay, "gypsumdale_rollouts_under_way", "Under way, where decided."},
        {Gauge::UnevenUpstreams, "gypsumdale_uneven_upstreams", "Of unusual speed."},
        {Gauge::LimitedUpstreams, "gypsumdale_limited_upstreams", "With a rate limit."},
}};
static_assert(isInOrder(gaugeTexts));

} // namespace

std::string_view latencyName(Latency latency)
{
    return textOf(latencyTexts, latency).m_name;
}

std::string_view detail::latencyHelp(Latency latency)
{
    return textOf(latencyTexts, latency).m_help;
}

std::string_view requestCounterName(RequestCounter counter)
{
    return textOf(requestCounterTexts, counter).m_name;
}

std::string_view detail::requestCounterHelp(RequestCounter counter)
{
    return textOf(requestCounterTexts, counter).m_help;
}

std::string_view counterName(Counter counter)
{
    return textOf(counterTexts, counter).m_name;
}

std::string_view detail::counterHelp(Counter counter)
{
    return textOf(counterTexts, counter).m_help;
}

std::string_view gaugeName(Gauge gauge)
{
    return textOf(gaugeTexts, gauge).m_name;
}

std::string_view detail::gaugeHelp(Gauge gauge)
{
    return textOf(gaugeTexts, gauge).m_help;
}

} // namespace gypsumdale
