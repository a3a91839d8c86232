#pragma once

#include <gypsumdale/serving/shared_quota.hpp>

#include <entry_types.h>

#include <vector> // vector

/// How questions about quotas and their answers stand in messages between VMs.
namespace gypsumdale {

entrywire::QuotaQuestion encodeQuotaQuestion(const QuotaQuestion &question);
/// Reads a question. Its owner is left empty: it is the receiver.
QuotaQuestion decodeQuotaQuestion(const entrywire::QuotaQuestion &encoded);

/// Returns the message for an answer, apart from the address of an owner.
entrywire::QuotaAnswer encodeQuotaAnswer(const QuotaAnswer &answer);
QuotaAnswer decodeQuotaAnswer(const entrywire::QuotaAnswer &encoded);

std::vector<entrywire::QuotaCredit> encodeQuotaCredits(const std::vector<QuotaCredit> &credits);
std::vector<QuotaCredit> decodeQuotaCredits(const std::vector<entrywire::QuotaCredit> &encoded);

} // namespace gypsumdale
