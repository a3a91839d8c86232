#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/canary_evidence.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <deque> // deque
#include <map> // map
#include <set> // set
#include <string> // string
#include <string_view> // string_view
#include <variant> // variant

namespace gypsumdale {

/// Not enough is known, or what is known does not point to the version.
struct CanaryUndecided
{};

/// Each kind of request was answered as well as by the other versions.
struct CanarySound
{};

/// One kind of request, or all together, are answered worse than by the other versions.
struct CanaryBad
{
    /// "all" for all together.
    std::string m_route;
    std::int64_t m_answers = 0;
    /// Of these, errors and answers that took several times as long.
    std::int64_t m_badAnswers = 0;
    /// Fraction of the other versions' answers that are as bad.
    double m_controlShare = 0;
    /// Strength of the evidence, in the unit of the test.
    double m_score = 0;
};

using CanaryVerdict = std::variant<CanaryUndecided, CanarySound, CanaryBad>;

/// A cumulative sum of log-likelihood ratios (CUSUM) after each batch of answers. Its error holds
/// however often it is looked at, and it forgets good answers, so that a version that turns bad
/// late is found as soon as one that is bad from its start.
struct SequentialTest
{
    /// Sum at which a version is bad, as a natural logarithm: in a version that is as good as the
    /// others, a sum that begins at an answer reaches it with a probability below e to the minus
    /// this.
    double m_badSum = 12;
    /// Least difference between the fractions of bad answers that is looked for.
    double m_difference = 0.15;
    /// The whole sum, from the first answer on, from which a version is sound: one that is bad by
    /// the difference reaches it with a probability below e to this.
    double m_soundSum = -2.5;
    /// The same for a single kind of request.
    double m_soundRouteSum = 0;
};

/// A comparison of the fractions of bad answers within a window of fixed length.
struct RateComparison
{
    Duration m_window = std::chrono::seconds(3);
    /// Least answers in the window.
    std::int64_t m_minAnswers = 20;
    /// Distance in standard errors from which a version is bad.
    double m_deviations = 4;
};

using CanaryTest = std::variant<SequentialTest, RateComparison>;

/// Judges a new version of a service by its answers and by those of the other versions at the same
/// time. An answer is bad if it is an error, or takes several times as long as the median of the
/// control group. Each kind of request is judged by itself. A version is bad only if most of its
/// upstreams answer badly: a single one may have a fault of its own. So where only one was tried,
/// another one is to be tried first.
///
/// It answers a load of any kind; the control group has the same callers at the same time.
class CanaryJudge
{
public:
    explicit CanaryJudge(CanaryTest test = SequentialTest{})
        : m_test(test)
    {}

    /// Takes answers that were counted since the last call. Complexity: n log n.
    void add(const CanaryEvidence &increment, TimePoint now);

    /// Judges the version, of which `upstreams` serve. Complexity: linear in the upstreams and
    /// routes.
    CanaryVerdict verdict(std::size_t upstreams) const;

    /// Returns the upstreams that answer badly, whether or not it is their version's fault.
    /// Complexity: linear in the upstreams and routes.
    std::set<UpstreamId> suspects() const;

    /// Returns the number of bad answers beyond what the control group's fraction explains, over
    /// all routes.
    double excessBadAnswers() const;
    /// Returns the number of the new version's answers.
    std::int64_t answers() const;
    std::int64_t controlAnswers() const;

private:
    /// Answers that were counted together, and what a version like the others would show.
    struct Batch
    {
        TimePoint m_at{};
        std::int64_t m_answers = 0;
        std::int64_t m_bad = 0;
        double m_expectedBad = 0;
        double m_variance = 0;
        /// Logarithm of the likelihood ratio of a bad version and one like the others.
        double m_logRatio = 0;

        Batch &operator+=(const Batch &other);
    };
    /// Answers of one upstream, or of all upstreams of the version.
    struct Tally
    {
        Batch m_whole;
        /// Cumulative sum of the log ratios that never falls below 0.
        double m_sum = 0;
        /// Batches within the window of a comparison.
        std::deque<Batch> m_recent;
    };
    /// Answers on one route, or on all of them.
    struct Group
    {
        Tally m_all;
        std::map<UpstreamId, Tally> m_upstreams;
    };
    struct Route
    {
        AnswerCounts m_control;
        Group m_canary;
    };

    static double controlShare(const AnswerCounts &control);
    Batch batchOf(const AnswerCounts &counts, const AnswerCounts &control, TimePoint now) const;
    void addTo(Tally &tally, const Batch &batch) const;
    double score(const Tally &tally) const;
    bool isSuspect(const Tally &upstream) const;
    bool isAtMostUpstreams(const Group &group, std::size_t upstreams) const;
    bool isBad(const Group &group, std::size_t upstreams) const;
    bool isSound(const Group &group, std::size_t upstreams, double soundSum) const;
    bool isSoundEverywhere(std::size_t upstreams) const;
    static CanaryBad badOf(const std::string &route, const Tally &tally, double score);

    CanaryTest m_test;
    std::map<std::string, Route> m_routes;
    /// All routes together: a route of few requests says little by itself.
    Group m_together;
};

} // namespace gypsumdale
