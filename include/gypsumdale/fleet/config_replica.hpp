#pragma once

#include <gypsumdale/fleet/config_message.hpp>
#include <gypsumdale/fleet/config_object.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map> // map

namespace gypsumdale {

/// The platform's configuration as it was at one version of its store, `completeTo`: all objects up
/// to that version, and none missing. It only moves forward, so one number compares two of them.
class ConfigReplica
{
public:
    /// Tells whether changes join on without a gap. Constant.
    bool isContiguous(const ConfigChanges &changes) const { return changes.m_from <= m_completeTo; }

    /// Takes changes that join on, and returns what is new by them, deletions included. Changes up
    /// to an earlier version than the known one are left aside whole: a lagging peer could name an
    /// object whose deletion is known here but no longer remembered. O(n log n).
    ConfigObjects take(const ConfigChanges &changes);

    /// Returns the changes after a version; a snapshot for 0 or where the deletions since then are
    /// no longer remembered. Linear.
    ConfigChanges changesAfter(ConfigVersion from) const;

    /// Tells whether a digest's sender has the same objects. Constant.
    bool isSame(const ConfigDigest &digest) const;

    /// Notes that nothing changed up to a version, as a digest with the same objects shows.
    /// Objects that came and went on the way are not known, so later questions from before that
    /// version get snapshots. Does nothing for an earlier version. Linear in the deletions.
    void advanceTo(ConfigVersion version);

    ConfigVersion completeTo() const { return m_completeTo; }

    /// Fills what a digest says of the objects. Constant.
    void fillDigest(ConfigDigest &digest) const;

private:
    bool takeObject(const ConfigObject &object);
    void endMissing(const ConfigChanges &snapshot, ConfigObjects &news);
    void forgetDeletions();
    void rehash();

    std::map<ConfigKey, ConfigObject> m_objects;
    ConfigVersion m_completeTo = 0;
    /// All deletions after this version are remembered.
    ConfigVersion m_historyFrom = 0;
    std::uint64_t m_hash = 0;
    std::uint64_t m_count = 0;
    std::size_t m_deletions = 0;
    ConfigVersion m_highest = 0;
};

} // namespace gypsumdale
