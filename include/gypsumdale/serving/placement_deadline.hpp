#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // max
#include <chrono> // milliseconds
#include <optional> // optional

namespace gypsumdale {

/// What a VM knows of the age of its list of upstreams.
struct ListConfirmation
{
    /// A moment at which the store surely had nothing that the list lacks.
    TimePoint m_confirmedAt{};
    /// The store has left this VM's last question unanswered, and nobody else has confirmed the
    /// list since: it can't be had any newer.
    bool m_isUnconfirmable = false;
};

/// Says until when a request that rests on a list of upstreams may reach the one that was chosen.
///
/// An upstream that leaves must be left alone a time after the store has taken its word. What the
/// store had when it confirmed the list is known; what came since is not. So a placement holds for
/// that time from the confirmation on, wherever the request is by then: still to be connected, in
/// the send buffer or on a path that has fallen silent.
class PlacementDeadline
{
public:
    /// For bytes that have left this VM when the term ends, and can't be taken back, and for a way
    /// that gets longer after the connection.
    static constexpr Duration deliveryMargin = std::chrono::milliseconds(200);
    /// Of a list that can't be had any newer: long enough for a connection and a request.
    static constexpr Duration unconfirmableTimeout = std::chrono::milliseconds(500);

    /// Takes the time after which a leaving upstream must be left alone.
    explicit PlacementDeadline(Duration leavingApply)
        : m_leavingApply(leavingApply)
    {}

    /// Returns until when a request placed now may arrive, or nothing where the list is too old to
    /// place by it and a newer one is to be had. Constant.
    std::optional<TimePoint> until(const ListConfirmation &list, TimePoint now) const
    {
        const TimePoint holds = deliveryDeadline(list.m_confirmedAt);
        if (now < holds)
            return holds;
        if (list.m_isUnconfirmable)
            return now + unconfirmableTimeout;
        return std::nullopt;
    }

    /// Returns until when a request that was placed earlier may arrive, as only a confirmation
    /// since then moves it; the upstream must not have begun to leave. Constant.
    TimePoint renewed(TimePoint placedUntil, const ListConfirmation &list) const
    {
        return std::max(placedUntil, deliveryDeadline(list.m_confirmedAt));
    }

    /// Returns until when a request may reach an upstream that had not begun to leave at a moment.
    /// Constant.
    TimePoint deliveryDeadline(TimePoint notLeavingAt) const
    {
        return notLeavingAt + m_leavingApply - deliveryMargin;
    }

    /// Tells whether a request may go out on a connection that took so long to come about, as its
    /// bytes will take as long again. Constant.
    static bool maySend(TimePoint until, Duration connecting, TimePoint now)
    {
        return until > now && until - now > connecting;
    }

private:
    Duration m_leavingApply;
};

} // namespace gypsumdale
