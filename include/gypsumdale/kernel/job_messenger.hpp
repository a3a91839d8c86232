#pragma once

#include <gypsumdale/kernel/control_context.hpp>
#include <gypsumdale/kernel/fleet_driver.hpp>

#include <functional> // function
#include <optional> // optional

namespace gypsumdale {

/// Sends what jobs want of other nodes, each message in a fiber of its own. Lives on the control
/// loop.
class JobMessenger
{
public:
    /// Whether a reply was the answer that the message wants; takes it in if so.
    using ReplyHandler = std::function<bool(const wire::PeerReplyBody &)>;

    JobMessenger(ControlContext &context, FleetDriver &fleet);

    /// Sends a message that wants an answer; `onEnd` tells whether there was one.
    void ask(const NodeId &peer, const wire::PeerRequestBody &body, ReplyHandler take,
             std::function<void(bool)> onEnd);
    /// Sends a message whose answer says nothing.
    void tell(const NodeId &peer, const wire::PeerRequestBody &body);

    /// Asks all live nodes, `first` before the others, who owns a job. Suspends the calling fiber.
    std::optional<wire::JobLocated> locate(const JobId &job, const std::optional<NodeId> &first);

private:
    std::vector<NodeIdentity> liveNodes(const std::optional<NodeId> &first) const;

    ControlContext &m_context;
    FleetDriver &m_fleet;
};

} // namespace gypsumdale
