#pragma once

#include "claim_attempt.hpp"

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/ledger/claim_messages.hpp>

#include <ledger_types.h>

#include <optional> // optional
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::detail {

/// Returns the bytes of a digest for a record.
std::string toBytes(const Digest &digest);

/// Reads a digest, or returns nothing if the length is wrong.
std::optional<Digest> toDigest(std::string_view bytes);

wire::WireOutcome::type toWire(Outcome outcome);
Outcome fromWire(wire::WireOutcome::type outcome);

/// Returns the claim record of an attempt, which all nodes discard at the expiry.
wire::ClaimRecord claimRecord(const ClaimAttempt &attempt, WallMillis expiry);
/// Returns the outcome record of an attempt. Contains the answer unless its body exceeds
/// `maxAnswerBytes`.
wire::OutcomeRecord outcomeRecord(const ClaimAttempt &attempt, Outcome outcome,
                                  const StoredAnswer &answer, std::size_t maxAnswerBytes,
                                  WallMillis expiry);

std::string encodeRecord(const wire::ClaimRecord &claim);
std::string encodeRecord(const wire::OutcomeRecord &outcome);
std::string encodeRecord(const wire::RestatedRecord &restated);

/// Decodes a record. Fails with PeerMalformed unless it is exactly one complete claim, outcome or
/// restated claim.
Result<wire::LedgerRecord> decodeRecord(std::string_view bytes);

} // namespace gypsumdale::detail
