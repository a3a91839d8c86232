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

/// A body is shared between the object and the events that tell of it.
using Body = std::shared_ptr<const std::string>;

/// An object as the store holds it.
struct StoredObject
{
    Version m_version = 0;
    Body m_body;
};

/// An object and its name within its kind.
struct NamedObject
{
    std::string m_name;
    StoredObject m_object;
};

/// One change, as a watch reports it. The body is null for a deletion.
struct ObjectEvent
{
    std::string m_kind;
    std::string m_name;
    Version m_version = 0;
    bool m_deleted = false;
    Body m_body;
};

/// The write took effect and the object has this version (a deletion: the store has).
struct Written
{
    Version m_version = 0;
};

/// The condition did not hold; the object's present version, or nothing if there is no object.
struct ConditionFailed
{
    std::optional<Version> m_current;
};

struct ObjectMissing
{};

struct BodyTooLarge
{};

using WriteOutcome = std::variant<Written, ConditionFailed, ObjectMissing, BodyTooLarge>;

/// The watch reaches back further than the store remembers.
struct VersionTooOld
{};

using WatchOutcome = std::variant<std::vector<ObjectEvent>, VersionTooOld>;

/// Bounds of a store.
struct StoreLimits
{
    std::size_t m_bodyBytes = std::size_t{1024} * 1024;
    std::size_t m_events = 100000;
    std::size_t m_eventBytes = std::size_t{64} * 1024 * 1024;
};

/// The platform's objects: one version counter for all of them, conditional writes, and a bounded
/// memory of changes for watches.
class ObjectStore
{
public:
    explicit ObjectStore(StoreLimits limits = {})
        : m_limits(limits)
    {}

    /// Returns an object, or nothing. Logarithmic.
    std::optional<StoredObject> read(const std::string &kind, const std::string &name) const;

    /// Creates an object unless it exists. Logarithmic.
    WriteOutcome create(const std::string &kind, const std::string &name, std::string body);

    /// Replaces an object if it still has that version. Logarithmic.
    WriteOutcome update(const std::string &kind, const std::string &name, Version expected,
                        std::string body);

    /// Deletes an object, if it still has the version where one is given. Logarithmic.
    WriteOutcome remove(const std::string &kind, const std::string &name,
                        std::optional<Version> expected);

    /// Returns the objects of a kind whose names begin with the prefix, in order. Linear in them.
    std::vector<NamedObject> list(const std::string &kind, const std::string &prefix) const;

    /// Returns the changes of a kind after a version, oldest first. Linear in those after it.
    WatchOutcome changes(const std::string &kind, Version after) const;

    Version version() const { return m_version; }

private:
    using Key = std::pair<std::string, std::string>;

    Written write(const Key &key, std::string body);
    void note(ObjectEvent event);

    StoreLimits m_limits;
    Version m_version = 0;
    Version m_forgotten = 0; ///< the last change that is no longer remembered
    std::size_t m_eventBytes = 0;
    std::map<Key, StoredObject> m_objects;
    std::deque<ObjectEvent> m_events;
};

} // namespace gypsumdale::standins
