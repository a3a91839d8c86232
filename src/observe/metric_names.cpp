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
        {Latency::FirstToken, "gypsumdale_time_to_first_token_seconds",
         "Time from arrival to the first token."},
        {Latency::BetweenTokens, "gypsumdale_time_between_tokens_seconds",
         "Time between two tokens of an answer."},
        {Latency::Queueing, "gypsumdale_queueing_seconds", "Time until an upstream is chosen."},
        {Latency::Total, "gypsumdale_request_seconds",
         "Time from arrival to the end of the answer."},
}};
static_assert(isInOrder(latencyTexts));

constexpr MetricTexts<RequestCounter, requestCounterCount> requestCounterTexts = {{
        {RequestCounter::Received, "gypsumdale_requests_received_total", "Requests received."},
        {RequestCounter::Done, "gypsumdale_requests_done_total", "Requests answered whole."},
        {RequestCounter::Refused, "gypsumdale_requests_refused_total",
         "Requests refused at admission."},
        {RequestCounter::Failed, "gypsumdale_requests_failed_total",
         "Requests that failed after admission."},
        {RequestCounter::NotRun, "gypsumdale_requests_not_run_total",
         "Requests answered as not run."},
        {RequestCounter::OutcomeUnknown, "gypsumdale_requests_outcome_unknown_total",
         "Requests of unknown outcome."},
        {RequestCounter::Cancelled, "gypsumdale_requests_cancelled_total",
         "Requests whose caller went away."},
        {RequestCounter::WithinTarget, "gypsumdale_requests_within_target_total",
         "Requests answered in time."},
        {RequestCounter::BeyondTarget, "gypsumdale_requests_beyond_target_total",
         "Requests answered too late."},
        {RequestCounter::PromptTokens, "gypsumdale_prompt_tokens_total",
         "Tokens of prompts processed."},
        {RequestCounter::GeneratedTokens, "gypsumdale_generated_tokens_total",
         "Tokens generated for callers."},
        {RequestCounter::RecomputedTokens, "gypsumdale_recomputed_tokens_total",
         "Tokens computed again."},
}};
static_assert(isInOrder(requestCounterTexts));

constexpr MetricTexts<Counter, counterCount> counterTexts = {{
        {Counter::Retries, "gypsumdale_retries_total", "Attempts after the first."},
        {Counter::RetriesDenied, "gypsumdale_retries_denied_total", "Retries denied by budget."},
        {Counter::StrayEvents, "gypsumdale_stray_events_total",
         "Late or foreign events that were dropped."},
        {Counter::TruncatedAnswers, "gypsumdale_truncated_answers_total",
         "Upstream answers without their end."},
        {Counter::ClaimsWritten, "gypsumdale_claims_written_total", "Claims written."},
        {Counter::ClaimConflicts, "gypsumdale_claim_conflicts_total",
         "Claims that met another's record."},
        {Counter::JobsAccepted, "gypsumdale_jobs_accepted_total", "Durable jobs accepted."},
        {Counter::JobsFinished, "gypsumdale_jobs_finished_total", "Durable jobs finished."},
        {Counter::JobTakeovers, "gypsumdale_job_takeovers_total", "Durable jobs taken over."},
        {Counter::JobsOverruled, "gypsumdale_jobs_overruled_total",
         "Provisional answers replaced."},
        {Counter::Checkpoints, "gypsumdale_checkpoints_total",
         "Checkpoints of durable jobs written."},
        {Counter::CheckpointBytes, "gypsumdale_checkpoint_bytes_total",
         "Bytes of checkpoints written."},
        {Counter::PlatformCalls, "gypsumdale_platform_calls_total", "Calls to the platform."},
        {Counter::PlatformFailures, "gypsumdale_platform_failures_total",
         "Failed calls to the platform."},
        {Counter::PlatformConflicts, "gypsumdale_platform_conflicts_total",
         "Conditional writes refused."},
        {Counter::PlatformLimited, "gypsumdale_platform_limited_total",
         "Calls that the platform rate-limited."},
        {Counter::PeerFramesSent, "gypsumdale_peer_frames_sent_total", "Frames sent to peers."},
        {Counter::PeerFramesReceived, "gypsumdale_peer_frames_received_total",
         "Frames received from peers."},
        {Counter::PeerBytesSent, "gypsumdale_peer_bytes_sent_total", "Bytes sent to peers."},
        {Counter::PeerBytesReceived, "gypsumdale_peer_bytes_received_total",
         "Bytes received from peers."},
        {Counter::PeerFramesRefused, "gypsumdale_peer_frames_refused_total",
         "Malformed or disallowed frames."},
        {Counter::ReclaimNotices, "gypsumdale_reclaim_notices_total", "Reclaim notices received."},
        {Counter::UpstreamsJoined, "gypsumdale_upstreams_joined_total", "Upstreams that joined."},
        {Counter::UpstreamsLeft, "gypsumdale_upstreams_left_total", "Upstreams that left."},
        {Counter::UpstreamsSuspected, "gypsumdale_upstreams_suspected_total",
         "Upstreams suspected."},
        {Counter::OrdersSent, "gypsumdale_orders_sent_total", "Orders sent to engines."},
        {Counter::OrdersRefused, "gypsumdale_orders_refused_total", "Orders that engines refused."},
        {Counter::VmsRented, "gypsumdale_vms_rented_total", "VMs rented."},
        {Counter::VmsRefused, "gypsumdale_vms_refused_total", "VMs that the cloud refused."},
        {Counter::VmsReleased, "gypsumdale_vms_released_total", "VMs given back."},
        {Counter::SettingsAdopted, "gypsumdale_settings_adopted_total",
         "Versions of settings put in force."},
        {Counter::SettingsRefused, "gypsumdale_settings_refused_total",
         "Versions of settings refused."},
        {Counter::OperatorCalls, "gypsumdale_operator_calls_total",
         "Calls to the admin interface."},
        {Counter::OperatorCallsRefused, "gypsumdale_operator_calls_refused_total",
         "Admin calls with a wrong credential."},
        {Counter::LogLinesSuppressed, "gypsumdale_log_lines_suppressed_total",
         "Log lines held back by rate."},
        {Counter::LogLinesLost, "gypsumdale_log_lines_lost_total", "Log lines that were lost."},
        {Counter::ControlProcessorMillis, "gypsumdale_control_processor_milliseconds_total",
         "Processor time, control."},
        {Counter::TrafficProcessorMillis, "gypsumdale_traffic_processor_milliseconds_total",
         "Processor time, traffic."},
        {Counter::NoCapacityInTime, "gypsumdale_no_room_in_time_total",
         "Requests rejected as too late."},
        {Counter::CallerBytesReceived, "gypsumdale_caller_bytes_received_total",
         "Bytes of requests that callers sent."},
        {Counter::CallerBytesSent, "gypsumdale_caller_bytes_sent_total",
         "Bytes of answers sent to callers."},
        {Counter::UpstreamBytesSent, "gypsumdale_upstream_bytes_sent_total",
         "Bytes of bodies sent to upstreams."},
        {Counter::UpstreamConnectsTimedOut, "gypsumdale_upstream_connects_timed_out_total",
         "Connections that timed out."},
        {Counter::UpstreamConnectsRefused, "gypsumdale_upstream_connects_refused_total",
         "Refused connections."},
        {Counter::PlatformBytesReceived, "gypsumdale_platform_bytes_received_total",
         "Body bytes of platform answers."},
        {Counter::MetricsBytesSent, "gypsumdale_metrics_bytes_sent_total",
         "Bytes of earlier pages of metrics."},
        {Counter::ListTooOld, "gypsumdale_list_too_old_total", "Attempts not made: list too old."},
        {Counter::TermOverUnsent, "gypsumdale_term_over_unsent_total",
         "Attempts whose term ended unsent."},
        {Counter::RequestsTakenBack, "gypsumdale_requests_taken_back_total",
         "Requests taken back."},
        {Counter::ServicesCutOff, "gypsumdale_services_cut_off_total",
         "Times that a service was cut off."},
        {Counter::RequestsRelayed, "gypsumdale_requests_relayed_total",
         "Requests answered through a peer."},
        {Counter::RelaysFailed, "gypsumdale_relays_failed_total",
         "Attempts at a peer that failed."},
        {Counter::RequestsTakenForPeers, "gypsumdale_requests_taken_for_peers_total",
         "Requests taken for cut-off peers."},
        {Counter::StreamsTakenUp, "gypsumdale_streams_taken_up_total",
         "Streams taken up, origin known."},
        {Counter::StreamOriginsUnknown, "gypsumdale_stream_origins_unknown_total",
         "Streams taken up, origin unknown."},
        {Counter::StreamOriginsDropped, "gypsumdale_stream_origins_dropped_total",
         "Records of origins dropped."},
        {Counter::NoUpstreamOfVersion, "gypsumdale_no_upstream_of_version_total",
         "Streams without their version."},
        {Counter::UpstreamsEnded, "gypsumdale_upstreams_ended_total", "Upstreams ended."},
        {Counter::UpstreamEndsUnjudged, "gypsumdale_ends_unjudged_total",
         "Broken runs that were not judged."},
        {Counter::QuarantineRejections, "gypsumdale_quarantined_total",
         "Rejected: crashes upstreams."},
        {Counter::CanaryPlacements, "gypsumdale_canary_placements_total",
         "Placements on a roll-out's target."},
        {Counter::CanaryErrors, "gypsumdale_canary_errors_total", "Errors of a roll-out's target."},
        {Counter::TurnsRejected, "gypsumdale_no_turn_total", "Rejected: no slot."},
}};
static_assert(isInOrder(counterTexts));

constexpr MetricTexts<Gauge, gaugeCount> gaugeTexts = {{
        {Gauge::Ready, "gypsumdale_ready", "1 while the node takes requests."},
        {Gauge::Draining, "gypsumdale_draining", "1 while it finishes its requests to stop."},
        {Gauge::PlatformUp, "gypsumdale_platform_up", "1 while the platform answers."},
        {Gauge::ConfigVersion, "gypsumdale_config_version",
         "Highest version of settings in force."},
        {Gauge::RequestsInFlight, "gypsumdale_requests_in_flight",
         "Requests whose answer is not finished."},
        {Gauge::RequestsWaiting, "gypsumdale_requests_waiting",
         "Requests that wait for an upstream."},
        {Gauge::CallerConnections, "gypsumdale_caller_connections", "Open connections of callers."},
        {Gauge::PeersLive, "gypsumdale_peers_live", "Peers whose heartbeats arrive."},
        {Gauge::PeersSuspected, "gypsumdale_peers_suspected",
         "Peers whose heartbeats are missing."},
        {Gauge::UpstreamsLive, "gypsumdale_upstreams_live", "Upstreams that take requests."},
        {Gauge::UpstreamsSuspected, "gypsumdale_upstreams_suspected",
         "Upstreams that missed probes."},
        {Gauge::UpstreamsLeaving, "gypsumdale_upstreams_leaving",
         "Upstreams that finish their requests."},
        {Gauge::UpstreamSlots, "gypsumdale_upstream_slots", "Slots of the upstreams known."},
        {Gauge::UpstreamSlotsUsed, "gypsumdale_upstream_slots_used",
         "Slots in use by requests of this node."},
        {Gauge::JobsOwned, "gypsumdale_jobs_owned", "Durable jobs that this node runs."},
        {Gauge::ClaimShards, "gypsumdale_claim_shards", "Claim shards that this node prefers."},
        {Gauge::VmsLive, "gypsumdale_vms_live", "VMs of the fleet that run."},
        {Gauge::CostPerHourMicros, "gypsumdale_cost_per_hour_micros",
         "Price of running VMs an hour, millionths."},
        {Gauge::ResidentBytes, "gypsumdale_resident_bytes", "Memory of the process."},
        {Gauge::UpstreamListAgeMillis, "gypsumdale_upstream_list_age_millis",
         "Time since the store confirmed the list."},
        {Gauge::PlacementListAgeMillis, "gypsumdale_placement_list_age_millis",
         "Highest list age at a placement."},
        {Gauge::QuarantinedRequests, "gypsumdale_quarantined_requests",
         "Causes of crashes, rejected now or before."},
        {Gauge::RolloutsUnderWay, "gypsumdale_rollouts_under_way",
         "Roll-outs under way, where decided."},
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
