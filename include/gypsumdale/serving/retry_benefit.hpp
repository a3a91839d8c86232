#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/names.hpp>

#include <compare> // strong_ordering
#include <cstddef> // size_t
#include <deque> // deque
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <tuple> // tie

namespace gypsumdale {

/// Kind of an error answer, for which the results of second runs are counted.
struct ErrorKind
{
    ServiceId m_service;
    std::string m_route;
    int m_status = 0;

    friend bool operator<(const ErrorKind &left, const ErrorKind &right)
    {
        return std::tie(left.m_service, left.m_route, left.m_status)
               < std::tie(right.m_service, right.m_route, right.m_status);
    }
};

/// Why a request that was answered with an error is run again or not.
enum class RetryBenefitReason {
    /// Too few second runs are known.
    TooFewSamples,
    /// Second runs help in more than one in five cases.
    SecondRunsHelp,
    /// The upstream fails more often than the service's others.
    UpstreamFails,
    /// The run only measures whether second runs help.
    Measurement,
    /// Second runs rarely help.
    RarelyHelps,
};

inline constexpr NameTable<RetryBenefitReason, 5> retryBenefitReasonNames = {{
        {RetryBenefitReason::TooFewSamples, "too-few-samples"},
        {RetryBenefitReason::SecondRunsHelp, "second-runs-help"},
        {RetryBenefitReason::UpstreamFails, "upstream-fails"},
        {RetryBenefitReason::Measurement, "measurement"},
        {RetryBenefitReason::RarelyHelps, "rarely-helps"},
}};

/// Decision about one error answer, with its inputs.
struct RetryBenefitDecision
{
    RetryBenefitReason m_reason = RetryBenefitReason::TooFewSamples;
    /// Second runs known for the kind of error, and those of them that succeeded.
    int m_secondRuns = 0;
    int m_helped = 0;
    /// The upstream's latest answers, and the errors among them.
    int m_answers = 0;
    int m_errors = 0;
    /// Median of the error shares of the service's upstreams.
    double m_medianShare = 0;

    bool isRetried() const { return m_reason != RetryBenefitReason::RarelyHelps; }
};

/// Decides whether a request that an upstream has run and answered with an error is worth a second
/// run at another upstream. Counts this VM's own answers only, and loses them at a restart: errors
/// are then retried until enough second runs are known.
///
/// Load: some answers a second to some hundreds; a part of a few percent are errors. The latest
/// answers count, so that a change shows after few of them at any rate.
class RetryBenefit
{
public:
    /// Second runs that must be known before errors are answered without one.
    static constexpr int minSecondRuns = 5;
    /// Second runs that count: the latest ones, up to this age. At one VM of many, errors may be
    /// ten seconds apart; a tenth of them must make the number above within this time.
    static constexpr std::size_t maxSecondRuns = 20;
    static constexpr Duration maxAge = std::chrono::minutes(15);
    /// One in this many errors is retried where second runs rarely help, and the next one after
    /// each second run that helped, so that a change shows soon.
    static constexpr int measurementInterval = 10;

    /// Records an answer of an upstream to a request's run. Complexity: logarithmic.
    void recordAnswer(const ServiceId &service, const UpstreamId &upstream, bool isError,
                      TimePoint now);

    /// Records the result of a second run after an error answer. Complexity: logarithmic.
    void recordSecondRun(const ErrorKind &kind, bool hasHelped, TimePoint now);

    /// Decides about an error answer, which was recorded before. Without an upstream, as for an
    /// answer that a peer relayed, only second runs count. Complexity: linear in the service's
    /// upstreams.
    RetryBenefitDecision decide(const ErrorKind &kind, const std::optional<UpstreamId> &upstream,
                                TimePoint now);

private:
    struct Result
    {
        TimePoint m_at{};
        bool m_isBad = false;
    };
    using Results = std::deque<Result>;
    struct SecondRuns
    {
        Results m_results;
        int m_sinceMeasurement = 0;
    };
    using Upstreams = std::map<UpstreamId, Results>;

    static void add(Results &results, bool isBad, std::size_t most, TimePoint now);
    static double medianShare(const Upstreams &upstreams, TimePoint now);
    bool failsMoreThanOthers(const UpstreamId &upstream, const Upstreams &upstreams,
                             RetryBenefitDecision &decision, TimePoint now) const;
    void dropOld(TimePoint now);

    std::map<ErrorKind, SecondRuns> m_secondRuns;
    std::map<ServiceId, Upstreams> m_upstreams;
    TimePoint m_cleanedAt{};
};

} // namespace gypsumdale
