#pragma once

#include "support/event_queue.hpp"

#include <gypsumdale/serving/upstream_record.hpp>

#include <pcg_random.hpp>

#include <algorithm> // max
#include <chrono> // milliseconds
#include <cstddef> // size_t
#include <cstdint> // uint32_t, uint64_t
#include <functional> // function
#include <map> // map
#include <memory> // shared_ptr
#include <utility> // move, pair

namespace gypsumdale::testing {

/// Request on its path from a VM to an upstream.
struct InFlightRequest
{
    /// Number of the VM.
    std::size_t m_vm = 0;
    UpstreamId m_upstream;
    /// Its sender has reset the connection: bytes that have not left are dropped.
    bool m_isWithdrawn = false;
    bool m_hasArrived = false;
};

/// The network between VMs and upstreams, on a paused clock. Paths stop delivering and heal, and a
/// VM's link may have a queue. Nothing is lost permanently except what its sender cancels.
class RequestNetwork
{
public:
    using Arrived = std::function<void(const InFlightRequest &)>;
    /// Receives whether a connection was established, and how long that took.
    using Connected = std::function<void(bool, Duration)>;

    /// Time after which an attempt to connect is abandoned.
    static constexpr Duration connectTimeout = std::chrono::milliseconds(250);

    RequestNetwork(EventQueue &agenda, std::uint64_t seed, Arrived arrived)
        : m_agenda(agenda)
        , m_random(seed, 2)
        , m_arrived(std::move(arrived))
    {}

    /// Draws a time that is above zero and at most the given one.
    Duration draw(Duration most) { return most * (m_random(1000) + 1) / 1000; }
    std::size_t drawIndex(std::size_t size) { return m_random(static_cast<std::uint32_t>(size)); }

    /// Lets nothing pass between a VM and an upstream until a time.
    void silence(std::size_t vm, const UpstreamId &upstream, TimePoint until)
    {
        TimePoint &silentUntil = m_silentUntil[{vm, upstream}];
        silentUntil = std::max(silentUntil, until);
    }

    /// Delays each packet in a VM's link by `queue` until a time.
    void slow(std::size_t vm, Duration queue, TimePoint until) { m_queues[vm] = {queue, until}; }

    void connect(std::size_t vm, const UpstreamId &upstream, const Connected &connected)
    {
        const auto fail = [connected] {
            connected(false, connectTimeout);
        };
        const Duration there = pathDelay(vm);
        const Duration whole = there + pathDelay(vm) / 2;
        const bool isLost = isSilent(vm, upstream) || whole > connectTimeout;
        if (isLost)
            return m_agenda.after(connectTimeout, fail);
        m_agenda.after(whole, [this, vm, upstream, whole, connected, fail] {
            if (isSilent(vm, upstream))
                return m_agenda.after(connectTimeout - whole, fail);
            connected(true, whole);
        });
    }

    /// Puts a request into the send buffer, from which it leaves when the path allows.
    void send(const std::shared_ptr<InFlightRequest> &request)
    {
        if (request->m_isWithdrawn)
            return;
        const TimePoint now = m_agenda.now();
        const TimePoint silentUntil = m_silentUntil[{request->m_vm, request->m_upstream}];
        if (now < silentUntil)
            return m_agenda.after(silentUntil - now + draw(maxResendDelay),
                                  [this, request] { send(request); });
        m_agenda.after(pathDelay(request->m_vm), [this, request] { reach(request); });
    }

private:
    /// Longest time until lost data are resent, while the sender retries often.
    static constexpr Duration maxResendDelay = std::chrono::milliseconds(200);
    /// Longest one-way delay of a path with an empty queue.
    static constexpr Duration maxPathDelay = std::chrono::milliseconds(15);

    struct Queue
    {
        Duration m_wait{};
        TimePoint m_until{};
    };

    bool isSilent(std::size_t vm, const UpstreamId &upstream)
    {
        return m_agenda.now() < m_silentUntil[{vm, upstream}];
    }

    Duration pathDelay(std::size_t vm)
    {
        const Queue &queue = m_queues[vm];
        const bool hasQueue = m_agenda.now() < queue.m_until;
        return draw(maxPathDelay) + (hasQueue ? queue.m_wait : Duration::zero());
    }

    /// Delivers what has left, whatever its sender does, unless the path has stopped delivering.
    void reach(const std::shared_ptr<InFlightRequest> &request)
    {
        if (isSilent(request->m_vm, request->m_upstream))
            return send(request);
        request->m_hasArrived = true;
        m_arrived(*request);
    }

    EventQueue &m_agenda;
    pcg32 m_random;
    Arrived m_arrived;
    std::map<std::pair<std::size_t, UpstreamId>, TimePoint> m_silentUntil;
    std::map<std::size_t, Queue> m_queues;
};

} // namespace gypsumdale::testing
