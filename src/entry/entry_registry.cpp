#include <gypsumdale/entry/entry_registry.hpp>

#include <set> // set

namespace gypsumdale {

namespace {

/// How often the registry is read; a stale read does, at a tenth of the price.
constexpr Duration registryEvery = std::chrono::seconds(6);
constexpr Duration registryRetry = std::chrono::milliseconds(700);

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
            const bool hasOwn = take(valueOf(listing));
            isRegistered = isRegistered && hasOwn;
        }
        sleepFiber(isRegistered && succeeded(listing) ? registryEvery : registryRetry);
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

/// Learns the peers of the registry. Returns false if this VM isn't among them.
bool EntryRegistry::take(const platform::StoreListing &listing)
{
    bool hasOwn = false;
    std::set<NodeId> listed;
    for (const platform::StoreObject &object : listing.m_objects) {
        const platform::NodeRecord node = platform::decodeNode(object);
        listed.insert(node.m_node);
        if (node.m_node == m_context.m_settings.m_node) {
            hasOwn = true;
            continue;
        }
        m_peers.learn(node.m_node.text(), node.m_address, false);
        removeIfGone(node);
    }
    m_peers.setRegistered(listed.size());
    m_silence.retainListed(listed);
    return hasOwn;
}

/// Entries of VMs that were lost without a word stay in the registry, and every VM would call at
/// their addresses for ever. Whoever holds the duties removes them; a VM that was only cut off
/// finds its entry missing and writes it again.
void EntryRegistry::removeIfGone(const platform::NodeRecord &node)
{
    const bool isGone =
            m_silence.recordEntry(node.m_node, m_peers.isLivePeer(node.m_address), m_context.now());
    if (!isGone || !m_peers.holdsDuty())
        return;
    m_silence.forget(node.m_node);
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
