#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <deque> // deque
#include <map> // map
#include <memory> // shared_ptr
#include <optional> // optional
#include <string> // string
#include <utility> // pair
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale::standins {

using Version = std::uint64_t;

/// Body of an object, shared by the object and the events that report it.
using Body = std::shared_ptr<const std::string>;

/// Version and body of an object in the store.
struct StoredObject
{
    Version m_version = 0;
    Body m_body;
};

/// An object with its name, which is unique within its kind.
struct NamedObject
{
    std::string m_name;
    StoredObject m_object;
};

/// One change that a watch reports. The body is null for a deletion.
struct ObjectEvent
{
    std::string m_kind;
    std::string m_name;
    Version m_version = 0;
    bool m_deleted = false;
    Body m_body;
};

/// The write took effect. Holds the object's new version, or the store's version for a deletion.
struct Written
{
    Version m_version = 0;
};

/// The condition did not hold. Holds the object's current version, or nothing if it doesn't exist.
struct ConditionFailed
{
    std::optional<Version> m_current;
};

struct ObjectMissing
{};

struct BodyTooLarge
{};

using WriteOutcome = std::variant<Written, ConditionFailed, ObjectMissing, BodyTooLarge>;

/// The watch starts before the oldest change that the store retains.
struct VersionTooOld
{};

using WatchOutcome = std::variant<std::vector<ObjectEvent>, VersionTooOld>;

/// Size limits of a store.
struct StoreLimits
{
    std::size_t m_bodyBytes = std::size_t{1024} * 1024;
    std::size_t m_events = 100000;
    std::size_t m_eventBytes = std::size_t{64} * 1024 * 1024;
};

/// The platform's object store: conditional writes, one version counter for all objects, and a
/// bounded history of changes for watches.
class ObjectStore
{
public:
    explicit ObjectStore(StoreLimits limits = {})
        : m_limits(limits)
    {}

    /// Returns an object, or nothing if it doesn't exist. Complexity: logarithmic.
    std::optional<StoredObject> read(const std::string &kind, const std::string &name) const;

    /// Creates an object unless it exists. Complexity: logarithmic.
    WriteOutcome create(const std::string &kind, const std::string &name, std::string body);

    /// Replaces an object if it still has the expected version. Complexity: logarithmic.
    WriteOutcome update(const std::string &kind, const std::string &name, Version expected,
                        std::string body);

    /// Deletes an object; if a version is given, only if the object still has it.
    /// Complexity: logarithmic.
    WriteOutcome remove(const std::string &kind, const std::string &name,
                        std::optional<Version> expected);

    /// Returns the objects of a kind whose names begin with the prefix, sorted by name.
    /// Complexity: linear in their number.
    std::vector<NamedObject> list(const std::string &kind, const std::string &prefix) const;

    /// Returns the changes of a kind after a version, oldest first.
    /// Complexity: linear in the number of changes of all kinds after the version.
    WatchOutcome changes(const std::string &kind, Version after) const;

    Version version() const { return m_version; }

private:
    using Key = std::pair<std::string, std::string>;

    Written write(const Key &key, std::string body);
    void appendEvent(ObjectEvent event);

    StoreLimits m_limits;
    Version m_version = 0;
    Version m_lastDroppedVersion = 0; ///< version of the latest change dropped from the history
    std::size_t m_eventBytes = 0;
    std::map<Key, StoredObject> m_objects;
    std::deque<ObjectEvent> m_events;
};

} // namespace gypsumdale::standins
