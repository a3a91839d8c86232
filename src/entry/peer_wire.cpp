#include <gypsumdale/entry/peer_wire.hpp>

#include <entry/wire_limits.hpp>
#include <entry_types.h>

#include <fmt/format.h>

#include <algorithm> // clamp, max, min
#include <charconv> // from_chars
#include <cmath> // llround
#include <cstddef> // ptrdiff_t, size_t
#include <iterator> // next, prev, ssize

namespace gypsumdale {

namespace {

/// Number of usage windows in a message: the current one, and those whose report may still be
/// pending.
constexpr std::ptrdiff_t windowsPerMessage = 4;
/// Number of upstream speeds in a message: a VM reports those of its data centre within seconds.
constexpr std::size_t speedsPerMessage = 4;
/// Demand is sent as an integer in units of 1/demandUnit requests per second.
constexpr double demandUnit = 1000;
/// More seconds than the window of a retry budget has.
constexpr std::int64_t maxRetrySeconds = 120;

void fillUsage(const std::map<WindowNumber, WindowCounts> &usage, entrywire::EntryDigest &digest)
{
    const auto first =
            std::prev(usage.end(), std::min<std::ptrdiff_t>(windowsPerMessage, std::ssize(usage)));
    for (auto entry = first; entry != usage.end(); ++entry) {
        const auto &[window, counts] = *entry;
        auto &encoded = digest.usage.emplace_back();
        encoded.window = window;
        for (const auto &[account, count] : counts)
            encoded.counts.emplace(account.text(), count);
    }
}

void fillTurns(const std::map<ServiceId, ServiceTurnsReport> &turns, entrywire::EntryDigest &digest)
{
    if (turns.empty())
        return;
    std::vector<entrywire::ServiceTurns> encoded;
    for (const auto &[service, report] : turns) {
        auto &entry = encoded.emplace_back();
        entry.serviceName = service.text();
        for (const auto &[account, tokens] : report.m_served)
            entry.served.emplace(account.text(), static_cast<std::int64_t>(tokens));
        entry.waiting = static_cast<std::int32_t>(report.m_waiting);
        entry.demandPer1000Seconds = std::llround(report.m_demandPerSecond * demandUnit);
    }
    digest.__set_turns(encoded);
}

/// Returns what a peer tells of services that are short of slots. Counts that can't be meant are
/// taken as 0.
std::map<ServiceId, ServiceTurnsReport> turnsOf(const entrywire::EntryDigest &digest)
{
    std::map<ServiceId, ServiceTurnsReport> turns;
    for (const auto &entry : digest.turns) {
        ServiceTurnsReport &report = turns[ServiceId(entry.serviceName)];
        for (const auto &[account, tokens] : entry.served)
            report.m_served[MemberId(account)] =
                    static_cast<std::uint64_t>(std::max<std::int64_t>(tokens, 0));
        report.m_waiting = std::max(entry.waiting, 0);
        report.m_demandPerSecond =
                static_cast<double>(std::max<std::int64_t>(entry.demandPer1000Seconds, 0))
                / demandUnit;
    }
    return turns;
}

} // namespace

Endpoint endpointOf(const Address &address)
{
    return {address.m_ip, address.m_port};
}

Endpoint endpointOf(const std::string &address)
{
    Endpoint endpoint;
    const std::size_t colon = address.rfind(':');
    endpoint.m_address = address.substr(0, colon);
    if (colon != std::string::npos)
        std::from_chars(address.data() + colon + 1, address.data() + address.size(),
                        endpoint.m_port);
    return endpoint;
}

std::string textOf(const Address &address)
{
    return fmt::format("{}:{}", address.m_ip, address.m_port);
}

entrywire::UpstreamLoad encodeLoad(const UpstreamId &upstream, const InFlightLoad &load)
{
    entrywire::UpstreamLoad encoded;
    encoded.upstream = upstream.text();
    encoded.running = load.m_running;
    encoded.pendingTokens = load.m_pendingTokens;
    encoded.startedAt = load.m_startedAt;
    return encoded;
}

InFlightLoad loadOf(const entrywire::UpstreamLoad &encoded)
{
    return {encoded.running, encoded.pendingTokens, encoded.startedAt};
}

void fillReport(const TrafficReport &report, entrywire::EntryDigest &digest)
{
    for (const auto &[account, use] : report.m_accounts) {
        auto &entry = digest.accounts.emplace_back();
        entry.account = account.text();
        entry.admittedTotal = std::llround(use.m_admittedTotal);
        entry.demandPer1000Seconds = std::llround(use.m_demandPerSecond * demandUnit);
    }
    for (const auto &[upstream, load] : report.m_loads)
        digest.loads.push_back(encodeLoad(upstream, load));
    for (const auto &[service, rate] : report.m_ownPrefill) {
        // Requests of services without engines have no prompt to read. A peer takes missing entries
        // as 0.
        if (rate.m_demand == 0 && rate.m_speed == 0)
            continue;
        auto &entry = digest.reading.emplace_back();
        entry.serviceName = service.text();
        entry.demand = rate.m_demand;
        entry.speed = rate.m_speed;
    }
    fillUsage(report.m_usage, digest);
    fillTurns(report.m_turns, digest);
    digest.relayFree = report.m_relay.m_free;
    for (const ServiceId &service : report.m_relay.m_cutOffServices)
        digest.cutOffServices.push_back(service.text());
}

void fillSpeeds(const ObservedSpeeds &speeds, std::size_t first, entrywire::EntryDigest &digest)
{
    if (speeds.empty())
        return;
    digest.__isset.speeds = true;
    auto entry = std::next(speeds.begin(), static_cast<std::ptrdiff_t>(first % speeds.size()));
    for (std::size_t count = std::min(speeds.size(), speedsPerMessage); count-- > 0;) {
        const auto &[upstream, speed] = *entry;
        auto &encoded = digest.speeds.emplace_back();
        encoded.upstream = upstream.text();
        encoded.startedAt = speed.m_startedAt;
        encoded.tokensPerSecond = speed.m_tokensPerSecond;
        encoded.samples = speed.m_samples;
        if (++entry == speeds.end())
            entry = speeds.begin();
    }
}

void fillEnded(const std::vector<EndedProcessUsage> &ended, const std::string &receiver,
               entrywire::EntryDigest &digest)
{
    for (const EndedProcessUsage &process : ended) {
        if (process.m_process == receiver)
            continue;
        for (const auto &[account, count] : process.m_counts) {
            auto &encoded = digest.ended.emplace_back();
            encoded.process = process.m_process;
            encoded.window = process.m_window;
            encoded.account = account.text();
            encoded.count = count;
        }
    }
}

namespace {

RelayOffer relayOfferOf(const entrywire::EntryDigest &digest)
{
    RelayOffer offer;
    offer.m_dataCentre = DataCentreId(digest.dataCentre);
    offer.m_free = digest.relayFree;
    const Endpoint relay = endpointOf(digest.relayAddress);
    offer.m_port = relay.m_port;
    offer.m_ip = relay.m_port == 0 ? endpointOf(digest.address).m_address : relay.m_address;
    for (const std::string &service : digest.cutOffServices)
        offer.m_cutOffServices.insert(ServiceId(service));
    return offer;
}

} // namespace

PeerReport decodeReport(const entrywire::EntryDigest &digest, WallMillis ownWall)
{
    PeerReport report;
    report.m_node = digest.node;
    report.m_incarnation = digest.incarnation;
    report.m_wallOffset = digest.wallMillis - ownWall;
    report.m_relay = relayOfferOf(digest);
    for (const auto &use : digest.accounts) {
        report.m_accounts[AccountId(use.account)] = {static_cast<double>(use.admittedTotal),
                                                     static_cast<double>(use.demandPer1000Seconds)
                                                             / demandUnit};
    }
    for (const auto &load : digest.loads)
        report.m_loads[UpstreamId(load.upstream)] = loadOf(load);
    for (const auto &reading : digest.reading)
        report.m_reading[ServiceId(reading.serviceName)] = {reading.demand, reading.speed};
    for (const auto &speed : digest.speeds)
        report.m_speeds[UpstreamId(speed.upstream)] = {speed.startedAt, speed.tokensPerSecond,
                                                       speed.samples};
    for (const auto &usage : digest.usage) {
        for (const auto &[account, count] : usage.counts)
            report.m_usage[usage.window][AccountId(account)] = count;
    }
    report.m_turns = turnsOf(digest);
    for (const auto &ended : digest.ended)
        report.m_endedUsage.push_back(
                {ended.process, ended.window, {{AccountId(ended.account), ended.count}}});
    return report;
}

PeerState stateOf(const entrywire::EntryDigest &digest)
{
    PeerState state;
    state.m_dataCentre = DataCentreId(digest.dataCentre);
    state.m_incarnation = digest.incarnation;
    state.m_configVersion = digest.configVersion;
    state.m_upstreamRevision = digest.upstreamRevision;
    state.m_isUpstreamListStale = digest.upstreamAgeMillis < 0;
    state.m_isStoreLost = digest.storeIsLost;
    state.m_isLeaving = digest.leaving;
    return state;
}

namespace {

/// Adds a slot's counts to those of its second.
void addSlot(const RetrySlot &slot, TimePoint now, entrywire::ServiceRetries &entry)
{
    const std::int64_t seconds = std::max<std::int64_t>((now - slot.m_at) / retrySlotLength, 0);
    const auto index = static_cast<std::size_t>(std::min(seconds, maxRetrySeconds - 1));
    if (entry.requests.size() <= index) {
        entry.requests.resize(index + 1);
        entry.retries.resize(index + 1);
    }
    entry.requests[index] += static_cast<std::int32_t>(slot.m_counts.m_requests);
    entry.retries[index] += static_cast<std::int32_t>(slot.m_counts.m_retries);
}

} // namespace

entrywire::RetryHistory encodeRetries(const RetryHistory &history, TimePoint now)
{
    entrywire::RetryHistory encoded;
    encoded.incompleteMillis =
            std::max<std::int64_t>(toWholeMillis(history.m_incompleteUntil - now), 0);
    for (const auto &[service, slots] : history.m_slots) {
        auto &entry = encoded.services.emplace_back();
        entry.serviceName = service.text();
        for (const RetrySlot &slot : slots)
            addSlot(slot, now, entry);
    }
    return encoded;
}

RetryHistory decodeRetries(const entrywire::RetryHistory &history, TimePoint now)
{
    RetryHistory decoded;
    decoded.m_incompleteUntil = now + withinLimit(history.incompleteMillis);
    for (const auto &entry : history.services) {
        std::vector<RetrySlot> &slots = decoded.m_slots[ServiceId(entry.serviceName)];
        const std::size_t seconds = std::min({entry.requests.size(), entry.retries.size(),
                                              static_cast<std::size_t>(maxRetrySeconds)});
        for (std::size_t age = seconds; age-- > 0;) {
            const RetryCounts counts{entry.requests[age], entry.retries[age]};
            if (counts != RetryCounts())
                slots.push_back({now - static_cast<std::int64_t>(age) * retrySlotLength, counts});
        }
    }
    return decoded;
}

entrywire::EarlierRetries encodeEarlierRetries(const EarlierRetries &earlier, TimePoint now)
{
    entrywire::EarlierRetries encoded;
    encoded.ageMillis = toWholeMillis(now - earlier.m_lastReportAt);
    encoded.history = encodeRetries(earlier.m_history, now);
    return encoded;
}

std::optional<EarlierRetries> decodeEarlierRetries(const entrywire::EntryDigest &digest,
                                                   TimePoint now)
{
    if (!digest.__isset.earlierRetries)
        return std::nullopt;
    const entrywire::EarlierRetries &earlier = digest.earlierRetries;
    return EarlierRetries{now - withinLimit(earlier.ageMillis),
                          decodeRetries(earlier.history, now)};
}

std::vector<std::string> encodeElements(const CrashElements &elements)
{
    std::vector<std::string> encoded;
    for (const CrashElement &element : elements)
        encoded.push_back(element.text());
    return encoded;
}

CrashElements decodeElements(const std::vector<std::string> &elements)
{
    CrashElements decoded;
    for (const std::string &element : elements)
        decoded.insert(CrashElement(element));
    return decoded;
}

entrywire::UpstreamEnd encodeEnd(const UpstreamEnd &end, TimePoint now)
{
    entrywire::UpstreamEnd encoded;
    encoded.upstream = end.m_process.m_id.text();
    encoded.startedAt = end.m_process.m_startedAt;
    encoded.serviceName = end.m_service.text();
    encoded.ageMillis = toWholeMillis(now - end.m_endedAt);
    for (const SuspectRun &suspect : end.m_runs) {
        auto &run = encoded.runs.emplace_back();
        run.elements = encodeElements(suspect.m_elements);
        run.hasBegun = suspect.m_hasBegun;
    }
    return encoded;
}

UpstreamEnd decodeEnd(const entrywire::UpstreamEnd &end, TimePoint now)
{
    UpstreamEnd decoded;
    decoded.m_process = {UpstreamId(end.upstream), end.startedAt};
    decoded.m_service = ServiceId(end.serviceName);
    decoded.m_endedAt = now - withinLimit(end.ageMillis);
    for (const auto &run : end.runs)
        decoded.m_runs.push_back({decodeElements(run.elements), run.hasBegun});
    return decoded;
}

std::vector<entrywire::Quarantine> encodeQuarantine(const std::vector<QuarantineEntry> &entries,
                                                    TimePoint now)
{
    std::vector<entrywire::Quarantine> encoded;
    for (const QuarantineEntry &entry : entries) {
        auto &sent = encoded.emplace_back();
        sent.serviceName = entry.m_service.text();
        sent.elements = encodeElements(entry.m_elements);
        sent.times = entry.m_times;
        sent.remainingMillis = toWholeMillis(entry.m_until - now);
        sent.isLifted = entry.m_isLifted;
    }
    return encoded;
}

std::vector<QuarantineEntry> decodeQuarantine(const std::vector<entrywire::Quarantine> &entries,
                                              TimePoint now)
{
    std::vector<QuarantineEntry> decoded;
    decoded.reserve(entries.size());
    for (const auto &entry : entries) {
        const std::int64_t remaining =
                std::clamp(entry.remainingMillis, -maxAge.count(), maxAge.count());
        const TimePoint until = now + std::chrono::milliseconds(remaining);
        decoded.push_back({ServiceId(entry.serviceName), decodeElements(entry.elements),
                           entry.times, until, entry.isLifted});
    }
    return decoded;
}

entrywire::StreamOrigin encodeOrigin(const StreamOriginRecord &record, TimePoint now)
{
    entrywire::StreamOrigin origin;
    origin.request = record.m_request.text();
    origin.serviceName = record.m_origin.m_service.text();
    origin.softwareVersion = record.m_origin.m_softwareVersion.text();
    origin.node = record.m_source;
    origin.ageMillis = toWholeMillis(now - record.m_recordedAt);
    origin.remainingMillis = toWholeMillis(record.m_expiresAt - now);
    origin.isAmbiguous = record.m_isAmbiguous;
    return origin;
}

StreamOriginRecord decodeOrigin(const entrywire::StreamOrigin &origin, TimePoint now)
{
    StreamOriginRecord record;
    record.m_request = RequestId(origin.request);
    record.m_origin = {ServiceId(origin.serviceName), SoftwareVersion(origin.softwareVersion)};
    record.m_source = origin.node;
    record.m_recordedAt = now - withinLimit(origin.ageMillis);
    record.m_expiresAt = now + withinLimit(origin.remainingMillis);
    record.m_isAmbiguous = origin.isAmbiguous;
    return record;
}

namespace {

entrywire::ClockMark wireMark(const ClockMark &mark)
{
    entrywire::ClockMark result;
    result.process = mark.m_process;
    result.millis = toWholeMillis(mark.m_time.time_since_epoch());
    return result;
}

ClockMark markOf(const entrywire::ClockMark &mark)
{
    return {mark.process, TimePoint(std::chrono::milliseconds(mark.millis))};
}

} // namespace

void writeStamp(const MessageStamp &stamp, entrywire::EntryExchange &message)
{
    if (stamp.m_mark)
        message.__set_mark(wireMark(*stamp.m_mark));
    if (!stamp.m_echo)
        return;
    entrywire::ClockEcho echo;
    echo.mark = wireMark(stamp.m_echo->m_mark);
    echo.heldMillis = toWholeMillis(stamp.m_echo->m_heldFor);
    message.__set_echo(echo);
}

MessageStamp readStamp(const entrywire::EntryExchange &message)
{
    MessageStamp stamp;
    if (message.__isset.mark)
        stamp.m_mark = markOf(message.mark);
    if (message.__isset.echo)
        stamp.m_echo = ClockEcho{markOf(message.echo.mark),
                                 std::chrono::milliseconds(message.echo.heldMillis)};
    return stamp;
}

} // namespace gypsumdale
