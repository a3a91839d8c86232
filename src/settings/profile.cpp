#include "detail/schema.hpp"

#include <gypsumdale/settings/profile.hpp>

#include <algorithm> // find, min

namespace gypsumdale {

namespace {

using namespace detail;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t maxServices = 64;

Schema<LatencyTargets> latencySchema()
{
    Schema<LatencyTargets> schema;
    schema.required("first-token", &LatencyTargets::m_firstToken,
                    DurationKind(milliseconds(1), hours(1)),
                    "target for the time to the first token, or to a plain service's answer")
            .key("between-tokens", &LatencyTargets::m_betweenTokens,
                 DurationKind(milliseconds(1), minutes(1)),
                 "target for the time between two tokens")
            .required("deadline", &LatencyTargets::m_deadline,
                      DurationKind(milliseconds(10), hours(24)),
                      "the request is given up after this time");
    return schema;
}

Schema<QueueLimits> queueSchema()
{
    Schema<QueueLimits> schema;
    schema.key("requests", &QueueLimits::m_requests, IntegerKind(0, 100000),
               "requests of the profile that may wait on one node")
            .key("wait", &QueueLimits::m_wait, DurationKind(milliseconds(0), hours(1)),
                 "the longest wait of a request in the queue; the deadline where that is shorter");
    return schema;
}

const Schema<Profile> &profileSchema()
{
    static const auto schema = [] {
        Schema<Profile> table;
        table.required("latency", &Profile::m_latency, MapKind(latencySchema()),
                       "the promise on latency")
                .required("durability", &Profile::m_durability, EnumKind(durabilityNames),
                          "whether accepted work is held where the loss of its VM or data centre "
                          "can't reach it")
                .required("repeat", &Profile::m_repeatSafety, EnumKind(repeatSafetyNames),
                          "whether a request may reach an upstream more than once")
                .key("priority", &Profile::m_priority, IntegerKind(0, 9),
                     "0 is served first; phone 0-2, interactive 3-5, batch 6-9")
                .key("routing", &Profile::m_routing, NameKind(),
                     "the routing policy; empty takes the fleet's")
                .key("retries", &Profile::m_retries, IntegerKind(0, 10),
                     "attempts after the first; not allowed with repeat: once")
                .key("hedging", &Profile::m_hedging, FlagKind(),
                     "whether a slow first attempt may be doubled; not allowed with repeat: once")
                .key("checkpoint-tokens", &Profile::m_checkpointTokens, IntegerKind(1, 65536),
                     "tokens between two checkpoints of a job")
                .key("key-retention", &Profile::m_keyRetention,
                     DurationKind(seconds(0), hours(24 * 30)),
                     "how long an idempotency key is remembered; 0s takes the fleet's")
                .key("queue", &Profile::m_queue, MapKind(queueSchema()), "limits of its queue")
                .key("services", &Profile::m_services, idList<ServiceId>(maxServices),
                     "the services it may be used with; empty means all");
        return table;
    }();
    return schema;
}

void checkOnce(const Profile &profile, const YAML::Node &root, Reader &reader)
{
    if (profile.m_repeatSafety != RepeatSafety::Once)
        return;
    if (profile.m_hedging)
        reader.add(ErrorId::SettingsContradiction, nodeAt(root, {"hedging"}),
                   "hedging repeats a request, which repeat: once rules out");
    const auto retries = nodeAt(root, {"retries"});
    if (profile.m_retries > 0 && !retries.is(root))
        reader.add(ErrorId::SettingsContradiction, retries,
                   "retries repeat a request, which repeat: once rules out");
    if (profile.m_durability == Durability::Job)
        reader.add(ErrorId::SettingsContradiction, nodeAt(root, {"durability"}),
                   "a job is resumed by asking again, which repeat: once rules out");
}

void checkContradictions(const Profile &profile, const YAML::Node &root, Reader &reader)
{
    checkOnce(profile, root, reader);
    const auto &latency = profile.m_latency;
    if (latency.m_firstToken > latency.m_deadline)
        reader.add(ErrorId::SettingsContradiction, nodeAt(root, {"latency", "first-token"}),
                   "the first token's target exceeds the deadline");
    const auto wait = nodeAt(root, {"queue", "wait"});
    if (wait.IsScalar() && profile.m_queue.m_wait > latency.m_deadline)
        reader.add(ErrorId::SettingsContradiction, wait,
                   "the longest wait in the queue exceeds the deadline");
}

/// Adjusts defaults that contradict values given in the document.
void adjustDefaults(Profile &profile)
{
    if (profile.m_repeatSafety == RepeatSafety::Once)
        profile.m_retries = 0;
    profile.m_queue.m_wait = std::min(profile.m_queue.m_wait, profile.m_latency.m_deadline);
}

} // namespace

bool Profile::allowsService(const ServiceId &service) const
{
    if (m_services.empty())
        return true;
    return std::find(m_services.begin(), m_services.end(), service) != m_services.end();
}

Checked<Profile> checkProfile(const ProfileId &id, std::string_view text,
                              const std::string &document)
{
    Profile profile;
    profile.m_id = id;
    auto checked = checkDocument(profileSchema(), profile, text, document, checkContradictions);
    if (auto *read = std::get_if<Profile>(&checked))
        adjustDefaults(*read);
    return checked;
}

KeyReferences profileReference()
{
    KeyReferences keys;
    profileSchema().describe({}, keys);
    return keys;
}

} // namespace gypsumdale
