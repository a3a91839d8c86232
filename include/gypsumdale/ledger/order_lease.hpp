#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstdint> // int64_t, uint64_t
#include <optional> // optional
#include <string> // string
#include <utility> // move
#include <variant> // variant

namespace gypsumdale {

/// The version of the lease's object. Versions only grow, so that an engine can refuse orders of an
/// orderer that was replaced.
using FencingNumber = std::uint64_t;

struct ReadLease
{};

/// Create the lease's object only if it is absent.
struct CreateLease
{
    std::string m_body;
};

/// Update the lease's object only if it still has this version (`If-Match`).
struct UpdateLease
{
    FencingNumber m_version = 0;
    std::string m_body;
};

using LeaseCommand = std::variant<ReadLease, CreateLease, UpdateLease>;

/// 200 to ReadLease.
struct LeaseRead
{
    FencingNumber m_version = 0;
    std::string m_body;
};

/// 404 to ReadLease.
struct LeaseMissing
{};

/// 200 or 201 to a write.
struct LeaseWritten
{
    FencingNumber m_version = 0;
};

/// 412 to a write.
struct LeaseConflict
{};

/// No answer, or one that proves nothing; a write may have taken effect, or may yet.
struct LeaseAnswerLost
{
    Duration m_retryAfter{};
};

using LeaseAnswer =
        std::variant<LeaseRead, LeaseMissing, LeaseWritten, LeaseConflict, LeaseAnswerLost>;

/// The settings of a lease; durations must be the same on all nodes of a data centre.
struct OrderLeaseSettings
{
    /// Unique for each life of a process.
    std::string m_holder;
    Duration m_duration = std::chrono::seconds(10);
    Duration m_renewInterval = std::chrono::seconds(3);
    /// The holder stops this long before the lease's end: for an order on its way and for clocks
    /// that run at different rates.
    Duration m_margin = std::chrono::seconds(2);
    /// The longest pause of a process that engines without fencing are guarded against.
    Duration m_longestPause = std::chrono::seconds(30);
    /// Between two readings by a node that does not hold the lease.
    Duration m_readInterval = std::chrono::seconds(3);
};

/// The lease of a data centre's one orderer, kept in one object of the platform.
///
/// Others take a lease over once they have seen its object unchanged for the whole duration on
/// their own monotonic clock; no two clocks are compared. A holder counts its lease from when it
/// sent the write. A holder that is paused can still believe it holds it: hence fence(), to be
/// asked right before each order, and the engines' check of the number, which alone is certain.
class OrderLease
{
public:
    explicit OrderLease(OrderLeaseSettings settings);

    /// Returns the command to carry out now, if any. Each needs exactly one onAnswer().
    std::optional<LeaseCommand> next(TimePoint now);

    void onAnswer(const LeaseAnswer &answer, TimePoint now);

    /// Returns the number to order with, or nothing if this process must not order now. For engines
    /// that check it.
    std::optional<FencingNumber> fence(TimePoint now) const;

    /// The same for engines that ignore the number: it also waits out the longest pause after the
    /// take-over, so that an order of the old holder can't arrive after one of the new.
    std::optional<FencingNumber> fenceForUncheckedEngine(TimePoint now) const;

    /// An engine refused the number as old: somebody else holds the lease. Stops at once and reads.
    void onFenced();

    /// Gives the lease up at a planned stop, so that the next holder need not wait for its lapse.
    void release();

    std::optional<TimePoint> nextWake() const;

    bool isHeld(TimePoint now) const { return fence(now).has_value(); }

private:
    enum class Waiting { Nothing, Read, Write };

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
    bool mayTake(TimePoint now) const;
    std::string bodyToWrite(bool released);

    OrderLeaseSettings m_settings;
    Waiting m_outstanding = Waiting::Nothing;
    bool m_readNeeded = true;
    std::optional<TimePoint> m_missingSince;
    bool m_releasing = false;
    std::int64_t m_lastWrite = 0;
    /// A write whose outcome is not known; it is repeated as it is.
    std::optional<std::string> m_unsettled;
    std::optional<Seen> m_seen;
    std::optional<FencingNumber> m_held;
    /// When the last write was sent.
    TimePoint m_writtenAt;
    /// When the write that the lease rests on was sent.
    TimePoint m_heldFrom;
    /// When this process took the lease over, for the wait of fenceForUncheckedEngine().
    TimePoint m_takenAt;
    TimePoint m_sentAt;
    TimePoint m_nextTry;
};

/// Builds a lease. Each function sets the setting of OrderLeaseSettings that has its name.
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
