#include "bench/load/workload.hpp"

#include <fmt/format.h>

#include <random> // discrete_distribution, exponential_distribution

namespace gypsumdale::load {

namespace {

std::string promptOf(const Arrival &arrival, const RequestClass &requestClass)
{
    std::string prompt = fmt::format("{} of member {}", requestClass.m_name, arrival.m_member);
    const int shared = requestClass.m_promptWords / 2;
    for (int word = 0; word < requestClass.m_promptWords; ++word) {
        if (word < shared)
            prompt += fmt::format(" line{}", word);
        else
            prompt += fmt::format(" item{}x{}", arrival.m_number, word);
    }
    return prompt;
}

} // namespace

std::vector<RequestClass> classesOf(Mix mix)
{
    if (mix == Mix::Wholesale) {
        return {{"draft", "quote-draft", "gypsum-llm", "", 0.2, 300, 300, true},
                {"phone", "part-match", "gypsum-llm", "", 0.6, 60, 40, false},
                {"reservation", "stock-lookup", "trade-app", "/reservations", 0.2, 0, 0, true}};
    }
    return {{"report", "parish-report", "asistente", "", 0.15, 600, 500, true},
            {"counter", "counter-answer", "asistente", "", 0.65, 40, 30, false},
            {"donation", "donation-count", "ropero-app", "/donations", 0.2, 0, 0, true}};
}

std::vector<Arrival> drawArrivals(const WorkloadSettings &settings,
                                  const std::vector<RequestClass> &classes, std::size_t members)
{
    pcg32 random(settings.m_seed);
    std::vector<double> memberSizes;
    memberSizes.reserve(members);
    for (std::size_t member = 0; member < members; ++member)
        memberSizes.push_back(1.0 / static_cast<double>(member + 1));
    std::vector<double> shares;
    shares.reserve(classes.size());
    for (const RequestClass &requestClass : classes)
        shares.push_back(requestClass.m_share);
    std::discrete_distribution<std::size_t> pickMember(memberSizes.begin(), memberSizes.end());
    std::discrete_distribution<std::size_t> pickClass(shares.begin(), shares.end());
    std::exponential_distribution<double> gap(settings.m_perSecond);
    std::vector<Arrival> arrivals;
    std::chrono::duration<double> at{};
    while (arrivals.size() < settings.m_count) {
        at += std::chrono::duration<double>(gap(random));
        if (at >= settings.m_time)
            break;
        Arrival arrival;
        arrival.m_at = std::chrono::duration_cast<Duration>(at);
        arrival.m_number = arrivals.size();
        arrival.m_member = pickMember(random);
        arrival.m_class = pickClass(random);
        arrival.m_prompt = promptOf(arrival, classes[arrival.m_class]);
        arrivals.push_back(std::move(arrival));
    }
    return arrivals;
}

} // namespace gypsumdale::load
