#pragma once

#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/store_role.hpp>
#include <gypsumdale/entry/upstream_list_sync.hpp>
#include <gypsumdale/serving/follower_state.hpp>

#include <cstdint> // int64_t
#include <string> // string
#include <string_view> // string_view

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

    /// Takes a list that a peer read at a revision, if the own one has gone stale. Returns whether
    /// it was taken.
    bool applyFromPeer(const std::string &text, std::int64_t revision, ReportedAge age,
                       const std::string &peer);

    /// Says how this VM learns the list from now on.
    void setRole(StoreRole role) { m_following.setRole(role); }
    /// Takes what a reader of this data centre tells. Returns false if this VM lacks more than
    /// that.
    bool receiveUpdate(const UpstreamListUpdate &news, ReportedAge age, std::string_view reader);
    /// Returns what a follower lacks.
    UpstreamListUpdate updateFor(const FollowerState &follower) const;
    std::int64_t newestChange() const { return feed().history().newest(); }
    TimePoint readAt() const { return m_following.readAt(); }

    /// Tells whether the store has not confirmed the list for so long that a peer's is better.
    bool isStale() const { return m_following.isStale(m_context.now()); }
    /// Tells whether the store didn't answer the last reading.
    bool isStoreLost() const { return m_store.isLost(); }
    Duration age() const { return m_following.age(m_context.now()); }
    bool isKnown() const { return feed().isKnown(); }
    std::int64_t revision() const { return feed().revision(); }
    /// Returns the list for a peer.
    std::string text() const;
    const std::map<UpstreamId, UpstreamRecord> &upstreams() const { return feed().upstreams(); }

private:
    const UpstreamFeed &feed() const { return m_following.feed(); }
    void readWhole();
    void watchOnce(const WatchStep &step);
    void noteFailed(const Error &error, ReadFailure failure);
    /// Hands the list on if it changed for routing; the source is for the log.
    void publish(std::string_view source);
    void publishStanding();
    void logUnusable(std::string_view source);

    EntryContext &m_context;
    DependencyMonitor m_store;
    UpstreamListSync m_following;
    std::map<UpstreamId, UpstreamRecord> m_published;
    std::set<UpstreamId> m_loggedUnusable;
};

} // namespace gypsumdale
