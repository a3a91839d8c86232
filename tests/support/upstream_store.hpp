#pragma once

#include <gypsumdale/serving/upstream_feed.hpp>

#include <cstdint> // int64_t
#include <functional> // function
#include <utility> // exchange, move
#include <vector> // vector

namespace gypsumdale::testing {

/// The store's list of upstreams with its history.
class UpstreamStore
{
public:
    void put(const UpstreamId &id, bool isDraining)
    {
        UpstreamRecord record;
        record.m_id = id;
        record.m_isDraining = isDraining;
        m_list.m_upstreams[id] = record;
        note({record, UpstreamChangeKind::Present});
    }
    void remove(const UpstreamId &id)
    {
        UpstreamChange change;
        change.m_record.m_id = id;
        change.m_kind = UpstreamChangeKind::Removed;
        m_list.m_upstreams.erase(id);
        note(change);
    }
    void dropHistory() { m_keptFrom = m_list.m_revision; }
    /// Calls a function once, at the next change.
    void onChange(std::function<void()> told) { m_told.push_back(std::move(told)); }

    const UpstreamList &list() const { return m_list; }
    bool hasSince(std::int64_t revision) const { return revision >= m_keptFrom; }
    std::vector<UpstreamChange> since(std::int64_t revision) const
    {
        return {m_changes.begin() + revision, m_changes.end()};
    }

private:
    void note(const UpstreamChange &change)
    {
        m_changes.push_back(change);
        m_list.m_revision = static_cast<std::int64_t>(m_changes.size());
        for (const auto &told : std::exchange(m_told, {}))
            told();
    }

    UpstreamList m_list;
    std::vector<UpstreamChange> m_changes;
    std::int64_t m_keptFrom = 0;
    std::vector<std::function<void()>> m_told;
};

} // namespace gypsumdale::testing
