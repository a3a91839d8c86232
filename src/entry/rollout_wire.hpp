#pragma once

#include <gypsumdale/entry/rollout_controller.hpp>

#include <entry_types.h>

#include <string> // string
#include <vector> // vector

/// Messages between VMs about roll-outs.
namespace gypsumdale {

/// Encode and decode what a VM has counted, and its operators' orders.
entrywire::RolloutQuestion encodeQuestion(const std::vector<RolloutReport> &reports,
                                          const std::vector<RolloutOrder> &orders);
std::vector<RolloutReport> decodeReports(const entrywire::RolloutQuestion &question);
std::vector<RolloutOrder> decodeOrders(const entrywire::RolloutQuestion &question);

/// Encode and decode what the deciding VM answers. The ends of leases don't travel.
entrywire::RolloutAnswer encodeDecision(const RolloutDecision &decision);
RolloutDecision decodeDecision(const entrywire::RolloutAnswer &answer);

} // namespace gypsumdale
