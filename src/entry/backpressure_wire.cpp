#include <gypsumdale/entry/peer_wire.hpp>

#include <entry/wire_limits.hpp>
#include <entry_types.h>

#include <algorithm> // min, sort
#include <cmath> // isfinite
#include <cstddef> // size_t
#include <vector> // vector

/// What VMs tell each other of upstreams that want fewer requests.
namespace gypsumdale {

namespace {

/// Number of upstreams' rate limits in a message: more than a VM hears of between two.
constexpr std::size_t rateLimitsPerMessage = 256;
/// Number of leaving upstreams in a message.
constexpr std::size_t leavingPerMessage = 1024;

void fillRateLimits(std::vector<RateLimitReport> reports, TimePoint now,
                    entrywire::EntryDigest &digest)
{
    if (reports.empty())
        return;
    const auto isLater = [](const RateLimitReport &left, const RateLimitReport &right) {
        return left.m_heardAt > right.m_heardAt;
    };
    std::ranges::sort(reports, isLater);
    reports.resize(std::min(reports.size(), rateLimitsPerMessage));
    digest.__isset.rateLimits = true;
    for (const RateLimitReport &report : reports) {
        auto &encoded = digest.rateLimits.emplace_back();
        encoded.upstream = report.m_process.m_id.text();
        encoded.startedAt = report.m_process.m_startedAt;
        if (report.m_limit)
            encoded.__set_requestsPerSecond(*report.m_limit);
        encoded.ageMillis = toWholeMillis(now - report.m_heardAt);
    }
}

std::vector<RateLimitReport> rateLimitsOf(const entrywire::EntryDigest &digest, TimePoint now)
{
    std::vector<RateLimitReport> decoded;
    for (const auto &encoded : digest.rateLimits) {
        if (decoded.size() == rateLimitsPerMessage)
            break;
        RateLimitReport report;
        report.m_process = {UpstreamId(encoded.upstream), encoded.startedAt};
        report.m_heardAt = now - withinLimit(encoded.ageMillis);
        if (encoded.__isset.requestsPerSecond)
            report.m_limit = encoded.requestsPerSecond;
        const bool isMeant =
                !report.m_limit || (std::isfinite(*report.m_limit) && *report.m_limit >= 0);
        if (isMeant)
            decoded.push_back(report);
    }
    return decoded;
}

} // namespace

void fillBackpressure(const BackpressureReport &report, TimePoint now,
                      entrywire::EntryDigest &digest)
{
    fillRateLimits(report.m_rateLimits, now, digest);
    if (report.m_leaving.empty())
        return;
    digest.__isset.leavingUpstreams = true;
    for (const UpstreamProcess &process : report.m_leaving) {
        if (digest.leavingUpstreams.size() == leavingPerMessage)
            break;
        auto &encoded = digest.leavingUpstreams.emplace_back();
        encoded.upstream = process.m_id.text();
        encoded.startedAt = process.m_startedAt;
    }
}

BackpressureReport decodeBackpressureReport(const entrywire::EntryDigest &digest, TimePoint now)
{
    BackpressureReport report;
    report.m_rateLimits = rateLimitsOf(digest, now);
    for (const auto &encoded : digest.leavingUpstreams)
        report.m_leaving.push_back({UpstreamId(encoded.upstream), encoded.startedAt});
    return report;
}

} // namespace gypsumdale
