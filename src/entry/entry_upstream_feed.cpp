#include <gypsumdale/entry/entry_upstream_feed.hpp>

#include <platform/upstream_codec.hpp>
#include <platform/wire_names.hpp>

#include <string_view> // string_view
#include <utility> // move
#include <variant> // get_if

namespace gypsumdale {

namespace {

std::string_view stateOf(const UpstreamRecord &record)
{
    if (record.m_isRetained)
        return "kept";
    return record.m_isDraining ? "draining" : "ready";
}

} // namespace

EntryUpstreamFeed::EntryUpstreamFeed(EntryContext &context)
    : m_context(context)
    , m_store(context.m_log, "store-upstreams")
    , m_listSync(context.m_settings.m_bounds)
{}

void EntryUpstreamFeed::follow()
{
    while (!m_context.m_isStopping) {
        const SyncStep step = m_listSync.next(m_context.now());
        if (const auto *rest = std::get_if<IdleStep>(&step)) {
            sleepFiber(rest->m_time);
            continue;
        }
        if (const auto *watch = std::get_if<WatchStep>(&step))
            watchOnce(*watch);
        else
            readFullList();
        sleepFiber(m_listSync.delayAfterRead(m_context.now()));
    }
}

void EntryUpstreamFeed::readFullList()
{
    const TimePoint sentAt = m_context.now();
    const auto listing = m_context.m_store.list(platform::names::upstreamKind,
                                                platform::ReadFreshness::Linearizable);
    if (!succeeded(listing)) {
        noteFailed(errorOf(listing), ReadFailure::Unanswered);
        return;
    }
    const TimePoint now = m_context.now();
    m_store.answered(now);
    if (m_listSync.applyListing(platform::decodeUpstreams(valueOf(listing)), sentAt, now))
        publish("store");
    else
        publishListState();
}

void EntryUpstreamFeed::watchOnce(const WatchStep &step)
{
    const TimePoint sentAt = m_context.now();
    const auto changes =
            m_context.m_store.watch(platform::names::upstreamKind, step.m_revision, step.m_wait);
    if (!succeeded(changes)) {
        const bool isHistoryGone = errorOf(changes).m_id == ErrorId::PlatformRefused;
        noteFailed(errorOf(changes),
                   isHistoryGone ? ReadFailure::HistoryDropped : ReadFailure::Unanswered);
        return;
    }
    const TimePoint now = m_context.now();
    m_store.answered(now);
    const std::int64_t revision = valueOf(changes).m_revision;
    const WatchTimes times{sentAt, step.m_wait, now};
    if (m_listSync.applyChanges(platform::decodeChanges(valueOf(changes)), revision, times))
        publish("store");
    else
        publishListState();
}

void EntryUpstreamFeed::noteFailed(const Error &error, ReadFailure failure)
{
    m_listSync.noteFailed(failure);
    m_store.failed(error);
    publishListState();
}

void EntryUpstreamFeed::expire()
{
    if (m_listSync.expire(m_context.now()))
        publish("expiry");
}

std::string EntryUpstreamFeed::text() const
{
    return platform::encodeUpstreams(feed().present());
}

bool EntryUpstreamFeed::applyFromPeer(const std::string &text, std::int64_t revision,
                                      ReportedAge age, const std::string &peer)
{
    auto upstreams = platform::decodeUpstreamText(text);
    if (!upstreams)
        return false;
    UpstreamList list;
    list.m_revision = revision;
    list.m_upstreams = std::move(*upstreams);
    if (!m_listSync.applyFromPeer(std::move(list), age, m_context.now()))
        return false;
    m_context.m_log.info("upstreams-from-peer",
                         {{LogField::Peer, peer}, {LogField::Revision, revision}});
    publish(peer);
    return true;
}

UpstreamListUpdate EntryUpstreamFeed::updateFor(const FollowerState &follower) const
{
    return follower.updateFor(feed(), m_context.now());
}

bool EntryUpstreamFeed::receiveUpdate(const UpstreamListUpdate &news, ReportedAge age,
                                      std::string_view reader)
{
    const UpstreamFeed::ApplyResult result = m_listSync.receiveUpdate(news, age, m_context.now());
    if (result == UpstreamFeed::ApplyResult::Taken)
        publish(reader);
    else
        publishListState();
    return result != UpstreamFeed::ApplyResult::ChangesMissing;
}

/// Logs once for each entry that can't be read.
void EntryUpstreamFeed::logUnusable(std::string_view source)
{
    const auto &unusable = feed().unusable();
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
    const auto &upstreams = feed().upstreams();
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
                              {LogField::State, stateOf(record)},
                              record.m_softwareVersion,
                              {LogField::Source, source},
                              {LogField::Revision, feed().revision()},
                              {LogField::ListAgeMillis, toMillis(age())}});
    }
    for (const auto &[id, record] : m_published) {
        if (!upstreams.contains(id))
            m_context.m_log.info(
                    "upstream-left",
                    {id, {LogField::Source, source}, {LogField::Revision, feed().revision()}});
    }
    logUnusable(source);
    if (isChanged) {
        m_published = upstreams;
        m_context.m_trafficLoop.spawn([this, copy = m_published, revision = feed().revision()] {
            m_context.m_traffic.setUpstreams(copy, revision);
        });
    }
    // Sent after the list: a confirmation that arrives before its list would apply to the previous
    // one.
    publishListState();
}

/// Passes the age of the list in use to the traffic thread, and whether a newer one can be
/// expected.
void EntryUpstreamFeed::publishListState()
{
    const PlacementDeadline deadline(m_context.m_settings.m_bounds.m_leavingApply);
    m_context.m_trafficLoop.spawn([this, deadline, confirmation = m_listSync.standing()] {
        m_context.m_traffic.setListConfirmation(confirmation, deadline);
    });
}

} // namespace gypsumdale
