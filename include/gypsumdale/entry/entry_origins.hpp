#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/observe/log.hpp>
#include <gypsumdale/observe/metrics.hpp>
#include <gypsumdale/serving/stream_origins.hpp>

#include <functional> // function
#include <optional> // optional
#include <string> // string
#include <utility> // move

namespace gypsumdale {

/// Where streams began, as known to one VM's traffic thread, with the way to the peers that hold
/// copies.
class EntryOrigins
{
public:
    EntryOrigins(const Clock &clock, Metrics &metrics, std::string node)
        : m_clock(clock)
        , m_metrics(metrics)
        , m_node(std::move(node))
    {}

    /// Sends a record to the peers that are to hold it. Must not wait.
    using Announce = std::function<void(const StreamOriginRecord &)>;
    /// Asks the peers that may hold a record. Suspends the calling fiber.
    using Ask = std::function<std::optional<StreamOriginRecord>(const RequestId &)>;
    void connect(Announce announce, Ask ask)
    {
        m_announce = std::move(announce);
        m_ask = std::move(ask);
    }

    /// Records where a stream began whose client can take it up for `lifetime`, and tells the
    /// peers.
    void recordBegun(const RequestId &request, const StreamOrigin &origin, Duration lifetime);

    /// Records the same for a peer's caller, whose own VM tells the peers.
    void recordRelayed(const RequestId &request, const StreamOrigin &origin, Duration lifetime)
    {
        keep(recordOf(request, origin, lifetime));
    }

    /// Keeps a record that a peer has sent. Returns what is known now.
    StreamOriginRecord keep(const StreamOriginRecord &record);

    /// Returns this VM's own record of a stream, or nothing.
    std::optional<StreamOriginRecord> findHere(const RequestId &request) const
    {
        return m_origins.find(request, m_clock.now());
    }

    /// Returns the record of a stream, from the peers if this VM has none. May suspend the calling
    /// fiber.
    std::optional<StreamOriginRecord> find(const RequestId &request);

private:
    StreamOriginRecord recordOf(const RequestId &request, const StreamOrigin &origin,
                                Duration lifetime) const;

    const Clock &m_clock;
    Metrics &m_metrics;
    std::string m_node;
    StreamOrigins m_origins;
    Announce m_announce;
    Ask m_ask;
};

} // namespace gypsumdale
