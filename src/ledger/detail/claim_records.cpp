#include "claim_records.hpp"

#include <gypsumdale/wire/thrift_codec.hpp>

#include <algorithm> // copy

namespace gypsumdale::detail {

std::string toBytes(const Digest &digest)
{
    return std::string(digest.begin(), digest.end());
}

std::optional<Digest> toDigest(std::string_view bytes)
{
    Digest digest{};
    if (bytes.size() != digest.size())
        return std::nullopt;
    std::copy(bytes.begin(), bytes.end(), digest.begin());
    return digest;
}

wire::WireOutcome::type toWire(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return wire::WireOutcome::Done;
    case Outcome::NotRun:
        return wire::WireOutcome::NotRun;
    case Outcome::Unknown:
        break;
    }
    return wire::WireOutcome::Unknown;
}

Outcome fromWire(wire::WireOutcome::type outcome)
{
    switch (outcome) {
    case wire::WireOutcome::Done:
        return Outcome::Done;
    case wire::WireOutcome::NotRun:
        return Outcome::NotRun;
    case wire::WireOutcome::Unknown:
        break;
    }
    return Outcome::Unknown;
}

wire::ClaimRecord claimRecord(const ClaimAttempt &attempt, WallMillis expiry)
{
    wire::ClaimRecord record;
    record.key = toBytes(attempt.m_key);
    record.body = toBytes(attempt.m_body);
    record.attempt = attempt.m_id.text();
    record.node = attempt.m_node.text();
    record.expiry = expiry;
    return record;
}

wire::OutcomeRecord outcomeRecord(const ClaimAttempt &attempt, Outcome outcome,
                                  const StoredAnswer &answer, std::size_t maxAnswerBytes,
                                  WallMillis expiry)
{
    wire::OutcomeRecord record;
    record.key = toBytes(attempt.m_key);
    record.attempt = attempt.m_id.text();
    record.outcome = toWire(outcome);
    record.status = answer.m_status;
    record.contentType = answer.m_contentType;
    record.expiry = expiry;
    record.answerKept = answer.m_body && answer.m_body->size() <= maxAnswerBytes;
    if (record.answerKept)
        record.answer = *answer.m_body;
    return record;
}

std::string encodeRecord(const wire::ClaimRecord &claim)
{
    wire::LedgerRecord record;
    record.__set_claim(claim);
    return wire::encode(record);
}

std::string encodeRecord(const wire::OutcomeRecord &outcome)
{
    wire::LedgerRecord record;
    record.__set_outcome(outcome);
    return wire::encode(record);
}

std::string encodeRecord(const wire::RestatedRecord &restated)
{
    wire::LedgerRecord record;
    record.__set_restated(restated);
    return wire::encode(record);
}

Result<wire::LedgerRecord> decodeRecord(std::string_view bytes)
{
    Result<wire::LedgerRecord> decoded = wire::decode<wire::LedgerRecord>(bytes);
    if (!succeeded(decoded))
        return decoded;
    const wire::LedgerRecord &record = valueOf(decoded);
    const bool isClaim =
            record.__isset.claim && toDigest(record.claim.key) && toDigest(record.claim.body);
    const bool isOutcome = record.__isset.outcome && toDigest(record.outcome.key);
    const bool isRestated = record.__isset.restated && toDigest(record.restated.key)
                            && toDigest(record.restated.body);
    if (int(isClaim) + int(isOutcome) + int(isRestated) != 1)
        return Error{ErrorId::PeerMalformed, "not exactly one complete record of the ledger"};
    return decoded;
}

} // namespace gypsumdale::detail
