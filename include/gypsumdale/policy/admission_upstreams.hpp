#pragma once

#include <gypsumdale/policy/admission_settings.hpp>
#include <gypsumdale/policy/candidate.hpp>
#include <gypsumdale/policy/peer_slots.hpp>
#include <gypsumdale/policy/upstream_measurements.hpp>
#include <gypsumdale/policy/upstream_report.hpp>

#include <map> // map
#include <optional> // optional
#include <vector> // vector

namespace gypsumdale {

/// Slots of an entry VM, summed over its usable upstreams.
struct SlotCount
{
    /// Slots that the peers leave to this entry VM.
    std::uint32_t m_available = 0;
    /// Requests of this entry VM in flight.
    std::uint32_t m_used = 0;
};

/// Location of the entry VM itself.
struct AdmissionLocation
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    RegionId m_region;
};

/// The upstreams of a service from the view of one entry VM: their reports, this VM's requests in
/// flight, the slots charged for the peers, measurements, and ejections.
///
/// An incarnation that is leaving stays so. A removed upstream is kept until its last request has
/// ended.
class AdmissionUpstreams
{
public:
    AdmissionUpstreams(AdmissionLocation location, const AdmissionSettings &settings);

    /// Sets the live entry VMs of the data centre.
    void setNodes(std::vector<NodeId> nodes);
    /// Applies a peer's requests in flight. Returns false if they are from before the peer's last
    /// restart. Complexity: linear in their number.
    bool mergePeer(const NodeId &peer, std::uint64_t incarnation,
                   const InFlightByUpstream &inFlight, TimePoint now);

    /// Applies a report. Returns true if the upstream has restarted, so that state kept elsewhere
    /// about it is invalid.
    bool update(const UpstreamReport &report);
    /// Removes an upstream; returns false if it is unknown.
    bool remove(const UpstreamId &upstream);

    /// Marks peers and upstreams without a message for too long. Must be called regularly.
    /// Complexity: linear.
    void refresh(TimePoint now);

    /// Records the dispatch of a request to an upstream that was selected from the free candidates.
    /// Returns the upstream's incarnation.
    std::uint64_t dispatched(const UpstreamId &upstream, TimePoint now);
    void firstToken(const UpstreamId &upstream, Duration taken, TimePoint now);
    void tokens(const UpstreamId &upstream, std::uint32_t count, Duration passed, TimePoint now);
    void ended(const UpstreamId &upstream, std::uint64_t incarnation, AttemptEnd end,
               TimePoint now);

    /// Returns whether any upstream is not leaving.
    bool hasNonLeavingUpstream() const;
    SlotCount countSlots(TimePoint now) const;
    /// Returns the upstreams with a slot free for this entry VM. Includes other regions only if
    /// `mayLeaveRegion`, or if the own region has no upstream in use. Complexity: linear.
    std::vector<Candidate> freeCandidates(bool mayLeaveRegion, TimePoint now) const;
    /// Returns the upstream as a candidate if it still has a free slot.
    std::optional<Candidate> freeCandidate(const UpstreamId &upstream, TimePoint now) const;
    /// Returns all upstreams as candidates. Complexity: linear.
    std::vector<Candidate> candidates(TimePoint now) const;

    std::uint32_t inFlightAt(const UpstreamId &upstream) const;
    InFlightByUpstream inFlight() const;
    bool isEjected(const UpstreamId &upstream) const { return m_outlier.isEjected(upstream); }

private:
    struct Upstream
    {
        UpstreamReport m_state;
        bool m_isRemoved = false;
        std::uint32_t m_own = 0;
        /// Slots charged for the live peers, see PeerSlots.
        std::uint32_t m_peers = 0;
        RecentDispatches m_recent;
        InFlightHistory m_history;
        UpstreamMeasurements m_measures;
    };

    void recomputePeerCharges();
    void recordEnd(Upstream &upstream, AttemptEnd end, TimePoint now);
    bool isUsable(const Upstream &upstream, TimePoint now) const;
    bool hasSlot(const Upstream &upstream, TimePoint now) const;
    bool hasLocalSlot(const Upstream &upstream, TimePoint now) const;
    bool hasRemoteSlot(const Upstream &upstream, TimePoint now) const;
    bool isFree(const Upstream &upstream, TimePoint now) const;
    std::uint32_t availableSlots(const Upstream &upstream, TimePoint now) const;
    std::uint32_t remoteAllowance(const UpstreamReport &state) const;
    Candidate candidate(const Upstream &upstream, TimePoint now) const;

    AdmissionLocation m_location;
    AdmissionSettings m_settings;
    PeerSlots m_peers;
    OutlierDetector m_outlier;
    std::map<UpstreamId, Upstream> m_upstreams;
};

} // namespace gypsumdale
