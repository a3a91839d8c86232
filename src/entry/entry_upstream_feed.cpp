#include <gypsumdale/entry/entry_upstream_feed.hpp>

#include <platform/upstream_codec.hpp>
#include <platform/wire_names.hpp>

#include <algorithm> // clamp

namespace gypsumdale {

namespace {

constexpr Duration watchWait = std::chrono::milliseconds(1000);
/// A reader that has nothing new says so more often than its followers lose patience.
constexpr Duration readerWatchWait = std::chrono::milliseconds(500);
/// A follower reads when it wasn't told for half of its bound. If the answer to that is lost too, a
/// long wait would use up the other half: requests reached engines 3.1 s after they had said that
/// they leave, where 3 s are allowed.
constexpr Duration followerWatchWait = std::chrono::milliseconds(50);
/// Upstreams write all the time, so that a watch answers at once: the pause lets changes collect.
/// Each call is paid for. It is this part of the time in which a leaving upstream must be left
/// alone.
constexpr int pausesPerBound = 5;
/// A reader's pause is shorter: its word goes a step further.
constexpr int readerPausesPerBound = 6;
/// A follower that isn't told for this part of the bound reads itself; the rest is for that.
constexpr int toldPartsPerBound = 2;
constexpr Duration toldTick = std::chrono::milliseconds(100);
constexpr Duration failurePause = std::chrono::milliseconds(150);
/// Between the tries of a follower whom the store turns away, but who is told: each is paid for.
constexpr Duration failurePauseIfTold = std::chrono::milliseconds(1000);

} // namespace

EntryUpstreamFeed::EntryUpstreamFeed(EntryContext &context)
    : m_context(context)
    , m_store(context.m_log, "store-upstreams")
    , m_feed(context.m_settings.m_bounds.m_upstreamHeartbeat)
{}

void EntryUpstreamFeed::follow()
{
    while (!m_context.m_isStopping) {
        if (isTold() && !m_store.isLost()) {
            sleepFiber(toldTick);
            continue;
        }
        if (m_revision == 0)
            readWhole();
        else
            watchOnce();
        sleepFiber(pauseAfterReading());
    }
}

/// Returns how old a list may be that a follower doesn't read for itself; nothing for others, who
/// read always.
Duration EntryUpstreamFeed::toldLimit() const
{
    if (m_role != StoreRole::Follower || !m_feed.isKnown())
        return Duration::zero();
    return m_context.m_settings.m_bounds.m_leavingApply / toldPartsPerBound;
}

/// Tells whether a reader has confirmed the list lately enough for this VM not to read it.
bool EntryUpstreamFeed::isTold() const
{
    return age() < toldLimit();
}

Duration EntryUpstreamFeed::pauseAfterReading() const
{
    // Not beyond the moment at which the list counts as untold: a failed reading just before it
    // would add the whole pause to the half of the bound that was waited.
    if (m_store.isLost())
        return std::clamp(toldLimit() - age(), failurePause, failurePauseIfTold);
    const int parts = m_role == StoreRole::Reader ? readerPausesPerBound : pausesPerBound;
    return m_context.m_settings.m_bounds.m_leavingApply / parts;
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
    if (isOvertaken(valueOf(listing).m_revision))
        return;
    m_revision = valueOf(listing).m_revision;
    m_feed.replaceAll(platform::decodeUpstreams(valueOf(listing)), m_context.now());
    publish("store");
}

void EntryUpstreamFeed::watchOnce()
{
    const auto changes =
            m_context.m_store.watch(platform::names::upstreamKind, m_revision, waitForRole());
    if (!succeeded(changes)) {
        m_feed.storeFailed();
        if (errorOf(changes).m_id == ErrorId::PlatformRefused)
            m_revision = 0;
        m_store.failed(errorOf(changes));
        return;
    }
    m_store.answered(m_context.now());
    if (isOvertaken(valueOf(changes).m_revision))
        return;
    m_revision = valueOf(changes).m_revision;
    m_feed.apply(platform::decodeChanges(valueOf(changes)), m_revision, m_context.now());
    publish("store");
}

Duration EntryUpstreamFeed::waitForRole() const
{
    switch (m_role) {
    case StoreRole::Reader:
        return readerWatchWait;
    case StoreRole::Follower:
        return followerWatchWait;
    case StoreRole::Alone:
        break;
    }
    return watchWait;
}

/// Tells whether a peer told of a later revision while the call was under way: what it brings would
/// undo that.
bool EntryUpstreamFeed::isOvertaken(std::int64_t revision) const
{
    return revision < m_feed.revision();
}

void EntryUpstreamFeed::expire()
{
    if (m_feed.expire(m_context.now()))
        publish("expiry");
}

Duration EntryUpstreamFeed::age() const
{
    return m_feed.isKnown() ? m_context.now() - m_feed.confirmedAt() : Duration::max();
}

std::string EntryUpstreamFeed::text() const
{
    return platform::encodeUpstreams(m_feed.present());
}

void EntryUpstreamFeed::takeFromPeer(const std::string &text, std::int64_t revision, Duration age,
                                     const std::string &peer)
{
    if (!isStale() || revision <= m_feed.revision())
        return;
    UpstreamList list;
    list.m_revision = revision;
    list.m_upstreams = platform::decodeUpstreamText(text);
    // As old as it is at the peer: counted as confirmed now, it would put off the own reading by
    // that much once more, and a leaving upstream would get requests beyond its bound.
    m_feed.replaceAll(std::move(list), m_context.now() - age);
    // The own watch goes on from where the peer's list ends.
    m_revision = revision;
    m_context.m_log.info("upstreams-from-peer",
                         {{LogField::Peer, peer}, {LogField::Revision, revision}});
    publish(peer);
}

UpstreamNews EntryUpstreamFeed::newsFor(const FollowerState &follower) const
{
    return follower.newsFor(m_feed, m_context.now());
}

bool EntryUpstreamFeed::takeNews(const UpstreamNews &news, Duration age, std::string_view reader)
{
    const UpstreamFeed::Taking taking = m_feed.take(news, m_context.now() - age, m_context.now());
    if (taking == UpstreamFeed::Taking::Taken) {
        m_revision = news.m_revision;
        publish(reader);
    }
    return taking != UpstreamFeed::Taking::Lacking;
}

/// Says once of each entry that it can't be read.
void EntryUpstreamFeed::logUnusable(std::string_view source)
{
    const auto &unusable = m_feed.unusable();
    if (unusable == m_loggedUnusable)
        return;
    for (const UpstreamId &id : unusable) {
        if (m_loggedUnusable.contains(id))
            continue;
        m_context.m_log.warning(
                "upstream-entry-unusable",
                {id, {LogField::Source, source}, {LogField::Count, unusable.size()}});
    }
    m_loggedUnusable = unusable;
}

void EntryUpstreamFeed::publish(std::string_view source)
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
                              {LogField::Source, source},
                              {LogField::Revision, m_feed.revision()},
                              {LogField::ListAgeMillis, toMillis(age())}});
    }
    for (const auto &[id, record] : m_published) {
        if (!upstreams.contains(id))
            m_context.m_log.info(
                    "upstream-left",
                    {id, {LogField::Source, source}, {LogField::Revision, m_feed.revision()}});
    }
    logUnusable(source);
    m_context.m_trafficLoop.spawn([this, confirmedAt = m_feed.confirmedAt()] {
        m_context.m_traffic.setListConfirmed(confirmedAt);
    });
    if (!isChanged)
        return;
    m_published = upstreams;
    m_context.m_trafficLoop.spawn([this, copy = m_published, revision = m_feed.revision()] {
        m_context.m_traffic.setUpstreams(copy, revision);
    });
}

} // namespace gypsumdale
