#pragma once

#include <gypsumdale/entry/entry_config_feed.hpp>
#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_upstream_feed.hpp>
#include <gypsumdale/entry/peer_table.hpp>

#include <cstddef> // size_t
#include <cstdint> // int32_t, int64_t, uint64_t

namespace gypsumdale::entrywire {
class EntryDigest;
class EntryExchange;
} // namespace gypsumdale::entrywire

namespace gypsumdale {

/// Composes the messages of this VM's exchanges with its peers. Full texts are not included: a VM
/// that is missing one requests it.
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

    /// Sets the report that the traffic thread has just made.
    void setReport(TrafficReport report);
    const TrafficReport &report() const { return m_report; }
    /// Updates one load in the report, so that messages sent before the next report don't contain
    /// the previous value.
    void setLoad(const UpstreamId &upstream, InFlightLoad load)
    {
        m_report.m_loads[upstream] = load;
    }

    /// Sets the fence and the stored revision under which this VM holds the duties; 0 if it
    /// doesn't.
    void setDuty(std::int64_t fence, std::int64_t revision)
    {
        m_dutyFence = fence;
        m_dutyRevision = revision;
    }
    bool holdsDuty() const { return m_dutyFence != 0; }

    /// Returns a message to a peer, or, for nullptr, to a VM that this one doesn't know.
    entrywire::EntryExchange message(const KnownPeer *peer);

    /// Sets what is rejected because it crashes its upstreams.
    void setQuarantine(std::vector<QuarantineEntry> entries) { m_quarantine = std::move(entries); }

private:
    void fillOwnState(entrywire::EntryDigest &digest) const;
    bool sendsEndedCountsTo(const KnownPeer &peer) const;
    bool sendsRetries() const;
    std::size_t nextSpeedStart();
    void fillEarlier(const KnownPeer &peer, entrywire::EntryDigest &digest) const;
    void fillPeers(entrywire::EntryDigest &digest);

    const EntryContext &m_context;
    const EntryConfigFeed &m_config;
    const EntryUpstreamFeed &m_upstreams;
    const PeerTable &m_table;
    TrafficReport m_report;
    std::vector<QuarantineEntry> m_quarantine;
    TimePoint m_reportedAt{};
    std::int64_t m_dutyFence = 0;
    std::int64_t m_dutyRevision = 0;
    std::size_t m_messages = 0;
    /// State of the generator of positions in the speeds.
    std::uint64_t m_speedDraw = 0;
    /// Position at which the next list of peers begins.
    std::size_t m_nextListedPeer = 0;
};

} // namespace gypsumdale
