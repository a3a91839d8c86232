#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/crash_elements.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map> // map
#include <string> // string
#include <string_view> // string_view
#include <utility> // exchange, pair
#include <vector> // vector

namespace gypsumdale {

/// What was found to crash its upstreams: requests of a service that hold all these elements.
struct QuarantineEntry
{
    ServiceId m_service;
    CrashElements m_elements;
    /// How often it was found to be the cause of ends.
    int m_times = 0;
    /// Until when such requests are rejected everywhere. From then on one may be tried, at one VM.
    TimePoint m_until{};
    /// A run with all the elements has delivered something since.
    bool m_isLifted = false;
    /// Found by this VM alone, while no peer answered. It isn't told to others.
    bool m_isLocal = false;
    /// This VM is the one that may try. It isn't told to others.
    bool m_isTrialHere = false;
};

/// Returns a short id of an entry, the same at all VMs, by which operators name it. Complexity:
/// linear in its elements.
std::string idOf(const QuarantineEntry &entry);

/// What crashes its upstreams, as one VM knows it. Each time that it is found again, it is rejected
/// for twice as long, so that a wrong verdict, or one on software that was mended since, ends with
/// a single trial.
class CrashQuarantine
{
public:
    /// Rejects requests from now on. An entry replaces earlier ones that hold all its elements and
    /// more.
    /// Returns what is to be told to the peers. Complexity: linear in the entries.
    const QuarantineEntry &add(const ServiceId &service, const CrashElements &elements,
                               bool isLocal, TimePoint now);

    /// Takes over what a peer knows. Returns whether it is news. Complexity: logarithmic.
    bool merge(const QuarantineEntry &told, TimePoint now);

    /// Ends all entries of which a request holds the elements, as a run of it has delivered
    /// something. Returns the number. Complexity: linear in the entries.
    std::size_t lift(const CrashElements &request);

    /// Ends the entry with an id, by hand. Returns what is to be told to the peers, or nullptr if
    /// there is none that rejects. Complexity: linear in the entries.
    const QuarantineEntry *liftById(std::string_view id);

    /// Returns whether something was found to be a cause, and is due to be tried again.
    bool isExpired(const ServiceId &service, const CrashElements &elements, TimePoint now) const;

    /// Returns what was found to be the cause of a service's ends. Complexity: linear.
    std::vector<CrashElements> causes(const ServiceId &service) const;

    /// Returns all entries, of requests that are rejected now or were before. Complexity: linear.
    std::vector<QuarantineEntry> entries() const;

    /// Returns those of them that are told to peers. Complexity: linear.
    std::vector<QuarantineEntry> sharedEntries() const;

    /// Drops what was not found to be a cause again for long. Complexity: linear.
    void expire(TimePoint now);

    /// Returns how many entries were dropped for lack of room since the last call.
    std::uint64_t takeDropped() { return std::exchange(m_dropped, 0); }

private:
    using Key = std::pair<ServiceId, CrashElements>;

    QuarantineEntry &entryOf(const Key &key);

    std::map<Key, QuarantineEntry> m_entries;
    std::uint64_t m_dropped = 0;
};

} // namespace gypsumdale
