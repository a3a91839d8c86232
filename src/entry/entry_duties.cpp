#include <gypsumdale/entry/boot_clock.hpp>
#include <gypsumdale/entry/entry_duties.hpp>

#include <algorithm> // any_of, count_if
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

namespace {

constexpr Duration leaseInterval = std::chrono::milliseconds(150);
constexpr Duration usageInterval = std::chrono::milliseconds(400);
constexpr Duration scaleInterval = std::chrono::milliseconds(400);
/// An order that has had no effect after the boot time plus this is sent again.
constexpr Duration orderTimeout = std::chrono::seconds(4);

DutyLeaseSettings leaseSettings(const EntrySettings &settings)
{
    DutyLeaseSettings lease;
    lease.m_term = settings.m_bounds.m_leaseTerm;
    return lease;
}

std::int64_t sumOf(const WindowCounts &counts)
{
    std::int64_t sum = 0;
    for (const auto &[account, count] : counts)
        sum += count;
    return sum;
}

} // namespace

EntryDuties::EntryDuties(EntryContext &context, EntryConfigFeed &config,
                         EntryUpstreamFeed &upstreams, EntryPeers &peers)
    : m_context(context)
    , m_config(config)
    , m_upstreams(upstreams)
    , m_peers(peers)
    , m_lease(leaseSettings(context.m_settings), context.m_settings.m_node, context.m_incarnation)
    , m_windows(context.m_settings.m_bounds.m_usageWindow,
                context.m_settings.m_bounds.m_usageReportDelay)
    , m_planner(context.m_settings.m_scaling)
{
    if (const auto &cloud = context.m_settings.m_cloud)
        m_cloud.emplace(context.m_client, Endpoint{cloud->m_ip, cloud->m_port});
    m_peers.onDutyReported([this](std::int64_t fence, std::int64_t revision) {
        m_lease.onHolderReport(fence, revision, bootNow());
    });
}

void EntryDuties::followLease()
{
    while (!m_context.m_isStopping && m_cloud) {
        if (contendsForLease(m_config.role(), m_lease.fence(bootNow()).has_value()))
            performLeaseStep();
        publishHolding();
        sleepFiber(leaseInterval);
    }
    m_peers.setDuty(0, 0);
}

std::optional<std::int64_t> EntryDuties::fence() const
{
    return m_lease.fence(bootNow());
}

void EntryDuties::performLeaseStep()
{
    std::visit(Overloaded{[](const NoLeaseAction &) {}, [this](const ReadLease &) { read(); },
                          [this](const WriteLease &step) {
                              write(step.m_record);
                          }},
               m_lease.next(bootNow()));
}

void EntryDuties::read()
{
    const TimePoint sentAt = bootNow();
    const auto object = m_context.m_store.get(platform::dutyKind, platform::leaseObject);
    if (succeeded(object)) {
        m_lease.onRead(platform::decodeLease(valueOf(object)), sentAt);
        return;
    }
    if (errorOf(object).m_id == ErrorId::PlatformNotFound)
        m_lease.onRead(std::nullopt, sentAt);
}

void EntryDuties::write(const LeaseRecord &record)
{
    const TimePoint sentAt = bootNow();
    const platform::StoreObject object = platform::encodeLease(record);
    const auto written = record.m_revision == 0
                                 ? m_context.m_store.create(platform::dutyKind, object)
                                 : m_context.m_store.replace(platform::dutyKind, object);
    if (!succeeded(written)) {
        m_context.m_log.warning("lease-write-failed",
                                {{LogField::Fence, record.m_fence},
                                 {LogField::ErrorName, errorName(errorOf(written).m_id)}});
        m_lease.onWriteFailed();
        return;
    }
    LeaseRecord stored = record;
    stored.m_revision = valueOf(written).m_revision;
    m_lease.onWritten(stored, sentAt);
}

void EntryDuties::publishHolding()
{
    const std::int64_t fence = m_lease.fence(bootNow()).value_or(0);
    m_peers.setDuty(fence, m_lease.revision());
    if (fence == m_loggedFence)
        return;
    if (fence > 0)
        m_context.m_log.info("lease-held", {{LogField::Fence, fence}});
    else
        m_context.m_log.info("lease-lost", {{LogField::Fence, m_loggedFence}});
    m_loggedFence = fence;
}

bool EntryDuties::handleReply(const platform::CloudReply &reply, std::int64_t fence,
                              const char *call)
{
    const bool isAccepted = reply.m_verdict == platform::CloudOutcome::Accepted;
    if (isAccepted)
        return true;
    m_context.m_log.warning(
            "duty-call-failed",
            {{LogField::Name, call},
             {LogField::Fence, fence},
             {LogField::Outcome, enumName(platform::cloudVerdictNames, reply.m_verdict)},
             {LogField::Text, reply.m_text}});
    if (reply.m_verdict == platform::CloudOutcome::Fenced)
        m_lease.onFenced();
    return false;
}

// --- Usage

void EntryDuties::reportUsage()
{
    while (!m_context.m_isStopping && m_cloud) {
        if (m_lease.fence(bootNow()))
            reportDueWindows();
        sleepFiber(usageInterval);
    }
}

void EntryDuties::reportDueWindows()
{
    if (!loadLedger())
        return;
    m_windows.setDue(m_context.m_settings.m_bounds.m_usageReportDelay);
    const UsageWindows::FleetObservation seen = observeFleet();
    const auto receivedCounts = [this](WindowNumber window) {
        return m_context.m_trafficLoop.call(
                [this, window] { return m_context.m_traffic.usageOf(window); });
    };
    if (auto next = m_windows.ledgerToStore(seen, receivedCounts))
        storeLedger(*std::move(next));
    for (const UsageReport &report : m_windows.dueReports(seen.m_now)) {
        if (sendWindow(report))
            m_windows.onReportAccepted(report.m_window);
    }
}

UsageWindows::FleetObservation EntryDuties::observeFleet()
{
    UsageWindows::FleetObservation seen;
    seen.m_now = m_context.m_trafficLoop.call([this] { return m_context.m_traffic.wallNow(); });
    seen.m_allReceivedSince = seen.m_now - toWholeMillis(m_peers.longestSilence());
    return seen;
}

/// Reads the counts that earlier holders fixed and noted. Returns false if the store doesn't
/// answer.
bool EntryDuties::loadLedger()
{
    const std::int64_t fence = m_lease.fence(bootNow()).value_or(0);
    if (m_ledgerRevision >= 0 && m_ledgerFence == fence)
        return true;
    const auto object = m_context.m_store.get(platform::dutyKind, platform::usageObject);
    if (!succeeded(object) && errorOf(object).m_id != ErrorId::PlatformNotFound)
        return false;
    m_ledgerFence = fence;
    m_ledgerRevision = succeeded(object) ? valueOf(object).m_revision : 0;
    m_windows.setLedger(succeeded(object) ? platform::decodeUsage(valueOf(object)) : UsageLedger());
    return true;
}

/// Fixes counts in the store before they are reported: two reports of one window with different
/// counts are an error that can't be corrected, and a successor of a holder that died after its
/// report would compute other sums.
void EntryDuties::storeLedger(UsageLedger next)
{
    const platform::StoreObject object = platform::encodeUsage(next, m_ledgerRevision);
    const auto written = m_ledgerRevision == 0
                                 ? m_context.m_store.create(platform::dutyKind, object)
                                 : m_context.m_store.replace(platform::dutyKind, object);
    if (!succeeded(written)) {
        // The write may have succeeded in spite of the error, so the object is read before the next
        // write.
        m_ledgerRevision = -1;
        m_context.m_log.warning("usage-not-fixed",
                                {{LogField::Count, next.m_provisional.size()},
                                 {LogField::ErrorName, errorName(errorOf(written).m_id)}});
        return;
    }
    m_ledgerRevision = valueOf(written).m_revision;
    m_windows.setLedger(std::move(next));
}

bool EntryDuties::sendWindow(const UsageReport &report)
{
    const auto fence = m_lease.fence(bootNow());
    if (!fence)
        return false;
    const auto reply = m_cloud->reportUsage({m_context.m_settings.m_node, *fence}, report.m_window,
                                            report.m_counts);
    if (!handleReply(reply, *fence, "usage"))
        return false;
    m_context.m_log.info("usage-reported", {{LogField::Window, report.m_window},
                                            {LogField::Fence, *fence},
                                            {LogField::Count, sumOf(report.m_counts)}});
    return true;
}

// --- Scaling

void EntryDuties::scale()
{
    while (!m_context.m_isStopping && m_cloud) {
        const ServingViewPointer view = m_config.view();
        if (view && m_upstreams.isKnown() && m_lease.fence(bootNow())) {
            for (const auto &[id, service] : view->config().m_services) {
                if (service.m_scaling)
                    scaleService(service);
            }
        }
        sleepFiber(scaleInterval);
    }
}

std::set<SoftwareVersion> EntryDuties::undecidedTargets(const ServiceId &service) const
{
    return m_rollouts ? m_rollouts->undecidedTargets(service) : std::set<SoftwareVersion>();
}

/// Returns the upstreams that orders are about: those of a version that is being rolled out come
/// and go with the roll-out.
std::map<UpstreamId, UpstreamRecord> EntryDuties::orderedUpstreams(const ServiceId &service) const
{
    std::map<UpstreamId, UpstreamRecord> upstreams = m_upstreams.upstreams();
    const std::set<SoftwareVersion> undecided = undecidedTargets(service);
    std::erase_if(upstreams, [&](const auto &entry) {
        return entry.second.m_service == service
               && undecided.contains(entry.second.m_softwareVersion);
    });
    return upstreams;
}

namespace {

bool isOfOrder(const UpstreamRecord &record, const ScaleOrder &order)
{
    return record.m_service == order.m_service && record.m_dataCentre == order.m_dataCentre
           && !record.m_isDraining && record.m_isReclaimable == order.m_isReclaimable;
}

} // namespace

int EntryDuties::countPresent(const ScaleOrder &order) const
{
    const auto &upstreams = m_upstreams.upstreams();
    const auto present =
            std::count_if(upstreams.begin(), upstreams.end(),
                          [&order](const auto &entry) { return isOfOrder(entry.second, order); });
    return static_cast<int>(present) - countUndecided(order);
}

/// Returns how many upstreams of undecided versions the platform counts under an order.
int EntryDuties::countUndecided(const ScaleOrder &order) const
{
    const std::set<SoftwareVersion> undecided = undecidedTargets(order.m_service);
    const auto &upstreams = m_upstreams.upstreams();
    return static_cast<int>(
            std::count_if(upstreams.begin(), upstreams.end(), [&](const auto &entry) {
                return isOfOrder(entry.second, order)
                       && undecided.contains(entry.second.m_softwareVersion);
            }));
}

void EntryDuties::scaleService(const ServingService &service)
{
    const std::map<UpstreamId, UpstreamRecord> upstreams = orderedUpstreams(service.m_id);
    ScaleInput input;
    input.m_service = &service;
    input.m_dataCentres = m_context.m_settings.m_dataCentres;
    input.m_upstreams = &upstreams;
    const auto running = m_peers.report().m_running.find(service.m_id);
    input.m_running = running == m_peers.report().m_running.end() ? 0 : running->second;
    const auto reading = m_peers.report().m_fleetPrefill.find(service.m_id);
    if (reading != m_peers.report().m_fleetPrefill.end())
        input.m_reading = reading->second;
    const std::vector<ScaleOrder> orders = m_planner.plan(input, m_context.now());
    const bool isShort = std::any_of(orders.begin(), orders.end(), [this](const ScaleOrder &order) {
        return countPresent(order) < order.m_count;
    });
    const Duration effectTime = service.m_scaling->m_bootTime + orderTimeout;
    for (const ScaleOrder &order : orders) {
        if (m_orders.mustSend(order, situationOf(order, isShort), effectTime, m_context.now()))
            send(order);
    }
}

OrderSituation EntryDuties::situationOf(const ScaleOrder &order, bool isServiceShort) const
{
    OrderSituation situation;
    situation.m_present = countPresent(order);
    situation.m_hasUndecidedVersion = !undecidedTargets(order.m_service).empty();
    situation.m_wasReplaced = m_rollouts && m_rollouts->hasReplaced(order.m_service);
    situation.m_isServiceShort = isServiceShort;
    return situation;
}

void EntryDuties::send(const ScaleOrder &planned)
{
    ScaleOrder order = planned;
    order.m_count += countUndecided(planned);
    const auto fence = m_lease.fence(bootNow());
    if (!fence)
        return;
    if (*fence != m_sentFence) {
        // Orders of an earlier holder are not known here.
        m_orders.clear();
        m_sentFence = *fence;
    }
    const auto reply = m_cloud->order({m_context.m_settings.m_node, *fence}, order);
    if (reply.m_verdict == platform::CloudOutcome::Unavailable)
        m_planner.recordRefusal(order, m_context.now());
    const bool isAccepted = handleReply(reply, *fence, "scale");
    const auto running = m_peers.report().m_running.find(order.m_service);
    const double inFlight = running == m_peers.report().m_running.end() ? 0 : running->second;
    m_context.m_log.info(
            "upstreams-ordered",
            {order.m_service,
             {LogField::Used, inFlight},
             {LogField::UpstreamDataCentre, order.m_dataCentre},
             {LogField::Kind, order.m_isReclaimable ? "reclaimable" : "steady"},
             {LogField::Count, order.m_count},
             {LogField::Running, countPresent(order)},
             {LogField::Fence, *fence},
             {LogField::Outcome, enumName(platform::cloudVerdictNames, reply.m_verdict)}});
    if (!isAccepted)
        return;
    m_orders.recordSent(planned, m_context.now());
}

} // namespace gypsumdale
