#pragma once

#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_peers.hpp>
#include <gypsumdale/entry/registry_expiry.hpp>

#include <platform/duty_codec.hpp>

#include <set> // set
#include <string> // string

namespace gypsumdale {

/// Keeps this VM's entry in the store's registry of VMs, and passes the other entries to
/// EntryPeers.
class EntryRegistry
{
public:
    EntryRegistry(EntryContext &context, EntryPeers &peers)
        : m_context(context)
        , m_peers(peers)
    {}

    /// Registers this VM and reads the other entries until the process stops. Runs in a fiber of
    /// its own.
    void follow();
    /// Removes this VM's entry from the store.
    void leave();

private:
    bool registerSelf();
    bool addPeers(const platform::StoreListing &listing);
    void removeIfExpired(const platform::NodeRecord &node);
    void logUnusable(std::set<std::string> unusable);

    EntryContext &m_context;
    EntryPeers &m_peers;
    RegistryExpiry m_expiry;
    /// Names of the entries that named no VM when the registry was last read.
    std::set<std::string> m_unusable;
};

} // namespace gypsumdale
