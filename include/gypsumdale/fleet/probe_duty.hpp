#pragma once

#include <gypsumdale/fleet/upstream_table_settings.hpp>

#include <cstddef> // size_t
#include <vector> // vector

namespace gypsumdale {

/// The nodes that probe an upstream, by rendezvous hashing; the first one speaks for it.
class ProbeOwners
{
public:
    ProbeOwners() = default;
    explicit ProbeOwners(std::vector<NodeId> nodes);

    const std::vector<NodeId> &nodes() const { return m_nodes; }
    bool includes(const NodeId &node) const;
    bool isFirst(const NodeId &node) const { return !m_nodes.empty() && m_nodes.front() == node; }

private:
    std::vector<NodeId> m_nodes;
};

/// How the nodes of the data centre share the probing of its upstreams, and how often this node
/// probes those that fall to it: the more there are, the more rarely, so that the cost is bounded.
class ProbeDuty
{
public:
    explicit ProbeDuty(const UpstreamTableSettings &settings);

    /// Returns false if they are the nodes already held.
    bool setNodes(const std::vector<NodeId> &nodes);
    ProbeOwners ownersOf(const UpstreamId &upstream) const;

    /// Tells whether all nodes tell each other everything, instead of only the owners.
    bool isFullMesh() const { return m_nodes.size() <= m_fullMeshLimit; }

    /// This node probes one upstream more, or one less.
    void add() { ++m_owned; }
    void remove() { --m_owned; }
    Duration interval() const;

private:
    std::vector<NodeId> m_nodes;
    std::size_t m_owners;
    std::size_t m_fullMeshLimit;
    Duration m_shortest;
    Duration m_longest;
    double m_probesPerSecond;
    std::size_t m_owned = 0;
};

} // namespace gypsumdale
