#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/settings/checker.hpp>

#include <chrono> // milliseconds, seconds
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// What becomes of an accepted request when its VM goes: with None the caller is told and asks
/// again, a Job is held outside its data centre and resumed.
enum class Durability {
    None,
    Job,
};

inline constexpr NameTable<Durability, 2> durabilityNames = {{
        {Durability::None, "none"},
        {Durability::Job, "job"},
}};

/// Whether a request may reach an upstream more than once.
enum class RepeatSafety {
    Repeatable,
    Once,
};

inline constexpr NameTable<RepeatSafety, 2> repeatSafetyNames = {{
        {RepeatSafety::Repeatable, "repeatable"},
        {RepeatSafety::Once, "once"},
}};

/// The latency that a profile promises. The targets steer and are measured against; the deadline
/// ends the request.
struct LatencyPromise
{
    Duration m_firstToken = std::chrono::milliseconds(1000);
    Duration m_betweenTokens = std::chrono::milliseconds(100);
    Duration m_deadline = std::chrono::seconds(60);
};

/// How many requests of the profile may wait on one node, and for how long.
struct QueueLimits
{
    int m_requests = 256;
    Duration m_wait = std::chrono::seconds(10);
};

/// A named set of promises; services pick one for each request.
struct Profile
{
    ProfileId m_id;
    LatencyPromise m_latency;
    Durability m_durability = Durability::None;
    RepeatSafety m_repeatSafety = RepeatSafety::Repeatable;
    /// 0 is served first; phone 0-2, interactive 3-5 and batch 6-9 by custom.
    int m_priority = 5;
    /// The routing policy's name; empty takes the fleet's default.
    std::string m_routing;
    /// Attempts after the first one.
    int m_retries = 2;
    bool m_hedging = false;
    /// Tokens between two checkpoints of a job.
    int m_checkpointTokens = 64;
    /// How long an idempotency key is remembered; zero takes the fleet's default.
    Duration m_keyRetention = Duration::zero();
    QueueLimits m_queue;
    /// The services it may be used with; empty means all.
    std::vector<ServiceId> m_services;

    bool allowsService(const ServiceId &service) const;
};

/// Reads a profile whole. `id` is the object's name and `document` what findings call the text.
/// Returns every finding, in the order of lines. Linear in the text.
Checked<Profile> checkProfile(const ProfileId &id, std::string_view text,
                              const std::string &document);

/// Lists the keys of a profile, from the tables that the check itself uses.
KeyReferences profileReference();

} // namespace gypsumdale
