#include <gypsumdale/entry/entry_config_feed.hpp>

#include <platform/config_codec.hpp>
#include <platform/wire_names.hpp>

#include <utility> // move

namespace gypsumdale {

namespace {

/// A watch waits for this part of the time in which a version must be in force: one whose
/// connection went silent costs its wait and half a second.
constexpr int watchesPerBound = 2;
/// A reader's word goes a step further.
constexpr int readerWatchesPerBound = 3;
/// A follower that isn't told for this part of the bound asks itself; the rest is for that.
constexpr double toldPartOfBound = 0.65;
/// A watch that begins where the last reading ended this long ago is refused, as the store may have
/// forgotten what came between: it promises 20 s, and may forget sooner.
constexpr Duration cursorKept = std::chrono::seconds(8);
/// Of a VM whose version was not confirmed for that long: a lost answer must not use up the rest.
constexpr Duration urgentWatchWait = std::chrono::milliseconds(50);
constexpr Duration toldTick = std::chrono::milliseconds(100);
constexpr Duration failurePause = std::chrono::milliseconds(150);

} // namespace

EntryConfigFeed::EntryConfigFeed(EntryContext &context, Adopted adopted)
    : m_context(context)
    , m_adopted(std::move(adopted))
    , m_store(context.m_log, "store-config")
{}

void EntryConfigFeed::follow()
{
    while (!m_context.m_isStopping) {
        const bool isLeftToPeer = m_isFetching && mustReadWhole();
        if (isTold() || isLeftToPeer) {
            sleepFiber(toldTick);
            continue;
        }
        if (mustReadWhole())
            readWhole();
        else
            watchOnce();
        if (!m_store.isLost())
            continue;
        if (m_readingFailed)
            m_readingFailed();
        sleepFiber(failurePause);
    }
}

bool EntryConfigFeed::mustReadWhole() const
{
    return m_revision == 0 || m_context.now() - m_readAt > cursorKept;
}

/// Tells whether a reader has confirmed the version lately enough for this VM not to ask.
bool EntryConfigFeed::isTold() const
{
    if (m_role != StoreRole::Follower || m_store.isLost())
        return false;
    return !m_news.mustRead(m_version, m_context.now()) && age() < toldLimit();
}

Duration EntryConfigFeed::toldLimit() const
{
    return std::chrono::duration_cast<Duration>(toldPartOfBound
                                                * m_context.m_settings.m_bounds.m_configApply);
}

bool EntryConfigFeed::receiveUpdate(std::int64_t version, const ReportedAge &age, bool isSent)
{
    if (version == m_version)
        m_confirmation.take(age);
    return m_news.take(version, m_version, isSent, m_context.now());
}

Duration EntryConfigFeed::watchWait() const
{
    if (m_role != StoreRole::Alone && age() >= toldLimit())
        return urgentWatchWait;
    const int parts = m_role == StoreRole::Reader ? readerWatchesPerBound : watchesPerBound;
    return m_context.m_settings.m_bounds.m_configApply / parts;
}

void EntryConfigFeed::readWhole()
{
    const TimePoint sentAt = m_context.now();
    m_isReadingWhole = true;
    const auto listing = m_context.m_store.list(platform::names::configKind,
                                                platform::ReadFreshness::Linearizable);
    m_isReadingWhole = false;
    if (!succeeded(listing)) {
        m_store.failed(errorOf(listing));
        return;
    }
    noteRead(valueOf(listing).m_revision);
    m_confirmation.take(sentAt);
    for (const platform::StoreObject &object : valueOf(listing).m_objects)
        take(object);
}

/// Notes that the store told everything up to a revision.
void EntryConfigFeed::noteRead(std::int64_t revision)
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
        // The history behind the revision is gone: what changed is read anew.
        if (errorOf(changes).m_id == ErrorId::PlatformRefused)
            m_revision = 0;
        m_store.failed(errorOf(changes));
        return;
    }
    noteRead(valueOf(changes).m_revision);
    const auto &events = valueOf(changes).m_events;
    m_confirmation.take({sentAt, wait, m_readAt},
                        events.empty() ? WatchResult::Nothing : WatchResult::Changes);
    for (const platform::StoreEvent &event : events) {
        if (!event.m_isRemoved)
            take(event.m_object);
    }
}

void EntryConfigFeed::take(const platform::StoreObject &object)
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
    m_news.onAdopted(m_context.now());
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
