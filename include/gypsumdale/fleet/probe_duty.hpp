#pragma once

#include <gypsumdale/fleet/upstream_table_settings.hpp>

#include <cstddef> // size_t
#include <vector> // vector

namespace gypsumdale {

/// The nodes that probe an upstream, by rendezvous hashing; the first one reports for it.
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

/// Distributes the probing of upstreams among the nodes of the data centre, and determines how
/// often this node probes its own share: the interval grows with their number, so that the cost is
/// bounded.
class ProbeDuty
{
public:
    explicit ProbeDuty(const UpstreamTableSettings &settings);

    /// Returns false if the nodes are unchanged.
    bool setNodes(const std::vector<NodeId> &nodes);
    ProbeOwners ownersOf(const UpstreamId &upstream) const;

    /// Returns whether all nodes report to all others, instead of to the owners only.
    bool isFullMesh() const { return m_nodes.size() <= m_fullMeshLimit; }

    /// Increments or decrements the number of upstreams that this node probes.
    void add() { ++m_owned; }
    void remove() { --m_owned; }
    Duration interval() const;

private:
    std::vector<NodeId> m_nodes;
    std::size_t m_ownersPerUpstream;
    std::size_t m_fullMeshLimit;
    Duration m_minInterval;
    Duration m_maxInterval;
    double m_probesPerSecond;
    std::size_t m_owned = 0;
};

} // namespace gypsumdale
