#pragma once

#include <gypsumdale/entry/entry_config_feed.hpp>
#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_upstream_feed.hpp>
#include <gypsumdale/entry/peer_table.hpp>

#include <cstddef> // size_t
#include <cstdint> // int32_t, int64_t

namespace gypsumdale::entrywire {
class EntryDigest;
class EntryExchange;
} // namespace gypsumdale::entrywire

namespace gypsumdale {

/// Writes what this VM tells its peers in an exchange. Whole texts are not part of that: who lacks
/// one asks for it.
class ExchangeWriter
{
public:
    static constexpr std::int32_t protocolVersion = 3;

    ExchangeWriter(const EntryContext &context, const EntryConfigFeed &config,
                   const EntryUpstreamFeed &upstreams, const PeerTable &table)
        : m_context(context)
        , m_config(config)
        , m_upstreams(upstreams)
        , m_table(table)
    {}

    /// Takes over what the traffic thread reported just now.
    void setReport(TrafficReport report);
    const TrafficReport &report() const { return m_report; }
    /// The report that goes out until the next one is taken must not bring the load of before.
    void setLoad(const UpstreamId &upstream, InFlightLoad load)
    {
        m_report.m_loads[upstream] = load;
    }

    /// Says under which number and stored revision this VM holds the duties; 0 if it doesn't.
    void setDuty(std::int64_t fence, std::int64_t revision)
    {
        m_dutyFence = fence;
        m_dutyRevision = revision;
    }
    bool holdsDuty() const { return m_dutyFence != 0; }

    /// Returns a message to a peer, or to a VM that this one doesn't know, for nullptr.
    entrywire::EntryExchange message(const KnownPeer *peer);

private:
    void fillOwnState(entrywire::EntryDigest &digest) const;
    bool tellsEndedTo(const KnownPeer &peer) const;
    void fillPeers(entrywire::EntryDigest &digest);

    const EntryContext &m_context;
    const EntryConfigFeed &m_config;
    const EntryUpstreamFeed &m_upstreams;
    const PeerTable &m_table;
    TrafficReport m_report;
    TimePoint m_reportedAt{};
    std::int64_t m_dutyFence = 0;
    std::int64_t m_dutyRevision = 0;
    std::size_t m_messages = 0;
    /// Where the next list of peers begins.
    std::size_t m_nextPeerTold = 0;
};

} // namespace gypsumdale
