#include <gypsumdale/wire/peer_codec.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <peer_constants.h>

#include <algorithm> // clamp
#include <array> // array
#include <cstdlib> // abs
#include <limits> // numeric_limits

namespace gypsumdale::wire {

namespace {

/// Ages are sent as milliseconds in 32 bits; the largest value means "never".
constexpr std::int32_t neverAge = std::numeric_limits<std::int32_t>::max();

bool hasKnownBody(const PeerRequestBody &body)
{
    const auto &set = body.__isset;
    return set.heartbeat || set.configAsk || set.configUpdate || set.configDigest
           || set.leavingNotices || set.noticesAsk || set.jobHold || set.jobRelease
           || set.jobHandOver || set.jobLocate || set.claimForward || set.claimRecord
           || set.decisionsAsk || set.vmListPush || set.jobHoldAnswer || set.jobHandOverAnswer
           || set.versionAsk;
}

bool hasKnownBody(const PeerReplyBody &body)
{
    const auto &set = body.__isset;
    return set.heartbeat || set.configUpdate || set.leavingNotices || set.jobLocated
           || set.claimForwarded || set.decisions || set.accepted || set.refusal
           || set.jobHoldAnswer || set.jobHandOverAnswer || set.versionInForce;
}

template <typename Message>
Result<Message> decodeChecked(std::string_view bytes)
{
    Result<Message> result = decode<Message>(bytes);
    if (!succeeded(result))
        return result;
    const Message &message = valueOf(result);
    if (message.protocol != g_peer_constants.PROTOCOL_VERSION)
        return Error{ErrorId::PeerRefused, "the peer uses a different protocol version"};
    if (!hasKnownBody(message.body))
        return Error{ErrorId::PeerMalformed, "message of unknown kind"};
    return result;
}

/// Clamps a port or count that another process sent to the range of its type.
std::uint16_t portOf(std::int32_t port)
{
    return static_cast<std::uint16_t>(
            std::clamp<std::int32_t>(port, 0, std::numeric_limits<std::uint16_t>::max()));
}

NodeRecord toWire(const NodeIdentity &node)
{
    NodeRecord record;
    record.node = node.m_node.text();
    record.address = node.m_address;
    record.port = node.m_port;
    record.incarnation = node.m_incarnation;
    return record;
}

NodeIdentity fromWire(const NodeRecord &record, const std::string &dataCentre,
                      const std::string &region)
{
    NodeIdentity node;
    node.m_node = NodeId(record.node);
    node.m_dataCentre = DataCentreId(dataCentre);
    node.m_region = RegionId(region);
    node.m_address = record.address;
    node.m_port = portOf(record.port);
    node.m_incarnation = record.incarnation;
    return node;
}

std::vector<NodeRecord> toWire(const std::vector<NodeIdentity> &nodes)
{
    std::vector<NodeRecord> records;
    records.reserve(nodes.size());
    for (const NodeIdentity &node : nodes)
        records.push_back(toWire(node));
    return records;
}

std::vector<NodeIdentity> fromWire(const std::vector<NodeRecord> &records,
                                   const std::string &dataCentre, const std::string &region)
{
    std::vector<NodeIdentity> nodes;
    nodes.reserve(records.size());
    for (const NodeRecord &record : records)
        nodes.push_back(fromWire(record, dataCentre, region));
    return nodes;
}

std::int32_t toWireAge(Duration age)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(millis, 0, neverAge));
}

Duration fromWireAge(std::int32_t millis)
{
    if (millis < 0 || millis == neverAge)
        return Duration::max();
    return std::chrono::milliseconds(millis);
}

UpstreamState stateFromWire(std::int8_t state)
{
    const bool isKnown = state >= 0 && state <= static_cast<std::int8_t>(UpstreamState::Gone);
    return isKnown ? static_cast<UpstreamState>(state) : UpstreamState::Suspect;
}

LeavingCause causeFromWire(std::int8_t cause)
{
    const bool isKnown =
            cause >= 0 && cause <= static_cast<std::int8_t>(LeavingCause::OperatorDrain);
    return isKnown ? static_cast<LeavingCause>(cause) : LeavingCause::VmReclaim;
}

} // namespace

std::string encodeRequest(const PeerRequest &request)
{
    return encode(request);
}

std::string encodeReply(const PeerReply &reply)
{
    return encode(reply);
}

Result<PeerRequest> decodeRequest(std::string_view bytes)
{
    return decodeChecked<PeerRequest>(bytes);
}

Result<PeerReply> decodeReply(std::string_view bytes)
{
    return decodeChecked<PeerReply>(bytes);
}

std::string makeProof(std::string_view credential, const PeerRequest &request)
{
    if (credential.empty())
        return {};
    const std::string text = request.sender + "\n" + std::to_string(request.incarnation) + "\n"
                             + std::to_string(request.sentAtMillis);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), credential.data(), static_cast<int>(credential.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &size);
    return {reinterpret_cast<const char *>(digest.data()), size};
}

bool isProofValid(std::string_view credential, const PeerRequest &request, WallMillis wallNow,
                  std::int64_t skewMillis)
{
    if (credential.empty())
        return true;
    // Without a limit on its age, a proof that was once seen on the wire would be valid forever.
    if (std::abs(wallNow - request.sentAtMillis) > skewMillis)
        return false;
    const std::string expected = makeProof(credential, request);
    return expected.size() == request.proof.size()
           && CRYPTO_memcmp(expected.data(), request.proof.data(), expected.size()) == 0;
}

LeavingNotice toWire(const gypsumdale::LeavingNotice &notice)
{
    LeavingNotice message;
    message.id = notice.m_id;
    message.vm = notice.m_vm.text();
    message.zone = notice.m_zone.text();
    message.upstream = notice.m_upstream.text();
    message.deadlineMillis = notice.m_deadline;
    message.sequence = notice.m_sequence;
    message.cause = static_cast<std::int8_t>(notice.m_cause);
    message.incarnation = notice.m_incarnation;
    return message;
}

gypsumdale::LeavingNotice fromWire(const LeavingNotice &message)
{
    gypsumdale::LeavingNotice notice;
    notice.m_id = message.id;
    notice.m_vm = VmId(message.vm);
    notice.m_zone = DataCentreId(message.zone);
    notice.m_upstream = UpstreamId(message.upstream);
    notice.m_deadline = message.deadlineMillis;
    notice.m_sequence = message.sequence;
    notice.m_cause = causeFromWire(message.cause);
    notice.m_incarnation = message.incarnation;
    return notice;
}

DataCentreSummary toWire(const gypsumdale::DataCentreSummary &summary)
{
    DataCentreSummary message;
    message.dataCentre = summary.m_dataCentre.text();
    message.region = summary.m_region.text();
    message.madeAtMillis = summary.m_madeAt;
    message.nodesDigest = summary.m_nodesDigest;
    if (summary.m_nodes)
        message.__set_nodes(toWire(*summary.m_nodes));
    for (const gypsumdale::ServiceCapacity &capacity : summary.m_services) {
        ServiceCapacity item;
        item.serviceName = capacity.m_service.text();
        item.upstreams = capacity.m_upstreams;
        item.slots = capacity.m_slots;
        item.running = capacity.m_running;
        item.queued = capacity.m_queued;
        message.services.push_back(item);
    }
    return message;
}

gypsumdale::DataCentreSummary fromWire(const DataCentreSummary &message)
{
    gypsumdale::DataCentreSummary summary;
    summary.m_dataCentre = DataCentreId(message.dataCentre);
    summary.m_region = RegionId(message.region);
    summary.m_madeAt = message.madeAtMillis;
    summary.m_nodesDigest = message.nodesDigest;
    if (message.__isset.nodes)
        summary.m_nodes = fromWire(message.nodes, message.dataCentre, message.region);
    for (const ServiceCapacity &item : message.services) {
        summary.m_services.push_back({ServiceId(item.serviceName), item.upstreams, item.slots,
                                      item.running, item.queued});
    }
    return summary;
}

UpstreamObservation toWire(const gypsumdale::UpstreamObservation &observation)
{
    UpstreamObservation message;
    message.upstream = observation.m_key;
    message.incarnation = observation.m_load.m_incarnation;
    message.state = static_cast<std::int8_t>(observation.m_state);
    message.slots = observation.m_load.m_slots;
    message.running = observation.m_load.m_running;
    message.queued = observation.m_load.m_queued;
    message.cachedTokens = observation.m_load.m_cachedTokens;
    message.inFlight = observation.m_totalInFlight;
    message.ageMillis = toWireAge(observation.m_age);
    return message;
}

gypsumdale::UpstreamObservation fromWire(const UpstreamObservation &message)
{
    gypsumdale::UpstreamObservation observation;
    observation.m_key = message.upstream;
    observation.m_state = stateFromWire(message.state);
    observation.m_load = {message.incarnation, message.slots, message.running, message.queued,
                          message.cachedTokens};
    observation.m_totalInFlight = message.inFlight;
    observation.m_age = fromWireAge(message.ageMillis);
    return observation;
}

void writeMembership(const MembershipMessage &message, Heartbeat &heartbeat)
{
    const NodeIdentity &from = message.m_from;
    heartbeat.node = from.m_node.text();
    heartbeat.dataCentre = from.m_dataCentre.text();
    heartbeat.region = from.m_region.text();
    heartbeat.address = from.m_address;
    heartbeat.port = from.m_port;
    heartbeat.incarnation = from.m_incarnation;
    heartbeat.sequence = message.m_sequence;
    heartbeat.draining = message.m_draining;
    heartbeat.nodesDigest = message.m_nodesDigest;
    heartbeat.heldNodesDigest = message.m_receiverNodesDigest;
    if (message.m_nodes)
        heartbeat.__set_nodes(toWire(*message.m_nodes));
    for (const gypsumdale::NodeSuspicion &suspicion : message.m_suspicions) {
        NodeSuspicion item;
        item.node = suspicion.m_node.text();
        item.incarnation = suspicion.m_incarnation;
        item.dead = suspicion.m_dead;
        heartbeat.suspicions.push_back(item);
    }
    for (const gypsumdale::DataCentreSummary &summary : message.m_summaries)
        heartbeat.summaries.push_back(toWire(summary));
}

MembershipMessage readMembership(const Heartbeat &heartbeat)
{
    MembershipMessage message;
    message.m_from.m_node = NodeId(heartbeat.node);
    message.m_from.m_dataCentre = DataCentreId(heartbeat.dataCentre);
    message.m_from.m_region = RegionId(heartbeat.region);
    message.m_from.m_address = heartbeat.address;
    message.m_from.m_port = portOf(heartbeat.port);
    message.m_from.m_incarnation = heartbeat.incarnation;
    message.m_sequence = heartbeat.sequence;
    message.m_draining = heartbeat.draining;
    message.m_nodesDigest = heartbeat.nodesDigest;
    message.m_receiverNodesDigest = heartbeat.heldNodesDigest;
    if (heartbeat.__isset.nodes)
        message.m_nodes = fromWire(heartbeat.nodes, heartbeat.dataCentre, heartbeat.region);
    for (const NodeSuspicion &item : heartbeat.suspicions)
        message.m_suspicions.push_back({NodeId(item.node), item.incarnation, item.dead});
    for (const DataCentreSummary &summary : heartbeat.summaries)
        message.m_summaries.push_back(fromWire(summary));
    return message;
}

} // namespace gypsumdale::wire
