#include <gypsumdale/serving/scale_planner.hpp>

#include <algorithm> // clamp, max, min, sort
#include <cmath> // ceil
#include <utility> // pair

namespace gypsumdale {

namespace {

/// How long a data centre that refused reclaimable upstreams is not asked again.
constexpr Duration refusalPause = std::chrono::seconds(2);
/// Part of an engine's slots that may be in use while first tokens still come in time.
constexpr double slotsInUse = 0.35;

struct Present
{
    int m_steady = 0;
    int m_reclaimable = 0;
};

std::map<DataCentreId, Present> countPresent(const ScaleInput &input)
{
    std::map<DataCentreId, Present> present;
    for (const auto &[id, record] : *input.m_upstreams) {
        if (record.m_service != input.m_service->m_id || record.m_isDraining)
            continue;
        Present &here = present[record.m_dataCentre];
        ++(record.m_isReclaimable ? here.m_reclaimable : here.m_steady);
    }
    return present;
}

/// Spreads upstreams over the data centres, the cheapest first, within what each may have.
std::map<DataCentreId, int> spread(int count, const ScaleInput &input,
                                   const std::map<DataCentreId, int> &room)
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
    bool hasRoom = true;
    while (count > 0 && hasRoom) {
        hasRoom = false;
        for (const DataCentreId &dataCentre : byPrice) {
            if (count == 0 || parts[dataCentre] >= room.at(dataCentre))
                continue;
            ++parts[dataCentre];
            --count;
            hasRoom = true;
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

/// Returns the engines that the load of the last seconds needs.
int ScalePlanner::neededEngines(const ScaleInput &input, TimePoint now)
{
    double perEngine = m_settings.m_runningPerEngine;
    if (const auto &engine = input.m_service->m_engine)
        perEngine = std::min(perEngine, std::max(1.0, slotsInUse * engine->m_slots));
    const int byLoad = static_cast<int>(std::ceil(input.m_running / perEngine));
    Peak &peak = m_peaks[input.m_service->m_id];
    if (byLoad >= peak.m_engines || now > peak.m_at + m_settings.m_lowerAfter)
        peak = Peak{byLoad, now};
    return peak.m_engines;
}

std::vector<ScaleOrder> ScalePlanner::plan(const ScaleInput &input, TimePoint now)
{
    const ScalingRule &rule = *input.m_service->m_scaling;
    const int places = static_cast<int>(input.m_dataCentres.size());
    if (places == 0)
        return {};
    const auto present = countPresent(input);
    const int needed = neededEngines(input, now);
    const bool hasReclaimable = rule.m_reclaimablePrice > 0;
    std::map<DataCentreId, int> room;
    for (const DataCentreId &dataCentre : input.m_dataCentres)
        room[dataCentre] = rule.m_most;
    const auto floors = spread(m_settings.m_steadyEngines, input, room);
    const double least = m_settings.m_leastShare * rule.m_most * places;
    const double target = std::max(least, needed * m_settings.m_spare);
    const int each = static_cast<int>(std::ceil(target / places));
    std::map<DataCentreId, int> reclaimable;
    int available = 0;
    for (const DataCentreId &dataCentre : input.m_dataCentres) {
        const int floor = partOf(floors, dataCentre);
        if (hasReclaimable)
            reclaimable[dataCentre] = std::clamp(each - floor, rule.m_least, rule.m_most - floor);
        const auto here = present.find(dataCentre);
        const int there = here == present.end() ? 0 : here->second.m_reclaimable;
        available += floor + there;
        room[dataCentre] = rule.m_most - floor - there;
    }
    const auto standIns = spread(std::max(0, needed - available), input, room);
    std::vector<ScaleOrder> orders;
    for (const DataCentreId &dataCentre : input.m_dataCentres) {
        const int leastSteady = hasReclaimable ? 0 : rule.m_least;
        const int steady = partOf(floors, dataCentre) + partOf(standIns, dataCentre);
        orders.push_back({input.m_service->m_id, dataCentre, false, std::max(steady, leastSteady)});
        const auto refused = m_refusedAt.find({input.m_service->m_id, dataCentre});
        const bool isDry = refused != m_refusedAt.end() && now < refused->second + refusalPause;
        if (hasReclaimable && !isDry)
            orders.push_back({input.m_service->m_id, dataCentre, true, reclaimable[dataCentre]});
    }
    return orders;
}

void ScalePlanner::noteRefused(const ScaleOrder &order, TimePoint now)
{
    m_refusedAt[{order.m_service, order.m_dataCentre}] = now;
}

} // namespace gypsumdale
