#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <chrono> // seconds
#include <map> // map
#include <set> // set

namespace gypsumdale {

/// Since when each VM of the registry has not been heard, as seen by this one.
class RegistryExpiry
{
public:
    /// Silence after which a VM's entry is removed: well beyond any restart or cut.
    static constexpr Duration removalTimeout = std::chrono::seconds(120);

    /// Notes an entry that was read, and whether its VM is heard. Returns whether it is gone.
    /// Logarithmic in the entries.
    bool recordEntry(const NodeId &node, bool isHeard, TimePoint now)
    {
        const auto silentSince = m_silentSince.try_emplace(node, now).first;
        if (isHeard)
            silentSince->second = now;
        return now - silentSince->second >= removalTimeout;
    }

    /// Forgets an entry, so that its VM has the whole time again if it comes back.
    void forget(const NodeId &node) { m_silentSince.erase(node); }

    /// Forgets all that the registry doesn't list any more. Linear in the entries.
    void retainListed(const std::set<NodeId> &listed)
    {
        std::erase_if(m_silentSince,
                      [&listed](const auto &entry) { return !listed.contains(entry.first); });
    }

private:
    std::map<NodeId, TimePoint> m_silentSince;
};

} // namespace gypsumdale
