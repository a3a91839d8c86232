#pragma once

#include <gypsumdale/entry/entry_config_feed.hpp>
#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_peers.hpp>
#include <gypsumdale/entry/entry_upstream_feed.hpp>
#include <gypsumdale/entry/store_role.hpp>
#include <gypsumdale/entry/update_pacing.hpp>
#include <gypsumdale/serving/follower_state.hpp>

#include <map> // map
#include <optional> // optional
#include <string> // string

namespace gypsumdale {

/// In a large fleet, lets a few readers of each data centre read the store for the others.
///
/// Each call to the store is charged, and without readers every VM would read every change of every
/// upstream and every version of the configuration. Each VM computes the readers from its live
/// peers, without messages; while the results of VMs differ, more VMs read. A follower that
/// receives no update in time reads for itself, so that readers may be lost at any time: the age
/// limits leave enough time for a follower's own read.
class EntryStoreRelay
{
public:
    EntryStoreRelay(EntryContext &context, EntryConfigFeed &config, EntryUpstreamFeed &upstreams,
                    EntryPeers &peers);

    /// Selects this VM's role and sends updates to the followers until the process stops. Runs in a
    /// fiber of its own.
    void run();

private:
    struct Follower
    {
        FollowerState m_state;
        ReceiptBackoff m_backoff;
        bool m_isBusy = false;

        /// Returns whether an update may be sent to it now.
        bool isDue(TimePoint now) const
        {
            return !m_isBusy && (m_state.isKnown() || m_backoff.isOver(now));
        }
    };
    /// What an update contains of the configuration.
    enum class ConfigContent { Version, FullText };

    void selectRole();
    UpdateState updateState() const;
    void sendUpdates();
    void sendUpdate(const DataCentrePeer &peer);
    entrywire::StoreNewsTaken sendPart(const DataCentrePeer &peer, ConfigContent part);
    entrywire::StoreNewsTaken applyUpdate(const entrywire::StoreNews &news,
                                          std::optional<TimePoint> sentAfter);

    EntryContext &m_context;
    EntryConfigFeed &m_config;
    EntryUpstreamFeed &m_upstreams;
    EntryPeers &m_peers;
    StoreRole m_role = StoreRole::Alone;
    /// By address.
    std::map<std::string, Follower> m_followers;
    UpdatePacing m_pacing;
};

} // namespace gypsumdale
