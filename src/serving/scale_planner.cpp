#include <gypsumdale/serving/scale_planner.hpp>

#include <algorithm> // any_of, clamp, count_if, max, min, stable_sort
#include <cmath> // ceil
#include <utility> // pair

namespace gypsumdale {

namespace {

/// Time for which a data centre that refused reclaimable upstreams is not asked again.
constexpr Duration refusalPause = std::chrono::seconds(2);
/// Fraction of an engine's slots that may be in use while first tokens still meet their target.
constexpr double maxSlotUse = 0.35;

using Present = ScalePlanner::Present;

std::map<DataCentreId, Present> countPresent(const ScaleInput &input)
{
    std::map<DataCentreId, Present> present;
    for (const auto &[id, record] : *input.m_upstreams) {
        if (record.m_service != input.m_service->m_id)
            continue;
        Present &here = present[record.m_dataCentre];
        if (record.m_isDraining) {
            here.m_leaving += record.m_isReclaimable ? 1 : 0;
            continue;
        }
        ++(record.m_isReclaimable ? here.m_reclaimable : here.m_steady);
    }
    return present;
}

/// Returns whether all reclaimable upstreams of a data centre are being taken away. Lower orders
/// leave some.
bool hasReclaim(const std::map<DataCentreId, Present> &present)
{
    return std::any_of(present.begin(), present.end(), [](const auto &entry) {
        return entry.second.m_leaving > 0 && entry.second.m_reclaimable == 0;
    });
}

/// Returns the number of data centres without reclaimable upstreams.
int withoutReclaimable(const std::map<DataCentreId, Present> &present, const ScaleInput &input)
{
    const auto count =
            std::count_if(input.m_dataCentres.begin(), input.m_dataCentres.end(),
                          [&present](const DataCentreId &dataCentre) {
                              const auto here = present.find(dataCentre);
                              return here == present.end() || here->second.m_reclaimable == 0;
                          });
    return static_cast<int>(count);
}

/// Returns the highest number of reclaimable upstreams in one data centre.
int largestGroup(const std::map<DataCentreId, Present> &present)
{
    int largest = 0;
    for (const auto &[dataCentre, here] : present)
        largest = std::max(largest, here.m_reclaimable);
    return largest;
}

/// Distributes upstreams over the data centres, the cheapest first, within the capacity of each.
std::map<DataCentreId, int> spread(int count, const ScaleInput &input,
                                   const std::map<DataCentreId, int> &capacity)
{
    std::vector<DataCentreId> byPrice = input.m_dataCentres;
    const auto &prices = input.m_service->m_scaling->m_prices;
    const auto priceOf = [&prices](const DataCentreId &dataCentre) {
        const auto found = prices.find(dataCentre);
        return found == prices.end() ? 1.0 : found->second;
    };
    std::stable_sort(byPrice.begin(), byPrice.end(),
                     [&](const DataCentreId &left, const DataCentreId &right) {
                         return priceOf(left) < priceOf(right);
                     });
    std::map<DataCentreId, int> parts;
    bool hasCapacity = true;
    while (count > 0 && hasCapacity) {
        hasCapacity = false;
        for (const DataCentreId &dataCentre : byPrice) {
            if (count == 0 || parts[dataCentre] >= capacity.at(dataCentre))
                continue;
            ++parts[dataCentre];
            --count;
            hasCapacity = true;
        }
    }
    return parts;
}

int partOf(const std::map<DataCentreId, int> &parts, const DataCentreId &dataCentre)
{
    const auto found = parts.find(dataCentre);
    return found == parts.end() ? 0 : found->second;
}

} // namespace

int ScalePlanner::Peak::raise(int engines, TimePoint now, Duration lowerAfter)
{
    if (engines >= m_engines || now > m_at + lowerAfter) {
        m_engines = engines;
        m_at = now;
    }
    return m_engines;
}

/// Returns the number of engines that the load of the last seconds needs, based on the prefill
/// demand, where an engine's speed has been observed, and on the requests in flight.
ScalePlanner::Need ScalePlanner::neededEngines(const ScaleInput &input, ServiceState &state,
                                               TimePoint now) const
{
    double perEngine = m_settings.m_runningPerEngine;
    if (const auto &engine = input.m_service->m_engine)
        perEngine = std::min(perEngine, std::max(1.0, maxSlotUse * engine->m_slots));
    const int byRunning = static_cast<int>(std::ceil(input.m_running / perEngine));
    const PrefillRate &reading = input.m_reading;
    const auto byReading = [&reading](double load) {
        return static_cast<int>(std::ceil(reading.m_demand / (reading.m_speed * load)));
    };
    // Without a known speed, nothing is ordered in anticipation.
    Need need{byRunning, byRunning, 0};
    if (reading.m_speed > 0) {
        need.m_target = std::max(byRunning, byReading(m_settings.m_prefillLoad));
        // Requests in flight are unsuitable here: they accumulate because engines are missing.
        need.m_standIn = byReading(m_settings.m_replacementPrefillLoad);
        need.m_least = byReading(m_settings.m_riskPrefillLoad);
    }
    need.m_target = state.m_target.raise(need.m_target, now, m_settings.m_scaleDownDelay);
    need.m_standIn = state.m_standIn.raise(need.m_standIn, now, m_settings.m_scaleDownDelay);
    need.m_least = state.m_least.raise(need.m_least, now, m_settings.m_scaleDownDelay);
    return need;
}

bool ScalePlanner::isReclaiming(const ServiceState &state, TimePoint now) const
{
    return state.m_reclaimedAt && now < *state.m_reclaimedAt + m_settings.m_reclaimSettleTime;
}

/// Returns the number of steady upstreams that stand in for reclaimable ones.
///
/// It covers the current shortage and, once half of the data centres have lost their reclaimable
/// upstreams, also the shortage that a reclaim of the largest remaining group would cause: a steady
/// engine takes longer to start than a notice lasts, and requests would accumulate at the few that
/// remain. Ordering them from the first reclaim on cost more than it gained.
int ScalePlanner::countStandIns(const Need &need, const std::map<DataCentreId, Present> &present,
                                const ScaleInput &input, int available, bool isReclaiming)
{
    const int shortage = need.m_standIn - available;
    const auto dataCentreCount = static_cast<int>(input.m_dataCentres.size());
    const bool isReclaimWave =
            isReclaiming && 2 * withoutReclaimable(present, input) >= dataCentreCount;
    const int afterNext = need.m_least - (available - largestGroup(present));
    return std::max({0, shortage, isReclaimWave ? afterNext : 0});
}

std::vector<ScaleOrder> ScalePlanner::plan(const ScaleInput &input, TimePoint now)
{
    const ScalingRule &rule = *input.m_service->m_scaling;
    const int dataCentreCount = static_cast<int>(input.m_dataCentres.size());
    if (dataCentreCount == 0)
        return {};
    const auto present = countPresent(input);
    ServiceState &state = m_states[input.m_service->m_id];
    if (hasReclaim(present))
        state.m_reclaimedAt = now;
    const Need need = neededEngines(input, state, now);
    const bool hasReclaimable = rule.m_reclaimablePrice > 0;
    std::map<DataCentreId, int> capacity;
    for (const DataCentreId &dataCentre : input.m_dataCentres)
        capacity[dataCentre] = rule.m_most;
    const auto floors = spread(m_settings.m_nonReclaimableEngines, input, capacity);
    const double least = m_settings.m_minimumShare * rule.m_most * dataCentreCount;
    const double target = std::max(least, need.m_target * m_settings.m_spare);
    const int perDataCentre = static_cast<int>(std::ceil(target / dataCentreCount));
    std::map<DataCentreId, int> reclaimable;
    int available = 0;
    for (const DataCentreId &dataCentre : input.m_dataCentres) {
        const int floor = partOf(floors, dataCentre);
        if (hasReclaimable)
            reclaimable[dataCentre] =
                    std::clamp(perDataCentre - floor, rule.m_least, rule.m_most - floor);
        const auto here = present.find(dataCentre);
        const int reclaimableHere = here == present.end() ? 0 : here->second.m_reclaimable;
        available += floor + reclaimableHere;
        capacity[dataCentre] = rule.m_most - floor - reclaimableHere;
    }
    const auto standIns =
            spread(countStandIns(need, present, input, available, isReclaiming(state, now)), input,
                   capacity);
    std::vector<ScaleOrder> orders;
    for (const DataCentreId &dataCentre : input.m_dataCentres) {
        const int leastSteady = hasReclaimable ? 0 : rule.m_least;
        const int steady = partOf(floors, dataCentre) + partOf(standIns, dataCentre);
        orders.push_back({input.m_service->m_id, dataCentre, false, std::max(steady, leastSteady)});
        const auto refused = m_refusedAt.find({input.m_service->m_id, dataCentre});
        const bool isRefusing =
                refused != m_refusedAt.end() && now < refused->second + refusalPause;
        if (hasReclaimable && !isRefusing)
            orders.push_back({input.m_service->m_id, dataCentre, true, reclaimable[dataCentre]});
    }
    return orders;
}

void ScalePlanner::recordRefusal(const ScaleOrder &order, TimePoint now)
{
    m_refusedAt[{order.m_service, order.m_dataCentre}] = now;
    m_states[order.m_service].m_reclaimedAt = now;
}

} // namespace gypsumdale
