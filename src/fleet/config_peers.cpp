#include <gypsumdale/fleet/config_peers.hpp>

#include <algorithm> // all_of, any_of, max

namespace gypsumdale {

ConfigPeers::ConfigPeers(const std::vector<NodeId> &nodes)
{
    for (const NodeId &node : nodes)
        m_peers[node];
}

std::vector<NodeId> ConfigPeers::nodes() const
{
    std::vector<NodeId> result;
    result.reserve(m_peers.size());
    for (const auto &[node, view] : m_peers)
        result.push_back(node);
    return result;
}

/// Failure guarded against: a late message that a peer sent before its restart is taken as proof
/// that it knows a version, although it lost that version in the restart; both nodes could then
/// lose it. State of a former incarnation is therefore dropped as soon as a message of a later one
/// arrives.
bool ConfigPeers::recordIncarnation(const NodeId &node, Incarnation incarnation)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end())
        return true;
    auto &view = found->second;
    if (incarnation < view.m_incarnation)
        return false;
    if (incarnation > view.m_incarnation) {
        const auto goneAfter = view.m_goneAfter;
        view = {};
        view.m_incarnation = incarnation;
        view.m_goneAfter = goneAfter;
    }
    return true;
}

void ConfigPeers::recordCompleteVersion(const NodeId &node, ConfigVersion completeTo)
{
    auto &view = m_peers[node];
    view.m_completeTo = std::max(view.m_completeTo, completeTo);
}

bool ConfigPeers::recordGone(const NodeId &node, TimePoint since)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end())
        return false;
    found->second.m_goneAfter = std::max(found->second.m_goneAfter, since);
    return true;
}

std::vector<NodeId> ConfigPeers::unanswered() const
{
    std::vector<NodeId> result;
    for (const auto &[node, view] : m_peers) {
        if (!view.m_answered)
            result.push_back(node);
    }
    return result;
}

bool ConfigPeers::hasEveryAnswer() const
{
    return !m_peers.empty() && unanswered().empty();
}

bool ConfigPeers::isSafe(ConfigVersion version, TimePoint learnedAt) const
{
    const auto knowsVersion = [version](const auto &peer) {
        return peer.second.m_completeTo >= version;
    };
    const auto wasGone = [learnedAt](const auto &peer) {
        // Not at the same instant: the proof may then be from before the node learned the version,
        // and a later incarnation of the peer may have become ready in between through an earlier
        // answer of this node.
        return peer.second.m_goneAfter > learnedAt;
    };
    return std::any_of(m_peers.begin(), m_peers.end(), knowsVersion)
           || std::all_of(m_peers.begin(), m_peers.end(), wasGone);
}

} // namespace gypsumdale
