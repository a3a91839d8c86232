#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstdint> // int64_t, uint64_t
#include <optional> // optional
#include <string> // string
#include <utility> // move
#include <variant> // variant

namespace gypsumdale {

/// The version of the lease object. Versions only increase, so that an engine can refuse orders of
/// an orderer that was replaced.
using FencingNumber = std::uint64_t;

struct ReadLease
{};

/// Create the lease object only if it is absent.
struct CreateLease
{
    std::string m_body;
};

/// Update the lease object only if it still has this version (`If-Match`).
struct UpdateLease
{
    FencingNumber m_version = 0;
    std::string m_body;
};

using LeaseCommand = std::variant<ReadLease, CreateLease, UpdateLease>;

/// Answer 200 to ReadLease.
struct LeaseRead
{
    FencingNumber m_version = 0;
    std::string m_body;
};

/// Answer 404 to ReadLease.
struct LeaseMissing
{};

/// Answer 200 or 201 to a write.
struct LeaseWritten
{
    FencingNumber m_version = 0;
};

/// Answer 412 to a write.
struct LeaseConflict
{};

/// No answer, or an inconclusive one; a write may have taken effect, or may still do so.
struct LeaseAnswerLost
{
    Duration m_retryAfter{};
};

using LeaseAnswer =
        std::variant<LeaseRead, LeaseMissing, LeaseWritten, LeaseConflict, LeaseAnswerLost>;

/// Settings of an OrderLease; the durations must be the same on all nodes of a data centre.
struct OrderLeaseSettings
{
    /// Unique for each run of a process.
    std::string m_holder;
    Duration m_duration = std::chrono::seconds(10);
    Duration m_renewInterval = std::chrono::seconds(3);
    /// The holder stops ordering this long before the lease ends, as a margin for orders on their
    /// way and for clocks that run at different rates.
    Duration m_margin = std::chrono::seconds(2);
    /// Longest pause of a process against which engines without fencing are protected.
    Duration m_longestPause = std::chrono::seconds(30);
    /// Interval between two reads by a node that does not hold the lease.
    Duration m_readInterval = std::chrono::seconds(3);
};

/// The lease of the single orderer of a data centre, stored in one object of the platform.
///
/// Another node takes the lease over when it has seen the object unchanged for the whole duration
/// on its own monotonic clock; clocks of different nodes are never compared. The holder counts its
/// lease from the time at which it sent the write. A holder that was paused may still consider
/// itself the holder. Hence fence() must be called right before each order, and engines check the
/// number; only this check is certain.
class OrderLease
{
public:
    explicit OrderLease(OrderLeaseSettings settings);

    /// Returns the command to execute now, if any. Each command requires exactly one onAnswer().
    std::optional<LeaseCommand> next(TimePoint now);

    void onAnswer(const LeaseAnswer &answer, TimePoint now);

    /// Returns the fencing number to order with, or nothing if this process must not order now. For
    /// engines that check the number.
    std::optional<FencingNumber> fence(TimePoint now) const;

    /// Like fence(), for engines that ignore the number: after a takeover it returns nothing for
    /// the longest pause, so that no order of the old holder can arrive after one of the new
    /// holder.
    std::optional<FencingNumber> fenceForUncheckedEngine(TimePoint now) const;

    /// Records that an engine refused the number as outdated, so that another process holds the
    /// lease. Stops ordering at once and reads the lease.
    void onFenced();

    /// Releases the lease at a planned stop, so that the next holder need not wait until it
    /// expires.
    void release();

    std::optional<TimePoint> nextWake() const;

    bool isHeld(TimePoint now) const { return fence(now).has_value(); }

private:
    enum class Waiting { Nothing, Read, Write };

    /// The last read state of the lease object, unchanged since m_since.
    struct Seen
    {
        FencingNumber m_version = 0;
        std::string m_holder;
        Duration m_duration{};
        bool m_released = false;
        TimePoint m_since;
    };

    void onRead(FencingNumber version, const std::string &body, TimePoint now);
    void onUnchanged(TimePoint now);
    void onMissing(TimePoint now);
    void onWritten(FencingNumber version);
    bool canTakeOver(TimePoint now) const;
    std::string bodyToWrite(bool released);

    OrderLeaseSettings m_settings;
    Waiting m_outstanding = Waiting::Nothing;
    bool m_readNeeded = true;
    std::optional<TimePoint> m_missingSince;
    bool m_releasing = false;
    std::int64_t m_lastWrite = 0;
    /// A write whose outcome is unknown; it is repeated unchanged.
    std::optional<std::string> m_unsettled;
    std::optional<Seen> m_seen;
    std::optional<FencingNumber> m_held;
    /// Time at which the last write was sent.
    TimePoint m_writtenAt;
    /// Time at which the write that the lease is based on was sent.
    TimePoint m_heldSince;
    /// Time at which this process took the lease over, for the delay of fenceForUncheckedEngine().
    TimePoint m_takenOverAt;
    TimePoint m_sentAt;
    TimePoint m_nextAttemptAt;
};

/// Builds an OrderLease. Each function sets the setting of OrderLeaseSettings with its name.
class OrderLeaseBuilder
{
public:
    explicit OrderLeaseBuilder(std::string holder) { m_settings.m_holder = std::move(holder); }

    OrderLeaseBuilder &duration(Duration value)
    {
        m_settings.m_duration = value;
        return *this;
    }

    OrderLeaseBuilder &renewInterval(Duration value)
    {
        m_settings.m_renewInterval = value;
        return *this;
    }

    OrderLeaseBuilder &margin(Duration value)
    {
        m_settings.m_margin = value;
        return *this;
    }

    OrderLeaseBuilder &longestPause(Duration value)
    {
        m_settings.m_longestPause = value;
        return *this;
    }

    OrderLeaseBuilder &readInterval(Duration value)
    {
        m_settings.m_readInterval = value;
        return *this;
    }

    OrderLease build() const { return OrderLease(m_settings); }

private:
    OrderLeaseSettings m_settings;
};

} // namespace gypsumdale
