#include "detail/claim_attempts.hpp"
#include "detail/claim_records.hpp"
#include "detail/claim_shard.hpp"

#include <gypsumdale/ledger/claim_ledger.hpp>

#include <algorithm> // min
#include <utility> // exchange, move

namespace gypsumdale {

using detail::ClaimAttempt;
using detail::ClaimEntry;
using detail::ClaimRole;
using detail::ClaimShard;
using detail::ClaimState;
using detail::isWaiting;

ClaimLedger::ClaimLedger(ClaimLedgerSettings settings)
    : m_settings(std::move(settings))
    , m_attempts(std::make_unique<detail::ClaimAttempts>())
{}

ClaimLedger::~ClaimLedger() = default;
ClaimLedger::ClaimLedger(ClaimLedger &&) noexcept = default;
ClaimLedger &ClaimLedger::operator=(ClaimLedger &&) noexcept = default;

ClaimTicket ClaimLedger::begin(const ClaimRequest &request, Moment moment)
{
    return claimLocally(request, ClaimRole::Own, m_settings.m_node, moment);
}

ClaimTicket ClaimLedger::beginForPeer(const ClaimRequest &request, const NodeId &peer,
                                      Moment moment)
{
    return claimLocally(request, ClaimRole::ForPeer, peer, moment);
}

ClaimTicket ClaimLedger::claimLocally(const ClaimRequest &request, ClaimRole role,
                                      const NodeId &sender, Moment moment)
{
    const ClaimTicket ticket = add(request, role, moment);
    if (ClaimAttempt *attempt = m_attempts->find(ticket)) {
        attempt->m_node = sender;
        tryClaim(*attempt, false, moment);
    }
    m_attempts->removeEnded();
    return ticket;
}

ClaimTicket ClaimLedger::beginForwarded(const ClaimRequest &request, Moment moment)
{
    const ClaimTicket ticket = add(request, ClaimRole::Forwarded, moment);
    if (ClaimAttempt *attempt = m_attempts->find(ticket))
        attempt->m_state = ClaimState::Claiming;
    return ticket;
}

ClaimTicket ClaimLedger::add(const ClaimRequest &request, ClaimRole role, Moment moment)
{
    // For a request that was delivered twice, the first delivery decides.
    if (m_attempts->find(request.m_attempt) != nullptr) {
        const ClaimTicket ticket = m_attempts->newTicket();
        m_events.emplace_back(ClaimDecided{ticket, InProgressOrUnknown{request.m_attempt}});
        return ticket;
    }
    return m_attempts->add(detail::makeAttempt(request, role, m_settings, moment));
}

void ClaimLedger::tryClaim(ClaimAttempt &attempt, bool isFresh, Moment moment)
{
    if (moment.m_now >= attempt.m_deadline)
        return decide(attempt, NotRun{NotRunReason::DeadlinePassed, {}});
    ClaimShard &target = shard(attempt.m_shard);
    target.touch(moment.m_now);
    const ClaimEntry *entry = target.table().find(attempt.m_key);
    if (entry == nullptr || !entry->m_validAttempt)
        return appendClaim(attempt, moment);
    const bool isFinal =
            isFresh || entry->m_outcome || m_attempts->find(*entry->m_validAttempt) != nullptr;
    if (isFinal || entry->m_body != attempt.m_body)
        return decide(attempt, detail::resultOf(*entry, attempt.m_body));
    const Duration outage = target.log().remainingBackoff(moment.m_now);
    if (outage > Duration::zero())
        return decide(attempt, NotRun{NotRunReason::PlatformOut, outage});
    // The attempt of the valid claim may have ended since the log was last read.
    attempt.m_state = ClaimState::Refreshing;
    target.log().refresh();
}

void ClaimLedger::appendClaim(ClaimAttempt &attempt, Moment moment)
{
    ClaimShard &target = shard(attempt.m_shard);
    const Duration outage = target.log().remainingBackoff(moment.m_now);
    if (target.isUnusable() || target.log().state(moment.m_now) == LogState::Corrupt)
        return decide(attempt, NotRun{NotRunReason::LogCorrupt, m_settings.m_retryAfter});
    if (outage > Duration::zero())
        return decide(attempt, NotRun{NotRunReason::PlatformOut, outage});
    const wire::ClaimRecord record = detail::claimRecord(attempt, expiry(moment));
    const Result<LogTicket> ticket = target.log().append(detail::encodeRecord(record));
    if (!succeeded(ticket))
        return decide(attempt, NotRun{NotRunReason::Overloaded, m_settings.m_retryAfter});
    attempt.m_state = ClaimState::Claiming;
    attempt.m_claim = valueOf(ticket);
    target.link(valueOf(ticket), attempt.m_id);
}

WallMillis ClaimLedger::expiry(Moment moment) const
{
    return moment.m_wall + toWholeMillis(m_settings.m_retention);
}

void ClaimLedger::decide(ClaimAttempt &attempt, ClaimResult result)
{
    if (std::holds_alternative<Granted>(result))
        attempt.m_state = ClaimState::Granted;
    else if (attempt.m_state != ClaimState::Dead)
        attempt.m_state = ClaimState::Ended;
    m_attempts->closeTicket(attempt.m_ticket);
    m_events.emplace_back(ClaimDecided{attempt.m_ticket, std::move(result)});
}

void ClaimLedger::grant(ClaimAttempt &attempt, Moment moment)
{
    if (moment.m_now >= attempt.m_deadline) {
        appendNotRun(attempt, moment);
        return decide(attempt, NotRun{NotRunReason::DeadlinePassed, {}});
    }
    decide(attempt, Granted{attempt.m_id});
    // Only the peer may send the attempt: nothing is left to do here.
    if (attempt.m_role == ClaimRole::ForPeer)
        attempt.m_state = ClaimState::Ended;
}

void ClaimLedger::abandonAttempt(ClaimAttempt &attempt, const NotRun &result, Moment moment)
{
    if (attempt.m_role == ClaimRole::Forwarded) {
        // Failure: the reply to a forwarded claim is lost, and the claim may be valid, now or
        // later. Its key would show as "unknown" until the retention ends. As only this node could
        // send the attempt and never will, it may record that in the log.
        appendNotRun(attempt, moment);
        return decide(attempt, result);
    }
    const bool isNotWritten =
            !attempt.m_claim
            || shard(attempt.m_shard).log().abandon(*attempt.m_claim) == AbandonResult::NotWritten;
    if (isNotWritten && attempt.m_claim)
        shard(attempt.m_shard).unlink(*attempt.m_claim);
    attempt.m_state = isNotWritten ? ClaimState::Ended : ClaimState::Dead;
    decide(attempt, result);
}

void ClaimLedger::appendNotRun(const ClaimAttempt &attempt, Moment moment)
{
    recordOutcome(attempt, Outcome::NotRun, {}, moment);
}

void ClaimLedger::recordOutcome(const ClaimAttempt &attempt, Outcome outcome,
                                const StoredAnswer &answer, Moment moment)
{
    const wire::OutcomeRecord record = detail::outcomeRecord(
            attempt, outcome, answer, m_settings.m_maxAnswerBytes, expiry(moment));
    std::string bytes = detail::encodeRecord(record);
    const bool isLoaded = m_loaded.contains(attempt.m_shard);
    if (attempt.m_role == ClaimRole::Forwarded && !isLoaded) {
        m_events.emplace_back(RecordToForward{attempt.m_shard, std::move(bytes)});
        return;
    }
    ClaimShard &target = shard(attempt.m_shard);
    target.touch(moment.m_now);
    const Result<LogTicket> ticket = target.log().append(std::move(bytes));
    if (succeeded(ticket))
        target.link(valueOf(ticket), attempt.m_id);
}

void ClaimLedger::onForwardResult(ClaimTicket ticket, const ClaimResult &result, Moment moment)
{
    ClaimAttempt *attempt = m_attempts->find(ticket);
    if (attempt == nullptr || attempt->m_role != ClaimRole::Forwarded || !isWaiting(*attempt))
        return;
    if (std::holds_alternative<Granted>(result))
        grant(*attempt, moment);
    else
        decide(*attempt, result);
    m_attempts->removeEnded();
}

void ClaimLedger::onForwardLost(ClaimTicket ticket, Moment moment)
{
    ClaimAttempt *attempt = m_attempts->find(ticket);
    if (attempt == nullptr || attempt->m_role != ClaimRole::Forwarded || !isWaiting(*attempt))
        return;
    // Loads the shard, so that a later claim by this node follows the record in the same log.
    shard(attempt->m_shard);
    abandonAttempt(*attempt, NotRun{NotRunReason::PlatformOut, m_settings.m_retryAfter}, moment);
    m_attempts->removeEnded();
}

bool ClaimLedger::start(const AttemptId &id, Moment moment)
{
    ClaimAttempt *attempt = m_attempts->find(id);
    if (attempt == nullptr || attempt->m_state != ClaimState::Granted)
        return false;
    // Failure: the process was paused between its grant and this call. The caller was informed that
    // its deadline passed, and would see the request run after all.
    if (moment.m_now < attempt->m_deadline) {
        attempt->m_state = ClaimState::Started;
        return true;
    }
    appendNotRun(*attempt, moment);
    attempt->m_state = ClaimState::Ended;
    m_attempts->removeEnded();
    return false;
}

void ClaimLedger::finish(const AttemptId &id, Outcome outcome, const StoredAnswer &answer,
                         Moment moment)
{
    ClaimAttempt *attempt = m_attempts->find(id);
    if (attempt == nullptr)
        return;
    const bool wasGranted = attempt->m_state == ClaimState::Granted;
    if (attempt->m_state != ClaimState::Started && !wasGranted)
        return;
    const Outcome recorded = wasGranted ? Outcome::NotRun : outcome;
    recordOutcome(*attempt, recorded, answer, moment);
    attempt->m_state = ClaimState::Ended;
    m_attempts->removeEnded();
}

Result<Done> ClaimLedger::appendForPeer(ShardNumber number, std::string_view bytes, Moment moment)
{
    const Result<wire::LedgerRecord> decoded = detail::decodeRecord(bytes);
    if (!succeeded(decoded))
        return errorOf(decoded);
    const wire::LedgerRecord &record = valueOf(decoded);
    const bool isOutcome = record.__isset.outcome;
    if (!isOutcome || number >= m_settings.m_shards
        || detail::shardOfDigest(*detail::toDigest(record.outcome.key), m_settings.m_shards)
                   != number)
        return Error{ErrorId::PeerMalformed, "not an outcome of this shard"};
    ClaimShard &target = shard(number);
    target.touch(moment.m_now);
    const Result<LogTicket> ticket = target.log().append(std::string(bytes));
    if (!succeeded(ticket))
        return errorOf(ticket);
    return Done{};
}

std::optional<ShardCommand> ClaimLedger::next(Moment moment)
{
    // Starts after the shard that was served last, so that no shard starves.
    auto shardAt = m_loaded.upper_bound(m_lastServed);
    for (std::size_t seen = 0; seen < m_loaded.size(); ++seen) {
        if (shardAt == m_loaded.end())
            shardAt = m_loaded.begin();
        std::optional<LogCommand> command = shardAt->second->log().next(moment);
        if (command) {
            m_lastServed = shardAt->first;
            return ShardCommand{shardAt->first, std::move(*command)};
        }
        ++shardAt;
    }
    return std::nullopt;
}

void ClaimLedger::onAnswer(ShardNumber number, const LogAnswer &answer, Moment moment)
{
    const auto found = m_loaded.find(number);
    if (found == m_loaded.end())
        return;
    ClaimShard &target = *found->second;
    target.log().onAnswer(answer, moment);
    for (const PlatformLogEvent &event : target.log().takeEvents())
        std::visit([this, number, moment](const auto &what) { handle(number, what, moment); },
                   event);
    const Duration outage = target.log().remainingBackoff(moment.m_now);
    if (outage > Duration::zero())
        refuseWaiting(number, NotRun{NotRunReason::PlatformOut, outage}, moment);
    target.maintain(moment);
    m_attempts->removeEnded();
}

void ClaimLedger::handle(ShardNumber number, const RecordApplied &event, Moment moment)
{
    ClaimShard &target = *m_loaded.at(number);
    const Result<bool> isValid = target.apply(event, moment);
    if (!succeeded(isValid)) {
        reportProblem(number, LogCorrupt{event.m_number, errorOf(isValid).m_text});
        return refuseWaiting(number, NotRun{NotRunReason::LogCorrupt, m_settings.m_retryAfter},
                             moment);
    }
    if (!event.m_ticket)
        return;
    const std::optional<AttemptId> id = target.unlink(*event.m_ticket);
    if (!id)
        return;
    ClaimAttempt *attempt = m_attempts->find(*id);
    if (attempt != nullptr && attempt->m_claim == event.m_ticket)
        return claimApplied(*attempt, valueOf(isValid), moment);
    m_events.emplace_back(OutcomeRecorded{*id});
}

void ClaimLedger::claimApplied(ClaimAttempt &attempt, bool isValid, Moment moment)
{
    attempt.m_claim.reset();
    if (attempt.m_state == ClaimState::Dead) {
        // The caller got NotRun while the claim was on its way, which no other node can know.
        if (isValid)
            appendNotRun(attempt, moment);
        attempt.m_state = ClaimState::Ended;
        return;
    }
    if (attempt.m_state != ClaimState::Claiming)
        return;
    if (isValid)
        return grant(attempt, moment);
    const ClaimEntry *entry = shard(attempt.m_shard).table().find(attempt.m_key);
    if (entry != nullptr && entry->m_validAttempt)
        return decide(attempt, detail::resultOf(*entry, attempt.m_body));
    decide(attempt, NotRun{NotRunReason::DeadlinePassed, m_settings.m_retryAfter});
}

void ClaimLedger::handle(ShardNumber number, const RecordDropped &event, Moment)
{
    const std::optional<AttemptId> id = m_loaded.at(number)->unlink(event.m_ticket);
    ClaimAttempt *attempt = id ? m_attempts->find(*id) : nullptr;
    if (attempt != nullptr && attempt->m_claim == event.m_ticket)
        attempt->m_state = ClaimState::Ended;
}

void ClaimLedger::handle(ShardNumber number, const LogCaughtUp &, Moment moment)
{
    for (const auto &[id, attempt] : *m_attempts) {
        if (attempt->m_shard == number && attempt->m_state == ClaimState::Refreshing)
            tryClaim(*attempt, true, moment);
    }
}

void ClaimLedger::handle(ShardNumber number, const LogGap &event, Moment)
{
    reportProblem(number, event);
}

void ClaimLedger::handle(ShardNumber number, const LogStray &event, Moment)
{
    reportProblem(number, event);
}

void ClaimLedger::handle(ShardNumber number, const LogCorrupt &event, Moment moment)
{
    reportProblem(number, event);
    refuseWaiting(number, NotRun{NotRunReason::LogCorrupt, m_settings.m_retryAfter}, moment);
}

template <typename Problem>
void ClaimLedger::reportProblem(ShardNumber number, const Problem &problem)
{
    m_events.emplace_back(ShardProblem{number, problem});
}

void ClaimLedger::refuseWaiting(ShardNumber number, const NotRun &result, Moment moment)
{
    for (const auto &[id, attempt] : *m_attempts) {
        const bool isHere = attempt->m_shard == number && attempt->m_role != ClaimRole::Forwarded;
        if (isHere && isWaiting(*attempt))
            abandonAttempt(*attempt, result, moment);
    }
}

void ClaimLedger::advance(Moment moment)
{
    expireAttempts(moment);
    for (const auto &[number, loaded] : m_loaded)
        loaded->maintain(moment);
    m_attempts->removeEnded();
    dropIdleShards(moment);
}

void ClaimLedger::expireAttempts(Moment moment)
{
    for (const auto &[id, attempt] : *m_attempts) {
        if (isWaiting(*attempt) && moment.m_now >= attempt->m_claimDeadline) {
            const bool isLate = moment.m_now >= attempt->m_deadline;
            const NotRunReason reason =
                    isLate ? NotRunReason::DeadlinePassed : NotRunReason::PlatformOut;
            abandonAttempt(*attempt, NotRun{reason, m_settings.m_retryAfter}, moment);
            continue;
        }
        if (attempt->m_state == ClaimState::Granted && moment.m_now >= attempt->m_deadline) {
            appendNotRun(*attempt, moment);
            attempt->m_state = ClaimState::Ended;
        }
    }
}

void ClaimLedger::dropIdleShards(Moment moment)
{
    std::erase_if(m_loaded, [this, moment](const auto &loaded) {
        return loaded.second->isIdle(moment.m_now, m_settings.m_shardIdleTimeout)
               && !m_attempts->hasAnyOf(loaded.first);
    });
}

std::optional<TimePoint> ClaimLedger::nextWake() const
{
    std::optional<TimePoint> wake = m_attempts->nextDeadline();
    for (const auto &[number, loaded] : m_loaded) {
        const std::optional<TimePoint> at = loaded->log().nextWake();
        if (at)
            wake = wake ? std::min(*wake, *at) : at;
    }
    return wake;
}

std::vector<ClaimEvent> ClaimLedger::takeEvents()
{
    return std::exchange(m_events, {});
}

ShardNumber ClaimLedger::shardOf(const MemberId &member, std::string_view key) const
{
    return detail::shardOfDigest(keyDigest(member, key), m_settings.m_shards);
}

std::size_t ClaimLedger::keyCount() const
{
    std::size_t count = 0;
    for (const auto &[number, loaded] : m_loaded)
        count += loaded->table().size();
    return count;
}

ClaimShard &ClaimLedger::shard(ShardNumber number)
{
    std::unique_ptr<ClaimShard> &loaded = m_loaded[number];
    if (!loaded)
        loaded = std::make_unique<ClaimShard>(m_settings);
    return *loaded;
}

} // namespace gypsumdale
