#pragma once

#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_peers.hpp>
#include <gypsumdale/entry/registry_expiry.hpp>

#include <platform/duty_codec.hpp>

namespace gypsumdale {

/// Keeps this VM's entry in the store's registry of VMs, and tells the peers who else is there.
class EntryRegistry
{
public:
    EntryRegistry(EntryContext &context, EntryPeers &peers)
        : m_context(context)
        , m_peers(peers)
    {}

    /// Registers this VM and reads the others until the process stops. Runs in a fiber of its own.
    void follow();
    /// Takes this VM out of the store.
    void leave();

private:
    bool registerSelf();
    bool take(const platform::StoreListing &listing);
    void removeIfGone(const platform::NodeRecord &node);

    EntryContext &m_context;
    EntryPeers &m_peers;
    RegistryExpiry m_silence;
};

} // namespace gypsumdale
