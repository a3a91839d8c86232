#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <chrono> // seconds
#include <map> // map
#include <set> // set

namespace gypsumdale {

/// Records since when each VM in the registry has been silent, as seen by this VM.
class RegistryExpiry
{
public:
    /// Silence after which a VM's entry is removed: much longer than a restart or a network
    /// partition takes.
    static constexpr Duration removalTimeout = std::chrono::seconds(120);

    /// Records an entry that was read, and whether its VM is a live peer. Returns whether the entry
    /// is to be removed. Complexity: logarithmic in the number of entries.
    bool recordEntry(const NodeId &node, bool isLive, TimePoint now)
    {
        const auto silentSince = m_silentSince.try_emplace(node, now).first;
        if (isLive)
            silentSince->second = now;
        return now - silentSince->second >= removalTimeout;
    }

    /// Drops an entry, so that its VM has the full time again if it returns.
    void forget(const NodeId &node) { m_silentSince.erase(node); }

    /// Drops all entries that the registry no longer lists. Complexity: linear in the number of
    /// entries.
    void retainListed(const std::set<NodeId> &listed)
    {
        std::erase_if(m_silentSince,
                      [&listed](const auto &entry) { return !listed.contains(entry.first); });
    }

private:
    std::map<NodeId, TimePoint> m_silentSince;
};

} // namespace gypsumdale
