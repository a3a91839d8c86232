#include <gypsumdale/entry/entry_registry.hpp>

#include <set> // set
#include <string> // string
#include <utility> // move

namespace gypsumdale {

namespace {

/// Interval at which the registry is read. Stale reads are sufficient, at a tenth of the price.
constexpr Duration registryInterval = std::chrono::seconds(6);
constexpr Duration registryRetryDelay = std::chrono::milliseconds(700);

} // namespace

void EntryRegistry::follow()
{
    bool isRegistered = false;
    while (!m_context.m_isStopping) {
        if (!isRegistered)
            isRegistered = registerSelf();
        const auto listing =
                m_context.m_store.list(platform::nodeKind, platform::ReadFreshness::MayBeStale);
        if (succeeded(listing)) {
            const bool hasOwn = addPeers(valueOf(listing));
            isRegistered = isRegistered && hasOwn;
        }
        sleepFiber(isRegistered && succeeded(listing) ? registryInterval : registryRetryDelay);
    }
}

bool EntryRegistry::registerSelf()
{
    const platform::StoreObject own =
            platform::encodeNode({m_context.m_settings.m_node, m_peers.ownAddress()});
    auto written = m_context.m_store.create(platform::nodeKind, own);
    if (!succeeded(written) && errorOf(written).m_id == ErrorId::PlatformConflict)
        written = m_context.m_store.replace(platform::nodeKind, own);
    return succeeded(written);
}

/// Adds the peers of the registry. Returns false if this VM isn't in it.
bool EntryRegistry::addPeers(const platform::StoreListing &listing)
{
    bool hasOwn = false;
    std::set<NodeId> listed;
    std::set<std::string> unusable;
    for (const platform::StoreObject &object : listing.m_objects) {
        const auto decoded = platform::decodeNode(object);
        if (!succeeded(decoded)) {
            unusable.insert(object.m_name);
            continue;
        }
        const platform::NodeRecord &node = valueOf(decoded);
        listed.insert(node.m_node);
        if (node.m_node == m_context.m_settings.m_node) {
            hasOwn = true;
            continue;
        }
        m_peers.learn(node.m_node.text(), node.m_address, false);
        removeIfExpired(node);
    }
    m_peers.setRegistered(listed.size());
    m_expiry.retainListed(listed);
    logUnusable(std::move(unusable));
    return hasOwn;
}

/// Logs once for each entry that names no VM, and leaves it to its writer.
void EntryRegistry::logUnusable(std::set<std::string> unusable)
{
    for (const std::string &name : unusable) {
        if (!m_unusable.contains(name))
            m_context.m_log.warning("registry-entry-unusable",
                                    {{LogField::Name, name}, {LogField::Count, unusable.size()}});
    }
    m_unusable = std::move(unusable);
}

/// Entries of VMs that ended without leaving stay in the registry, and every VM would call their
/// addresses forever. The holder of the duties removes them; a VM that was only partitioned finds
/// its entry missing and writes it again.
void EntryRegistry::removeIfExpired(const platform::NodeRecord &node)
{
    const bool isExpired =
            m_expiry.recordEntry(node.m_node, m_peers.isLivePeer(node.m_address), m_context.now());
    if (!isExpired || !m_peers.holdsDuty())
        return;
    m_expiry.forget(node.m_node);
    const auto removed = m_context.m_store.remove(platform::nodeKind, node.m_node.text());
    m_context.m_log.info("registry-entry-removed",
                         {{LogField::Peer, node.m_node.text()},
                          {LogField::Outcome, succeeded(removed) ? "removed" : "failed"}});
}

void EntryRegistry::leave()
{
    const auto removed =
            m_context.m_store.remove(platform::nodeKind, m_context.m_settings.m_node.text());
    if (!succeeded(removed))
        m_context.m_log.warning("registry-not-left", {{LogField::Text, errorOf(removed).m_text}});
}

} // namespace gypsumdale
