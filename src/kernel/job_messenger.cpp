#include <gypsumdale/kernel/job_messenger.hpp>

#include <chrono> // seconds
#include <utility> // move

namespace gypsumdale {

namespace {

constexpr Duration peerTimeout = std::chrono::seconds(1);

} // namespace

JobMessenger::JobMessenger(ControlContext &context, FleetDriver &fleet)
    : m_context(context)
    , m_fleet(fleet)
{}

void JobMessenger::ask(const NodeId &peer, const wire::PeerRequestBody &body, ReplyHandler take,
                       std::function<void(bool)> onEnd)
{
    m_context.m_loop.spawn([this, peer, body, take = std::move(take), onEnd = std::move(onEnd)] {
        const auto identity = m_fleet.find(peer);
        const auto reply =
                identity ? m_context.m_peers.ask(*identity, body, peerTimeout)
                         : Result<wire::PeerReply>(Error{ErrorId::PeerUnreachable, "unknown peer"});
        onEnd(succeeded(reply) && take(valueOf(reply).body));
    });
}

void JobMessenger::tell(const NodeId &peer, const wire::PeerRequestBody &body)
{
    m_context.m_loop.spawn([this, peer, body] {
        if (const auto identity = m_fleet.find(peer))
            m_context.m_peers.ask(*identity, body, peerTimeout);
    });
}

std::vector<NodeIdentity> JobMessenger::liveNodes(const std::optional<NodeId> &first) const
{
    std::vector<NodeIdentity> nodes;
    if (first) {
        if (const auto identity = m_fleet.find(*first))
            nodes.push_back(*identity);
    }
    for (const NodeView &view : m_fleet.membership().nodes()) {
        const bool isFirst = first && view.m_identity.m_node == *first;
        if (!isFirst && view.isOpen())
            nodes.push_back(view.m_identity);
    }
    return nodes;
}

std::optional<wire::JobLocated> JobMessenger::locate(const JobId &job,
                                                     const std::optional<NodeId> &first)
{
    wire::JobLocate ask;
    ask.job = job.text();
    wire::PeerRequestBody body;
    body.__set_jobLocate(ask);
    for (const NodeIdentity &node : liveNodes(first)) {
        const auto reply = m_context.m_peers.ask(node, body, peerTimeout);
        if (succeeded(reply) && valueOf(reply).body.jobLocated.known)
            return valueOf(reply).body.jobLocated;
    }
    return std::nullopt;
}

} // namespace gypsumdale
