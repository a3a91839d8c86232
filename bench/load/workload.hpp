#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>

#include <pcg_random.hpp>

#include <string> // string
#include <vector> // vector

namespace gypsumdale::load {

/// The consortium whose traffic is imitated.
enum class Mix { Wholesale, SwapShops };

inline constexpr NameTable<Mix, 2> mixNames = {{
        {Mix::Wholesale, "wholesale"},
        {Mix::SwapShops, "swapshops"},
}};

/// A class of requests within a mix.
struct RequestClass
{
    std::string m_name;
    std::string m_profile;
    std::string m_service;
    /// Path of a call to a plain service; empty for chat completions.
    std::string m_path;
    double m_share = 0;
    int m_promptWords = 0;
    int m_answerTokens = 0;
    bool m_keyed = false;
};

/// Returns the classes of a mix: long durable texts, short questions and calls that must not run
/// twice.
std::vector<RequestClass> classesOf(Mix mix);

/// A member and the API key of its callers.
struct MemberKey
{
    std::string m_member;
    std::string m_key;
};

/// One scheduled request; its time counts from the start of the run.
struct Arrival
{
    Duration m_at = {};
    std::size_t m_number = 0;
    std::size_t m_member = 0;
    std::size_t m_class = 0;
    std::string m_prompt;
};

/// Rate, limits and seed of a run.
struct WorkloadSettings
{
    double m_perSecond = 20;
    std::size_t m_count = 1000;
    Duration m_time = std::chrono::seconds(30);
    std::uint64_t m_seed = 1;
};

/// Draws Poisson arrivals; the same seed gives the same arrivals. The members' shares of the
/// traffic are proportional to 1, 1/2, 1/3 and so on in the order of their keys. Requests of the
/// same member and class share the first half of their prompts, as prompts from a template do.
/// Complexity: linear in the number of arrivals.
std::vector<Arrival> drawArrivals(const WorkloadSettings &settings,
                                  const std::vector<RequestClass> &classes, std::size_t members);

} // namespace gypsumdale::load
