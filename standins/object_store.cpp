#include "standins/object_store.hpp"

#include <algorithm> // upper_bound

namespace gypsumdale::standins {

namespace {

std::size_t bytesOf(const ObjectEvent &event)
{
    return event.m_body ? event.m_body->size() : 0;
}

} // namespace

std::optional<StoredObject> ObjectStore::read(const std::string &kind,
                                              const std::string &name) const
{
    const auto found = m_objects.find({kind, name});
    if (found == m_objects.end())
        return std::nullopt;
    return found->second;
}

WriteOutcome ObjectStore::create(const std::string &kind, const std::string &name, std::string body)
{
    if (body.size() > m_limits.m_bodyBytes)
        return BodyTooLarge{};
    if (const auto current = read(kind, name))
        return ConditionFailed{current->m_version};
    return write({kind, name}, std::move(body));
}

WriteOutcome ObjectStore::update(const std::string &kind, const std::string &name, Version expected,
                                 std::string body)
{
    if (body.size() > m_limits.m_bodyBytes)
        return BodyTooLarge{};
    const auto current = read(kind, name);
    if (!current)
        return ConditionFailed{};
    if (current->m_version != expected)
        return ConditionFailed{current->m_version};
    return write({kind, name}, std::move(body));
}

WriteOutcome ObjectStore::remove(const std::string &kind, const std::string &name,
                                 std::optional<Version> expected)
{
    const auto current = read(kind, name);
    if (!current)
        return ObjectMissing{};
    if (expected && current->m_version != *expected)
        return ConditionFailed{current->m_version};
    m_objects.erase({kind, name});
    ++m_version;
    appendEvent({kind, name, m_version, true, nullptr});
    return Written{m_version};
}

std::vector<NamedObject> ObjectStore::list(const std::string &kind, const std::string &prefix) const
{
    std::vector<NamedObject> result;
    for (auto entry = m_objects.lower_bound({kind, prefix}); entry != m_objects.end(); ++entry) {
        const auto &[objectKind, name] = entry->first;
        if (objectKind != kind || !name.starts_with(prefix))
            break;
        result.push_back({name, entry->second});
    }
    return result;
}

WatchOutcome ObjectStore::changes(const std::string &kind, Version after) const
{
    if (after < m_lastDroppedVersion)
        return VersionTooOld{};
    std::vector<ObjectEvent> result;
    auto event = std::upper_bound(
            m_events.begin(), m_events.end(), after,
            [](Version version, const ObjectEvent &entry) { return version < entry.m_version; });
    for (; event != m_events.end(); ++event) {
        if (event->m_kind == kind)
            result.push_back(*event);
    }
    return result;
}

Written ObjectStore::write(const Key &key, std::string body)
{
    const auto shared = std::make_shared<const std::string>(std::move(body));
    ++m_version;
    m_objects[key] = {m_version, shared};
    appendEvent({key.first, key.second, m_version, false, shared});
    return {m_version};
}

void ObjectStore::appendEvent(ObjectEvent event)
{
    m_eventBytes += bytesOf(event);
    m_events.push_back(std::move(event));
    while (m_events.size() > m_limits.m_events || m_eventBytes > m_limits.m_eventBytes) {
        m_eventBytes -= bytesOf(m_events.front());
        m_lastDroppedVersion = m_events.front().m_version;
        m_events.pop_front();
    }
}

} // namespace gypsumdale::standins
