#pragma once

#include <gypsumdale/kernel/control_context.hpp>
#include <gypsumdale/kernel/fleet_driver.hpp>

#include <functional> // function
#include <optional> // optional

namespace gypsumdale {

/// Sends the messages of jobs to other nodes, each in its own fiber. Used on the control loop only.
class JobMessenger
{
public:
    /// Processes a reply; returns whether it was the answer that the message requires.
    using ReplyHandler = std::function<bool(const wire::PeerReplyBody &)>;

    JobMessenger(ControlContext &context, FleetDriver &fleet);

    /// Sends a message that requires an answer; `onEnd` receives whether there was one.
    void ask(const NodeId &peer, const wire::PeerRequestBody &body, ReplyHandler take,
             std::function<void(bool)> onEnd);
    /// Sends a message whose answer has no content.
    void tell(const NodeId &peer, const wire::PeerRequestBody &body);

    /// Asks all live nodes, `first` before the others, which of them owns a job. Suspends the
    /// calling fiber.
    std::optional<wire::JobLocated> locate(const JobId &job, const std::optional<NodeId> &first);

private:
    std::vector<NodeIdentity> liveNodes(const std::optional<NodeId> &first) const;

    ControlContext &m_context;
    FleetDriver &m_fleet;
};

} // namespace gypsumdale
