#include <gypsumdale/fleet/rendezvous.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <serving/placement_cost.hpp>
#include <xxhash.h>

#include <algorithm> // clamp, max, min
#include <cmath> // log, pow
#include <limits> // numeric_limits
#include <map> // multimap
#include <utility> // exchange, move

namespace gypsumdale {

namespace {

/// Cost of reading a shared token again, as tokens of queueing that are accepted to avoid it: it is
/// paid for in addition to the time it takes.
constexpr double rereadCost = 3;
/// Cost of leaving the own data centre, as prompt tokens: a constant for the latency, and a part
/// per byte, as traffic between data centres is paid for.
constexpr double remoteCostTokens = 500;
constexpr double remoteCostPerByte = 0.25;
/// A plain service's request stays in its data centre unless its upstreams there are busy.
constexpr double plainRemoteCost = 6000;
/// Number of engines compared in addition to the home while reports are old. Two random choices are
/// known to balance load nearly as well as comparing all; a third one covers other data centres.
constexpr std::size_t localSampleSize = 2;
constexpr std::size_t sampleSize = 3;
/// Numbers for a prompt that is announced to peers at once: the engine with the fewest streams
/// delays them least, and no other VM sends its long prompt there too.
constexpr std::size_t announcedLocalSampleSize = 8;
constexpr std::size_t announcedSampleSize = 12;
/// Factor by which a plain service's upstream in another data centre is less likely to be drawn,
/// because of latency and paid traffic.
constexpr double remoteDrawFactor = 1.5;
/// Cost that rules out an upstream that failed while another is available.
constexpr double avoidedCost = 1e9;

/// Weight of one result in the moving average of failures: about the last ten count.
constexpr double failureWeight = 0.1;
/// Failure rate from which an upstream is avoided. A plain service itself fails one request in
/// seven, so the limit is well above that.
constexpr double failureLimit = 0.35;
constexpr int failuresInRowLimit = 2;
constexpr Duration minAvoidTime = std::chrono::milliseconds(500);
constexpr Duration maxAvoidTime = std::chrono::seconds(4);

/// Returns the upstream that owns an affinity key: one over all data centres, as reading a shared
/// part again in each of them costs more than the bytes of a request that is sent there.
const PooledUpstream *findHome(const std::string &key,
                               const std::vector<PooledUpstreamPointer> &candidates, TimePoint now)
{
    const PooledUpstream *home = nullptr;
    std::uint64_t best = 0;
    for (const PooledUpstreamPointer &candidate : candidates) {
        if (candidate->m_avoidUntil > now)
            continue;
        const std::uint64_t weight = rendezvousWeight(key, NodeId(candidate->m_record.m_id.text()));
        if (!home || weight > best) {
            home = candidate.get();
            best = weight;
        }
    }
    return home;
}

bool isCandidate(const PooledUpstream &upstream, const PlacementRequest &request)
{
    const UpstreamRecord &record = upstream.m_record;
    return record.m_service == request.m_service && !record.m_isDraining
           && !request.m_excluded.contains(record.m_id)
           && (!request.m_versions || request.m_versions->allows(record));
}

/// Returns whether an upstream is known to run a software version.
bool runsVersion(const PooledUpstream &upstream, const SoftwareVersion &version)
{
    return !version.isEmpty() && upstream.m_record.m_softwareVersion == version;
}

PooledUpstreamPointer selectCheapest(const std::vector<PooledUpstreamPointer> &candidates,
                                     const PooledUpstream *home,
                                     const PlacementCostContext &context)
{
    const PlacementRequest &request = context.m_request;
    const bool isPlain = context.isPlain();
    const double bytes = static_cast<double>(request.m_bodyBytes);
    const double remoteCost =
            isPlain ? plainRemoteCost : remoteCostTokens + remoteCostPerByte * bytes;
    PooledUpstreamPointer best;
    double bestCost = std::numeric_limits<double>::max();
    for (const PooledUpstreamPointer &candidate : candidates) {
        double cost = loadCost(*candidate, context);
        const bool isHome = candidate.get() == home;
        if (!isHome)
            cost += rereadCost * static_cast<double>(request.m_sharedTokens);
        const std::int64_t cachedTokens = isHome ? request.m_sharedTokens : 0;
        const auto ownTokens = static_cast<double>(request.m_promptTokens - cachedTokens);
        cost += ownPrefillCost(*candidate, ownTokens) + pauseCost(*candidate, ownTokens, context);
        if (candidate->m_record.m_dataCentre != request.m_dataCentre)
            cost += remoteCost;
        if (candidate->m_avoidUntil > context.m_now)
            cost += avoidedCost;
        if (cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;
}

/// Returns a number above 0 and up to 1 that is specific to the upstream and the request.
double drawFor(const PooledUpstream &upstream, const PlacementRequest &request)
{
    const std::string &id = upstream.m_record.m_id.text();
    const auto drawn = XXH3_64bits_withSeed(id.data(), id.size(), request.m_draw);
    constexpr double range = 18446744073709551616.0;
    return (static_cast<double>(drawn) + 1) / range;
}

/// Draws an upstream of a plain service with a probability inversely proportional to its load, so
/// that reports count, but not all VMs select the same upstream at once.
PooledUpstreamPointer drawByLoad(const std::vector<PooledUpstreamPointer> &candidates,
                                 const PlacementRequest &request, TimePoint now)
{
    PooledUpstreamPointer best;
    double least = std::numeric_limits<double>::max();
    for (const PooledUpstreamPointer &candidate : candidates) {
        const int running = candidate->running();
        // The minimum of exponential draws falls on each upstream in proportion to its rate.
        double drawn = -std::log(drawFor(*candidate, request)) * (1 + std::max(0, running));
        if (candidate->m_record.m_dataCentre != request.m_dataCentre)
            drawn *= remoteDrawFactor;
        if (candidate->m_avoidUntil > now)
            drawn += avoidedCost;
        if (drawn < least) {
            best = candidate;
            least = drawn;
        }
    }
    return best;
}

/// Returns the rank of an engine among the random candidates, from 0 to 1 and lowest first. An
/// engine is ranked first in proportion to its speed: among three equally likely ones there often
/// would be no fast engine, and slow ones would be overloaded while fast ones idle.
double sampleRank(const PooledUpstream &upstream, const PlacementRequest &request)
{
    const double drawn = drawFor(upstream, request);
    const double relative = upstream.m_speed.m_relative;
    return relative == 1 ? drawn : 1 - std::pow(1 - drawn, 1 / relative);
}

void takeFirst(const std::multimap<double, PooledUpstreamPointer> &drawn, std::size_t most,
               std::vector<PooledUpstreamPointer> &taken)
{
    for (const auto &[rank, upstream] : drawn) {
        if (most-- == 0)
            return;
        taken.push_back(upstream);
    }
}

/// Returns the home and a few random engines, more of them in the own data centre.
std::vector<PooledUpstreamPointer> sampleCandidates(std::vector<PooledUpstreamPointer> candidates,
                                                    const PooledUpstream *home,
                                                    const PlacementRequest &request, TimePoint now)
{
    std::multimap<double, PooledUpstreamPointer> local;
    std::multimap<double, PooledUpstreamPointer> remote;
    std::vector<PooledUpstreamPointer> sample;
    for (PooledUpstreamPointer &candidate : candidates) {
        if (candidate.get() == home)
            sample.push_back(candidate);
        const bool isLocal = candidate->m_record.m_dataCentre == request.m_dataCentre;
        const double avoided = candidate->m_avoidUntil > now ? avoidedCost : 0;
        const double drawn = sampleRank(*candidate, request) + avoided;
        (isLocal ? local : remote).emplace(drawn, std::move(candidate));
    }
    const std::size_t localCount = std::min(
            local.size(), request.m_isAnnounced ? announcedLocalSampleSize : localSampleSize);
    const std::size_t totalCount = request.m_isAnnounced ? announcedSampleSize : sampleSize;
    takeFirst(local, localCount, sample);
    takeFirst(remote, totalCount - localCount, sample);
    return sample;
}

} // namespace

double PooledUpstream::unreadTokens(double speed, TimePoint now) const
{
    // Engines read one prompt after the other.
    double unread = 0;
    TimePoint readUntil{};
    for (const ReportedPrompts &report : m_peerPrompts) {
        unread = std::max(0.0, unread - speed * toSeconds(report.m_at - readUntil));
        unread += static_cast<double>(report.m_tokens);
        readUntil = report.m_at;
    }
    unread = std::max(0.0, unread - speed * toSeconds(now - readUntil));
    return unread + static_cast<double>(m_own.m_pendingTokens);
}

namespace {

bool isLeaving(const PooledUpstream &upstream)
{
    return upstream.m_isGone || upstream.m_record.m_isDraining;
}

/// Notifies all holders of an upstream that it leaves or is gone.
void notifyLeaving(PooledUpstream &upstream)
{
    // A listener may remove itself.
    const auto listeners = std::exchange(upstream.m_onLeaving, {});
    for (const auto &[holder, listener] : listeners)
        listener();
}

/// Records whether an upstream leaves, after its state has changed. The entry of one that vanished
/// may have been retained for a time, so the moment of its departure is unknown.
void updateLeaving(PooledUpstream &upstream, bool wasLeaving,
                   std::optional<TimePoint> lastConfirmedAt)
{
    if (!isLeaving(upstream)) {
        upstream.m_notLeavingAt.reset();
        return;
    }
    if (wasLeaving)
        return;
    if (!upstream.m_isGone)
        upstream.m_notLeavingAt = lastConfirmedAt;
    notifyLeaving(upstream);
}

} // namespace

void UpstreamPool::update(const std::map<UpstreamId, UpstreamRecord> &upstreams,
                          std::int64_t revision, std::optional<TimePoint> lastConfirmedAt)
{
    m_revision = revision;
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        if (upstreams.contains(entry->first)) {
            ++entry;
            continue;
        }
        const bool wasLeaving = isLeaving(*entry->second);
        entry->second->m_isGone = true;
        updateLeaving(*entry->second, wasLeaving, lastConfirmedAt);
        m_departed[entry->first] = entry->second;
        entry = m_upstreams.erase(entry);
    }
    for (const auto &[id, record] : upstreams) {
        PooledUpstreamPointer pooled = pooledFor(record);
        const bool wasLeaving = isLeaving(*pooled);
        const SoftwareVersion knownVersion = pooled->m_record.m_softwareVersion;
        pooled->m_record = record;
        if (record.m_softwareVersion.isEmpty())
            pooled->m_record.m_softwareVersion = knownVersion;
        pooled->m_isGone = false;
        updateLeaving(*pooled, wasLeaving, lastConfirmedAt);
        m_upstreams[id] = std::move(pooled);
    }
    std::erase_if(m_departed, [this](const auto &entry) {
        return entry.second.expired() || m_upstreams.contains(entry.first);
    });
    sumPeerLoads();
}

namespace {

/// Notifies all holders of an upstream's process that another one has taken its id.
void markReplaced(PooledUpstream &upstream, std::int64_t startedAt)
{
    upstream.m_isGone = true;
    upstream.m_isReplaced = true;
    notifyLeaving(upstream);
    // A listener may remove itself.
    const auto listeners = std::exchange(upstream.m_onReplaced, {});
    for (const auto &[holder, listener] : listeners)
        listener(startedAt);
}

/// Returns whether a record may describe the same process as an earlier one. A process doesn't
/// change its software, and a list from a peer of an earlier release names no version.
bool isSameProcess(const UpstreamRecord &known, const UpstreamRecord &record)
{
    const SoftwareVersion &version = record.m_softwareVersion;
    const bool hasOtherVersion = !version.isEmpty() && !known.m_softwareVersion.isEmpty()
                                 && version != known.m_softwareVersion;
    return known.m_startedAt == record.m_startedAt && !hasOtherVersion;
}

} // namespace

/// Returns the process that a record describes: the known one, one that left and is still held, or
/// a new one.
PooledUpstreamPointer UpstreamPool::pooledFor(const UpstreamRecord &record)
{
    PooledUpstreamPointer known;
    if (const auto present = m_upstreams.find(record.m_id); present != m_upstreams.end())
        known = present->second;
    else if (const auto left = m_departed.find(record.m_id); left != m_departed.end())
        known = left->second.lock();
    if (known && isSameProcess(known->m_record, record))
        return known;
    if (known)
        markReplaced(*known, record.m_startedAt);
    PooledUpstreamPointer added = std::make_shared<PooledUpstream>();
    if (m_onRequestEnded)
        added->m_onRequestEnded = [this, service = record.m_service] {
            m_onRequestEnded(service);
        };
    return added;
}

UpstreamPool::Candidates UpstreamPool::candidatesFor(const PlacementRequest &request) const
{
    Candidates candidates;
    std::size_t retained = 0;
    for (const auto &[id, pooled] : m_upstreams) {
        const bool saysLeaving =
                !m_backpressure.isEmpty() && m_backpressure.isLeaving(pooled->process());
        if (saysLeaving || !isCandidate(*pooled, request))
            continue;
        candidates.push_back(pooled);
        retained += pooled->m_record.m_isRetained ? 1 : 0;
    }
    if (!usesRetained(retained, candidates.size())) {
        std::erase_if(candidates, [](const PooledUpstreamPointer &candidate) {
            return candidate->m_record.m_isRetained;
        });
    }
    if (request.m_softwareVersion) {
        std::erase_if(candidates, [&request](const PooledUpstreamPointer &candidate) {
            return !runsVersion(*candidate, *request.m_softwareVersion);
        });
    }
    return candidates;
}

std::vector<PooledUpstreamPointer> UpstreamPool::placeable(const ServiceId &service) const
{
    PlacementRequest request;
    request.m_service = service;
    return candidatesFor(request);
}

std::set<UpstreamId> UpstreamPool::silentUpstreams(const ServiceId &service, Duration atLeast,
                                                   TimePoint now) const
{
    std::set<UpstreamId> silent;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream->m_record.m_service == service && upstream->silence(now) >= atLeast)
            silent.insert(id);
    }
    return silent;
}

void UpstreamPool::clearFailures(const ServiceId &service)
{
    for (auto &[id, upstream] : m_upstreams) {
        if (upstream->m_record.m_service != service)
            continue;
        upstream->m_failureShare = 0;
        upstream->m_failuresInRow = 0;
        upstream->m_avoidUntil = {};
    }
}

PooledUpstreamPointer UpstreamPool::choose(const PlacementRequest &request, TimePoint now) const
{
    Candidates candidates = candidatesFor(request);
    keepAccepting(candidates, now);
    keepConnectable(candidates, now);
    const bool isPlain = request.m_promptTokens == 0;
    if (m_areReportsOld && isPlain)
        return drawByLoad(candidates, request, now);
    const PooledUpstream *home = nullptr;
    if (!request.m_affinityKey.empty())
        home = findHome(request.m_affinityKey, candidates, now);
    if (m_areReportsOld)
        candidates = sampleCandidates(std::move(candidates), home, request, now);
    return selectCheapest(candidates, home, PlacementCostContext{request, m_areReportsOld, now});
}

std::vector<EngineBacklog> UpstreamPool::backlogs(const PlacementRequest &request,
                                                  TimePoint now) const
{
    Candidates candidates = candidatesFor(request);
    keepAccepting(candidates, now);
    std::vector<EngineBacklog> backlogs;
    for (const PooledUpstreamPointer &candidate : candidates) {
        if (candidate->m_avoidUntil <= now)
            backlogs.push_back({candidate->pendingTokens(), candidate->m_speed});
    }
    return backlogs;
}

std::optional<std::int64_t> UpstreamPool::minPendingTokens(const PlacementRequest &request,
                                                           TimePoint now) const
{
    std::optional<std::int64_t> least;
    for (const EngineBacklog &backlog : backlogs(request, now))
        least = std::min(least.value_or(backlog.m_pendingTokens), backlog.m_pendingTokens);
    return least;
}

void UpstreamPool::setSpeeds(const std::map<UpstreamId, PlacementSpeed> &speeds)
{
    for (auto &[id, pooled] : m_upstreams) {
        const auto found = speeds.find(id);
        pooled->m_speed = found == speeds.end() ? PlacementSpeed() : found->second;
    }
}

void UpstreamPool::note(PooledUpstream &upstream, AttemptResult result, TimePoint now)
{
    const bool isFailure = result == AttemptResult::Broken || result == AttemptResult::ServerError;
    upstream.m_failureShare += failureWeight * ((isFailure ? 1.0 : 0.0) - upstream.m_failureShare);
    if (result == AttemptResult::Good) {
        upstream.m_failuresInRow = 0;
        return;
    }
    if (result == AttemptResult::Refused) {
        upstream.m_avoidUntil = std::max(upstream.m_avoidUntil, now + minAvoidTime / 5);
        return;
    }
    ++upstream.m_failuresInRow;
    const bool isBroken =
            result == AttemptResult::Broken && upstream.m_failuresInRow >= failuresInRowLimit;
    if (!isBroken && upstream.m_failureShare < failureLimit)
        return;
    const int doublings = std::clamp(upstream.m_failuresInRow - failuresInRowLimit, 0, 3);
    const Duration avoid = std::min(minAvoidTime * (1 << doublings), maxAvoidTime);
    upstream.m_avoidUntil = now + avoid;
}

} // namespace gypsumdale
