#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstdint> // int64_t
#include <optional> // optional
#include <variant> // variant

namespace gypsumdale {

/// The lease object as stored.
struct LeaseRecord
{
    NodeId m_holder;
    /// Distinguishes two processes of one VM.
    std::int64_t m_incarnation = 0;
    std::int64_t m_fence = 0;
    /// Revision of the stored object; 0 if there is none.
    std::int64_t m_revision = 0;
};

struct DutyLeaseSettings
{
    /// Validity of a lease, counted from the moment its write was sent.
    Duration m_term = std::chrono::milliseconds(3000);
    /// Margin at the end of a term for a call that is in progress.
    Duration m_margin = std::chrono::milliseconds(800);
    Duration m_renewInterval = std::chrono::milliseconds(1000);
    /// Delay beyond the term before an unchanged lease is taken over.
    Duration m_takeoverDelay = std::chrono::milliseconds(400);
};

/// Read the lease from the store.
struct ReadLease
{};
/// Write the lease if the stored revision is still the given one.
struct WriteLease
{
    LeaseRecord m_record;
};
/// Do nothing now.
struct NoLeaseAction
{};
using LeaseAction = std::variant<NoLeaseAction, ReadLease, WriteLease>;

/// Elects the VM that performs the fleet's duties: one VM at a time, by a conditional update of one
/// object.
///
/// A holder that is paused, or whose renewal is lost, still considers itself the holder. Therefore
/// a term starts before the write is sent, is measured by a clock that counts suspension, and ends
/// early by a margin for the call in progress. A new holder waits until the lease has been
/// unchanged for more than the whole term and then raises the fencing number, so that it never acts
/// concurrently with the old one. A holder that lost the lease waits as long before it acts again.
class DutyLease
{
public:
    DutyLease(DutyLeaseSettings settings, NodeId self, std::int64_t incarnation);

    /// Returns the next action. Complexity: constant.
    LeaseAction next(TimePoint now);

    /// Records the lease as read, or its absence if the store has none. `sentAt` is the time at
    /// which the read was sent. Complexity: constant.
    void onRead(const std::optional<LeaseRecord> &record, TimePoint sentAt);

    /// Records that a write succeeded with this revision. Complexity: constant.
    void onWritten(const LeaseRecord &record, TimePoint sentAt);

    /// Records that a write was refused or that its outcome is unknown. The next action is a read.
    void onWriteFailed();

    /// Records a peer's report about the lease it holds. The term of another holder is counted from
    /// the renewals it reports; while reports arrive, the store need not be read.
    void onHolderReport(std::int64_t fence, std::int64_t revision, TimePoint now);

    /// Records that a call was refused because another VM had a higher fencing number.
    void onFenced();

    /// Gives up the duties at shutdown. No further action is returned.
    void resign();

    /// Returns the fencing number if the duties may be performed at this moment. Must be called
    /// right before each duty call. Complexity: constant.
    std::optional<std::int64_t> fence(TimePoint now) const;

    /// Returns the last known revision of the lease.
    std::int64_t revision() const { return m_seen.m_revision; }

private:
    DutyLeaseSettings m_settings;
    NodeId m_self;
    std::int64_t m_incarnation;
    LeaseRecord m_seen;
    bool m_hasRead = false;
    bool m_isHeld = false;
    bool m_needsRead = false;
    bool m_hasResigned = false;
    TimePoint m_heldSince{};
    TimePoint m_unchangedSince{};
    TimePoint m_readAt{};
};

} // namespace gypsumdale
