#pragma once

#include <gypsumdale/entry/rollout_orders.hpp>
#include <gypsumdale/runtime/http_message.hpp>

#include <functional> // function
#include <vector> // vector

namespace gypsumdale {

/// Returns whether a request on the address for metrics is about roll-outs.
bool isRolloutPage(const HttpRequest &request);

/// Roll-outs as their page sees them.
struct RolloutAccess
{
    std::vector<RolloutView> m_rollouts;
    /// Passes an order on to the VM that decides.
    std::function<void(const RolloutOrder &order)> m_order;
};

/// Answers with a list of the roll-outs (GET /-/rollouts), or takes an order about one (POST
/// /-/rollouts/pause/NAME, resume or rollback), which only a caller on this machine may give.
HttpReply answerRolloutPage(const HttpRequest &request, bool isLocal, const RolloutAccess &access);

} // namespace gypsumdale
