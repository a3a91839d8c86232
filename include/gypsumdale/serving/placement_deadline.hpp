#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // max
#include <chrono> // milliseconds
#include <optional> // optional

namespace gypsumdale {

/// Age information about a VM's list of upstreams.
struct ListConfirmation
{
    /// A moment at which the store confirmed that the list was current.
    TimePoint m_confirmedAt{};
    /// The store did not answer this VM's last query, and nobody else has confirmed the list since:
    /// no newer list is available.
    bool m_isUnconfirmable = false;
};

/// Computes the delivery deadline of a request that was placed by a list of upstreams.
///
/// A leaving upstream must receive no requests from a fixed time after the store has accepted its
/// notice. The state of the store at the list's confirmation is known; later changes are not. A
/// placement is therefore valid for that time from the confirmation on, wherever the request is by
/// then: waiting for its connection, in the send buffer or on a path that delivers nothing.
class PlacementDeadline
{
public:
    /// Margin for bytes that have left this VM when the deadline passes, which can't be recalled,
    /// and for a path whose latency grows after the connection.
    static constexpr Duration deliveryMargin = std::chrono::milliseconds(200);
    /// Time for a placement by a list that can't be refreshed: long enough for a connection and a
    /// request.
    static constexpr Duration unconfirmableTimeout = std::chrono::milliseconds(500);

    /// `leavingApply` is the time after which a leaving upstream must receive no requests.
    explicit PlacementDeadline(Duration leavingApply)
        : m_leavingApply(leavingApply)
    {}

    /// Returns the delivery deadline of a request placed now, or nothing where the list is too old
    /// for a placement and a newer one is available. Complexity: constant.
    std::optional<TimePoint> until(const ListConfirmation &list, TimePoint now) const
    {
        const TimePoint holds = deliveryDeadline(list.m_confirmedAt);
        if (now < holds)
            return holds;
        if (list.m_isUnconfirmable)
            return now + unconfirmableTimeout;
        return std::nullopt;
    }

    /// Returns the delivery deadline of a request that was placed earlier. Only a confirmation
    /// since then extends it. Complexity: constant.
    TimePoint renewed(TimePoint placedUntil, const ListConfirmation &list) const
    {
        return std::max(placedUntil, deliveryDeadline(list.m_confirmedAt));
    }

    /// Returns the deadline for requests to an upstream that was not leaving at `notLeavingAt`.
    /// Complexity: constant.
    TimePoint deliveryDeadline(TimePoint notLeavingAt) const
    {
        return notLeavingAt + m_leavingApply - deliveryMargin;
    }

    /// Returns whether a request may be sent on a connection that took `connecting` to establish;
    /// its bytes are expected to take as long again. Complexity: constant.
    static bool maySend(TimePoint until, Duration connecting, TimePoint now)
    {
        return until > now && until - now > connecting;
    }

private:
    Duration m_leavingApply;
};

} // namespace gypsumdale
