#include <gypsumdale/kernel/claim_driver.hpp>
#include <gypsumdale/kernel/log_io.hpp>
#include <gypsumdale/ledger/preferred_node.hpp>

#include <fmt/format.h>

#include <algorithm> // clamp, copy_n

namespace gypsumdale {

namespace {

constexpr std::string_view claimsKind = "claims";
constexpr Duration maxTimerSleep = std::chrono::milliseconds(50);
/// Long enough for one write to the platform by the other node.
constexpr Duration forwardTimeout = std::chrono::seconds(2);

std::string processName(const ControlContext &context)
{
    return fmt::format("{}.{:x}", context.m_settings.m_node.text(), context.m_incarnation);
}

Digest digestFrom(const std::string &bytes)
{
    Digest digest{};
    std::copy_n(bytes.begin(), std::min(bytes.size(), digest.size()), digest.begin());
    return digest;
}

std::string bytesOf(const Digest &digest)
{
    return {digest.begin(), digest.end()};
}

wire::ClaimForwarded toWire(const ClaimResult &result)
{
    wire::ClaimForwarded reply;
    const auto granted = [&](const Granted &value) {
        reply.verdict = wire::ClaimVerdict::Granted;
        reply.attempt = value.m_attempt.text();
    };
    const auto done = [&](const AlreadyDone &value) {
        reply.verdict = wire::ClaimVerdict::AlreadyDone;
        reply.attempt = value.m_attempt.text();
        reply.status = value.m_answer.m_status;
        reply.contentType = value.m_answer.m_contentType;
        if (value.m_answer.m_body)
            reply.__set_body(*value.m_answer.m_body);
    };
    const auto unknown = [&](const InProgressOrUnknown &value) {
        reply.verdict = wire::ClaimVerdict::InProgressOrUnknown;
        reply.attempt = value.m_attempt.text();
    };
    const auto reused = [&](const KeyReused &) {
        reply.verdict = wire::ClaimVerdict::KeyReused;
    };
    const auto notRun = [&](const NotRun &value) {
        reply.verdict = wire::ClaimVerdict::NotRun;
        reply.reason = static_cast<std::int8_t>(value.m_reason);
        reply.retryAfterMillis = toWholeMillis(value.m_retryAfter);
    };
    std::visit(Overloaded{granted, done, unknown, reused, notRun}, result);
    return reply;
}

ClaimResult fromWire(const wire::ClaimForwarded &reply)
{
    switch (reply.verdict) {
    case wire::ClaimVerdict::Granted:
        return Granted{AttemptId(reply.attempt)};
    case wire::ClaimVerdict::AlreadyDone: {
        StoredAnswer answer{reply.status, reply.contentType, std::nullopt};
        if (reply.__isset.body)
            answer.m_body = reply.body;
        return AlreadyDone{AttemptId(reply.attempt), std::move(answer)};
    }
    case wire::ClaimVerdict::InProgressOrUnknown:
        return InProgressOrUnknown{AttemptId(reply.attempt)};
    case wire::ClaimVerdict::KeyReused:
        return KeyReused{};
    case wire::ClaimVerdict::NotRun:
        break;
    }
    const auto last = static_cast<std::int8_t>(NotRunReason::Overloaded);
    const auto reason = static_cast<NotRunReason>(std::clamp<std::int8_t>(reply.reason, 0, last));
    return NotRun{reason, std::chrono::milliseconds(reply.retryAfterMillis)};
}

ClaimLedger makeLedger(const ControlContext &context)
{
    return ClaimLedgerBuilder(context.m_settings.m_node, processName(context))
            .shards(static_cast<ShardNumber>(context.m_settings.m_onceShards))
            .writeInterval(std::chrono::milliseconds(5))
            .build();
}

} // namespace

ClaimDriver::ClaimDriver(ControlContext &context, FleetDriver &fleet)
    : m_context(context)
    , m_fleet(fleet)
    , m_ledger(makeLedger(context))
{}

void ClaimDriver::start()
{
    m_context.m_loop.spawn([this] { runTimer(); });
}

void ClaimDriver::runTimer()
{
    for (;;) {
        m_ledger.advance(m_context.moment());
        executeCommands();
        const TimePoint wake = m_ledger.nextWake().value_or(m_context.now() + maxTimerSleep);
        sleepFiber(std::clamp<Duration>(wake - m_context.now(), std::chrono::milliseconds(1),
                                        maxTimerSleep));
    }
}

void ClaimDriver::executeCommands()
{
    while (auto command = m_ledger.next(m_context.moment())) {
        m_context.m_loop.spawn([this, command = std::move(*command)] {
            const LogAnswer answer =
                    performLogCommand(m_context.m_platform, claimsKind, shardName(command.m_shard),
                                      command.m_command);
            m_ledger.onAnswer(command.m_shard, answer, m_context.moment());
            executeCommands();
        });
    }
    takeEvents();
}

void ClaimDriver::takeEvents()
{
    for (const ClaimEvent &event : m_ledger.takeEvents())
        std::visit([this](const auto &value) { execute(value); }, event);
}

void ClaimDriver::execute(const ClaimDecided &event)
{
    auto waiting = m_waiting.extract(event.m_ticket);
    if (waiting.empty())
        m_decided[event.m_ticket] = event.m_result;
    else
        waiting.mapped().set_value(event.m_result);
}

void ClaimDriver::execute(const OutcomeRecorded &)
{
    m_context.m_metrics.add(Counter::ClaimsWritten);
}

void ClaimDriver::execute(const RecordToForward &event)
{
    m_context.m_loop.spawn([this, event] {
        if (const auto peer = preferredPeer(event.m_shard)) {
            wire::ClaimRecordForward forward;
            forward.shard = static_cast<std::int32_t>(event.m_shard);
            forward.record = event.m_record;
            wire::PeerRequestBody body;
            body.__set_claimRecord(forward);
            if (succeeded(m_context.m_peers.ask(*peer, body, forwardTimeout)))
                return;
        }
        const auto appended =
                m_ledger.appendForPeer(event.m_shard, event.m_record, m_context.moment());
        if (!succeeded(appended))
            m_context.m_log.failure("claim-record-lost", errorOf(appended));
        executeCommands();
    });
}

void ClaimDriver::execute(const ShardProblem &event)
{
    m_context.m_log.warning("claim-shard-trouble", {{LogField::Shard, event.m_shard}});
}

AttemptId ClaimDriver::nextAttempt()
{
    return AttemptId(fmt::format("{}.{:x}", processName(m_context), ++m_attempts));
}

std::optional<NodeIdentity> ClaimDriver::preferredPeer(ShardNumber shard) const
{
    const NodeId &self = m_context.m_settings.m_node;
    std::vector<NodeId> live{self};
    for (const NodeView &view : m_fleet.membership().nodes()) {
        if (view.isOpen())
            live.push_back(view.m_identity.m_node);
    }
    const auto preferred = preferredNode(shard, live);
    if (!preferred || *preferred == self)
        return std::nullopt;
    return m_fleet.find(*preferred);
}

ClaimResult ClaimDriver::claim(const MemberId &member, const std::string &key,
                               const Digest &bodyDigest, TimePoint deadline)
{
    ClaimRequest request{member, key, bodyDigest, nextAttempt(), deadline};
    const auto peer = preferredPeer(m_ledger.shardOf(member, key));
    if (!peer)
        return claimLocally(request);
    ClaimResult result = claimRemotely(*peer, request);
    const auto *notRun = std::get_if<NotRun>(&result);
    if (!notRun || notRun->m_reason != NotRunReason::PlatformOut)
        return result;
    // The other node may be cut off from the platform while this one isn't. The attempt of the
    // first claim has ended, so this is a new claim with another attempt.
    request.m_attempt = nextAttempt();
    return claimLocally(request);
}

ClaimResult ClaimDriver::claimLocally(const ClaimRequest &request)
{
    const ClaimTicket ticket = m_ledger.begin(request, m_context.moment());
    executeCommands();
    return await(ticket);
}

ClaimResult ClaimDriver::claimRemotely(const NodeIdentity &peer, const ClaimRequest &request)
{
    const ClaimTicket ticket = m_ledger.beginForwarded(request, m_context.moment());
    wire::ClaimForward forward;
    forward.member = request.m_member.text();
    forward.key = request.m_key;
    forward.bodyDigest = bytesOf(request.m_bodyDigest);
    forward.attempt = request.m_attempt.text();
    forward.timeLeftMillis = toWholeMillis(request.m_deadline - m_context.now());
    wire::PeerRequestBody body;
    body.__set_claimForward(forward);
    const auto reply = m_context.m_peers.ask(peer, body, forwardTimeout);
    if (succeeded(reply) && valueOf(reply).body.__isset.claimForwarded) {
        m_ledger.onForwardResult(ticket, fromWire(valueOf(reply).body.claimForwarded),
                                 m_context.moment());
    } else {
        m_ledger.onForwardLost(ticket, m_context.moment());
    }
    executeCommands();
    return await(ticket);
}

ClaimResult ClaimDriver::await(ClaimTicket ticket)
{
    auto decided = m_decided.extract(ticket);
    if (!decided.empty())
        return std::move(decided.mapped());
    auto future = m_waiting[ticket].get_future();
    return future.get();
}

bool ClaimDriver::startAttempt(const AttemptId &attempt)
{
    const bool mayStart = m_ledger.start(attempt, m_context.moment());
    executeCommands();
    return mayStart;
}

void ClaimDriver::finish(const AttemptId &attempt, Outcome outcome, const StoredAnswer &answer)
{
    m_ledger.finish(attempt, outcome, answer, m_context.moment());
    executeCommands();
}

wire::ClaimForwarded ClaimDriver::onForward(const NodeId &sender, const wire::ClaimForward &forward)
{
    const ClaimRequest request{MemberId(forward.member), forward.key,
                               digestFrom(forward.bodyDigest), AttemptId(forward.attempt),
                               m_context.now() + std::chrono::milliseconds(forward.timeLeftMillis)};
    const ClaimTicket ticket = m_ledger.beginForPeer(request, sender, m_context.moment());
    executeCommands();
    return toWire(await(ticket));
}

void ClaimDriver::onRecord(const wire::ClaimRecordForward &record)
{
    const auto appended = m_ledger.appendForPeer(static_cast<ShardNumber>(record.shard),
                                                 record.record, m_context.moment());
    if (!succeeded(appended))
        m_context.m_log.failure("claim-record-lost", errorOf(appended));
    executeCommands();
}

} // namespace gypsumdale
