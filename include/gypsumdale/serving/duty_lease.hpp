#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstdint> // int64_t
#include <optional> // optional
#include <variant> // variant

namespace gypsumdale {

/// The lease as it stands in the store.
struct LeaseRecord
{
    NodeId m_holder;
    /// Tells two processes of one VM apart.
    std::int64_t m_incarnation = 0;
    std::int64_t m_fence = 0;
    /// Revision of the stored object; 0 if there is none.
    std::int64_t m_revision = 0;
};

struct DutyLeaseSettings
{
    /// How long a lease holds from the moment its write was sent.
    Duration m_term = std::chrono::milliseconds(3000);
    /// Kept free at the end of a term for a call that is under way.
    Duration m_margin = std::chrono::milliseconds(800);
    Duration m_renewInterval = std::chrono::milliseconds(1000);
    /// Beyond the term, before an unchanged lease is taken over.
    Duration m_takeoverDelay = std::chrono::milliseconds(400);
};

/// Read the lease from the store.
struct ReadLease
{};
/// Write the lease if the stored one still has that revision.
struct WriteLease
{
    LeaseRecord m_record;
};
/// Nothing to do now.
struct NoLeaseAction
{};
using LeaseAction = std::variant<NoLeaseAction, ReadLease, WriteLease>;

/// Decides who does the fleet's duties: one VM at a time, by a conditional update of one object.
///
/// A holder that is paused, or whose renewal is lost, still believes that it holds: a term counts
/// from before the write was sent, by a clock that counts suspension, and ends early by a margin
/// for the call under way. A new holder waits until the lease has stood unchanged for the whole
/// term and longer, raises the fencing number, and so never acts beside the old one; the old one,
/// once it lost the lease, has to wait as long before it acts again.
class DutyLease
{
public:
    DutyLease(DutyLeaseSettings settings, NodeId self, std::int64_t incarnation);

    /// Returns what to do next. Constant.
    LeaseAction next(TimePoint now);

    /// Takes in the lease as read, or nothing if the store has none. The time is that of the
    /// read's sending. Constant.
    void onRead(const std::optional<LeaseRecord> &record, TimePoint sentAt);

    /// Takes in that a write was done and has this revision. Constant.
    void onWritten(const LeaseRecord &record, TimePoint sentAt);

    /// Takes in that a write was refused, or that its outcome is unknown: the lease is read next.
    void onWriteFailed();

    /// Takes in what a peer says of the lease it holds: the term of others runs from its renewals
    /// as they are heard, and the store need not be read while they come.
    void onHolderReport(std::int64_t fence, std::int64_t revision, TimePoint now);

    /// Takes in that a call was refused as another had a higher fencing number.
    void onFenced();

    /// Gives the duties up at shutdown. No further step is taken.
    void resign();

    /// Returns the fencing number if the duties may be acted on at this moment, to be asked right
    /// before each call. Constant.
    std::optional<std::int64_t> fence(TimePoint now) const;

    /// Returns the revision of the lease as last known.
    std::int64_t revision() const { return m_seen.m_revision; }

private:
    DutyLeaseSettings m_settings;
    NodeId m_self;
    std::int64_t m_incarnation;
    LeaseRecord m_seen;
    bool m_hasRead = false;
    bool m_isHeld = false;
    bool m_isUnsure = false;
    bool m_hasResigned = false;
    TimePoint m_heldSince{};
    TimePoint m_unchangedSince{};
    TimePoint m_readAt{};
};

} // namespace gypsumdale
