#include <gypsumdale/entry/entry_peers.hpp>
#include <gypsumdale/entry/entry_texts.hpp>

#include <entry_types.h>

#include <chrono> // duration
#include <functional> // hash
#include <utility> // move

namespace gypsumdale {

namespace {

/// Time that the store has in a small fleet to provide a version that a peer reported, before a
/// peer is asked, in addition to the transfer time on the slowest link. A VM that is partitioned
/// from the store notices it only when its watch fails, too late for a version to be in force in
/// time.
constexpr Duration storeHeadStart = std::chrono::milliseconds(300);
constexpr double slowestLinkBytesPerSecond = 1'250'000;

/// Returns a number that differs between VMs and between processes of a VM.
std::uint64_t seedOf(const EntryContext &context)
{
    const std::size_t name = std::hash<std::string>()(context.m_settings.m_node.text());
    return name ^ static_cast<std::uint64_t>(context.m_incarnation);
}

} // namespace

EntryTexts::EntryTexts(EntryContext &context, EntryConfigFeed &config, EntryUpstreamFeed &upstreams,
                       const PeerTable &table, EntryPeers &peers)
    : m_context(context)
    , m_config(config)
    , m_upstreams(upstreams)
    , m_table(table)
    , m_peers(peers)
    , m_configFetch(seedOf(context))
    , m_upstreamFetch(seedOf(context) + 1)
{}

void EntryTexts::startFetches()
{
    if (m_context.m_isStopping)
        return;
    fetchConfigIfDue();
    fetchUpstreamsIfDue();
}

void EntryTexts::fetchConfigIfDue()
{
    const TextFetchState state = configFetchState();
    const bool waitsForStore = !state.m_isStoreLost && !state.m_storeHeadStart;
    if (waitsForStore || m_config.isReadingFullText())
        return;
    std::vector<TextSource> sources;
    for (const KnownPeerPointer &peer : m_table.respondingPeers(m_context.now()))
        sources.push_back({peer->m_address, peer->m_state.m_configVersion});
    const auto address = m_configFetch.begin(state, sources, m_context.now());
    if (address)
        startFetch(TextKind::Config, *address, state.m_isStoreLost ? "store-lost" : "behind");
}

/// A VM that has just started waits for the store to provide the configuration, and so does each VM
/// of a large fleet, until the store fails.
TextFetchState EntryTexts::configFetchState() const
{
    TextFetchState state;
    state.m_ownVersion = m_config.version();
    state.m_isStoreLost = m_config.isStoreLost();
    if (state.m_ownVersion == 0 || m_table.pace(m_context.now()).isSpreadOut())
        return state;
    const std::chrono::duration<double> transferTime(static_cast<double>(m_config.text().size())
                                                     / slowestLinkBytesPerSecond);
    state.m_storeHeadStart = storeHeadStart + std::chrono::duration_cast<Duration>(transferTime);
    return state;
}

void EntryTexts::fetchUpstreamsIfDue()
{
    if (!m_upstreams.isStale())
        return;
    TextFetchState state;
    state.m_ownVersion = m_upstreams.revision();
    state.m_isStoreLost = m_upstreams.isStoreLost();
    // A stale list has waited for the store long enough.
    if (m_upstreams.isKnown())
        state.m_storeHeadStart = Duration::zero();
    std::vector<TextSource> sources;
    for (const KnownPeerPointer &peer : m_table.respondingPeers(m_context.now())) {
        if (!peer->m_state.m_isUpstreamListStale)
            sources.push_back({peer->m_address, peer->m_state.m_upstreamRevision});
    }
    const auto address = m_upstreamFetch.begin(state, sources, m_context.now());
    if (address)
        startFetch(TextKind::Upstreams, *address, state.m_isStoreLost ? "store-lost" : "stale");
}

void EntryTexts::startFetch(TextKind kind, const std::string &address, const char *reason)
{
    const KnownPeerPointer peer = m_table.find(address);
    m_context.m_log.info("text-asked", {{LogField::Kind, enumName(textKindNames, kind)},
                                        {LogField::Peer, peer->m_node},
                                        {LogField::Revision, heldVersion(kind)},
                                        {LogField::Reason, reason}});
    if (kind == TextKind::Config)
        m_config.setFetching(true);
    m_context.m_loop.spawn([this, kind, peer] {
        fetchFrom(kind, peer);
        if (kind == TextKind::Config)
            m_config.setFetching(false);
    });
}

void EntryTexts::fetchFrom(TextKind kind, const KnownPeerPointer &peer)
{
    const TimePoint startedAt = m_context.now();
    entrywire::EntryExchange message;
    message.__isset.textRequest = true;
    message.textRequest.address = m_table.ownAddress();
    message.textRequest.text = static_cast<std::int32_t>(kind);
    message.textRequest.held = heldVersion(kind);
    const auto answer = m_peers.askForText(peer, message);
    const Result<Done> applied = succeeded(answer) ? applyAnswer(kind, peer, valueOf(answer))
                                                   : Result<Done>(errorOf(answer));
    const TimePoint now = m_context.now();
    if (!succeeded(applied)) {
        fetchOf(kind).onFailed(now);
        const Error &error = errorOf(applied);
        m_context.m_log.warning("text-not-fetched",
                                {{LogField::Kind, enumName(textKindNames, kind)},
                                 {LogField::Peer, peer->m_node},
                                 {LogField::ErrorName, errorName(error.m_id)},
                                 {LogField::Text, error.m_text},
                                 {LogField::Millis, toMillis(now - startedAt)}});
        return;
    }
    fetchOf(kind).onFetched();
    const entrywire::EntryExchange &received = valueOf(answer);
    m_context.m_log.info("text-fetched", {{LogField::Kind, enumName(textKindNames, kind)},
                                          {LogField::Peer, peer->m_node},
                                          {LogField::Bytes, received.configText.size()
                                                                    + received.upstreamText.size()},
                                          {LogField::Millis, toMillis(now - startedAt)}});
}

/// Applies a peer's answer. Returns an error if it contains no later text.
Result<Done> EntryTexts::applyAnswer(TextKind kind, const KnownPeerPointer &peer,
                                     const entrywire::EntryExchange &answer)
{
    if (!answer.__isset.textAnswer)
        return Error{ErrorId::PeerMalformed, "peer does not support text requests"};
    if (answer.textAnswer.isBusy)
        return Error{ErrorId::PeerRefused, "peer is busy sending other texts"};
    if (!applyText(kind, peer, answer))
        return Error{ErrorId::PeerRefused,
                     "text from peer is malformed or not newer than the own one"};
    return Done{};
}

bool EntryTexts::applyText(TextKind kind, const KnownPeerPointer &peer,
                           const entrywire::EntryExchange &answer)
{
    if (kind == TextKind::Config)
        return answer.__isset.configText && m_config.applyFromPeer(answer.configText, peer->m_node);
    const ReportedAge age{std::chrono::milliseconds(answer.textAnswer.upstreamAgeMillis),
                          m_peers.sentAfter(answer)};
    return answer.__isset.upstreamText
           && m_upstreams.applyFromPeer(answer.upstreamText, answer.upstreamRevision, age,
                                        peer->m_node);
}

TextReply EntryTexts::answer(const entrywire::TextRequest &request)
{
    TextReply reply{std::make_shared<entrywire::EntryExchange>(), nullptr};
    entrywire::EntryExchange &message = *reply.m_message;
    message.__isset.textAnswer = true;
    const auto kind = static_cast<TextKind>(request.text);
    const bool isKnown = kind == TextKind::Config || kind == TextKind::Upstreams;
    if (!isKnown || heldVersion(kind) <= request.held)
        return reply;
    const KnownPeerPointer peer = m_table.find(request.address);
    const std::string &name = peer ? peer->m_node : request.address;
    if (!sendLimiterOf(kind).tryBegin()) {
        message.textAnswer.isBusy = true;
        m_context.m_log.info("text-busy", {{LogField::Kind, enumName(textKindNames, kind)},
                                           {LogField::Peer, name}});
        return reply;
    }
    reply.m_held =
            std::shared_ptr<void>(nullptr, [this, kind](void *) { sendLimiterOf(kind).end(); });
    if (kind == TextKind::Config) {
        message.__set_configText(m_config.text());
        message.__set_configVersion(m_config.version());
    } else {
        message.__set_upstreamText(m_upstreams.text());
        message.__set_upstreamRevision(m_upstreams.revision());
        message.textAnswer.upstreamAgeMillis = toWholeMillis(m_upstreams.age());
    }
    m_context.m_log.info("text-sent", {{LogField::Kind, enumName(textKindNames, kind)},
                                       {LogField::Peer, name},
                                       {LogField::Bytes,
                                        message.configText.size() + message.upstreamText.size()}});
    return reply;
}

/// Returns the version or the revision that this VM holds.
std::int64_t EntryTexts::heldVersion(TextKind kind) const
{
    return kind == TextKind::Config ? m_config.version() : m_upstreams.revision();
}

TextFetch &EntryTexts::fetchOf(TextKind kind)
{
    return kind == TextKind::Config ? m_configFetch : m_upstreamFetch;
}

TextSendLimiter &EntryTexts::sendLimiterOf(TextKind kind)
{
    return kind == TextKind::Config ? m_configSendLimiter : m_upstreamSendLimiter;
}

} // namespace gypsumdale
