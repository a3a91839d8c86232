#include <gypsumdale/serving/upstream_speed.hpp>

#include <algorithm> // any_of, clamp, count_if, max, min, min_element, minmax_element, nth_element, sort
#include <cmath> // isfinite
#include <utility> // pair

namespace gypsumdale {

namespace {

/// Shorter prompts are read within the time of a connection and a processing step.
constexpr std::int64_t minTokens = 500;
/// Samples per upstream process that are kept, and required for an estimate.
constexpr std::size_t maxSamples = 16;
constexpr std::size_t minSamples = 4;
/// Samples from which one VM's estimate is evidence that speeds are uneven.
constexpr int minEvidenceSamples = maxSamples;
/// Time that the samples of an estimate span at least, and between two of them: an engine that is
/// slow for part of a second yields few of the samples kept.
constexpr Duration minSpan = std::chrono::seconds(2);
constexpr Duration minSpacing = std::chrono::milliseconds(250);
/// Quantile of the samples' speeds that is used, see PrefillEstimator.
constexpr double speedQuantile = 0.75;
/// A prompt this many times longer than the quickest one shows the growth of the delay.
constexpr double longerFactor = 1.5;
/// Least part of a delay that counts as prefill. It limits the effect of an overestimated delay.
constexpr double minPrefillPart = 0.25;

/// Ratio to the median within which an upstream counts as usual again, and beyond which it no
/// longer does.
constexpr double usualRatio = 1.2;
constexpr double unusualRatio = 1.3;
/// Ratio to the median of one VM's estimates from which one of them is evidence of a slow upstream.
/// It is higher than for a fast one, as slowdowns and contended prompts in a row make a VM
/// underestimate a speed by a third.
constexpr double slowEvidenceRatio = 1.75;
/// Bounds of the relative speed that placements use.
constexpr double minRelative = 0.4;
constexpr double maxRelative = 2.5;
/// Number of VMs whose median excludes a wrong one.
constexpr std::size_t minVms = 3;
/// Number of measured upstreams that is enough for a median, in a large service.
constexpr std::size_t enoughUpstreams = 6;
/// Number of VMs that must see uneven speeds before these have an effect: one may be wrong.
constexpr std::size_t minUnevenViews = 2;
/// A VM in a fleet of 77 reports each estimate every few seconds.
constexpr Duration peerSpeedLifetime = std::chrono::seconds(60);
/// Age of an upstream's last sample, also in relation to the median age, beyond which it counts as
/// too busy for samples.
constexpr Duration minUnrefreshedAge = std::chrono::seconds(15);
constexpr double unrefreshedFactor = 10;
constexpr Duration updateInterval = std::chrono::seconds(1);

double quantileOf(std::vector<double> values, double quantile)
{
    const auto at = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

/// Returns the median, the mean of the middle two for an even number.
double medianOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

bool isBeyond(double ratio, double limit)
{
    return ratio > limit || ratio < 1 / limit;
}

bool isValid(const ObservedSpeed &speed)
{
    return std::isfinite(speed.m_tokensPerSecond) && speed.m_tokensPerSecond > 0
           && speed.m_samples >= static_cast<int>(minSamples);
}

} // namespace

void UpstreamSpeeds::setUpstreams(const std::map<UpstreamId, UpstreamRecord> &upstreams)
{
    std::map<UpstreamId, Process> processes;
    m_services.clear();
    for (const auto &[id, record] : upstreams) {
        processes[id] = {record.m_service, record.m_startedAt};
        m_services[record.m_service].push_back(id);
    }
    std::swap(m_processes, processes);
    const auto isPast = [this, &processes](const auto &entry) {
        return !isCurrent(entry.first, processes.at(entry.first).m_startedAt);
    };
    std::erase_if(m_samples, isPast);
    std::erase_if(m_speeds, isPast);
    for (auto &[node, peer] : m_peers) {
        std::erase_if(peer.m_speeds, [this](const auto &entry) {
            return !isCurrent(entry.first, entry.second.m_startedAt);
        });
    }
    std::erase_if(m_states,
                  [this](const auto &entry) { return !m_processes.contains(entry.first); });
}

bool UpstreamSpeeds::isCurrent(const UpstreamId &upstream, std::int64_t startedAt) const
{
    const auto found = m_processes.find(upstream);
    return found != m_processes.end() && found->second.m_startedAt == startedAt;
}

void UpstreamSpeeds::record(const UpstreamRecord &upstream, std::int64_t ownTokens, Duration wait,
                            TimePoint now)
{
    if (ownTokens < minTokens || wait <= Duration::zero() || upstream.m_dataCentre != m_dataCentre
        || !isCurrent(upstream.m_id, upstream.m_startedAt))
        return;
    Samples &samples = m_samples[upstream.m_id];
    if (!samples.empty() && now - samples.back().m_at < minSpacing)
        return;
    samples.push_back({static_cast<double>(ownTokens), toSeconds(wait), now});
    if (samples.size() > maxSamples)
        samples.pop_front();
}

std::size_t UpstreamSpeeds::mergePeer(const std::string &node, const ObservedSpeeds &speeds,
                                      TimePoint now)
{
    Peer &peer = m_peers[node];
    if (speeds.empty())
        peer = {};
    std::size_t invalid = 0;
    for (const auto &[upstream, speed] : speeds) {
        invalid += isValid(speed) ? 0 : 1;
        if (!isValid(speed) || !isCurrent(upstream, speed.m_startedAt))
            continue;
        peer.m_speeds[upstream] = speed;
        // A larger count is not from a VM, and the sum over VMs would overflow.
        peer.m_speeds[upstream].m_samples = std::min(speed.m_samples, static_cast<int>(maxSamples));
        peer.m_receivedAt[upstream] = now;
    }
    return invalid;
}

/// Drops the estimates that other VMs no longer report.
void UpstreamSpeeds::expirePeerSpeeds(TimePoint now)
{
    for (auto &[node, peer] : m_peers) {
        std::erase_if(peer.m_speeds, [now, &times = peer.m_receivedAt](const auto &entry) {
            return now - times.at(entry.first) > peerSpeedLifetime;
        });
        std::erase_if(peer.m_receivedAt, [&speeds = peer.m_speeds](const auto &entry) {
            return !speeds.contains(entry.first);
        });
    }
}

/// Drops the samples of upstreams that have had no new ones for much longer than others of their
/// service. One that became slower than its estimate receives so many requests that no prompt is
/// alone there, and the estimate would stay.
void UpstreamSpeeds::dropUnrefreshed(TimePoint now)
{
    std::map<ServiceId, std::vector<double>> ages;
    for (const auto &[upstream, samples] : m_samples)
        ages[m_processes.at(upstream).m_service].push_back(toSeconds(now - samples.back().m_at));
    std::erase_if(m_samples, [&](const auto &entry) {
        const double usualAge = medianOf(ages.at(m_processes.at(entry.first).m_service));
        const Duration age = now - entry.second.back().m_at;
        return age > minUnrefreshedAge && toSeconds(age) > unrefreshedFactor * usualAge;
    });
}

/// Returns the part of an upstream's delays that doesn't depend on the prompt, or nothing if
/// lengths differ too little. Contended prompts are counted as prefill, which at worst
/// underestimates it.
std::optional<double> UpstreamSpeeds::delayOf(const Samples &samples)
{
    const auto quickest = std::min_element(samples.begin(), samples.end(),
                                           [](const Sample &left, const Sample &right) {
                                               return left.m_seconds < right.m_seconds;
                                           });
    std::vector<double> speeds;
    for (const Sample &sample : samples) {
        const double beyond = sample.m_seconds - quickest->m_seconds;
        if (sample.m_tokens >= longerFactor * quickest->m_tokens && beyond > 0)
            speeds.push_back((sample.m_tokens - quickest->m_tokens) / beyond);
    }
    if (speeds.empty())
        return std::nullopt;
    const double speed = quantileOf(std::move(speeds), speedQuantile);
    return std::max(0.0, quickest->m_seconds - quickest->m_tokens / speed);
}

/// Returns this VM's estimates. The part of the delays without prefill is a quantile over a
/// service's upstreams: an upstream's long prompts that were contended make its part seem less.
ObservedSpeeds UpstreamSpeeds::ownSpeeds() const
{
    std::map<ServiceId, std::vector<double>> delays;
    for (const auto &[upstream, samples] : m_samples) {
        const Process &process = m_processes.at(upstream);
        if (const std::optional<double> delay = delayOf(samples))
            delays[process.m_service].push_back(*delay);
    }
    ObservedSpeeds own;
    for (const auto &[upstream, samples] : m_samples) {
        if (samples.size() < minSamples || samples.back().m_at - samples.front().m_at < minSpan)
            continue;
        const Process &process = m_processes.at(upstream);
        const auto found = delays.find(process.m_service);
        const double delay = found == delays.end() ? 0 : quantileOf(found->second, speedQuantile);
        std::vector<double> speeds;
        for (const Sample &sample : samples) {
            const double prefill =
                    std::max(sample.m_seconds - delay, minPrefillPart * sample.m_seconds);
            speeds.push_back(sample.m_tokens / prefill);
        }
        own[upstream] = {process.m_startedAt, quantileOf(std::move(speeds), speedQuantile),
                         static_cast<int>(samples.size())};
    }
    return own;
}

/// Returns the median of the VMs' estimates, or nothing if they are too few to exclude a wrong one.
std::optional<UpstreamSpeeds::FleetSpeed>
UpstreamSpeeds::fleetSpeed(const UpstreamId &upstream, const ObservedSpeeds &own) const
{
    FleetSpeed fleet;
    std::vector<double> speeds;
    const auto add = [&](const ObservedSpeeds &observed) {
        const auto found = observed.find(upstream);
        if (found == observed.end())
            return;
        speeds.push_back(found->second.m_tokensPerSecond);
        fleet.m_samples += found->second.m_samples;
    };
    add(own);
    for (const auto &[node, peer] : m_peers)
        add(peer.m_speeds);
    if (speeds.empty() || (speeds.size() == 1 && !m_peers.empty()))
        return std::nullopt;
    const auto [least, most] = std::minmax_element(speeds.begin(), speeds.end());
    if (speeds.size() < minVms && *most > usualRatio * *least)
        return std::nullopt;
    fleet.m_vms = static_cast<int>(speeds.size());
    fleet.m_tokensPerSecond = medianOf(std::move(speeds));
    return fleet;
}

/// Returns whether one VM's estimates show that a service's speeds are uneven.
bool UpstreamSpeeds::seesUneven(const ObservedSpeeds &speeds, const ServiceId &service) const
{
    std::vector<double> values;
    for (const auto &[upstream, speed] : speeds) {
        if (speed.m_samples >= minEvidenceSamples && m_processes.at(upstream).m_service == service)
            values.push_back(speed.m_tokensPerSecond);
    }
    if (values.size() < 2)
        return false;
    const double median = medianOf(values);
    return std::any_of(values.begin(), values.end(), [median](double value) {
        return value > unusualRatio * median || slowEvidenceRatio * value < median;
    });
}

/// Returns the number of peers that see uneven speeds.
std::size_t UpstreamSpeeds::unevenPeers(const ServiceId &service) const
{
    const auto count = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return seesUneven(entry.second.m_speeds, service);
    });
    return static_cast<std::size_t>(count);
}

std::vector<SpeedChange> UpstreamSpeeds::update(TimePoint now)
{
    std::vector<SpeedChange> changes;
    if (m_updatedAt && now - *m_updatedAt < updateInterval)
        return changes;
    m_updatedAt = now;
    m_speeds.clear();
    m_shared.clear();
    expirePeerSpeeds(now);
    dropUnrefreshed(now);
    const ObservedSpeeds own = ownSpeeds();
    for (const auto &[service, upstreams] : m_services) {
        const bool isSeen = seesUneven(own, service);
        const std::size_t views = unevenPeers(service) + (isSeen ? 1 : 0);
        const bool wasUneven =
                std::any_of(upstreams.begin(), upstreams.end(),
                            [this](const UpstreamId &id) { return m_states.contains(id); });
        const bool isConfirmed = wasUneven || views >= std::min(minUnevenViews, m_peers.size() + 1);
        updateService(service, isConfirmed ? fleetSpeeds(upstreams, own) : FleetSpeeds(), changes);
        if (m_peers.empty() || (!isSeen && !isConfirmed))
            continue;
        for (const UpstreamId &upstream : upstreams) {
            if (const auto found = own.find(upstream); found != own.end())
                m_shared.insert(*found);
        }
    }
    return changes;
}

/// Returns the speeds of a service's upstreams, or none if too few are measured for a median.
UpstreamSpeeds::FleetSpeeds UpstreamSpeeds::fleetSpeeds(const std::vector<UpstreamId> &upstreams,
                                                        const ObservedSpeeds &own) const
{
    FleetSpeeds speeds;
    for (const UpstreamId &upstream : upstreams) {
        if (const std::optional<FleetSpeed> speed = fleetSpeed(upstream, own))
            speeds[upstream] = *speed;
    }
    if (speeds.size() < std::min(upstreams.size() / 2 + 1, enoughUpstreams))
        speeds.clear();
    return speeds;
}

void UpstreamSpeeds::updateService(const ServiceId &service, const FleetSpeeds &measured,
                                   std::vector<SpeedChange> &changes)
{
    std::vector<double> values;
    for (const auto &[upstream, speed] : measured)
        values.push_back(speed.m_tokensPerSecond);
    const double median = measured.empty() ? 0 : medianOf(std::move(values));
    const std::vector<UpstreamId> &upstreams = m_services.at(service);
    bool isUneven = false;
    for (const UpstreamId &upstream : upstreams) {
        const auto found = measured.find(upstream);
        SpeedChange change{upstream, service, SpeedState::Unmeasured};
        if (found != measured.end())
            change = assess(upstream, found->second, median);
        setState(change, changes);
        if (!m_states.contains(upstream))
            continue;
        isUneven = true;
        m_speeds[upstream] = {change.m_tokensPerSecond,
                              std::clamp(change.m_relative, minRelative, maxRelative)};
    }
    if (!isUneven)
        return;
    for (const UpstreamId &upstream : upstreams)
        m_speeds.try_emplace(upstream, PlacementSpeed{median, 1});
}

/// Returns the state of a measured upstream.
SpeedChange UpstreamSpeeds::assess(const UpstreamId &upstream, const FleetSpeed &speed,
                                   double median) const
{
    SpeedChange assessed{upstream, m_processes.at(upstream).m_service};
    assessed.m_tokensPerSecond = speed.m_tokensPerSecond;
    assessed.m_relative = speed.m_tokensPerSecond / median;
    assessed.m_samples = speed.m_samples;
    assessed.m_vms = speed.m_vms;
    if (isBeyond(assessed.m_relative, m_states.contains(upstream) ? usualRatio : unusualRatio))
        assessed.m_state = assessed.m_relative > 1 ? SpeedState::Faster : SpeedState::Slower;
    return assessed;
}

void UpstreamSpeeds::setState(const SpeedChange &change, std::vector<SpeedChange> &changes)
{
    const bool isUnusual =
            change.m_state == SpeedState::Faster || change.m_state == SpeedState::Slower;
    const auto known = m_states.find(change.m_upstream);
    if (known == m_states.end() ? !isUnusual : known->second == change.m_state)
        return;
    changes.push_back(change);
    if (isUnusual)
        m_states[change.m_upstream] = change.m_state;
    else
        m_states.erase(known);
}

} // namespace gypsumdale
