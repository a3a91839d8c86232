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

/// Lets a few VMs of each data centre read the store for the others in a large fleet.
///
/// Each call to the store is paid for, and every VM would read every change of every upstream and
/// every version of the configuration. All VMs name the same readers from the peers they hear,
/// without a word; where they differ for a moment, more VMs read. A follower that isn't told in
/// time reads for itself, so that readers may be lost at any moment: the bounds hold with a part of
/// them left for its own reading.
class EntryStoreRelay
{
public:
    EntryStoreRelay(EntryContext &context, EntryConfigFeed &config, EntryUpstreamFeed &upstreams,
                    EntryPeers &peers);

    /// Chooses this VM's role and tells the followers until the process stops. Runs in a fiber of
    /// its own.
    void run();

private:
    struct Follower
    {
        FollowerState m_state;
        ReceiptBackoff m_pause;
        bool m_isBusy = false;

        /// Tells whether it may be told now.
        bool isDue(TimePoint now) const
        {
            return !m_isBusy && (m_state.isKnown() || m_pause.isOver(now));
        }
    };
    /// What a follower is told of the configuration.
    enum class ConfigPart { Version, Whole };

    void chooseRole();
    UpdateState newsState() const;
    void tellAll();
    void tell(const DataCentrePeer &peer);
    entrywire::StoreNewsTaken tellPart(const DataCentrePeer &peer, ConfigPart part);
    entrywire::StoreNewsTaken take(const entrywire::StoreNews &news,
                                   std::optional<TimePoint> sentAfter);

    EntryContext &m_context;
    EntryConfigFeed &m_config;
    EntryUpstreamFeed &m_upstreams;
    EntryPeers &m_peers;
    StoreRole m_role = StoreRole::Alone;
    /// By address.
    std::map<std::string, Follower> m_followers;
    UpdatePacing m_pace;
};

} // namespace gypsumdale
