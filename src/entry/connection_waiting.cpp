#include <gypsumdale/entry/connection_waiting.hpp>

#include <algorithm> // count_if
#include <utility> // move

namespace gypsumdale {

namespace {

constexpr Duration endsWindow = std::chrono::seconds(1);
/// Requests that are examined when a connection is free. Those that can't use it may have been
/// refused by its upstream before; a long queue of them must not cost more than one placement.
constexpr int maxExamined = 8;

} // namespace

ConnectionWaiting::Place::Place(ConnectionWaiting &waiting, const ServiceId &service, int priority,
                                TimePoint arrivedAt, std::function<bool()> canBePlaced)
    : m_waiting(waiting)
    , m_service(service)
    , m_rank(priority, arrivedAt, waiting.m_placesMade++)
    , m_canBePlaced(std::move(canBePlaced))
{
    Service &waiters = m_waiting.m_services[m_service];
    waiters.m_places[m_rank] = this;
    m_waiting.giveTurn(waiters);
}

ConnectionWaiting::Place::~Place()
{
    Service &waiters = m_waiting.m_services[m_service];
    waiters.m_places.erase(m_rank);
    if (!m_hasTurn)
        return;
    --waiters.m_turns;
    m_waiting.giveTurn(waiters);
}

bool ConnectionWaiting::Place::wait(Duration atMost)
{
    if (!m_isWoken)
        m_promise.get_future().wait_for(atMost);
    m_isWoken = true;
    return m_hasTurn;
}

void ConnectionWaiting::Place::wake()
{
    if (m_isWoken)
        return;
    m_isWoken = true;
    m_promise.set_value();
}

bool ConnectionWaiting::isAwaited(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && !found->second.m_places.empty();
}

std::size_t ConnectionWaiting::count() const
{
    std::size_t waiting = 0;
    for (const auto &[service, waiters] : m_services)
        waiting += waiters.m_places.size();
    return waiting;
}

ConnectionWaitDecision ConnectionWaiting::decide(const ServiceId &service, int priority,
                                                 Duration maxWait) const
{
    ConnectionWaitView view;
    view.m_maxWait = maxWait;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return decideConnectionWait(view);
    const auto isAhead = [priority](const auto &place) {
        return std::get<0>(place.first) <= priority;
    };
    view.m_ahead = static_cast<std::size_t>(std::ranges::count_if(found->second.m_places, isAhead));
    view.m_endsPerSecond = found->second.m_ends.countAfter(m_clock.now() - endsWindow);
    return decideConnectionWait(view);
}

void ConnectionWaiting::recordEnd(const ServiceId &service)
{
    Service &waiters = m_services[service];
    waiters.m_ends.add(m_clock.now(), endsWindow);
    giveTurn(waiters);
}

void ConnectionWaiting::recordChange()
{
    for (auto &[service, waiters] : m_services)
        giveTurn(waiters);
}

/// Wakes the first request that can be placed. The next one follows when it was placed, as its
/// connection counts only from then on.
void ConnectionWaiting::giveTurn(Service &service)
{
    if (service.m_turns > 0)
        return;
    int examined = 0;
    for (const auto &[rank, place] : service.m_places) {
        if (examined++ == maxExamined)
            return;
        // A place that was woken without a turn has given up.
        if (place->m_isWoken || !place->m_canBePlaced())
            continue;
        place->m_hasTurn = true;
        ++service.m_turns;
        place->wake();
        return;
    }
}

} // namespace gypsumdale
