#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/policy/slot_share.hpp>
#include <gypsumdale/serving/connection_share.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <functional> // function
#include <map> // map
#include <tuple> // tuple

#include <boost/fiber/future/promise.hpp>

namespace gypsumdale {

/// The requests of this VM that wait for a connection, by service, in the order in which they get
/// one: by priority, then by arrival. Used by the fibers of one loop.
class ConnectionWaiting
{
    /// Priority, arrival, and a number that tells arrivals at the same time apart.
    using Rank = std::tuple<int, TimePoint, std::uint64_t>;

public:
    explicit ConnectionWaiting(const Clock &clock)
        : m_clock(clock)
    {}

    /// A request's place in the order, until it was placed at an upstream or has given up. Has to
    /// be destroyed before the object that it belongs to.
    class Place
    {
    public:
        /// `canBePlaced` returns whether an upstream would take the request now.
        Place(ConnectionWaiting &waiting, const ServiceId &service, int priority,
              TimePoint arrivedAt, std::function<bool()> canBePlaced);
        ~Place();
        Place(const Place &) = delete;
        Place &operator=(const Place &) = delete;

        /// Suspends the calling fiber until it is the request's turn, the wait is cancelled or the
        /// time is over. Returns whether it is the request's turn.
        bool wait(Duration atMost);
        /// Ends the wait from another fiber of the loop.
        void cancel() { wake(); }
        bool hasTurn() const { return m_hasTurn; }

    private:
        friend class ConnectionWaiting;
        void wake();

        ConnectionWaiting &m_waiting;
        ServiceId m_service;
        Rank m_rank;
        std::function<bool()> m_canBePlaced;
        boost::fibers::promise<void> m_promise;
        bool m_isWoken = false;
        bool m_hasTurn = false;
    };

    /// Returns whether requests wait for a connection to a service. Complexity: logarithmic.
    bool isAwaited(const ServiceId &service) const;
    /// Returns the number of requests that wait. Complexity: linear in the services.
    std::size_t count() const;

    /// Decides whether a request may wait. Complexity: linear in the requests that wait.
    ConnectionWaitDecision decide(const ServiceId &service, int priority, Duration maxWait) const;

    /// Records that a request to a service has ended, and wakes the next one that can be placed.
    void recordEnd(const ServiceId &service);
    /// Wakes the next request of each service, after shares or upstreams have changed.
    void recordChange();

private:
    struct Service
    {
        std::map<Rank, Place *> m_places;
        RecentDispatches m_ends;
        /// Requests whose turn it is and that were not placed yet.
        std::size_t m_turns = 0;
    };

    void giveTurn(Service &service);

    const Clock &m_clock;
    std::uint64_t m_placesMade = 0;
    std::map<ServiceId, Service> m_services;
};

} // namespace gypsumdale
