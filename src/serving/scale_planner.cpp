#include <gypsumdale/serving/scale_planner.hpp>

#include <algorithm> // clamp, max, min, sort
#include <cmath> // ceil
#include <utility> // pair

namespace gypsumdale {

namespace {

/// How long a data centre that refused reclaimable upstreams is not asked again.
constexpr Duration refusalPause = std::chrono::seconds(2);

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

} // namespace

int ScalePlanner::wantedEngines(const ScaleInput &input, TimePoint now)
{
    const int byLoad =
            static_cast<int>(std::ceil(input.m_running / m_settings.m_runningPerEngine));
    const int wanted = std::max(byLoad, m_settings.m_leastEngines);
    Peak &peak = m_peaks[input.m_service->m_id];
    if (wanted >= peak.m_engines || now > peak.m_at + m_settings.m_lowerAfter)
        peak = Peak{wanted, now};
    return peak.m_engines;
}

std::vector<ScaleOrder> ScalePlanner::plan(const ScaleInput &input, TimePoint now)
{
    const ScalingRule &rule = *input.m_service->m_scaling;
    const int places = static_cast<int>(input.m_dataCentres.size());
    if (places == 0)
        return {};
    const auto present = countPresent(input);
    const int wanted = wantedEngines(input, now);
    const int steadyFloor =
            std::clamp(m_settings.m_steadyPerDataCentre, rule.m_least, rule.m_most);
    int reclaimableEach = 0;
    if (rule.m_reclaimablePrice > 0) {
        const double each = std::ceil(wanted * m_settings.m_spare / places) - steadyFloor;
        reclaimableEach = std::clamp(static_cast<int>(each), 0, rule.m_most - steadyFloor);
    }
    int running = places * steadyFloor;
    std::map<DataCentreId, int> room;
    for (const DataCentreId &dataCentre : input.m_dataCentres) {
        const auto here = present.find(dataCentre);
        const int reclaimable = here == present.end() ? 0 : here->second.m_reclaimable;
        running += reclaimable;
        room[dataCentre] = rule.m_most - steadyFloor - std::max(reclaimable, reclaimableEach);
    }
    const auto standIns = spread(std::max(0, wanted - running), input, room);
    std::vector<ScaleOrder> orders;
    for (const DataCentreId &dataCentre : input.m_dataCentres) {
        const auto extra = standIns.find(dataCentre);
        const int steady = steadyFloor + (extra == standIns.end() ? 0 : extra->second);
        orders.push_back({input.m_service->m_id, dataCentre, false, steady});
        const auto refused = m_refusedAt.find({input.m_service->m_id, dataCentre});
        const bool isDry = refused != m_refusedAt.end() && now < refused->second + refusalPause;
        if (rule.m_reclaimablePrice > 0 && !isDry)
            orders.push_back({input.m_service->m_id, dataCentre, true, reclaimableEach});
    }
    return orders;
}

void ScalePlanner::noteRefused(const ScaleOrder &order, TimePoint now)
{
    m_refusedAt[{order.m_service, order.m_dataCentre}] = now;
}

} // namespace gypsumdale
