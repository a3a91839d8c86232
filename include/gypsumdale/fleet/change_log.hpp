#pragma once

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <unordered_map> // unordered_map
#include <vector> // vector

namespace gypsumdale {

/// Keys that changed after a version, oldest change first, and the version up to which the list is
/// complete.
template <typename Key>
struct Changes
{
    std::vector<Key> m_keys;
    std::int64_t m_upTo = 0;
};

/// Records the order in which keys changed, so that a peer is sent only the changes since the
/// version it confirmed. Each key is stored once, at its latest change, so memory is linear in the
/// number of keys however often they change. The caller stores the values; they must be absolute,
/// since a change may be sent twice.
template <typename Key>
class ChangeLog
{
public:
    /// Records a change of the key. Complexity: logarithmic.
    void touch(const Key &key)
    {
        ++m_version;
        const auto [entry, isNew] = m_versionOf.try_emplace(key, m_version);
        if (!isNew) {
            m_keyAt.erase(entry->second);
            entry->second = m_version;
        }
        m_keyAt.emplace(m_version, key);
    }

    /// Removes a key that no longer exists. Complexity: logarithmic.
    void forget(const Key &key)
    {
        const auto entry = m_versionOf.find(key);
        if (entry == m_versionOf.end())
            return;
        m_keyAt.erase(entry->second);
        m_versionOf.erase(entry);
    }

    /// Returns at most `limit` keys that changed after `version`. Complexity: linear in the result.
    Changes<Key> since(std::int64_t version, std::size_t limit) const
    {
        Changes<Key> result;
        result.m_upTo = m_version;
        for (auto entry = m_keyAt.upper_bound(version); entry != m_keyAt.end(); ++entry) {
            if (result.m_keys.size() == limit)
                return result;
            result.m_keys.push_back(entry->second);
            result.m_upTo = result.m_keys.size() == limit ? entry->first : m_version;
        }
        return result;
    }

    std::int64_t version() const { return m_version; }

private:
    std::int64_t m_version = 0;
    std::unordered_map<Key, std::int64_t> m_versionOf;
    std::map<std::int64_t, Key> m_keyAt;
};

} // namespace gypsumdale
