#include <entry/rollout_wire.hpp>

#include <algorithm> // clamp
#include <cstddef> // size_t
#include <optional> // optional

namespace gypsumdale {

namespace {

entrywire::AnswerCounts encodeCounts(const EvidenceKey &key, const AnswerCounts &counts)
{
    entrywire::AnswerCounts encoded;
    encoded.route = key.m_route;
    encoded.upstream = key.m_upstream.text();
    encoded.errors = counts.m_errors;
    for (std::size_t bin = 0; bin < AnswerCounts::timeBins; ++bin) {
        if (counts.m_times[bin] > 0)
            encoded.times[static_cast<std::int32_t>(bin)] = counts.m_times[bin];
    }
    return encoded;
}

AnswerCounts decodeCounts(const entrywire::AnswerCounts &encoded)
{
    AnswerCounts counts;
    counts.m_errors = encoded.errors;
    for (const auto &[bin, number] : encoded.times) {
        if (bin >= 0 && static_cast<std::size_t>(bin) < AnswerCounts::timeBins)
            counts.m_times[static_cast<std::size_t>(bin)] = number;
    }
    return counts;
}

template <typename IdType>
std::vector<std::string> encodeIds(const std::set<IdType> &ids)
{
    std::vector<std::string> texts;
    texts.reserve(ids.size());
    for (const IdType &id : ids)
        texts.push_back(id.text());
    return texts;
}

template <typename IdType>
std::set<IdType> decodeIds(const std::vector<std::string> &texts)
{
    std::set<IdType> ids;
    for (const std::string &text : texts)
        ids.insert(IdType(text));
    return ids;
}

entrywire::VersionAccess encodeAccess(const ServiceId &service, const VersionAccess &access)
{
    entrywire::VersionAccess encoded;
    encoded.serviceName = service.text();
    encoded.open = encodeIds(access.m_open);
    encoded.closed = encodeIds(access.m_closed);
    if (access.m_lease) {
        encoded.target = access.m_lease->m_target.text();
        encoded.share = access.m_lease->m_share;
        encoded.upstreams = encodeIds(access.m_lease->m_upstreams);
    }
    return encoded;
}

VersionAccess decodeAccess(const entrywire::VersionAccess &encoded)
{
    VersionAccess access;
    access.m_open = decodeIds<SoftwareVersion>(encoded.open);
    access.m_closed = decodeIds<SoftwareVersion>(encoded.closed);
    if (!encoded.target.empty())
        access.m_lease = ExposureLease{SoftwareVersion(encoded.target),
                                       std::clamp(encoded.share, 0.0, 1.0),
                                       decodeIds<UpstreamId>(encoded.upstreams),
                                       {}};
    return access;
}

} // namespace

entrywire::RolloutQuestion encodeQuestion(const std::vector<RolloutReport> &reports,
                                          const std::vector<RolloutOrder> &orders)
{
    entrywire::RolloutQuestion question;
    for (const RolloutReport &report : reports) {
        question.node = report.m_node;
        question.incarnation = report.m_incarnation;
        auto &encoded = question.reports.emplace_back();
        encoded.serviceName = report.m_service.text();
        encoded.target = report.m_target.text();
        encoded.runningAtOthers = report.m_runningAtOthers;
        for (const auto &[key, counts] : report.m_answers)
            encoded.answers.push_back(encodeCounts(key, counts));
    }
    for (const RolloutOrder &order : orders) {
        auto &encoded = question.orders.emplace_back();
        encoded.rollout = order.m_rollout;
        encoded.action = enumName(rolloutActionNames, order.m_action);
    }
    return question;
}

std::vector<RolloutReport> decodeReports(const entrywire::RolloutQuestion &question)
{
    std::vector<RolloutReport> reports;
    for (const auto &encoded : question.reports) {
        RolloutReport &report = reports.emplace_back();
        report.m_node = question.node;
        report.m_incarnation = question.incarnation;
        report.m_service = ServiceId(encoded.serviceName);
        report.m_target = SoftwareVersion(encoded.target);
        report.m_runningAtOthers = encoded.runningAtOthers;
        for (const auto &counts : encoded.answers) {
            const EvidenceKey key{counts.route, UpstreamId(counts.upstream)};
            report.m_answers[key] = decodeCounts(counts);
        }
    }
    return reports;
}

std::vector<RolloutOrder> decodeOrders(const entrywire::RolloutQuestion &question)
{
    std::vector<RolloutOrder> orders;
    for (const auto &encoded : question.orders) {
        if (const auto action = enumFromName(rolloutActionNames, encoded.action))
            orders.push_back({encoded.rollout, *action});
    }
    return orders;
}

entrywire::RolloutAnswer encodeDecision(const RolloutDecision &decision)
{
    entrywire::RolloutAnswer answer;
    answer.fence = decision.m_fence;
    answer.sequence = decision.m_sequence;
    for (const auto &[service, access] : decision.m_access)
        answer.services.push_back(encodeAccess(service, access));
    for (const RolloutView &view : decision.m_views) {
        auto &encoded = answer.rollouts.emplace_back();
        encoded.rollout = view.m_rollout;
        encoded.serviceName = view.m_service;
        encoded.target = view.m_target;
        encoded.stage = view.m_stage;
        encoded.reason = view.m_reason;
        encoded.share = view.m_share;
        encoded.answers = view.m_answers;
        encoded.badAnswers = view.m_badAnswers;
        encoded.controlAnswers = view.m_controlAnswers;
        encoded.remainingMillis = view.m_remainingMillis;
        encoded.isPaused = view.m_isPaused;
    }
    return answer;
}

RolloutDecision decodeDecision(const entrywire::RolloutAnswer &answer)
{
    RolloutDecision decision;
    decision.m_fence = answer.fence;
    decision.m_sequence = answer.sequence;
    for (const auto &encoded : answer.services)
        decision.m_access.emplace(ServiceId(encoded.serviceName), decodeAccess(encoded));
    for (const auto &encoded : answer.rollouts) {
        decision.m_views.push_back({encoded.rollout, encoded.serviceName, encoded.target,
                                    encoded.stage, encoded.reason, encoded.share, encoded.answers,
                                    encoded.badAnswers, encoded.controlAnswers,
                                    encoded.remainingMillis, encoded.isPaused});
    }
    return decision;
}

} // namespace gypsumdale
