#include <gypsumdale/entry/entry_upstream_feed.hpp>

#include <platform/upstream_codec.hpp>
#include <platform/wire_names.hpp>

namespace gypsumdale {

namespace {

constexpr Duration watchWait = std::chrono::milliseconds(1000);
/// Upstreams write all the time, so that a watch answers at once: the pause lets changes collect.
/// Each call is paid for. It is this part of the time in which a leaving upstream must be left
/// alone.
constexpr int pausesPerBound = 5;
constexpr Duration failurePause = std::chrono::milliseconds(150);

/// Tells whether a change matters to routing, to be logged and handed on.
bool isSameForRouting(const UpstreamRecord &left, const UpstreamRecord &right)
{
    return left.m_isDraining == right.m_isDraining && left.m_ip == right.m_ip
           && left.m_port == right.m_port && left.m_service == right.m_service;
}

} // namespace

EntryUpstreamFeed::EntryUpstreamFeed(EntryContext &context)
    : m_context(context)
    , m_store(context.m_log, "store-upstreams")
{}

void EntryUpstreamFeed::follow()
{
    while (!m_context.m_isStopping) {
        if (m_revision == 0)
            readWhole();
        else
            watchOnce();
        const Duration batchPause = m_context.m_settings.m_bounds.m_leavingApply / pausesPerBound;
        sleepFiber(m_store.isLost() ? failurePause : batchPause);
    }
}

void EntryUpstreamFeed::readWhole()
{
    const auto listing = m_context.m_store.list(platform::names::upstreamKind,
                                                platform::ReadFreshness::Linearizable);
    if (!succeeded(listing)) {
        m_feed.storeFailed();
        m_store.failed(errorOf(listing));
        return;
    }
    m_store.answered(m_context.now());
    m_revision = valueOf(listing).m_revision;
    auto decoded = platform::decodeUpstreams(valueOf(listing));
    if (decoded.m_malformed > 0)
        m_context.m_log.warning("upstreams-malformed", {{LogField::Count, decoded.m_malformed}});
    m_feed.replaceAll(std::move(decoded.m_list), m_context.now());
    publish();
}

void EntryUpstreamFeed::watchOnce()
{
    const auto changes =
            m_context.m_store.watch(platform::names::upstreamKind, m_revision, watchWait);
    if (!succeeded(changes)) {
        m_feed.storeFailed();
        if (errorOf(changes).m_id == ErrorId::PlatformRefused)
            m_revision = 0;
        m_store.failed(errorOf(changes));
        return;
    }
    m_store.answered(m_context.now());
    m_revision = valueOf(changes).m_revision;
    m_feed.apply(platform::decodeChanges(valueOf(changes)), m_revision, m_context.now());
    publish();
}

void EntryUpstreamFeed::expire()
{
    if (m_feed.expire(m_context.now()))
        publish();
}

Duration EntryUpstreamFeed::age() const
{
    return m_feed.isKnown() ? m_context.now() - m_feed.confirmedAt() : Duration::max();
}

std::string EntryUpstreamFeed::text() const
{
    return platform::encodeUpstreams(m_feed.upstreams());
}

void EntryUpstreamFeed::takeFromPeer(const std::string &text, std::int64_t revision,
                                     const std::string &peer)
{
    if (!isStale() || revision <= m_feed.revision())
        return;
    UpstreamList list;
    list.m_revision = revision;
    list.m_upstreams = platform::decodeUpstreamText(text);
    m_feed.replaceAll(std::move(list), m_context.now());
    // The own watch goes on from where the peer's list ends.
    m_revision = revision;
    m_context.m_log.info("upstreams-from-peer",
                         {{LogField::Peer, peer}, {LogField::Revision, revision}});
    publish();
}

void EntryUpstreamFeed::publish()
{
    const auto &upstreams = m_feed.upstreams();
    bool isChanged = upstreams.size() != m_published.size();
    for (const auto &[id, record] : upstreams) {
        const auto known = m_published.find(id);
        if (known != m_published.end() && isSameForRouting(known->second, record))
            continue;
        isChanged = true;
        m_context.m_log.info("upstream-changed",
                             {id,
                              {LogField::Kind, known == m_published.end() ? "joined" : "changed"},
                              record.m_service,
                              {LogField::UpstreamDataCentre, record.m_dataCentre},
                              {LogField::State, record.m_isDraining ? "draining" : "ready"},
                              {LogField::Revision, m_feed.revision()}});
    }
    for (const auto &[id, record] : m_published) {
        if (!upstreams.contains(id))
            m_context.m_log.info("upstream-left", {id, {LogField::Revision, m_feed.revision()}});
    }
    if (!isChanged)
        return;
    m_published = upstreams;
    m_context.m_trafficLoop.spawn([this, copy = m_published, revision = m_feed.revision()] {
        m_context.m_traffic.setUpstreams(copy, revision);
    });
}

} // namespace gypsumdale
