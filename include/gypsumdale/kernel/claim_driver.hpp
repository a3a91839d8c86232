#pragma once

#include <gypsumdale/kernel/control_context.hpp>
#include <gypsumdale/kernel/fleet_driver.hpp>
#include <gypsumdale/ledger/claim_ledger.hpp>

#include <boost/fiber/future/promise.hpp>

#include <cstdint> // uint64_t
#include <map> // map
#include <string> // string

namespace gypsumdale {

/// Drives the ClaimLedger with the platform's answers, and forwards claims to the node that is
/// preferred for writing their shard. Used on the control loop only.
class ClaimDriver
{
public:
    ClaimDriver(ControlContext &context, FleetDriver &fleet);

    /// Starts executing commands. Must be called in a fiber of the control loop.
    void start();

    /// Claims a key and waits for the result. After Granted, the attempt named in the result may be
    /// sent once startAttempt() returned true. Suspends the calling fiber.
    ClaimResult claim(const MemberId &member, const std::string &key, const Digest &bodyDigest,
                      TimePoint deadline);

    /// Returns whether a granted attempt may be sent now; true at most once per attempt.
    bool startAttempt(const AttemptId &attempt);
    void finish(const AttemptId &attempt, Outcome outcome, const StoredAnswer &answer);

    wire::ClaimForwarded onForward(const NodeId &sender, const wire::ClaimForward &forward);
    void onRecord(const wire::ClaimRecordForward &record);

    /// Sets the retention of keys from now on.
    void setRetention(Duration retention) { m_ledger.setRetention(retention); }

    const ClaimLedger &ledger() const { return m_ledger; }

private:
    ClaimResult await(ClaimTicket ticket);
    ClaimResult claimLocally(const ClaimRequest &request);
    ClaimResult claimRemotely(const NodeIdentity &peer, const ClaimRequest &request);
    std::optional<NodeIdentity> preferredPeer(ShardNumber shard) const;
    AttemptId nextAttempt();
    void executeCommands();
    void takeEvents();
    void execute(const ClaimDecided &event);
    void execute(const OutcomeRecorded &event);
    void execute(const RecordToForward &event);
    void execute(const ShardProblem &event);
    void runTimer();

    ControlContext &m_context;
    FleetDriver &m_fleet;
    ClaimLedger m_ledger;
    std::map<ClaimTicket, ClaimResult> m_decided;
    std::map<ClaimTicket, boost::fibers::promise<ClaimResult>> m_waiting;
    std::uint64_t m_attempts = 0;
};

} // namespace gypsumdale
