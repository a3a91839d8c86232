#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstddef> // size_t
#include <map> // map
#include <optional> // optional
#include <set> // set
#include <string> // string
#include <utility> // pair
#include <vector> // vector

namespace gypsumdale {

/// What the first event of a stream decides for all that follow it: they must come from upstreams
/// of the same service and software version.
struct StreamOrigin
{
    ServiceId m_service;
    /// Empty where it isn't known. Then no upstream may go on with the stream.
    SoftwareVersion m_softwareVersion;

    friend bool operator==(const StreamOrigin &, const StreamOrigin &) = default;
};

/// The origin of a stream, as recorded at its first event.
struct StreamOriginRecord
{
    /// The client's attempt that brought the first event.
    RequestId m_request;
    StreamOrigin m_origin;
    /// The VM that forwarded the first event.
    std::string m_source;
    TimePoint m_recordedAt{};
    /// Until when a client can take the stream up.
    TimePoint m_expiresAt{};
    /// Attempts under the same id began at different origins, so it is not known which of them the
    /// client holds events of.
    bool m_isAmbiguous = false;

    /// Returns whether a stream may go on by this record.
    bool isUsable() const { return !m_isAmbiguous && !m_origin.m_softwareVersion.isEmpty(); }
};

/// The origins of streams that clients may still take up, of this VM's own streams and of those
/// that peers have reported. Bounded by the records' expiry and by their number.
class StreamOrigins
{
public:
    /// Several times the number of streams that a fleet begins within their lifetime, divided by
    /// its VMs and multiplied by the copies of each record.
    static constexpr std::size_t defaultCapacity = 20'000;

    explicit StreamOrigins(std::size_t capacity = defaultCapacity)
        : m_capacity(capacity)
    {}

    /// Adds a record, or merges it into the known one of its id: the later expiry counts, and a
    /// different origin makes the record ambiguous. Returns the record as it is known now.
    /// Complexity: logarithmic in the number of records.
    const StreamOriginRecord &record(const StreamOriginRecord &added, TimePoint now);

    /// Returns the record of a client's attempt, or nothing. Complexity: logarithmic in the number
    /// of records.
    std::optional<StreamOriginRecord> find(const RequestId &request, TimePoint now) const;

    std::size_t size() const { return m_records.size(); }
    /// Returns the number of records that were removed before they expired, for lack of room.
    std::size_t dropped() const { return m_dropped; }

private:
    void makeRoom(TimePoint now);

    std::size_t m_capacity;
    std::map<RequestId, StreamOriginRecord> m_records;
    /// The first one expires next.
    std::set<std::pair<TimePoint, RequestId>> m_byExpiry;
    std::size_t m_dropped = 0;
};

/// A VM that may hold records of streams' origins.
struct OriginHolder
{
    NodeId m_node;
    DataCentreId m_dataCentre;
};

/// Orders VMs by how well they suit as holders of a stream's record, best first: the best one of
/// each data centre precedes all others, so that each data centre that is cut off has a copy. VMs
/// with the same view of the fleet get the same order. Complexity: O(n log n).
std::vector<NodeId> rankOriginHolders(const RequestId &request,
                                      const std::vector<OriginHolder> &vms);

/// Decides where a stream may go on, from the first event that its client holds.
class StreamBinding
{
public:
    /// Binds the stream to where an earlier attempt began, or where its first event came from. Has
    /// no effect on a stream that is bound. Returns whether it bound the stream.
    bool bind(const StreamOrigin &origin);

    bool isBound() const { return m_origin.has_value(); }
    const std::optional<StreamOrigin> &origin() const { return m_origin; }

    /// Returns the software version that an upstream must run, or nothing where any may begin the
    /// stream.
    std::optional<SoftwareVersion> requiredVersion() const;

    /// Returns whether events of an origin may follow those that the client holds.
    bool allows(const StreamOrigin &origin) const;

private:
    std::optional<StreamOrigin> m_origin;
};

} // namespace gypsumdale
