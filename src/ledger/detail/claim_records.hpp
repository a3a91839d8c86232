#pragma once

#include "claim_attempt.hpp"

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/ledger/claim_messages.hpp>

#include <ledger_types.h>

#include <optional> // optional
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::detail {

/// Returns a digest as the bytes of a record.
std::string toBytes(const Digest &digest);

/// Reads a digest, or nothing if the length is wrong.
std::optional<Digest> toDigest(std::string_view bytes);

wire::WireOutcome::type toWire(Outcome outcome);
Outcome fromWire(wire::WireOutcome::type outcome);

/// The records of an attempt, which all nodes forget at the expiry.
wire::ClaimRecord claimRecord(const ClaimAttempt &attempt, WallMillis expiry);
/// The answer is kept in it unless its body is larger than a record takes.
wire::OutcomeRecord outcomeRecord(const ClaimAttempt &attempt, Outcome outcome,
                                  const StoredAnswer &answer, std::size_t maxAnswerBytes,
                                  WallMillis expiry);

std::string encodeRecord(const wire::ClaimRecord &claim);
std::string encodeRecord(const wire::OutcomeRecord &outcome);
std::string encodeRecord(const wire::RestatedRecord &restated);

/// Reads a record. Fails with PeerMalformed if it is none, or not exactly one whole claim, outcome
/// or restatement.
Result<wire::LedgerRecord> decodeRecord(std::string_view bytes);

} // namespace gypsumdale::detail
