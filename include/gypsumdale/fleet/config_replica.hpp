#pragma once

#include <gypsumdale/fleet/config_message.hpp>
#include <gypsumdale/fleet/config_object.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map> // map

namespace gypsumdale {

/// Replica of the platform's configuration as of one version of its store, `completeTo`: all
/// objects up to that version, without gaps. The version only increases, so one number is enough to
/// compare two replicas.
class ConfigReplica
{
public:
    /// Returns whether the changes follow the known version without a gap. Complexity: constant.
    bool isContiguous(const ConfigChanges &changes) const { return changes.m_from <= m_completeTo; }

    /// Applies contiguous changes and returns the objects that are new, deletions included. Changes
    /// up to a version earlier than the known one are ignored completely: a lagging peer could name
    /// an object whose deletion is known here but whose tombstone is no longer retained.
    /// Complexity: O(n log n).
    ConfigObjects take(const ConfigChanges &changes);

    /// Returns the changes after a version; a snapshot if the version is 0 or the deletions since
    /// then are no longer retained. Complexity: linear.
    ConfigChanges changesAfter(ConfigVersion from) const;

    /// Returns whether the sender of a digest has the same objects. Complexity: constant.
    bool isSame(const ConfigDigest &digest) const;

    /// Advances to a version up to which nothing changed, as a digest with the same objects shows.
    /// Objects that were created and deleted in between are unknown, so a later request for changes
    /// since an earlier version gets a snapshot. Does nothing for an earlier version. Complexity:
    /// linear in the number of deletions.
    void advanceTo(ConfigVersion version);

    ConfigVersion completeTo() const { return m_completeTo; }

    /// Fills the fields of a digest that are about the objects. Complexity: constant.
    void fillDigest(ConfigDigest &digest) const;

private:
    bool applyObject(const ConfigObject &object);
    void deleteMissing(const ConfigChanges &snapshot, ConfigObjects &changed);
    void discardDeletions();
    void rehash();

    std::map<ConfigKey, ConfigObject> m_objects;
    ConfigVersion m_completeTo = 0;
    /// All deletions after this version are retained.
    ConfigVersion m_historyFrom = 0;
    std::uint64_t m_hash = 0;
    std::uint64_t m_count = 0;
    std::size_t m_deletions = 0;
    ConfigVersion m_highest = 0;
};

} // namespace gypsumdale
