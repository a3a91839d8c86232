#include <gypsumdale/fleet/rendezvous.hpp>
#include <gypsumdale/fleet/upstream_key.hpp>
#include <gypsumdale/kernel/fleet_driver.hpp>
#include <gypsumdale/runtime/http_status.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono> // milliseconds, seconds

namespace gypsumdale {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(50);
constexpr Duration heartbeatTimeout = std::chrono::milliseconds(800);
constexpr Duration probeTimeout = std::chrono::seconds(1);
constexpr Duration noticeWatch = std::chrono::seconds(5);
constexpr Duration listInterval = std::chrono::seconds(1);
constexpr Duration cloudRetry = std::chrono::milliseconds(500);
constexpr std::string_view noticeReaderKey = "notice-reader";
constexpr std::size_t noticeReaders = 2;

NodeIdentity selfOf(const ControlContext &context)
{
    const NodeSettings &settings = context.m_settings;
    return {settings.m_node,
            settings.m_dataCentre,
            settings.m_region,
            settings.m_peerListen.m_ip,
            settings.m_peerListen.m_port,
            context.m_incarnation};
}

MembershipSettings membershipOf(const ControlContext &context)
{
    const ControlIntervals &intervals = context.m_settings.m_intervals;
    const auto suspectAfter = static_cast<int>(intervals.m_suspectAfter / intervals.m_heartbeat);
    MembershipSettingsBuilder builder;
    builder.self(selfOf(context))
            .heartbeatInterval(intervals.m_heartbeat)
            .suspectAfter(std::max(suspectAfter, 2));
    for (const SeedPeer &peer : context.m_settings.m_peers) {
        builder.seed({peer.m_node,
                      peer.m_dataCentre,
                      {},
                      peer.m_address.m_ip,
                      peer.m_address.m_port,
                      0});
    }
    return builder.build();
}

UpstreamTableSettings upstreamsOf(const ControlContext &context)
{
    const NodeSettings &settings = context.m_settings;
    return UpstreamTableSettingsBuilder()
            .self(settings.m_node, settings.m_dataCentre)
            .probeInterval(settings.m_intervals.m_probe)
            .build();
}

UpstreamDeclaration declarationOf(const StaticUpstream &upstream)
{
    return {upstream.m_id,      upstream.m_service,      upstream.m_dataCentre,
            upstream.m_vm,      upstream.m_address.m_ip, upstream.m_address.m_port,
            upstream.m_vmClass, upstream.m_reclaimable};
}

/// Parses a load report. A service without one (404) counts as live with the slots of its settings.
std::optional<UpstreamLoad> loadFrom(const HttpReply &reply, const StaticUpstream *declared)
{
    UpstreamLoad load;
    load.m_slots = declared ? declared->m_slots : 1;
    if (reply.m_status == statusNotFound)
        return load;
    if (reply.m_status != statusOk)
        return std::nullopt;
    const auto document = nlohmann::json::parse(reply.m_body, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    const auto number = [&](const char *name, std::int64_t fallback) {
        const auto found = document.find(name);
        return found != document.end() && found->is_number() ? found->get<std::int64_t>()
                                                             : fallback;
    };
    load.m_incarnation = number("incarnation", 0);
    load.m_slots = static_cast<int>(number("slots", load.m_slots));
    load.m_running = static_cast<int>(number("running", 0));
    load.m_queued = static_cast<int>(number("queued", 0));
    load.m_cachedTokens = number("cached_tokens", 0);
    return load;
}

/// Reads from the cloud, whose address must be in the settings. Returns a value that isn't an
/// object if the call fails.
nlohmann::json readCloud(const ControlContext &context, std::string target, Duration timeout)
{
    HttpCall call;
    call.m_endpoint = {context.m_settings.m_cloud->m_ip, context.m_settings.m_cloud->m_port};
    call.m_target = std::move(target);
    call.m_headerTimeout = timeout;
    const auto result = context.m_http.call(call);
    const auto *reply = std::get_if<HttpReply>(&result);
    return reply ? nlohmann::json::parse(reply->m_body, nullptr, false) : nlohmann::json();
}

DecisionReason reasonOf(UpstreamState state)
{
    switch (state) {
    case UpstreamState::Live:
        return DecisionReason::ProbeAnswered;
    case UpstreamState::Suspect:
        return DecisionReason::MissedProbes;
    case UpstreamState::Leaving:
        return DecisionReason::ReclaimNotice;
    case UpstreamState::Gone:
        break;
    }
    return DecisionReason::VmList;
}

Decision decisionOf(UpstreamState state)
{
    switch (state) {
    case UpstreamState::Live:
        return Decision::Ready;
    case UpstreamState::Suspect:
        return Decision::Suspected;
    case UpstreamState::Leaving:
        return Decision::Leaving;
    case UpstreamState::Gone:
        break;
    }
    return Decision::Gone;
}

} // namespace

FleetDriver::FleetDriver(ControlContext &context)
    : m_context(context)
    , m_exchange(membershipOf(context), upstreamsOf(context), context.now())
{}

void FleetDriver::start()
{
    std::vector<UpstreamDeclaration> declarations;
    for (const StaticUpstream &upstream : m_context.m_settings.m_upstreams) {
        m_staticUpstreams[upstream.m_id] = upstream;
        m_upstreamOfKey[upstreamKey(upstream.m_id)] = upstream.m_id;
        declarations.push_back(declarationOf(upstream));
    }
    run(m_exchange.setConfiguredUpstreams(declarations, m_context.now()));
    m_context.m_loop.spawn([this] { runTicks(); });
    if (!m_context.m_settings.m_cloud)
        return;
    m_context.m_loop.spawn([this] { readNotices(); });
    m_context.m_loop.spawn([this] { readVmList(); });
}

void FleetDriver::runTicks()
{
    for (;;) {
        run(m_exchange.tick(m_context.now(), m_context.wallNow()));
        sleepFiber(tickInterval);
    }
}

void FleetDriver::run(const ExchangeCommands &commands)
{
    for (const ExchangeCommand &command : commands)
        std::visit([this](const auto &value) { execute(value); }, command);
}

void FleetDriver::execute(const SendToPeer &command)
{
    m_context.m_loop.spawn([this, command] {
        const auto reply = m_context.m_peers.ask(command.m_to, command.m_body, heartbeatTimeout);
        if (!succeeded(reply)) {
            m_exchange.onSendFailed(command.m_to.m_node);
            return;
        }
        if (command.m_body.__isset.heartbeat)
            m_exchange.recordHeartbeatBytes(m_context.m_peers.lastHeartbeatBytes());
        const wire::PeerReplyBody &body = valueOf(reply).body;
        if (body.__isset.heartbeat) {
            applyInFlight(command.m_to.m_node, body.heartbeat);
            run(m_exchange.onReply(body.heartbeat, m_context.now(), m_context.wallNow()));
        }
        if (body.__isset.leavingNotices)
            onNotices(command.m_to.m_node, body.leavingNotices);
    });
}

void FleetDriver::execute(const NodeStateChanged &command)
{
    m_context.m_log.info("node-state",
                         {{LogField::Peer, command.m_node},
                          {LogField::State, nodeStateText(command.m_state, command.m_isLeaving)},
                          {LogField::Incarnation, command.m_incarnation},
                          {LogField::Reason, command.m_reason}});
    if (command.m_state == NodeState::Dead)
        m_loads.erase(command.m_node);
    if (m_listeners.m_nodeChanged)
        m_listeners.m_nodeChanged(command);
}

void FleetDriver::execute(const OwnIncarnationRaised &command)
{
    m_context.m_peers.setIncarnation(command.m_incarnation);
}

void FleetDriver::execute(const ProbeUpstream &command)
{
    m_context.m_loop.spawn([this, command] { probe(command); });
}

void FleetDriver::probe(const ProbeUpstream &command)
{
    HttpCall call;
    call.m_endpoint = {command.m_address, command.m_port};
    call.m_target = "/load";
    call.m_connectTimeout = probeTimeout;
    call.m_headerTimeout = probeTimeout;
    call.m_silenceTimeout = probeTimeout;
    // A pooled connection may be permanently silent while the upstream is healthy, and the reverse;
    // only a new connection shows whether new requests would get through.
    call.m_requiresNewConnection = true;
    const auto result = m_context.m_http.call(call);
    if (const auto *failure = std::get_if<CallFailure>(&result)) {
        run(m_exchange.onProbeFailed(command.m_upstream, failure->m_error.m_text, m_context.now()));
        return;
    }
    const HttpReply &reply = std::get<HttpReply>(result);
    const auto load = loadFrom(reply, declared(command.m_upstream));
    if (load)
        run(m_exchange.onLoad(command.m_upstream, *load, m_context.now()));
    else
        run(m_exchange.onProbeFailed(command.m_upstream,
                                     fmt::format("no valid load report, status {}", reply.m_status),
                                     m_context.now()));
}

void FleetDriver::execute(const UpstreamStateChanged &command)
{
    m_context.m_journal.record(m_context.wallNow(), command.m_upstream, decisionOf(command.m_state),
                               reasonOf(command.m_state), command.m_reason);
    m_context.m_log.info("upstream-state",
                         {command.m_upstream,
                          {LogField::State, enumName(upstreamStateNames, command.m_state)},
                          {LogField::Reason, command.m_reason}});
    if (command.m_state == UpstreamState::Leaving)
        m_context.m_metrics.add(Counter::UpstreamsLeft);
    if (command.m_state == UpstreamState::Suspect)
        m_context.m_metrics.add(Counter::UpstreamsSuspected);
    if (m_listeners.m_upstreamChanged)
        m_listeners.m_upstreamChanged(command);
}

void FleetDriver::execute(const TokensReported &command)
{
    PeerLoad &load = m_loads[command.m_node];
    load.m_incarnation = command.m_incarnation;
    load.m_tokens[command.m_member] = static_cast<std::uint64_t>(command.m_tokens);
    if (m_listeners.m_peerLoad)
        m_listeners.m_peerLoad(command.m_node, load);
}

void FleetDriver::execute(const ConfigDigestReceived &command)
{
    if (m_listeners.m_configSeen)
        m_listeners.m_configSeen(command);
}

void FleetDriver::applyInFlight(const NodeId &sender, const wire::Heartbeat &heartbeat)
{
    if (heartbeat.dataCentre != m_context.m_settings.m_dataCentre.text())
        return;
    PeerLoad &load = m_loads[sender];
    if (load.m_incarnation != heartbeat.incarnation) {
        load = PeerLoad{};
        load.m_incarnation = heartbeat.incarnation;
    }
    for (const wire::InFlight &entry : heartbeat.inFlight) {
        const auto upstream = m_upstreamOfKey.find(entry.upstream);
        if (upstream != m_upstreamOfKey.end())
            load.m_inFlight[upstream->second] = static_cast<std::uint32_t>(entry.count);
    }
    if (m_listeners.m_peerLoad)
        m_listeners.m_peerLoad(sender, load);
}

wire::Heartbeat FleetDriver::onHeartbeat(const NodeId &sender, const wire::Heartbeat &heartbeat)
{
    applyInFlight(sender, heartbeat);
    PeerExchange::Answered answered =
            m_exchange.onHeartbeat(heartbeat, m_context.now(), m_context.wallNow());
    run(answered.m_commands);
    return answered.m_reply.heartbeat;
}

void FleetDriver::onNotices(const NodeId &sender, const wire::LeavingNotices &notices)
{
    for (const wire::LeavingNotice &notice : notices.notices)
        applyNotice(wire::fromWire(notice));
    run(m_exchange.onNotices(notices, sender, m_context.now(), m_context.wallNow()));
}

wire::LeavingNotices FleetDriver::notices() const
{
    wire::LeavingNotices result;
    for (const LeavingNotice &notice : upstreams().notices())
        result.notices.push_back(wire::toWire(notice));
    return result;
}

bool FleetDriver::drainUpstream(const UpstreamId &upstream)
{
    if (!upstreams().find(upstream))
        return false;
    run(m_exchange.drainUpstream(upstream, m_context.now(), m_context.wallNow()));
    return true;
}

void FleetDriver::onRequestFailed(const UpstreamId &upstream, const std::string &reason)
{
    run(m_exchange.onRequestFailed(upstream, reason, m_context.now()));
}

void FleetDriver::onRequestSucceeded(const UpstreamId &upstream)
{
    run(m_exchange.onRequestSucceeded(upstream, m_context.now()));
}

std::optional<NodeIdentity> FleetDriver::find(const NodeId &node) const
{
    const NodeView *view = membership().find(node);
    if (!view)
        return std::nullopt;
    return view->m_identity;
}

const StaticUpstream *FleetDriver::declared(const UpstreamId &upstream) const
{
    const auto found = m_staticUpstreams.find(upstream);
    return found == m_staticUpstreams.end() ? nullptr : &found->second;
}

UpstreamId FleetDriver::upstreamOn(const VmId &vm) const
{
    for (const auto &[id, upstream] : m_staticUpstreams) {
        if (upstream.m_vm == vm)
            return id;
    }
    return UpstreamId(vm.text());
}

void FleetDriver::applyNotice(const LeavingNotice &notice)
{
    const NodeSettings &settings = m_context.m_settings;
    // The cloud knows the entry VM by the name of the node.
    const bool concernsVm = notice.m_vm.text() == settings.m_node.text();
    const bool concernsZone = notice.m_zone == settings.m_dataCentre;
    // A process on a new VM reads the notices from the first one on, and would shut down because of
    // the reclaim that ended its predecessor. A notice that expired before this process started
    // can't concern it.
    const bool isOver = notice.m_deadline != 0 && notice.m_deadline <= m_context.m_incarnation;
    if (isOver)
        return;
    if ((concernsVm || concernsZone) && m_listeners.m_ownNotice)
        m_listeners.m_ownNotice(notice);
}

void FleetDriver::readNotices()
{
    for (;;) {
        // Two nodes of a data centre read the notices and send them to the others.
        if (!isRendezvousChoice(noticeReaderKey, membership().dutyNodes(), noticeReaders,
                                m_context.m_settings.m_node)) {
            sleepFiber(cloudRetry);
            continue;
        }
        const auto wait =
                std::chrono::duration_cast<std::chrono::milliseconds>(noticeWatch).count();
        const auto document = readCloud(
                m_context, fmt::format("/v1/notices?after={}&timeoutMs={}", m_lastNotice, wait),
                noticeWatch + probeTimeout);
        if (!document.is_object() || !document.contains("notices")) {
            sleepFiber(cloudRetry);
            continue;
        }
        m_lastNotice = document.value("last", m_lastNotice);
        std::vector<LeavingNotice> notices;
        for (const auto &entry : document["notices"]) {
            notices.push_back(reclaimNotice(VmId(entry.value("vm", "")),
                                            DataCentreId(entry.value("zone", "")),
                                            entry.value("deadlineMillis", std::int64_t{0}),
                                            entry.value("sequence", std::int64_t{0})));
            applyNotice(notices.back());
        }
        m_context.m_metrics.add(Counter::ReclaimNotices, notices.size());
        run(m_exchange.onNotices(notices, m_context.now(), m_context.wallNow()));
    }
}

void FleetDriver::readVmList()
{
    for (;;) {
        sleepFiber(listInterval);
        const auto document = readCloud(m_context, "/v1/vms", probeTimeout);
        if (!document.is_object() || !document.contains("vms"))
            continue;
        std::vector<ListedUpstream> upstreams;
        for (const auto &entry : document["vms"]) {
            ListedUpstream listed;
            UpstreamDeclaration &declaration = listed.m_declaration;
            declaration.m_vm = VmId(entry.value("id", ""));
            declaration.m_upstream = upstreamOn(declaration.m_vm);
            declaration.m_service = ServiceId(entry.value("service", ""));
            declaration.m_dataCentre = DataCentreId(entry.value("zone", ""));
            declaration.m_address = entry.value("address", "");
            declaration.m_port = static_cast<std::uint16_t>(entry.value("port", 0));
            declaration.m_vmClass = entry.value("class", "");
            declaration.m_isReclaimable = entry.value("reclaimable", false);
            listed.m_isLeaving = entry.value("state", "") == "leaving";
            if (declaration.m_service.isEmpty() || declaration.m_port == 0)
                continue;
            m_upstreamOfKey[upstreamKey(declaration.m_upstream)] = declaration.m_upstream;
            upstreams.push_back(std::move(listed));
        }
        run(m_exchange.onVmList({}, upstreams, m_context.now(), m_context.wallNow()));
    }
}

} // namespace gypsumdale
