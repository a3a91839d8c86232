#include <gypsumdale/entry/rollout_client.hpp>
#include <gypsumdale/wire/thrift_codec.hpp>

#include <entry/peer_calls.hpp>
#include <entry/rollout_wire.hpp>

#include <algorithm> // clamp, count_if, max
#include <cstddef> // ptrdiff_t, size_t
#include <utility> // exchange, pair
#include <variant> // get_if

namespace gypsumdale {

namespace {

constexpr Duration checkInterval = std::chrono::milliseconds(100);
/// Time between two questions in a small fleet, and what each VM adds to it: the deciding VM may be
/// one with a tenth of a core.
constexpr Duration minInterval = std::chrono::milliseconds(300);
constexpr Duration intervalPerVm = std::chrono::milliseconds(6);
/// Time between two questions while no roll-out is under way.
constexpr Duration idleInterval = std::chrono::seconds(2);
/// A lease outlives a lost question. Together with the time in which evidence arrives it is shorter
/// than the time in which a bad version must be left.
constexpr Duration minLeaseTerm = std::chrono::milliseconds(1200);
constexpr Duration maxLeaseTerm = std::chrono::milliseconds(3200);
constexpr int intervalsPerLease = 3;

constexpr LogEvent notAsked("rollout-question-failed");
constexpr LogEvent notTold("rollout-news-not-sent");

} // namespace

void RolloutClient::run(const std::function<std::string()> &holderAddress)
{
    TimePoint askedAt{};
    while (!m_context.m_isStopping) {
        updateGate();
        const bool isUrgent = !m_orders.empty() || m_gate.isUndecided();
        const Duration pause = isUrgent ? interval() : idleInterval;
        const bool isDue = m_context.now() >= askedAt + pause;
        if ((isUrgent || m_gate.needsAnswer()) && (isDue || std::exchange(m_hasNews, false))) {
            askedAt = m_context.now();
            ask(holderAddress());
        }
        sleepFiber(checkInterval);
    }
}

Duration RolloutClient::interval() const
{
    const std::size_t vms = m_table.livePeers(m_context.now()) + 1;
    return std::max(minInterval, intervalPerVm * static_cast<int>(vms));
}

Duration RolloutClient::leaseTerm() const
{
    return std::clamp(intervalsPerLease * interval(), minLeaseTerm, maxLeaseTerm);
}

void RolloutClient::updateGate()
{
    if (!m_upstreams.isKnown() || m_listChange == m_upstreams.newestChange())
        return;
    m_listChange = m_upstreams.newestChange();
    m_gate.setUpstreams(m_upstreams.upstreams());
}

void RolloutClient::ask(const std::string &holderAddress)
{
    const TimePoint askedAt = m_context.now();
    const std::vector<RolloutReport> reports = collectReports();
    judgeOwn(reports);
    if (m_controller != nullptr && m_controller->isDeciding()) {
        for (const RolloutReport &report : reports)
            m_controller->takeReport(report);
        for (const RolloutOrder &order : std::exchange(m_orders, {}))
            m_controller->takeOrder(order);
        if (const auto own = m_controller->decision())
            apply(*own, askedAt + leaseTerm());
        return;
    }
    const KnownPeerPointer holder = m_table.find(holderAddress);
    if (!holder)
        return;
    entrywire::EntryExchange message;
    message.__set_rolloutQuestion(encodeQuestion(reports, m_orders));
    const std::size_t orders = m_orders.size();
    const auto reply = callPeer(m_context, holder, wire::encode(message), notAsked);
    if (!succeeded(reply) || !valueOf(reply) || !valueOf(reply)->__isset.rolloutAnswer)
        return;
    const RolloutDecision decision = decodeDecision(valueOf(reply)->rolloutAnswer);
    if (decision.m_fence == 0)
        return;
    m_orders.erase(m_orders.begin(), m_orders.begin() + static_cast<std::ptrdiff_t>(orders));
    apply(decision, askedAt + leaseTerm());
}

std::vector<RolloutReport> RolloutClient::collectReports()
{
    const auto counts = m_context.m_trafficLoop.call(
            [this] { return m_context.m_traffic.rollouts().counts(); });
    std::vector<RolloutReport> reports;
    for (const auto &[service, counted] : counts) {
        reports.push_back({m_context.m_settings.m_node.text(), m_context.m_incarnation, service,
                           counted.m_target, counted.m_answers, counted.m_runningAtOthers});
    }
    return reports;
}

/// Returns the number of upstreams of a roll-out's target.
std::size_t RolloutClient::upstreamsOf(const RolloutReport &report) const
{
    const auto &upstreams = m_upstreams.upstreams();
    return static_cast<std::size_t>(
            std::count_if(upstreams.begin(), upstreams.end(), [&report](const auto &entry) {
                return entry.second.m_service == report.m_service
                       && entry.second.m_softwareVersion == report.m_target;
            }));
}

/// Stops using a version that this VM itself finds to be bad, before the deciding VM does.
void RolloutClient::judgeOwn(const std::vector<RolloutReport> &reports)
{
    for (const RolloutReport &report : reports) {
        OwnView &own = m_own[report.m_service];
        if (own.m_target != report.m_target)
            own = OwnView{report.m_target, {}, CanaryJudge(), false};
        own.m_judge.add(evidenceSince(own.m_known, report.m_answers), m_context.now());
        own.m_known = report.m_answers;
        const CanaryVerdict verdict = own.m_judge.verdict(upstreamsOf(report));
        const auto *bad = std::get_if<CanaryBad>(&verdict);
        if (bad == nullptr || std::exchange(own.m_isBad, true))
            continue;
        m_context.m_log.warning("rollout-distrusted",
                                {report.m_service,
                                 {LogField::TargetSoftwareVersion, report.m_target},
                                 {LogField::Route, bad->m_route},
                                 {LogField::Answers, bad->m_answers},
                                 {LogField::BadAnswers, bad->m_badAnswers},
                                 {LogField::ControlShare, bad->m_controlShare}});
        m_context.m_trafficLoop.spawn([this, service = report.m_service] {
            m_context.m_traffic.rollouts().distrust(service);
        });
    }
}

/// Takes a decision. Without a time until which it leases, leases go on that are known already.
void RolloutClient::apply(const RolloutDecision &decision, std::optional<TimePoint> leasedUntil)
{
    const auto newest = std::pair(m_fence, m_sequence);
    if (decision.m_fence == 0 || std::pair(decision.m_fence, decision.m_sequence) <= newest)
        return;
    m_fence = decision.m_fence;
    m_sequence = decision.m_sequence;
    m_views = decision.m_views;
    std::map<ServiceId, VersionAccess> access = decision.m_access;
    for (auto &[service, told] : access) {
        if (!told.m_lease)
            continue;
        if (const auto end = leasedUntil ? leasedUntil : endOfLease(service, *told.m_lease))
            told.m_lease->m_validUntil = *end;
        else
            told.m_lease.reset();
    }
    for (const auto &[service, told] : access)
        logAccess(service, told);
    m_gate.setAccess(access);
    m_context.m_trafficLoop.spawn(
            [this, access] { m_context.m_traffic.rollouts().setAccess(access); });
}

/// Returns when the known lease of the same version ends, or nothing if there is none.
std::optional<TimePoint> RolloutClient::endOfLease(const ServiceId &service,
                                                   const ExposureLease &lease) const
{
    const auto known = m_gate.access().find(service);
    if (known == m_gate.access().end() || !known->second.m_lease
        || known->second.m_lease->m_target != lease.m_target)
        return std::nullopt;
    return known->second.m_lease->m_validUntil;
}

void RolloutClient::logAccess(const ServiceId &service, const VersionAccess &access)
{
    const double share = access.m_lease ? access.m_lease->m_share : 0;
    if (std::exchange(m_loggedShares[service], share) == share)
        return;
    m_context.m_log.info(
            "rollout-exposure",
            {service,
             {LogField::TargetSoftwareVersion,
              access.m_lease ? access.m_lease->m_target : SoftwareVersion()},
             {LogField::Share, share},
             {LogField::Count, access.m_lease ? access.m_lease->m_upstreams.size() : 0},
             {LogField::Fence, m_fence}});
}

entrywire::EntryExchange RolloutClient::answerQuestion(const entrywire::RolloutQuestion &question)
{
    entrywire::EntryExchange message;
    message.__isset.rolloutAnswer = true;
    if (m_controller == nullptr || !m_controller->isDeciding())
        return message;
    for (const RolloutReport &report : decodeReports(question))
        m_controller->takeReport(report);
    for (const RolloutOrder &order : decodeOrders(question))
        m_controller->takeOrder(order);
    if (const auto decision = m_controller->decision())
        message.rolloutAnswer = encodeDecision(*decision);
    return message;
}

void RolloutClient::takeNews(const entrywire::RolloutAnswer &answer)
{
    apply(decodeDecision(answer), std::nullopt);
    m_hasNews = true;
}

void RolloutClient::tellDecision()
{
    const auto decision = m_controller ? m_controller->decision() : std::nullopt;
    if (!decision)
        return;
    apply(*decision, m_context.now() + minLeaseTerm);
    entrywire::EntryExchange message;
    message.__set_rolloutAnswer(encodeDecision(*decision));
    tellPeers(m_context, m_table.respondingPeers(m_context.now()), message, notTold);
}

} // namespace gypsumdale
