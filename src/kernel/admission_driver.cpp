#include <gypsumdale/kernel/admission_driver.hpp>

#include <functional> // hash

namespace gypsumdale {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(20);
/// Number of polls after which all upstreams are updated, changed or not.
constexpr int pollsPerRefresh = 10;

std::string_view refusalText(ErrorId error)
{
    switch (error) {
    case ErrorId::QueueFull:
        return "too many requests are queued";
    case ErrorId::DeadlineUnreachable:
        return "the request can't be served in time";
    case ErrorId::MemberOverLimit:
        return "the member has too many requests in flight";
    case ErrorId::Draining:
        return "this process is shutting down";
    case ErrorId::NoUpstream:
        return "no upstream of the service can take the request";
    default:
        return "the request was refused";
    }
}

} // namespace

AdmissionDriver::AdmissionDriver(ControlContext &context, FleetDriver &fleet,
                                 const SettingsView &view)
    : m_context(context)
    , m_fleet(fleet)
    , m_view(view)
    , m_random(std::hash<std::string>()(context.m_settings.m_node.text()))
{}

void AdmissionDriver::start()
{
    m_context.m_loop.spawn([this] { poll(); });
}

void AdmissionDriver::poll()
{
    for (int count = 0;; ++count) {
        if (count % pollsPerRefresh == 0)
            refreshUpstreams();
        for (auto &[id, service] : m_services)
            run(id, service->m_controller.poll(m_context.now()));
        sleepFiber(pollInterval);
    }
}

AdmissionDriver::Service &AdmissionDriver::service(const ServiceId &id)
{
    auto &slot = m_services[id];
    if (!slot) {
        slot = std::make_unique<Service>(makeService(id));
        onSettingsChanged();
        onNodesChanged();
        refreshUpstreams();
        if (m_isDraining)
            run(id, slot->m_controller.drain(m_context.now()));
    }
    return *slot;
}

AdmissionDriver::Service AdmissionDriver::makeService(const ServiceId &id) const
{
    const FleetSettings &fleet = *m_view.fleet();
    const ServiceSettings *settings = fleet.service(id);
    const std::string &name =
            settings && !settings->m_routing.empty() ? settings->m_routing : fleet.m_routing;
    AdmissionController::Builder builder;
    builder.node(m_context.m_settings.m_node)
            .dataCentre(m_context.m_settings.m_dataCentre)
            .region(m_context.m_settings.m_region)
            .seed(std::hash<std::string>()(m_context.m_settings.m_node.text() + id.text()));
    auto routing = RoutingRegistry::instance().make(name, RoutingSettings{});
    if (routing)
        builder.routing(std::move(*routing));
    RetryBudgetSettings budget;
    budget.m_ratio = fleet.m_retryRatio;
    return {builder.build(), RetryBudget(budget), {}};
}

Placement AdmissionDriver::place(const ServiceId &id, WaitingRequest request)
{
    Service &target = service(id);
    const RequestId requestId = request.m_id;
    auto future = m_waiting[requestId].m_promise.get_future();
    run(id, target.m_controller.submit(std::move(request), m_context.now()));
    return future.get();
}

void AdmissionDriver::cancel(const ServiceId &id, const RequestId &request)
{
    if (!service(id).m_controller.cancel(request))
        return;
    resolveWaiting(request, NotPlaced{{ErrorId::Cancelled, "the caller disconnected"}, {}});
}

void AdmissionDriver::run(const ServiceId &id, const AdmissionCommands &commands)
{
    for (const AdmissionCommand &command : commands)
        std::visit([&](const auto &value) { execute(id, value); }, command);
}

void AdmissionDriver::execute(const ServiceId &id, const Dispatch &command)
{
    const UpstreamView *view = m_fleet.upstreams().find(command.m_upstream);
    service(id).m_placements[command.m_request.m_id] = command.m_upstream;
    m_context.m_journal.record(m_context.wallNow(), command.m_request.m_id, Decision::Routed,
                               DecisionReason::FreeSlot, command.m_upstream.text());
    publishOwnLoad(id, command.m_upstream);
    Endpoint endpoint;
    if (view)
        endpoint = {view->m_declaration.m_address, view->m_declaration.m_port};
    resolveWaiting(command.m_request.m_id, Placed{command.m_upstream, endpoint});
}

void AdmissionDriver::execute(const ServiceId &, const Refuse &command)
{
    resolveWaiting(command.m_request,
                   NotPlaced{{command.m_error, std::string(refusalText(command.m_error))},
                             command.m_retryAfter});
}

void AdmissionDriver::resolveWaiting(const RequestId &request, Placement placement)
{
    auto waiting = m_waiting.extract(request);
    if (!waiting.empty())
        waiting.mapped().m_promise.set_value(std::move(placement));
}

void AdmissionDriver::firstToken(const ServiceId &id, const RequestId &request)
{
    service(id).m_controller.firstToken(request, m_context.now());
}

void AdmissionDriver::tokens(const ServiceId &id, const RequestId &request, std::uint32_t count)
{
    service(id).m_controller.tokens(request, count, m_context.now());
}

void AdmissionDriver::usage(const ServiceId &id, const RequestId &request,
                            std::uint32_t promptTokens, std::uint32_t generated)
{
    service(id).m_controller.usage(request, promptTokens, generated);
}

void AdmissionDriver::finishAttempt(const ServiceId &id, const RequestId &request, AttemptEnd end)
{
    Service &target = service(id);
    const auto placed = target.m_placements.extract(request);
    run(id, target.m_controller.finishAttempt(request, end, m_context.now()));
    if (placed.empty())
        return;
    const UpstreamId &upstream = placed.mapped();
    publishOwnLoad(id, upstream);
    if (end == AttemptEnd::Failed || end == AttemptEnd::Refused)
        m_fleet.onRequestFailed(upstream, "a request to the upstream failed");
    if (end == AttemptEnd::Completed)
        m_fleet.onRequestSucceeded(upstream);
}

void AdmissionDriver::publishOwnLoad(const ServiceId &id, const UpstreamId &upstream)
{
    const AdmissionController &controller = service(id).m_controller;
    m_fleet.exchange().setInFlight(upstream, static_cast<int>(controller.inFlightAt(upstream)));
    std::map<MemberId, std::uint64_t> sums;
    for (const auto &[name, other] : m_services) {
        for (const auto &[member, tokens] : other->m_controller.ownLoad().m_tokens)
            sums[member] += tokens;
    }
    for (const auto &[member, tokens] : sums)
        m_fleet.exchange().setOwnTokens(member, static_cast<std::int64_t>(tokens));
}

RetryDecision AdmissionDriver::decideRetry(const ServiceId &id, const AttemptState &attempt,
                                           const RetryProfile &profile)
{
    return gypsumdale::decideRetry(attempt, profile, service(id).m_budget, m_context.now(),
                                   m_random);
}

void AdmissionDriver::onFirstAttempt(const ServiceId &id)
{
    service(id).m_budget.recordFirstAttempt();
}

void AdmissionDriver::onPeerLoad(const NodeId &peer, const PeerLoad &load)
{
    NodeLoad merged;
    merged.m_tokens = load.m_tokens;
    merged.m_inFlight = load.m_inFlight;
    for (auto &[id, service] : m_services) {
        service->m_controller.mergePeer(peer, static_cast<std::uint64_t>(load.m_incarnation),
                                        merged, m_context.now());
    }
}

void AdmissionDriver::onSettingsChanged()
{
    std::vector<MemberShare> shares;
    for (const auto &[id, member] : m_view.members()) {
        shares.push_back(
                {id, m_view.weightOf(*member), static_cast<std::uint32_t>(member->m_concurrency)});
    }
    for (auto &[id, service] : m_services)
        service->m_controller.setMembers(shares);
}

void AdmissionDriver::onNodesChanged()
{
    for (auto &[id, service] : m_services)
        service->m_controller.setNodes(m_fleet.membership().dutyNodes());
}

void AdmissionDriver::onUpstreamChanged(const UpstreamStateChanged &change)
{
    const UpstreamView *view = m_fleet.upstreams().find(change.m_upstream);
    if (!view)
        return;
    const auto found = m_services.find(view->m_declaration.m_service);
    if (found == m_services.end())
        return;
    refreshUpstream(*found->second, *view);
    run(found->first, found->second->m_controller.poll(m_context.now()));
}

void AdmissionDriver::refreshUpstreams()
{
    for (const UpstreamView &view : m_fleet.upstreams().views()) {
        const auto found = m_services.find(view.m_declaration.m_service);
        if (found != m_services.end())
            refreshUpstream(*found->second, view);
    }
}

void AdmissionDriver::refreshUpstream(Service &service, const UpstreamView &view)
{
    const UpstreamDeclaration &declaration = view.m_declaration;
    if (view.m_state == UpstreamState::Gone) {
        service.m_controller.removeUpstream(declaration.m_upstream);
        return;
    }
    const StaticUpstream *declared = m_fleet.declared(declaration.m_upstream);
    const DataCentreSettings *place = m_view.fleet()->dataCentre(declaration.m_dataCentre);
    UpstreamReport report;
    report.m_upstream = declaration.m_upstream;
    report.m_incarnation = static_cast<std::uint64_t>(view.m_load.m_incarnation);
    report.m_dataCentre = declaration.m_dataCentre;
    report.m_region = place ? place->m_region : m_context.m_settings.m_region;
    const int declaredSlots = declared ? declared->m_slots : 1;
    report.m_slots = static_cast<std::uint32_t>(view.m_load.m_slots > 0 ? view.m_load.m_slots
                                                                        : declaredSlots);
    report.m_running = static_cast<std::uint32_t>(view.m_load.m_running);
    report.m_queued = static_cast<std::uint32_t>(view.m_load.m_queued);
    if (view.hasLoad())
        report.m_reportedAt = view.m_loadAt;
    report.m_pricePerHour = declared ? declared->m_pricePerHour : 0;
    report.m_isReclaimable = declaration.m_isReclaimable;
    report.m_isLeaving = view.m_state == UpstreamState::Leaving;
    service.m_controller.updateUpstream(report, m_context.now());
}

void AdmissionDriver::drain()
{
    m_isDraining = true;
    for (auto &[id, service] : m_services)
        run(id, service->m_controller.drain(m_context.now()));
}

std::size_t AdmissionDriver::waiting() const
{
    return m_waiting.size();
}

std::size_t AdmissionDriver::waiting(const MemberId &member) const
{
    std::size_t sum = 0;
    for (const auto &[id, service] : m_services)
        sum += service->m_controller.queue().waiting(member);
    return sum;
}

std::size_t AdmissionDriver::inFlight(const MemberId &member) const
{
    std::size_t sum = 0;
    for (const auto &[id, service] : m_services)
        sum += service->m_controller.inFlight(member);
    return sum;
}

std::uint64_t AdmissionDriver::servedTokens(const MemberId &member) const
{
    std::uint64_t sum = 0;
    for (const auto &[id, service] : m_services) {
        const TokenCounts counts = service->m_controller.ownLoad().m_tokens;
        const auto found = counts.find(member);
        sum += found == counts.end() ? 0 : found->second;
    }
    return sum;
}

} // namespace gypsumdale
