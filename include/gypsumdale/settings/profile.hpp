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

/// What happens to an accepted request when its VM is lost: with None, the caller receives an error
/// and must send the request again; a Job is also stored outside its data centre and resumed.
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

/// Latency targets and deadline of a profile. Targets control decisions and are measured against;
/// the deadline ends the request.
struct LatencyTargets
{
    Duration m_firstToken = std::chrono::milliseconds(1000);
    Duration m_betweenTokens = std::chrono::milliseconds(100);
    Duration m_deadline = std::chrono::seconds(60);
};

/// Limits on the number of requests of the profile that wait on one node, and on their wait.
struct QueueLimits
{
    int m_requests = 256;
    Duration m_wait = std::chrono::seconds(10);
};

/// Named set of service guarantees. Each request uses one profile.
struct Profile
{
    ProfileId m_id;
    LatencyTargets m_latency;
    Durability m_durability = Durability::None;
    RepeatSafety m_repeatSafety = RepeatSafety::Repeatable;
    /// 0 is served first. By convention, phone uses 0-2, interactive 3-5 and batch 6-9.
    int m_priority = 5;
    /// Name of the routing policy; empty selects the fleet's default.
    std::string m_routing;
    /// Number of attempts after the first one.
    int m_retries = 2;
    bool m_hedging = false;
    /// Number of tokens between two checkpoints of a job.
    int m_checkpointTokens = 64;
    /// Time for which an idempotency key is kept; zero selects the fleet's default.
    Duration m_keyRetention = Duration::zero();
    QueueLimits m_queue;
    /// Services that the profile may be used with; empty means all.
    std::vector<ServiceId> m_services;

    bool allowsService(const ServiceId &service) const;
};

/// Reads and checks a profile. `id` is the object's name; `document` is the name of the text in
/// findings. Returns all findings, ordered by line, if there are any. Complexity: linear in the
/// length of the text.
Checked<Profile> checkProfile(const ProfileId &id, std::string_view text,
                              const std::string &document);

/// Returns the keys of a profile, from the schema that the check itself uses.
KeyReferences profileReference();

} // namespace gypsumdale
