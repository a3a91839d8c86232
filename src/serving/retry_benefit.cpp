#include <gypsumdale/serving/retry_benefit.hpp>

#include <algorithm> // count_if, min, nth_element
#include <cmath> // sqrt
#include <vector> // vector

namespace gypsumdale {

namespace {

/// Second runs help if more than one in this many succeeds.
constexpr int helpDivisor = 5;
/// Answers of an upstream that are known, for its share of errors.
constexpr std::size_t maxAnswers = 64;
/// The latest of them, which show that it has begun to fail part of its requests.
constexpr std::size_t latestAnswers = 16;
constexpr Duration latestAge = std::chrono::seconds(10);
/// An upstream fails more than others if its errors exceed the expected number by so many standard
/// deviations. With two, one in six errors that belong to the request would be retried.
constexpr double deviations = 3;
/// Two errors among few answers are often chance.
constexpr int minErrors = 3;
/// Kinds of errors that are counted. There are few, unless upstreams invent statuses.
constexpr std::size_t maxKinds = 256;

template <typename Results>
int countBad(const Results &results)
{
    return static_cast<int>(std::count_if(results.begin(), results.end(),
                                          [](const auto &result) { return result.m_isBad; }));
}

} // namespace

void RetryBenefit::add(Results &results, bool isBad, std::size_t most, TimePoint now)
{
    while (!results.empty() && (results.size() >= most || now - results.front().m_at > maxAge))
        results.pop_front();
    results.push_back({now, isBad});
}

void RetryBenefit::recordAnswer(const ServiceId &service, const UpstreamId &upstream, bool isError,
                                TimePoint now)
{
    dropOld(now);
    add(m_upstreams[service][upstream], isError, maxAnswers, now);
}

void RetryBenefit::recordSecondRun(const ErrorKind &kind, bool hasHelped, TimePoint now)
{
    if (m_secondRuns.size() >= maxKinds && !m_secondRuns.contains(kind))
        return;
    SecondRuns &runs = m_secondRuns[kind];
    add(runs.m_results, !hasHelped, maxSecondRuns, now);
    runs.m_sinceMeasurement = hasHelped ? measurementInterval : 0;
}

RetryBenefitDecision RetryBenefit::decide(const ErrorKind &kind,
                                          const std::optional<UpstreamId> &upstream, TimePoint now)
{
    RetryBenefitDecision decision;
    const auto service = m_upstreams.find(kind.m_service);
    const bool isFailing = upstream && service != m_upstreams.end()
                           && failsMoreThanOthers(*upstream, service->second, decision, now);
    const auto found = m_secondRuns.find(kind);
    if (found == m_secondRuns.end())
        return decision;
    SecondRuns &runs = found->second;
    while (!runs.m_results.empty() && now - runs.m_results.front().m_at > maxAge)
        runs.m_results.pop_front();
    decision.m_secondRuns = static_cast<int>(runs.m_results.size());
    decision.m_helped = decision.m_secondRuns - countBad(runs.m_results);
    if (decision.m_secondRuns < minSecondRuns) {
        decision.m_reason = RetryBenefitReason::TooFewSamples;
    } else if (decision.m_helped * helpDivisor > decision.m_secondRuns) {
        decision.m_reason = RetryBenefitReason::SecondRunsHelp;
    } else if (isFailing) {
        decision.m_reason = RetryBenefitReason::UpstreamFails;
    } else if (++runs.m_sinceMeasurement >= measurementInterval) {
        runs.m_sinceMeasurement = 0;
        decision.m_reason = RetryBenefitReason::Measurement;
    } else {
        decision.m_reason = RetryBenefitReason::RarelyHelps;
    }
    return decision;
}

/// Returns the median of the upstreams' shares of errors, the lower one of two. Half an error is
/// added to each, as few answers without an error don't prove that none would follow.
double RetryBenefit::medianShare(const Upstreams &upstreams, TimePoint now)
{
    std::vector<double> shares;
    for (const auto &[upstream, results] : upstreams) {
        if (results.empty() || now - results.back().m_at > maxAge)
            continue;
        shares.push_back((countBad(results) + 0.5) / (static_cast<double>(results.size()) + 1));
    }
    if (shares.empty())
        return 0;
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    return *middle;
}

/// Returns whether an upstream's latest answers have more errors than the service's median
/// explains.
bool RetryBenefit::failsMoreThanOthers(const UpstreamId &upstream, const Upstreams &upstreams,
                                       RetryBenefitDecision &decision, TimePoint now) const
{
    const auto found = upstreams.find(upstream);
    if (found == upstreams.end())
        return false;
    const Results &results = found->second;
    for (std::size_t at = results.size() - std::min(results.size(), latestAnswers);
         at < results.size(); ++at) {
        if (now - results[at].m_at > latestAge)
            continue;
        ++decision.m_answers;
        decision.m_errors += results[at].m_isBad ? 1 : 0;
    }
    decision.m_medianShare = medianShare(upstreams, now);
    const double share = decision.m_medianShare;
    const double expected = decision.m_answers * share;
    const double deviation = std::sqrt(expected * (1 - share));
    return decision.m_errors >= minErrors && decision.m_errors > expected + deviations * deviation;
}

/// Drops what is too old to count, so that upstreams and kinds that are gone take no memory.
void RetryBenefit::dropOld(TimePoint now)
{
    if (now - m_cleanedAt < maxAge)
        return;
    m_cleanedAt = now;
    const auto isOld = [now](const Results &results) {
        return results.empty() || now - results.back().m_at > maxAge;
    };
    std::erase_if(m_secondRuns, [&](const auto &kind) { return isOld(kind.second.m_results); });
    for (auto &[service, upstreams] : m_upstreams)
        std::erase_if(upstreams, [&](const auto &entry) { return isOld(entry.second); });
    std::erase_if(m_upstreams, [](const auto &service) { return service.second.empty(); });
}

} // namespace gypsumdale
