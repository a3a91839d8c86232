#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>

#include <pcg_random.hpp>

#include <string> // string
#include <vector> // vector

namespace gypsumdale::load {

/// Which consortium's traffic to imitate.
enum class Mix { Wholesale, SwapShops };

inline constexpr NameTable<Mix, 2> mixNames = {{
        {Mix::Wholesale, "wholesale"},
        {Mix::SwapShops, "swapshops"},
}};

/// A kind of request within a mix.
struct RequestClass
{
    std::string m_name;
    std::string m_profile;
    std::string m_service;
    /// Plain services get a path; an empty one means chat completions.
    std::string m_path;
    double m_share = 0;
    int m_promptWords = 0;
    int m_answerTokens = 0;
    bool m_keyed = false;
};

/// Returns the classes of a mix: long durable texts, short questions and calls that must not
/// repeat.
std::vector<RequestClass> classesOf(Mix mix);

/// A member and the key its callers bear.
struct MemberKey
{
    std::string m_member;
    std::string m_key;
};

/// One request that will be sent, and when, counted from the start of the run.
struct Arrival
{
    Duration m_at = {};
    std::size_t m_number = 0;
    std::size_t m_member = 0;
    std::size_t m_class = 0;
    std::string m_prompt;
};

/// What bounds a run.
struct WorkloadSettings
{
    double m_perSecond = 20;
    std::size_t m_count = 1000;
    Duration m_time = std::chrono::seconds(30);
    std::uint64_t m_seed = 1;
};

/// Draws Poisson arrivals, the same for the same seed. The members' sizes fall as 1, 1/2, 1/3 and
/// so on in the order of their keys. Requests of a member and class share the first half of their
/// prompts, as templates do. Linear in the arrivals.
std::vector<Arrival> drawArrivals(const WorkloadSettings &settings,
                                  const std::vector<RequestClass> &classes, std::size_t members);

} // namespace gypsumdale::load
