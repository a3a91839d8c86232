#include <gypsumdale/entry/entry_config_feed.hpp>

#include <platform/config_codec.hpp>
#include <platform/wire_names.hpp>

#include <utility> // move

namespace gypsumdale {

namespace {

/// A watch waits for this part of the time in which a version must be in force: one whose
/// connection went silent costs its wait and half a second.
constexpr int watchesPerBound = 2;
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
        if (m_revision == 0)
            readWhole();
        else
            watchOnce();
        if (m_store.isLost())
            sleepFiber(failurePause);
    }
}

void EntryConfigFeed::readWhole()
{
    const auto listing = m_context.m_store.list(platform::names::configKind,
                                                platform::ReadFreshness::Linearizable);
    if (!succeeded(listing)) {
        m_store.failed(errorOf(listing));
        return;
    }
    m_store.answered(m_context.now());
    m_revision = valueOf(listing).m_revision;
    for (const platform::StoreObject &object : valueOf(listing).m_objects)
        take(object);
}

void EntryConfigFeed::watchOnce()
{
    const auto changes =
            m_context.m_store.watch(platform::names::configKind, m_revision,
                                    m_context.m_settings.m_bounds.m_configApply / watchesPerBound);
    if (!succeeded(changes)) {
        // The history behind the revision is gone: what changed is read anew.
        if (errorOf(changes).m_id == ErrorId::PlatformRefused)
            m_revision = 0;
        m_store.failed(errorOf(changes));
        return;
    }
    m_store.answered(m_context.now());
    m_revision = valueOf(changes).m_revision;
    for (const platform::StoreEvent &event : valueOf(changes).m_events) {
        if (!event.m_isRemoved)
            take(event.m_object);
    }
}

void EntryConfigFeed::take(const platform::StoreObject &object)
{
    if (object.m_name == platform::names::configObject)
        adopt(object.m_specText, "store");
}

bool EntryConfigFeed::takeFromPeer(const std::string &text, const std::string &peer)
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
