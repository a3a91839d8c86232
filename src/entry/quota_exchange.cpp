#include <gypsumdale/entry/exchange_pacing.hpp>
#include <gypsumdale/entry/quota_exchange.hpp>

#include <entry/peer_calls.hpp>
#include <entry/quota_wire.hpp>
#include <entry_types.h>

#include <vector> // vector

namespace gypsumdale {

namespace {

/// Number of VMs up to which each decides quotas by the reports of all: their reports are at most a
/// second old.
constexpr std::size_t largestReportingFleet = 48;
/// Longest wait for an owner's decision, while a caller waits.
constexpr Duration ownerTimeout = std::chrono::milliseconds(250);
/// Least time between two messages about one owner that can't be reached.
constexpr Duration suspicionInterval = std::chrono::seconds(3);
/// A peer that was heard within this time is taken for reachable.
constexpr Duration recentlyHeard = std::chrono::milliseconds(500);
/// Event of the log where an owner can't be asked.
constexpr LogEvent ownerNotReached("quota-owner-not-reached");

FleetQuotaSettings ledgerSettings(const EntrySettings &settings)
{
    FleetQuotaSettings quota;
    quota.m_window = settings.m_bounds.m_quotaWindow;
    quota.m_overage = settings.m_bounds.m_quotaOverage;
    quota.m_slack = settings.m_bounds.m_quotaSlack;
    return quota;
}

} // namespace

QuotaExchange::QuotaExchange(EntryContext &context, PeerTable &table,
                             const FleetSizeEstimate &fleetSize)
    : m_context(context)
    , m_table(table)
    , m_fleetSize(fleetSize)
    , m_quota(context.m_settings.m_node, ledgerSettings(context.m_settings), context.now())
{}

void QuotaExchange::update()
{
    const TimePoint now = m_context.now();
    const std::size_t livePeers = m_table.livePeers(now);
    m_usesOwners = !m_fleetSize.isKnown(now)
                   || m_fleetSize.quotaSize(livePeers, now) > largestReportingFleet;
    m_peers.clear();
    std::vector<NodeId> owners;
    const Duration silence = quotaOwnerSilence(m_table.pace(now));
    for (const KnownPeerPointer &peer : m_table.peersHeardWithin(silence, now)) {
        m_peers[NodeId(peer->m_node)] = peer;
        owners.emplace_back(peer->m_node);
    }
    std::erase_if(m_suspectedAt, [now](const auto &suspicion) {
        return now - suspicion.second > suspicionInterval;
    });
    m_quota.setFleetSize(m_fleetSize.quotaSize(livePeers, now));
    m_quota.setPeers(std::move(owners));
}

QuotaDecision QuotaExchange::admit(const ClientAccount &account, double cost)
{
    if (const auto refusal = m_quota.heldRefusal(account.m_id, m_context.now()))
        return *refusal;
    QuotaInquiry inquiry(m_quota, account, cost, m_context.now());
    while (!inquiry.decision())
        ask(inquiry);
    m_quota.recordDecision(account.m_id, *inquiry.decision(), m_context.now());
    return *inquiry.decision();
}

void QuotaExchange::ask(QuotaInquiry &inquiry)
{
    const QuotaQuestion &question = inquiry.question();
    if (question.m_owner == m_context.m_settings.m_node) {
        inquiry.recordAnswer(decide(question));
        return;
    }
    const KnownPeerPointer peer = findPeer(question.m_owner);
    if (!peer) {
        inquiry.recordUnreachable(Delivery::Failed, m_context.now());
        return;
    }
    PeerQuestion inquired{{}, ownerTimeout, {}, ownerNotReached};
    inquired.m_message.__set_quotaQuestion(encodeQuotaQuestion(question));
    const PeerAnswers answers = askPeers(m_context, {peer}, inquired);
    if (answers.m_answers.empty() || !answers.m_answers.front().__isset.quotaAnswer) {
        const bool isPending = answers.m_missing > 0;
        inquiry.recordUnreachable(isPending ? Delivery::Unknown : Delivery::Failed,
                                  m_context.now());
        return;
    }
    inquiry.recordAnswer(receive(answers.m_answers.front()));
}

KnownPeerPointer QuotaExchange::findPeer(const NodeId &node) const
{
    const auto found = m_peers.find(node);
    return found == m_peers.end() ? nullptr : found->second;
}

/// Reads an answer. An owner that it names can be asked afterwards.
QuotaAnswer QuotaExchange::receive(const entrywire::EntryExchange &message)
{
    QuotaAnswer answer = decodeQuotaAnswer(message.quotaAnswer);
    if (!answer.m_owner || findPeer(*answer.m_owner))
        return answer;
    const std::string &address = message.quotaAnswer.owner.address;
    if (m_peerNamed)
        m_peerNamed(answer.m_owner->text(), address);
    if (const KnownPeerPointer peer = m_table.find(address))
        m_peers[*answer.m_owner] = peer;
    return answer;
}

/// Decides as an owner, or, in a fleet that needs none, for a VM that doesn't know its size yet.
QuotaAnswer QuotaExchange::decide(const QuotaQuestion &question)
{
    if (m_usesOwners)
        return m_quota.answer(question, m_context.now());
    QuotaAnswer answer;
    answer.m_decision = m_context.m_trafficLoop.call([this, &question] {
        return m_context.m_traffic.quota().admit(question.m_account, question.m_cost,
                                                 m_context.now());
    });
    return answer;
}

/// Tells all peers of an owner that one of them can't reach. Those that can't either then credit
/// their time to the stand-in at once, and not only when they notice the silence.
void QuotaExchange::suspect(const NodeId &owner)
{
    const TimePoint now = m_context.now();
    TimePoint &toldAt = m_suspectedAt[owner];
    if (toldAt != TimePoint{} && now - toldAt < suspicionInterval)
        return;
    toldAt = now;
    m_context.m_log.info("quota-owner-suspected", {{LogField::Peer, owner.text()}});
    entrywire::EntryExchange message;
    message.__set_suspectedOwner(owner.text());
    tellPeers(m_context, m_table.respondingPeers(now), message, ownerNotReached);
    checkOwner(owner.text());
}

void QuotaExchange::checkOwner(const std::string &node)
{
    const KnownPeerPointer peer = findPeer(NodeId(node));
    const bool isHeard = peer && m_context.now() - peer->m_lastReceivedAt < recentlyHeard;
    if (peer && !isHeard && m_check)
        m_check(peer);
}

entrywire::EntryExchange QuotaExchange::answer(const entrywire::QuotaQuestion &encoded)
{
    const QuotaQuestion question = decodeQuotaQuestion(encoded);
    if (const auto owner = m_quota.passedOver(question.m_credit))
        suspect(*owner);
    const QuotaAnswer answer = decide(question);
    entrywire::EntryExchange message;
    message.__set_quotaAnswer(encodeQuotaAnswer(answer));
    if (answer.m_owner) {
        const KnownPeerPointer owner = findPeer(*answer.m_owner);
        entrywire::NodeAddress named;
        named.node = answer.m_owner->text();
        named.address = owner ? owner->m_address : std::string();
        message.quotaAnswer.__set_owner(named);
    }
    return message;
}

void QuotaExchange::fill(const KnownPeer *peer, entrywire::EntryDigest &digest)
{
    digest.fleetSize = static_cast<std::int32_t>(m_fleetSize.numberToTell());
    if (!peer || !m_usesOwners)
        return;
    const auto credits = m_quota.creditsFor(NodeId(peer->m_node), m_context.now());
    if (!credits.empty())
        digest.__set_quotaCredits(encodeQuotaCredits(credits));
}

void QuotaExchange::recordUnreachable(const KnownPeer &peer)
{
    const NodeId node(peer.m_node);
    for (const NodeId &standIn : m_quota.recordUnreachable(node, m_context.now())) {
        const KnownPeerPointer creditor = findPeer(standIn);
        if (creditor && m_check && m_usesOwners)
            m_check(creditor);
    }
}

void QuotaExchange::takeBackCredits(const entrywire::EntryDigest &digest)
{
    if (!digest.__isset.quotaCredits)
        return;
    for (const QuotaCredit &credit : decodeQuotaCredits(digest.quotaCredits))
        m_quota.takeBack(credit);
}

void QuotaExchange::takeCredits(const entrywire::EntryDigest &digest)
{
    m_quota.recordHeard(NodeId(digest.node), m_context.now());
    if (digest.__isset.quotaCredits)
        m_quota.takeCredits(decodeQuotaCredits(digest.quotaCredits), m_context.now());
}

} // namespace gypsumdale
