/// What entry VMs on the users' platform tell each other: one message each way.
namespace cpp gypsumdale.entrywire

const i32 PROTOCOL_VERSION = 3

/// What one VM has admitted for a client account.
struct AccountUse {
  1: string account
  /// Everything admitted since the start, in the quota's unit.
  2: i64 admittedTotal
  /// Asked for in a thousand seconds, averaged over the last seconds.
  3: i64 demandPer1000Seconds
  /// The part of that by priority class, the most urgent first; absent while the account stays
  /// within its quota.
  4: optional list<i64> demandByPriority
}

/// What one VM has in flight at an upstream.
struct UpstreamLoad {
  1: string upstream
  2: i32 running
  /// Prompt tokens of requests without a first event yet.
  3: i64 pendingTokens
  /// When the upstream's process started, in wall milliseconds; 0 where it doesn't say. Load of an
  /// earlier start ended with it.
  4: i64 startedAt
}

/// What one VM served of a service whose room is short, and what waits there.
struct ServiceTurns {
  1: string serviceName
  /// Tokens served since the process started, by account.
  2: map<string, i64> served
  3: i32 waiting
  /// Requests in a thousand seconds, averaged over the last seconds.
  4: i64 demandPer1000Seconds
}

/// How fast one VM saw an upstream's process read prompts.
struct UpstreamSpeed {
  1: string upstream
  /// When the upstream's process started, in wall milliseconds; 0 where it doesn't say.
  2: i64 startedAt
  /// Prompt tokens a second.
  3: double tokensPerSecond
  4: i32 samples
}

/// How many requests an upstream's process takes, as the sender heard from it last.
struct UpstreamRateLimit {
  1: string upstream
  /// When the upstream's process started, in wall milliseconds; 0 where it doesn't say.
  2: i64 startedAt
  /// From all VMs together; absent once the upstream names no limit.
  3: optional double requestsPerSecond
  4: i64 ageMillis
}

/// An upstream's process that has said in an answer that it leaves.
struct LeavingUpstream {
  1: string upstream
  /// When the upstream's process started, in wall milliseconds; 0 where it doesn't say.
  2: i64 startedAt
}

/// Requests that began to run in a usage window, by account.
struct UsageWindow {
  1: i64 window
  2: map<string, i64> counts
}

/// What one VM asks a service's engines to read, and how fast it saw one of them read.
struct ServiceReading {
  1: string serviceName
  /// Prompt tokens a second.
  2: double demand
  /// Prompt tokens a second; 0 if too little was seen.
  3: double speed
}

/// What a process counted that its VM no longer tells of.
struct EndedCount {
  /// Its VM's name and its start, joined by a slash.
  1: string process
  2: i64 window
  3: string account
  4: i64 count
}

/// What a VM did at a service within the window of the retry budget: for each second its requests,
/// and retries of them, the last second first.
struct ServiceRetries {
  1: string serviceName
  2: list<i32> requests
  3: list<i32> retries
}

/// What a VM did at all services.
struct RetryHistory {
  1: list<ServiceRetries> services
  /// Milliseconds for which earlier processes of the VM may have done more than this.
  2: i64 incompleteMillis
}

/// What earlier processes of the receiver's VM did, as the sender knows from the last of them.
struct EarlierRetries {
  /// Milliseconds since that one last told it.
  1: i64 ageMillis
  2: RetryHistory history
}

/// A run that had delivered nothing when its upstream ended.
struct SuspectRun {
  /// The request and the parts of its prompt.
  1: list<string> elements
  /// The header of its answer had arrived.
  2: bool hasBegun
}

/// An upstream's process that ended without notice.
struct UpstreamEnd {
  1: string upstream
  2: i64 startedAt
  3: string serviceName
  4: i64 ageMillis
  5: list<SuspectRun> runs
}

/// Asks whether an upstream's process has ended, or tells that others find so too.
struct EndReport {
  1: UpstreamEnd upstreamEnd
  /// Where it was reached.
  2: string address
  3: bool isConfirmed
}

/// What the receiver found there.
const i32 END_UNKNOWN = 0
const i32 END_CONFIRMED = 1
const i32 END_DENIED = 2

struct EndAnswer {
  1: i32 finding
  /// Elements of the runs with which other runs have delivered something.
  2: list<string> proven
  /// Ends at which one of the elements was under way, and what of the receiver's was at this one.
  3: list<UpstreamEnd> ends
}

/// Asks with which elements runs have delivered something lately.
struct ProofQuestion {
  1: string serviceName
  2: list<string> elements
}

struct ProofAnswer {
  1: list<string> proven
}

/// Requests with all these elements are rejected because they crash their upstreams.
struct Quarantine {
  1: string serviceName
  2: list<string> elements
  /// How often they were found to.
  3: i32 times
  /// Milliseconds until one may be tried; negative once they are over.
  4: i64 remainingMillis
  5: bool isLifted
}

struct NodeAddress {
  1: string node
  2: string address
}

/// A moment on the clock of one process.
struct ClockMark {
  /// Its start in wall milliseconds.
  1: i64 process
  /// Milliseconds of its steady clock.
  2: i64 millis
}

/// The receiver's own mark that the sender heard last: the receiver knows by it that the message was
/// sent later than that, and so how old what it tells may be.
struct ClockEcho {
  1: ClockMark mark
  /// Milliseconds between the sender's hearing of the mark and this message.
  2: i64 heldMillis
}

/// Time for which the sender stands for its even share of the rates of a shard's accounts, and which
/// it has credited to no other VM.
struct QuotaCredit {
  1: i32 shard
  2: i64 micros
  /// The sender can't reach the owner that comes before the receiver.
  3: bool isStandIn
}

/// Asks the owner of an account's quota to admit a request.
struct QuotaQuestion {
  1: string account
  2: double ratePerSecond
  3: double burst
  4: double cost
  5: QuotaCredit credit
}

/// What becomes of the request, or who is to be asked.
struct QuotaAnswer {
  1: bool isAdmitted
  /// What the account's bucket holds, and its capacity.
  2: double level
  3: double capacity
  4: i64 retryAfterMillis
  5: i64 refillMillis
  /// The owner, where the receiver isn't. Nothing was decided then.
  6: optional NodeAddress owner
}

/// What the sender believes and has done.
struct EntryDigest {
  1: i32 protocol
  2: string node
  3: string address
  4: string dataCentre
  /// Start time in wall milliseconds: a restart begins its counts anew.
  5: i64 incarnation
  6: i64 configVersion
  7: i64 upstreamRevision
  /// Milliseconds since the sender's upstream list was confirmed by the store.
  8: i64 upstreamAgeMillis
  9: list<AccountUse> accounts
  10: list<UpstreamLoad> loads
  11: list<UsageWindow> usage
  /// The fencing number under which the sender holds the duties; 0 if it doesn't.
  12: i64 dutyFence
  /// Offset of the sender's wall clock to its steady clock's start, for the median.
  13: i64 wallMillis
  /// Some of the VMs that the sender hears, others each time.
  14: list<NodeAddress> peers
  15: bool leaving
  /// Revision of the stored lease that the sender holds, which every renewal raises.
  16: i64 dutyRevision
  /// The store doesn't answer the sender: it depends on its peers for the configuration.
  17: bool storeIsLost
  18: list<ServiceReading> reading
  /// For a receiver that started lately.
  19: list<EndedCount> ended
  /// Where VMs that are cut off from upstreams may send requests; empty where they may not.
  20: string relayAddress
  /// Further requests that the sender can take from such VMs.
  21: i32 relayFree
  /// Services that the sender is cut off from itself.
  22: list<string> cutOffServices
  23: optional RetryHistory retries
  /// For a receiver that started lately.
  24: optional EarlierRetries earlierRetries
  25: list<Quarantine> quarantine
  /// For services whose room is short.
  26: optional list<ServiceTurns> turns
  /// Of a few upstreams, others each time.
  27: optional list<UpstreamSpeed> speeds
  28: optional list<UpstreamRateLimit> rateLimits
  29: optional list<LeavingUpstream> leavingUpstreams
  /// For the shards of accounts that the receiver owns.
  30: optional list<QuotaCredit> quotaCredits
  /// Number of VMs in the registry, as far as the sender knows; 0 if it doesn't.
  31: i32 fleetSize
}

/// What a VM that reads the store tells one of its data centre that doesn't.
struct StoreNews {
  1: string node
  /// Number of the newest change of the upstreams that is told, counted by the sender.
  2: i64 newestChange
  /// The store's revision that the receiver must have reached for the changes to be all it lacks;
  /// -1 if the list is told whole.
  3: i64 sinceRevision
  /// The store's revision of the sender's list.
  4: i64 upstreamRevision
  /// Milliseconds since the store confirmed that list.
  5: i64 upstreamAgeMillis
  /// The upstreams that joined or changed, or all of them.
  6: string upstreamText
  7: list<string> goneUpstreams
  8: i64 configVersion
  /// Milliseconds since the store confirmed that version to be the newest.
  9: i64 configAgeMillis
  /// Milliseconds since the store came back, as the sender saw it; -1 if it was never away.
  10: i64 storeReturnedAgoMillis
  /// Upstreams whose entries can't be read: not to be used, and not to be kept for their return.
  11: list<string> unusableUpstreams
  /// The sender sends that version of the configuration to who asks for it.
  12: bool configIsSent
  /// The stored configuration as the store wrote it, for a receiver that asked.
  13: optional string configText
}

/// Load that a VM has just put on an upstream, told out of turn.
struct LoadNews {
  1: string node
  2: UpstreamLoad load
}

struct StoreNewsTaken {
  /// The receiver lacks more than it was told.
  1: bool needsWholeList
  /// The receiver asks for the configuration.
  2: bool needsConfig
}

/// The text that a request asks for.
const i32 TEXT_CONFIG = 1
const i32 TEXT_UPSTREAMS = 2

/// Asks for a whole text, on a connection that serves for nothing else.
struct TextRequest {
  /// Where the sender is reached.
  1: string address
  2: i32 text
  /// The configuration's version, or the revision of the list of upstreams, that the sender holds: it
  /// asks for a later one.
  3: i64 held
}

/// What becomes of it. The text stands where a digest's would; without one there is none that is
/// later.
struct TextAnswer {
  /// Others are being sent texts: another VM is to be asked.
  1: bool isBusy
  /// Milliseconds since the store confirmed the list of upstreams that is sent.
  2: i64 upstreamAgeMillis
}

/// Where a stream began, which decides where it may go on.
struct StreamOrigin {
  /// The client's attempt that brought the first event.
  1: string request
  2: string serviceName
  /// Empty where it isn't known.
  3: string softwareVersion
  /// The VM that forwarded the first event.
  4: string node
  /// Milliseconds since the first event.
  5: i64 ageMillis
  /// Milliseconds for which the client can still take the stream up.
  6: i64 remainingMillis
  /// Attempts under that id began at different origins.
  7: bool isAmbiguous
}

/// Asks for a stream's origin.
struct OriginQuestion {
  1: string request
}

/// What the receiver of an origin or of a question knows of that stream.
struct OriginAnswer {
  1: optional StreamOrigin origin
}

/// Answers of one kind of request, of one upstream of a roll-out's target or, with an empty
/// upstream, of all others.
struct AnswerCounts {
  1: string route
  2: string upstream
  3: i64 errors
  /// Answers by the bin of their time.
  4: map<i32, i64> times
}

/// What a VM has counted since its start for a service with a roll-out.
struct RolloutReport {
  1: string serviceName
  2: string target
  3: list<AnswerCounts> answers
  /// Requests under way at upstreams of other versions.
  4: i64 runningAtOthers
}

/// An operator's order about a roll-out.
struct RolloutOrder {
  1: string rollout
  2: string action
}

/// Asks the VM that decides on roll-outs on which versions requests may be placed.
struct RolloutQuestion {
  1: string node
  2: i64 incarnation
  3: list<RolloutReport> reports
  4: list<RolloutOrder> orders
}

/// On which versions of a service requests may be placed.
struct VersionAccess {
  1: string serviceName
  2: list<string> open
  3: list<string> closed
  /// The version that gets a part; empty if none does.
  4: string target
  5: double share
  /// The upstreams that get it; empty for all of the version.
  6: list<string> upstreams
}

/// A roll-out, for operators.
struct RolloutView {
  1: string rollout
  2: string serviceName
  3: string target
  4: string stage
  5: string reason
  6: double share
  7: i64 answers
  8: i64 badAnswers
  9: i64 controlAnswers
  10: i64 remainingMillis
  11: bool isPaused
}

struct RolloutAnswer {
  /// Fencing number under which the sender decides; 0 if it doesn't.
  1: i64 fence
  2: list<VersionAccess> services
  3: list<RolloutView> rollouts
  /// Grows with each answer under one fencing number.
  4: i64 sequence
}

/// A message and its answer: both bring a digest, or one brings news of the store and the other its
/// receipt, or one brings news of load and the other nothing, or one asks for a text,
/// or one tells or asks where a stream began, or one tells of an upstream's end and the other what
/// its receiver knows of it, or one asks which elements of requests are harmless, or one tells of
/// requests that are rejected and the other nothing, or one asks on which versions of a service
/// requests may be placed and the other tells, or one asks for a request to be admitted by its
/// account's quota and the other decides.
struct EntryExchange {
  1: optional EntryDigest digest
  /// The stored configuration as the store wrote it, for a receiver that asked. Processes of an
  /// earlier version send it unasked to one that is behind.
  2: optional string configText
  3: optional i64 configVersion
  /// The stored list of upstreams, likewise.
  4: optional string upstreamText
  5: optional i64 upstreamRevision
  6: optional StoreNews news
  7: optional StoreNewsTaken newsTaken
  8: optional LoadNews loadNews
  /// The sender's clock as of this message.
  9: optional ClockMark mark
  10: optional ClockEcho echo
  11: optional TextRequest textRequest
  12: optional TextAnswer textAnswer
  13: optional StreamOrigin streamOrigin
  14: optional OriginQuestion originQuestion
  15: optional OriginAnswer originAnswer
  16: optional EndReport endReport
  17: optional EndAnswer endAnswer
  18: optional list<Quarantine> quarantine
  19: optional ProofQuestion proofQuestion
  20: optional ProofAnswer proofAnswer
  21: optional RolloutQuestion rolloutQuestion
  22: optional RolloutAnswer rolloutAnswer
  23: optional QuotaQuestion quotaQuestion
  24: optional QuotaAnswer quotaAnswer
  /// An owner of quotas that the sender was told can't be reached. The receiver finds out for
  /// itself.
  25: optional string suspectedOwner
}
