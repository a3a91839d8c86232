#pragma once

#include <gypsumdale/entry/message_age.hpp>
#include <gypsumdale/entry/update_pacing.hpp>
#include <gypsumdale/entry/upstream_list_sync.hpp>
#include <gypsumdale/policy/circuit_breaker.hpp>
#include <gypsumdale/serving/follower_state.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <memory> // make_unique, unique_ptr
#include <optional> // optional

namespace gypsumdale::testing {

/// The faults of a simulation.
struct SimulatedFaults
{
    /// Longest time that answers and messages of slow VMs take.
    Duration m_slowest{};
    /// Whether VMs are slow, refused by the store, or killed, one after the other.
    bool m_hasSlow = false;
    bool m_hasTurnedAway = false;
    bool m_hasKilled = false;
    /// The store drops its history.
    bool m_hasDropped = false;
    /// An answer of the store is lost, for each VM at most once in the bound.
    bool m_hasLostAnswers = false;
    /// Changes of upstreams are rare, so that watches wait.
    bool m_isQuiet = false;
};

/// What a VM has sent to another one, and whether it waits for the acknowledgement.
struct SentUpdate
{
    FollowerState m_state;
    bool m_isBusy = false;
};

/// Simulated VM with the decisions of its process.
struct SimulatedVm
{
    SimulatedVm(const EntryBounds &bounds, std::size_t dataCentre)
        : m_following(std::make_unique<UpstreamListSync>(bounds))
        , m_dataCentre(dataCentre)
    {}

    std::unique_ptr<UpstreamListSync> m_following;
    std::size_t m_dataCentre;
    CircuitBreaker m_breaker;
    UpdatePacing m_pace;
    std::map<SimulatedVm *, SentUpdate> m_told;
    /// Timestamps of the other VMs' clocks, as their acknowledgements brought them.
    std::map<SimulatedVm *, LastPeerTimestamp> m_marks;
    StoreRole m_role = StoreRole::Follower;
    /// Number of the current process: what an earlier one began ends with it.
    int m_life = 0;
    bool m_isSlow = false;
    bool m_isTurnedAway = false;
    bool m_isDead = false;
    TimePoint m_troubledAt{};
    TimePoint m_lostAnswerAt{};
};

/// Call to the store: a watch from a revision, or a list.
struct StoreCall
{
    std::optional<std::int64_t> m_revision;
    Duration m_wait{};
    Duration m_timeout{};
    TimePoint m_sentAt{};
};

} // namespace gypsumdale::testing
