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
/// answer, and passes it to the traffic thread.
class EntryUpstreamFeed
{
public:
    explicit EntryUpstreamFeed(EntryContext &context);

    /// Follows the store until the process stops. Runs in a fiber of its own.
    void follow();

    /// Removes retained entries whose retention is over.
    void expire();

    /// Replaces the list with one that a peer read at a revision, if the own list is stale. Returns
    /// whether it was replaced.
    bool applyFromPeer(const std::string &text, std::int64_t revision, ReportedAge age,
                       const std::string &peer);

    /// Sets how this VM learns the list from now on.
    void setRole(StoreRole role) { m_listSync.setRole(role); }
    /// Applies an update of a reader of this data centre. Returns false if the update does not
    /// contain all changes that this VM is missing.
    bool receiveUpdate(const UpstreamListUpdate &news, ReportedAge age, std::string_view reader);
    /// Returns the changes that a follower is missing.
    UpstreamListUpdate updateFor(const FollowerState &follower) const;
    std::int64_t newestChange() const { return feed().history().newest(); }
    TimePoint readAt() const { return m_listSync.readAt(); }

    /// Returns whether the store's last confirmation of the list is so old that a peer's list is
    /// preferred.
    bool isStale() const { return m_listSync.isStale(m_context.now()); }
    /// Returns whether the last read of the store failed.
    bool isStoreLost() const { return m_store.isLost(); }
    Duration age() const { return m_listSync.age(m_context.now()); }
    bool isKnown() const { return feed().isKnown(); }
    std::int64_t revision() const { return feed().revision(); }
    /// Returns the list in the form that is sent to peers.
    std::string text() const;
    const std::map<UpstreamId, UpstreamRecord> &upstreams() const { return feed().upstreams(); }

private:
    const UpstreamFeed &feed() const { return m_listSync.feed(); }
    void readFullList();
    void watchOnce(const WatchStep &step);
    void noteFailed(const Error &error, ReadFailure failure);
    /// Passes the list to the traffic thread if a change affects routing. The source is for the
    /// log.
    void publish(std::string_view source);
    void publishListState();
    void logUnusable(std::string_view source);

    EntryContext &m_context;
    DependencyMonitor m_store;
    UpstreamListSync m_listSync;
    std::map<UpstreamId, UpstreamRecord> m_published;
    std::set<UpstreamId> m_loggedUnusable;
};

} // namespace gypsumdale
