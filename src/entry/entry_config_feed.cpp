#include <gypsumdale/entry/entry_config_feed.hpp>

#include <platform/config_codec.hpp>
#include <platform/wire_names.hpp>

#include <utility> // move

namespace gypsumdale {

namespace {

/// Divisor for a watch's wait: part of the time within which a version must be in force. A watch
/// whose connection becomes silent costs its wait and half a second.
constexpr int watchDivisor = 2;
/// Shorter for a reader, as its updates still have to reach the followers.
constexpr int readerWatchDivisor = 3;
/// A follower that receives no update for this part of the limit reads the store itself, in the
/// remaining part.
constexpr double updateAgeFraction = 0.65;
/// After this time since the last read, the full text is read instead of continuing the watch: the
/// store may have dropped the changes in between. It keeps them for 20 s, but may drop them sooner.
constexpr Duration maxCursorAge = std::chrono::seconds(8);
/// Wait of a watch when the version has not been confirmed for the limit, so that a lost answer
/// doesn't use up the remaining time.
constexpr Duration urgentWatchWait = std::chrono::milliseconds(50);
constexpr Duration idleInterval = std::chrono::milliseconds(100);
constexpr Duration failureDelay = std::chrono::milliseconds(150);

} // namespace

EntryConfigFeed::EntryConfigFeed(EntryContext &context, Adopted adopted)
    : m_context(context)
    , m_adopted(std::move(adopted))
    , m_store(context.m_log, "store-config")
{}

void EntryConfigFeed::follow()
{
    while (!m_context.m_isStopping) {
        const bool isLeftToPeer = m_isFetching && mustReadFullText();
        if (hasRecentUpdate() || isLeftToPeer) {
            sleepFiber(idleInterval);
            continue;
        }
        if (mustReadFullText())
            readFullText();
        else
            watchOnce();
        if (!m_store.isLost())
            continue;
        if (m_storeReadFailed)
            m_storeReadFailed();
        sleepFiber(failureDelay);
    }
}

bool EntryConfigFeed::mustReadFullText() const
{
    return m_revision == 0 || m_context.now() - m_readAt > maxCursorAge;
}

/// Returns whether a reader has confirmed the version so recently that this VM need not ask.
bool EntryConfigFeed::hasRecentUpdate() const
{
    if (m_role != StoreRole::Follower || m_store.isLost())
        return false;
    return !m_sourceSelector.mustRead(m_version, m_context.now()) && age() < updateAgeLimit();
}

Duration EntryConfigFeed::updateAgeLimit() const
{
    return std::chrono::duration_cast<Duration>(updateAgeFraction
                                                * m_context.m_settings.m_bounds.m_configApplyDelay);
}

bool EntryConfigFeed::receiveUpdate(std::int64_t version, const ReportedAge &age, bool isSent)
{
    if (version == m_version)
        m_confirmation.record(age);
    return m_sourceSelector.take(version, m_version, isSent, m_context.now());
}

Duration EntryConfigFeed::watchWait() const
{
    if (m_role != StoreRole::Alone && age() >= updateAgeLimit())
        return urgentWatchWait;
    const int parts = m_role == StoreRole::Reader ? readerWatchDivisor : watchDivisor;
    return m_context.m_settings.m_bounds.m_configApplyDelay / parts;
}

void EntryConfigFeed::readFullText()
{
    const TimePoint sentAt = m_context.now();
    m_isReadingFullText = true;
    const auto listing = m_context.m_store.list(platform::names::configKind,
                                                platform::ReadFreshness::Linearizable);
    m_isReadingFullText = false;
    if (!succeeded(listing)) {
        m_store.failed(errorOf(listing));
        return;
    }
    recordRead(valueOf(listing).m_revision);
    m_confirmation.record(sentAt);
    for (const platform::StoreObject &object : valueOf(listing).m_objects)
        applyObject(object);
}

/// Records that the store's content up to a revision was read.
void EntryConfigFeed::recordRead(std::int64_t revision)
{
    m_store.answered(m_context.now());
    m_readAt = m_context.now();
    m_revision = revision;
}

void EntryConfigFeed::watchOnce()
{
    const TimePoint sentAt = m_context.now();
    const Duration wait = watchWait();
    const auto changes = m_context.m_store.watch(platform::names::configKind, m_revision, wait);
    if (!succeeded(changes)) {
        // The store has dropped its history since the revision: the full text is read again.
        if (errorOf(changes).m_id == ErrorId::PlatformRefused)
            m_revision = 0;
        m_store.failed(errorOf(changes));
        return;
    }
    recordRead(valueOf(changes).m_revision);
    const auto &events = valueOf(changes).m_events;
    m_confirmation.record({sentAt, wait, m_readAt},
                          events.empty() ? WatchResult::Nothing : WatchResult::Changes);
    for (const platform::StoreEvent &event : events) {
        if (!event.m_isRemoved)
            applyObject(event.m_object);
    }
}

void EntryConfigFeed::applyObject(const platform::StoreObject &object)
{
    if (object.m_name == platform::names::configObject)
        adopt(object.m_specText, "store");
}

bool EntryConfigFeed::applyFromPeer(const std::string &text, const std::string &peer)
{
    return adopt(text, peer);
}

bool EntryConfigFeed::adopt(const std::string &text, std::string_view source)
{
    auto decoded = platform::decodeConfig(text);
    if (!succeeded(decoded)) {
        m_context.m_log.failure("config-malformed", errorOf(decoded), {{LogField::Source, source}});
        return false;
    }
    if (valueOf(decoded).m_version <= m_version)
        return false;
    m_version = valueOf(decoded).m_version;
    m_sourceSelector.onAdopted(m_context.now());
    m_text = text;
    m_view = std::make_shared<const ServingView>(valueOf(std::move(decoded)));
    m_context.m_log.info("config-adopted",
                         {{LogField::ConfigVersion, m_version}, {LogField::Source, source}});
    m_context.m_metrics.set(Gauge::ConfigVersion, m_version);
    m_context.m_metrics.add(Counter::SettingsAdopted);
    m_adopted(m_view);
    return true;
}

} // namespace gypsumdale
