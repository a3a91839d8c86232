#include "claim_table.hpp"
#include "claim_records.hpp"

#include <algorithm> // find, max, min
#include <cstring> // memcpy

namespace gypsumdale::detail {

namespace {

/// Maximum number of attempts per key that are remembered as dead. A forgotten one could at worst
/// block its key, if its claim arrived late.
constexpr std::size_t maxDeadAttempts = 64;

/// Maximum bytes of an answer in a restated record.
constexpr std::size_t maxRestatedAnswer = 512;

bool isDead(const ClaimEntry &entry, const AttemptId &attempt)
{
    return std::find(entry.m_dead.begin(), entry.m_dead.end(), attempt) != entry.m_dead.end();
}

} // namespace

ClaimTable::ClaimTable(Duration tolerance, std::size_t maxAnswerBytes)
    : m_tolerance(std::chrono::duration_cast<std::chrono::milliseconds>(tolerance).count())
    , m_maxAnswerBytes(maxAnswerBytes)
{}

std::size_t ClaimTable::DigestHash::operator()(const Digest &digest) const noexcept
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof(hash));
    return hash;
}

void ClaimTable::beginSegment(SegmentNumber number, WallMillis writtenAt, WallMillis wall)
{
    m_logTime = std::max(m_logTime, writtenAt);
    removeExpired(wall);
    m_segments.push_back({number, 0});
}

bool ClaimTable::apply(const wire::ClaimRecord &claim)
{
    ClaimEntry &entry = touch(*toDigest(claim.key), claim.expiry);
    const AttemptId attempt(claim.attempt);
    if (entry.m_validAttempt)
        return *entry.m_validAttempt == attempt;
    if (isDead(entry, attempt))
        return false;
    entry.m_validAttempt = attempt;
    entry.m_body = *toDigest(claim.body);
    return true;
}

void ClaimTable::apply(const wire::OutcomeRecord &outcome)
{
    ClaimEntry &entry = touch(*toDigest(outcome.key), outcome.expiry);
    const AttemptId attempt(outcome.attempt);
    const Outcome what = fromWire(outcome.outcome);
    const bool isValid = entry.m_validAttempt == attempt;
    if (what == Outcome::NotRun && isValid && entry.m_outcome)
        return;
    if (what == Outcome::NotRun) {
        if (isValid)
            entry.m_validAttempt.reset();
        if (entry.m_dead.size() < maxDeadAttempts)
            entry.m_dead.push_back(attempt);
        return;
    }
    if (!isValid || entry.m_outcome == Outcome::Done)
        return;
    entry.m_outcome = what;
    keepAnswer(entry, outcome);
}

void ClaimTable::apply(const wire::RestatedRecord &restated)
{
    // The record may have waited until the key had expired and was claimed again.
    if (restated.expiry + m_tolerance < m_logTime)
        return;
    ClaimEntry &entry = touch(*toDigest(restated.key), restated.expiry);
    const AttemptId attempt(restated.attempt);
    if (entry.m_validAttempt == attempt && (entry.m_outcome || !restated.hasOutcome))
        return;
    if (isDead(entry, attempt))
        return;
    entry.m_validAttempt = attempt;
    entry.m_body = *toDigest(restated.body);
    entry.m_outcome.reset();
    dropAnswer(entry);
    if (!restated.hasOutcome)
        return;
    entry.m_outcome = fromWire(restated.outcome);
    keepAnswer(entry, restated);
}

std::vector<Digest> ClaimTable::claimedKeys() const
{
    std::vector<Digest> keys;
    for (const auto &[key, entry] : m_entries) {
        if (entry.m_validAttempt)
            keys.push_back(key);
    }
    return keys;
}

std::optional<wire::RestatedRecord> ClaimTable::restate(const Digest &key) const
{
    const ClaimEntry *entry = find(key);
    if (entry == nullptr || !entry->m_validAttempt)
        return std::nullopt;
    wire::RestatedRecord record;
    record.key = toBytes(key);
    record.body = toBytes(entry->m_body);
    record.attempt = entry->m_validAttempt->text();
    record.hasOutcome = entry->m_outcome.has_value();
    record.outcome = toWire(entry->m_outcome.value_or(Outcome::Unknown));
    record.status = entry->m_answer.m_status;
    record.contentType = entry->m_answer.m_contentType;
    record.expiry = entry->m_expiry;
    const std::optional<std::string> &answer = entry->m_answer.m_body;
    record.answerKept = answer && answer->size() <= maxRestatedAnswer;
    if (record.answerKept)
        record.answer = *answer;
    return record;
}

template <typename Record>
void ClaimTable::keepAnswer(ClaimEntry &entry, const Record &record)
{
    dropAnswer(entry);
    entry.m_answer.m_status = record.status;
    entry.m_answer.m_contentType = record.contentType;
    const bool fits = m_answerBytes + record.answer.size() <= m_maxAnswerBytes;
    if (!record.answerKept || !fits)
        return;
    m_answerBytes += record.answer.size();
    entry.m_answer.m_body = record.answer;
}

void ClaimTable::dropAnswer(ClaimEntry &entry)
{
    if (entry.m_answer.m_body)
        m_answerBytes -= entry.m_answer.m_body->size();
    entry.m_answer = {};
}

const ClaimEntry *ClaimTable::find(const Digest &key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

ClaimEntry &ClaimTable::touch(const Digest &key, WallMillis expiry)
{
    SegmentExpiry &segment = m_segments.back();
    segment.m_expiry = std::max(segment.m_expiry, expiry);
    ClaimEntry &entry = m_entries[key];
    if (expiry <= entry.m_expiry)
        return entry;
    entry.m_expiry = expiry;
    m_expiries.push_back({key, expiry});
    return entry;
}

bool ClaimTable::isExpired(WallMillis expiry, WallMillis wall) const
{
    return expiry + m_tolerance < std::min(m_logTime, wall);
}

SegmentNumber ClaimTable::removeExpired(WallMillis wall)
{
    while (!m_expiries.empty() && isExpired(m_expiries.front().m_expiry, wall)) {
        const KeyExpiry oldest = m_expiries.front();
        m_expiries.pop_front();
        const auto found = m_entries.find(oldest.m_key);
        if (found == m_entries.end() || !isExpired(found->second.m_expiry, wall))
            continue;
        dropAnswer(found->second);
        m_entries.erase(found);
    }
    while (!m_segments.empty() && isExpired(m_segments.front().m_expiry, wall))
        m_segments.pop_front();
    return m_segments.empty() ? 0 : m_segments.front().m_number;
}

ClaimResult resultOf(const ClaimEntry &entry, const Digest &body)
{
    if (entry.m_body != body)
        return KeyReused{};
    if (entry.m_outcome == Outcome::Done)
        return AlreadyDone{*entry.m_validAttempt, entry.m_answer};
    return InProgressOrUnknown{*entry.m_validAttempt};
}

} // namespace gypsumdale::detail
