#include <gypsumdale/core/result.hpp>
#include <gypsumdale/serving/canary_judge.hpp>

#include <algorithm> // all_of, max, min
#include <cmath> // log, sqrt

namespace gypsumdale {

namespace {

/// Least and most time bins above the control group's median from which an answer is slow: between
/// three and eight times as long.
constexpr std::size_t minSlowBins = 3;
constexpr std::size_t maxSlowBins = 6;
/// Fraction of the control group's answers that may be as slow. Times of long prompts vary, and
/// upstreams with empty caches take longer for them.
constexpr double slowControlFraction = 0.02;
/// Least answers of the control group for which its own fractions are used.
constexpr std::int64_t minControlAnswers = 30;
/// Fraction of bad answers that is assumed with fewer.
constexpr double assumedShare = 0.05;
/// The control group's fraction is widened by this beyond its standard error.
constexpr double shareMargin = 0.005;
constexpr double maxShare = 0.3;
/// Least answers of an upstream for which it counts as one that was tried.
constexpr std::int64_t minUpstreamAnswers = 5;
/// Fraction of the score of a bad version that an upstream shows if it is one of a bad version.
constexpr double upstreamFraction = 1.0 / 3;
/// Fraction of the score of a bad version below which one is sound.
constexpr double soundFraction = 0.5;
/// Least answers of the new version, over all routes and by route, for it to be sound.
constexpr std::int64_t minSoundAnswers = 30;
constexpr std::int64_t minSoundRouteAnswers = 5;
/// A route counts as used if the control group has more answers than this on it.
constexpr std::int64_t usedRouteAnswers = 100;

/// Returns the time bin from which an answer is slow.
std::size_t slowBin(const AnswerCounts &control)
{
    const auto allowed = static_cast<std::int64_t>(
            slowControlFraction * static_cast<double>(control.answers() - control.m_errors));
    const std::size_t median = control.medianBin();
    std::size_t bin = median + minSlowBins;
    while (bin < median + maxSlowBins && control.atLeast(bin - 1) > allowed)
        ++bin;
    return bin;
}

std::int64_t badAnswers(const AnswerCounts &counts, const AnswerCounts &control)
{
    if (control.answers() - control.m_errors < minControlAnswers)
        return counts.m_errors;
    return counts.m_errors + counts.atLeast(slowBin(control));
}

double badSum(const CanaryTest &test)
{
    return std::visit(
            Overloaded{[](const SequentialTest &sequential) { return sequential.m_badSum; },
                       [](const RateComparison &comparison) {
                           return comparison.m_deviations;
                       }},
            test);
}

} // namespace

CanaryJudge::Batch &CanaryJudge::Batch::operator+=(const Batch &other)
{
    m_at = other.m_at;
    m_answers += other.m_answers;
    m_bad += other.m_bad;
    m_expectedBad += other.m_expectedBad;
    m_variance += other.m_variance;
    m_logRatio += other.m_logRatio;
    return *this;
}

/// Returns the fraction of bad answers of a version that is as good as the control group.
double CanaryJudge::controlShare(const AnswerCounts &control)
{
    const std::int64_t answers = control.answers();
    if (answers < minControlAnswers)
        return assumedShare;
    const auto bad = static_cast<double>(badAnswers(control, control));
    const double number = static_cast<double>(answers) + 2;
    const double share = (bad + 1) / number;
    const double standardError = std::sqrt(share * (1 - share) / number);
    return std::min(share + standardError + shareMargin, maxShare);
}

CanaryJudge::Batch CanaryJudge::batchOf(const AnswerCounts &counts, const AnswerCounts &control,
                                        TimePoint now) const
{
    const double share = controlShare(control);
    Batch batch;
    batch.m_at = now;
    batch.m_answers = counts.answers();
    batch.m_bad = badAnswers(counts, control);
    const auto answers = static_cast<double>(batch.m_answers);
    batch.m_expectedBad = answers * share;
    batch.m_variance = answers * share * (1 - share);
    if (const auto *sequential = std::get_if<SequentialTest>(&m_test)) {
        const double badShare = std::min(share + sequential->m_difference, 1.0);
        const auto bad = static_cast<double>(batch.m_bad);
        batch.m_logRatio = bad * std::log(badShare / share)
                           + (answers - bad) * std::log((1 - badShare) / (1 - share));
    }
    return batch;
}

void CanaryJudge::add(const CanaryEvidence &increment, TimePoint now)
{
    for (const auto &[key, counts] : increment) {
        if (key.m_upstream.isEmpty())
            m_routes[key.m_route].m_control += counts;
    }
    std::map<std::string, Batch> byRoute;
    std::map<UpstreamId, Batch> byUpstream;
    Batch all;
    for (const auto &[key, counts] : increment) {
        if (key.m_upstream.isEmpty())
            continue;
        Route &route = m_routes[key.m_route];
        const Batch batch = batchOf(counts, route.m_control, now);
        addTo(route.m_canary.m_upstreams[key.m_upstream], batch);
        byRoute[key.m_route] += batch;
        byUpstream[key.m_upstream] += batch;
        all += batch;
    }
    for (const auto &[name, batch] : byRoute)
        addTo(m_routes[name].m_canary.m_all, batch);
    for (const auto &[id, batch] : byUpstream)
        addTo(m_together.m_upstreams[id], batch);
    if (all.m_answers > 0)
        addTo(m_together.m_all, all);
}

void CanaryJudge::addTo(Tally &tally, const Batch &batch) const
{
    tally.m_whole += batch;
    const auto *comparison = std::get_if<RateComparison>(&m_test);
    if (!comparison) {
        tally.m_sum = std::max(tally.m_sum + batch.m_logRatio, 0.0);
        return;
    }
    tally.m_recent.push_back(batch);
    while (tally.m_recent.front().m_at + comparison->m_window < batch.m_at)
        tally.m_recent.pop_front();
}

double CanaryJudge::score(const Tally &tally) const
{
    const auto *comparison = std::get_if<RateComparison>(&m_test);
    if (!comparison)
        return tally.m_sum;
    Batch sum;
    for (const Batch &batch : tally.m_recent)
        sum += batch;
    if (sum.m_answers < comparison->m_minAnswers)
        return 0;
    const double excess = static_cast<double>(sum.m_bad) - sum.m_expectedBad;
    return std::max(0.0, excess / std::sqrt(sum.m_variance));
}

bool CanaryJudge::isSuspect(const Tally &upstream) const
{
    return upstream.m_whole.m_answers >= minUpstreamAnswers
           && score(upstream) >= upstreamFraction * badSum(m_test);
}

/// Returns whether most of the upstreams that were tried answer badly. One alone says nothing of
/// the version if there are others.
bool CanaryJudge::isAtMostUpstreams(const Group &group, std::size_t upstreams) const
{
    std::size_t tried = 0;
    std::size_t suspects = 0;
    for (const auto &[id, tally] : group.m_upstreams) {
        tried += tally.m_whole.m_answers >= minUpstreamAnswers ? 1 : 0;
        suspects += isSuspect(tally) ? 1 : 0;
    }
    return 2 * suspects > tried && tried >= std::min<std::size_t>(2, upstreams);
}

bool CanaryJudge::isBad(const Group &group, std::size_t upstreams) const
{
    return score(group.m_all) >= badSum(m_test) && isAtMostUpstreams(group, upstreams);
}

std::set<UpstreamId> CanaryJudge::suspects() const
{
    std::set<UpstreamId> suspects;
    const auto addFrom = [this, &suspects](const Group &group) {
        for (const auto &[id, tally] : group.m_upstreams) {
            if (isSuspect(tally))
                suspects.insert(id);
        }
    };
    addFrom(m_together);
    for (const auto &[name, route] : m_routes)
        addFrom(route.m_canary);
    return suspects;
}

/// Returns whether the answers, but for those of suspect upstreams, are as good as the control
/// group's.
bool CanaryJudge::isSound(const Group &group, std::size_t upstreams, double soundSum) const
{
    if (isAtMostUpstreams(group, upstreams))
        return false;
    if (std::holds_alternative<RateComparison>(m_test))
        return score(group.m_all) < soundFraction * badSum(m_test);
    double sum = 0;
    for (const auto &[id, tally] : group.m_upstreams)
        sum += isSuspect(tally) ? 0 : tally.m_whole.m_logRatio;
    return sum <= soundSum;
}

bool CanaryJudge::isSoundEverywhere(std::size_t upstreams) const
{
    const auto *sequential = std::get_if<SequentialTest>(&m_test);
    const double soundSum = sequential ? sequential->m_soundSum : 0;
    const double soundRouteSum = sequential ? sequential->m_soundRouteSum : 0;
    if (answers() < minSoundAnswers || !isSound(m_together, upstreams, soundSum))
        return false;
    return std::all_of(m_routes.begin(), m_routes.end(), [&](const auto &entry) {
        const Route &route = entry.second;
        if (route.m_control.answers() <= usedRouteAnswers)
            return true;
        return route.m_canary.m_all.m_whole.m_answers >= minSoundRouteAnswers
               && isSound(route.m_canary, upstreams, soundRouteSum);
    });
}

CanaryBad CanaryJudge::badOf(const std::string &route, const Tally &tally, double score)
{
    const Batch &whole = tally.m_whole;
    const double share = whole.m_expectedBad / static_cast<double>(whole.m_answers);
    return CanaryBad{route, whole.m_answers, whole.m_bad, share, score};
}

CanaryVerdict CanaryJudge::verdict(std::size_t upstreams) const
{
    for (const auto &[name, route] : m_routes) {
        if (isBad(route.m_canary, upstreams))
            return badOf(name, route.m_canary.m_all, score(route.m_canary.m_all));
    }
    if (isBad(m_together, upstreams))
        return badOf("all", m_together.m_all, score(m_together.m_all));
    if (isSoundEverywhere(upstreams))
        return CanarySound{};
    return CanaryUndecided{};
}

double CanaryJudge::excessBadAnswers() const
{
    double sum = 0;
    for (const auto &[name, route] : m_routes) {
        const Batch &whole = route.m_canary.m_all.m_whole;
        sum += std::max(0.0, static_cast<double>(whole.m_bad) - whole.m_expectedBad);
    }
    return sum;
}

std::int64_t CanaryJudge::answers() const
{
    return m_together.m_all.m_whole.m_answers;
}

std::int64_t CanaryJudge::controlAnswers() const
{
    std::int64_t sum = 0;
    for (const auto &[name, route] : m_routes)
        sum += route.m_control.answers();
    return sum;
}

} // namespace gypsumdale
