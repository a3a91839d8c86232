#include <gypsumdale/fleet/config_replica.hpp>

#include <xxhash.h>

#include <algorithm> // max
#include <set> // set
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

namespace {

/// Maximum number of retained deletions; a request for changes since before them gets a snapshot.
constexpr std::size_t maxRetainedDeletions = 1000;

/// Returns a text that is unique to the object's version.
std::string summaryOf(const ConfigObject &object)
{
    return platformName(object.m_key) + "@" + std::to_string(object.m_version) + "\n";
}

} // namespace

ConfigObjects ConfigReplica::take(const ConfigChanges &changes)
{
    ConfigObjects changed;
    if (!isContiguous(changes) || changes.m_upTo < m_completeTo)
        return changed;
    for (const auto &object : changes.m_objects) {
        if (applyObject(object))
            changed.push_back(object);
    }
    const bool isSnapshot = changes.m_from == 0;
    if (isSnapshot)
        deleteMissing(changes, changed);
    const bool isHistoryIncomplete = isSnapshot && changes.m_upTo > m_completeTo;
    m_completeTo = changes.m_upTo;
    if (!changed.empty())
        rehash();
    // A snapshot doesn't show which objects were created and deleted since the known version.
    if (isHistoryIncomplete || m_deletions > maxRetainedDeletions)
        discardDeletions();
    return changed;
}

bool ConfigReplica::applyObject(const ConfigObject &object)
{
    auto &known = m_objects[object.m_key];
    if (known.m_version >= object.m_version)
        return false;
    known = object;
    return true;
}

void ConfigReplica::deleteMissing(const ConfigChanges &snapshot, ConfigObjects &changed)
{
    std::set<ConfigKey> present;
    for (const auto &object : snapshot.m_objects)
        present.insert(object.m_key);
    for (auto &[key, known] : m_objects) {
        const bool isMissing = !present.contains(key) && !known.m_deleted;
        if (!isMissing || known.m_version > snapshot.m_upTo)
            continue;
        known = {key, snapshot.m_upTo, {}, true};
        changed.push_back(known);
    }
}

ConfigChanges ConfigReplica::changesAfter(ConfigVersion from) const
{
    const bool isSnapshot = from < m_historyFrom || from == 0;
    ConfigChanges changes{isSnapshot ? 0 : from, m_completeTo, {}};
    for (const auto &[key, object] : m_objects) {
        const bool isWanted = isSnapshot ? !object.m_deleted : object.m_version > from;
        if (isWanted)
            changes.m_objects.push_back(object);
    }
    return changes;
}

bool ConfigReplica::isSame(const ConfigDigest &digest) const
{
    return digest.m_hash == m_hash && digest.m_count == m_count && digest.m_highest == m_highest;
}

void ConfigReplica::advanceTo(ConfigVersion version)
{
    if (version <= m_completeTo)
        return;
    m_completeTo = version;
    discardDeletions();
}

void ConfigReplica::fillDigest(ConfigDigest &digest) const
{
    digest.m_completeTo = m_completeTo;
    digest.m_hash = m_hash;
    digest.m_count = m_count;
    digest.m_highest = m_highest;
}

void ConfigReplica::discardDeletions()
{
    m_historyFrom = m_completeTo;
    std::erase_if(m_objects, [](const auto &entry) { return entry.second.m_deleted; });
    m_deletions = 0;
}

void ConfigReplica::rehash()
{
    std::string summary;
    m_count = 0;
    m_highest = 0;
    m_deletions = 0;
    for (const auto &[key, object] : m_objects) {
        if (object.m_deleted) {
            ++m_deletions;
            continue;
        }
        summary += summaryOf(object);
        ++m_count;
        m_highest = std::max(m_highest, object.m_version);
    }
    m_hash = m_count == 0 ? 0 : XXH3_64bits(summary.data(), summary.size());
}

} // namespace gypsumdale
