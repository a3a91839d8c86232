#pragma once

#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/serving/upstream_feed.hpp>

#include <cstdint> // int64_t
#include <string> // string

namespace gypsumdale {

/// Follows the upstreams' entries in the store, takes the list from a peer while the store does not
/// answer, and hands it to the traffic thread.
class EntryUpstreamFeed
{
public:
    explicit EntryUpstreamFeed(EntryContext &context);

    /// Follows the store until the process stops. Runs in a fiber of its own.
    void follow();

    /// Drops entries that had their time to come back.
    void expire();

    /// Takes a list that a peer read at a revision, if the own one has gone stale.
    void takeFromPeer(const std::string &text, std::int64_t revision, const std::string &peer);

    /// Tells whether the store has not confirmed the list for so long that a peer's is better.
    bool isStale() const { return age() > staleAfter; }
    Duration age() const;
    bool isKnown() const { return m_feed.isKnown(); }
    std::int64_t revision() const { return m_feed.revision(); }
    /// Returns the list for a peer.
    std::string text() const;
    const std::map<UpstreamId, UpstreamRecord> &upstreams() const { return m_feed.upstreams(); }

private:
    /// Longer than a watch and the pause after it take.
    static constexpr Duration staleAfter = std::chrono::milliseconds(1600);

    void readWhole();
    void watchOnce();
    void publish();

    EntryContext &m_context;
    DependencyWatch m_store;
    UpstreamFeed m_feed;
    std::int64_t m_revision = 0;
    std::map<UpstreamId, UpstreamRecord> m_published;
};

} // namespace gypsumdale
