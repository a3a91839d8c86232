// What the processes of the system say to each other. Frames carry one PeerRequest or PeerReply in
// the compact protocol. Upstreams travel as 40-bit keys (see fleet/upstream_key.hpp), records of
// jobs and claims as opaque bytes. Fields are only ever added, with new numbers.
include "jobs.thrift"

namespace cpp gypsumdale.wire

const i16 PROTOCOL_VERSION = 1

// See fleet/config_message.hpp for what each number promises.
struct ConfigDigest {
  1: i64 highestVersion
  2: i64 hash
  3: i64 count
  // UTC milliseconds at which the platform last confirmed this state.
  4: i64 confirmedAsOfMillis
  5: i64 floor
  6: i64 completeTo
  7: bool ready
}

struct NodeRecord {
  1: string node
  2: string address
  3: i32 port
  4: i64 incarnation
  5: bool draining
}

struct NodeSuspicion {
  1: string node
  2: i64 incarnation
  // The sender holds this incarnation for dead; the node itself answers with a higher one.
  3: bool dead
}

struct ServiceCapacity {
  1: string serviceName
  2: i32 upstreams
  3: i32 slots
  4: i32 running
  5: i32 queued
}

struct DataCentreSummary {
  1: string dataCentre
  2: string region
  // Wall milliseconds of the sender; a higher one replaces a lower one.
  3: i64 madeAtMillis
  4: i64 nodesDigest
  // Left out while the receiver is known to have those of nodesDigest.
  5: optional list<NodeRecord> nodes
  6: list<ServiceCapacity> services
}

struct VmEntry {
  1: string vm
  2: string address
  3: string zone
  4: string vmClass
  5: bool reclaimable
  6: bool leaving
  7: string serviceName
  8: i32 port
}

// What a reader of the cloud's VM list tells its data centre.
struct VmListPush {
  1: i64 readAtMillis
  2: bool full
  3: list<VmEntry> entries
  4: list<string> gone
  5: i64 digest
}

struct InFlight {
  1: i64 upstream
  2: i32 count
}

struct MemberTokens {
  1: string member
  2: i64 tokens
}

struct UpstreamObservation {
  1: i64 upstream
  2: i64 incarnation
  // UpstreamState as a number.
  3: i8 state
  4: i32 slots
  5: i32 running
  6: i32 queued
  7: i64 cachedTokens
  8: i32 inFlight
  9: i32 ageMillis
}

struct LeavingNotice {
  // An id that all nodes derive alike, so that copies are recognised.
  1: string id
  2: string vm
  3: string zone
  4: string upstream
  5: i64 deadlineMillis
  6: i64 sequence
  // LeavingCause as a number.
  7: i8 cause
  // The incarnation that leaves, for a drain of one upstream; 0 if it follows from the VM.
  8: i64 incarnation
}

struct Heartbeat {
  1: string node
  2: string dataCentre
  3: string region
  4: i64 incarnation
  5: i64 sequence
  6: bool draining
  7: ConfigDigest config
  8: list<InFlight> inFlight
  9: list<MemberTokens> tokens
  10: list<UpstreamObservation> observations
  11: i64 nodesDigest
  12: optional list<NodeRecord> nodes
  13: list<NodeSuspicion> suspicions
  14: list<DataCentreSummary> summaries
  // Where the differences in this heartbeat end, and how far the sender has those of the receiver:
  // the receiver sends its next differences from there.
  15: i64 upstreamsVersion
  16: i64 upstreamsSeen
  17: i64 tokensVersion
  18: i64 tokensSeen
  19: i64 noticesDigest
  20: string address
  21: i32 port
  // The sender's wall clock, for the skew between nodes.
  22: i64 sentAtMillis
  // The versions above count from this incarnation of the receiver.
  23: i64 receiverIncarnation
  24: i64 inFlightVersion
  25: i64 inFlightSeen
  // Between data centres: the digest of the receiver's nodes that the sender has.
  26: i64 heldNodesDigest
}

struct ConfigObject {
  // SettingsKind as a number.
  1: i8 kind
  2: string name
  3: i64 version
  4: binary body
  5: bool deleted
}

// A digest with its sender, on its own instead of in a heartbeat.
struct ConfigDigestFrom {
  1: string node
  2: string dataCentre
  3: i64 incarnation
  4: ConfigDigest digest
}

struct ConfigAsk {
  1: string node
  2: string dataCentre
  3: i64 incarnation
  4: i64 fromVersion
}

struct ConfigUpdate {
  1: ConfigDigestFrom sender
  2: i64 fromVersion
  3: i64 upToVersion
  4: list<ConfigObject> objects
  5: string answerTo
  6: i64 answerToIncarnation
}

struct LeavingNotices {
  1: list<LeavingNotice> notices
}

struct NoticesAsk {
}

// Where a durable job is: asked by an entry VM that does not have it.
struct JobLocate {
  1: string job
}

struct JobLocated {
  1: string job
  2: bool known
  // The node that owns it, as far as the answering one knows.
  3: string owner
  // Where the answering node takes callers' requests.
  4: string callerAddress
  5: i32 callerPort
}

// A keyed request that the receiver shall claim for the sender, who alone may run it.
struct ClaimForward {
  1: string member
  2: string key
  3: binary bodyDigest
  4: string attempt
  5: i64 timeLeftMillis
}

enum ClaimVerdict {
  Granted = 1
  AlreadyDone = 2
  InProgressOrUnknown = 3
  KeyReused = 4
  NotRun = 5
}

struct ClaimForwarded {
  1: ClaimVerdict verdict
  2: string attempt
  // For AlreadyDone.
  3: i32 status
  4: string contentType
  5: optional binary body
  // For NotRun: NotRunReason as a number, and when to come back.
  6: i8 reason
  7: i64 retryAfterMillis
}

// The outcome of a forwarded claim, for the log of its shard.
struct ClaimRecordForward {
  1: i32 shard
  2: binary record
}

struct DecisionsAsk {
  1: optional string request
  2: optional string upstream
}

struct Decision {
  1: i64 atMillis
  2: string node
  3: string what
  4: string why
  5: string detail
}

struct Decisions {
  1: list<Decision> events
}

struct Accepted {
}

struct Refusal {
  // ErrorId as a number.
  1: i32 error
  2: string text
}

// Which version of a configuration object is in force at the receiver.
struct VersionAsk {
  1: string name
}

struct VersionInForce {
  1: i64 version
}

union PeerRequestBody {
  1: Heartbeat heartbeat
  2: ConfigAsk configAsk
  3: ConfigUpdate configUpdate
  4: LeavingNotices leavingNotices
  5: NoticesAsk noticesAsk
  6: jobs.JobHold jobHold
  7: jobs.JobRelease jobRelease
  8: jobs.JobHandOver jobHandOver
  9: JobLocate jobLocate
  10: ClaimForward claimForward
  11: DecisionsAsk decisionsAsk
  12: VmListPush vmListPush
  13: ConfigDigestFrom configDigest
  14: ClaimRecordForward claimRecord
  // Answers that come later than the message they answer.
  15: jobs.JobHoldAnswer jobHoldAnswer
  16: jobs.JobHandOverAnswer jobHandOverAnswer
  17: VersionAsk versionAsk
}

union PeerReplyBody {
  1: Heartbeat heartbeat
  2: ConfigUpdate configUpdate
  3: LeavingNotices leavingNotices
  4: JobLocated jobLocated
  5: ClaimForwarded claimForwarded
  6: Decisions decisions
  7: Accepted accepted
  8: Refusal refusal
  9: jobs.JobHoldAnswer jobHoldAnswer
  10: jobs.JobHandOverAnswer jobHandOverAnswer
  11: VersionInForce versionInForce
}

struct PeerRequest {
  1: i16 protocol = PROTOCOL_VERSION
  2: string sender
  3: i64 incarnation
  // Proof that the sender holds the peers' credential, over the sender, its incarnation and the
  // time; empty where settings ask for none.
  4: binary proof
  5: i64 sentAtMillis
  6: PeerRequestBody body
}

struct PeerReply {
  1: i16 protocol = PROTOCOL_VERSION
  2: string sender
  3: i64 incarnation
  4: PeerReplyBody body
}
