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

/// Slots that an entry VM may use now.
struct SlotCount
{
    /// What peers leave to this entry VM at usable upstreams.
    std::uint32_t m_available = 0;
    /// Its requests there.
    std::uint32_t m_used = 0;
};

/// Where the entry VM itself is.
struct AdmissionLocation
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    RegionId m_region;
};

/// The upstreams of a service as one entry VM may use them: what each reported, this VM's requests
/// there, what the peers count for, what was measured, and which are out of use for their failures.
///
/// Leaving is never undone for an incarnation. A removed upstream stays until the last request
/// there has ended.
class AdmissionUpstreams
{
public:
    AdmissionUpstreams(AdmissionLocation place, const AdmissionSettings &settings);

    /// Sets the live entry VMs of the data centre.
    void setNodes(std::vector<NodeId> nodes);
    /// Takes a peer's requests in flight; false if the peer has started anew since. Linear in them.
    bool mergePeer(const NodeId &peer, std::uint64_t incarnation,
                   const InFlightByUpstream &inFlight, TimePoint now);

    /// Returns true if the upstream started anew, and what others remember of it is void.
    bool update(const UpstreamReport &report);
    /// Returns false if there is no such one.
    bool remove(const UpstreamId &upstream);

    /// Notes what only time tells: peers and upstreams that fell silent. Linear.
    void refresh(TimePoint now);

    /// Notes a request's way at an upstream that was chosen from the free candidates; returns the
    /// incarnation it went to.
    std::uint64_t dispatched(const UpstreamId &upstream, TimePoint now);
    void firstToken(const UpstreamId &upstream, Duration taken, TimePoint now);
    void tokens(const UpstreamId &upstream, std::uint32_t count, Duration passed, TimePoint now);
    void ended(const UpstreamId &upstream, std::uint64_t incarnation, AttemptEnd end,
               TimePoint now);

    /// Tells whether there is one that is not leaving.
    bool hasNonLeavingUpstream() const;
    SlotCount countSlots(TimePoint now) const;
    /// Those with a slot free for this entry VM; of other regions only if `mayLeaveRegion`, or if
    /// the own one has none in use. Linear.
    std::vector<Candidate> freeCandidates(bool mayLeaveRegion, TimePoint now) const;
    /// The upstream as a candidate, if it still has a slot free.
    std::optional<Candidate> freeCandidate(const UpstreamId &upstream, TimePoint now) const;
    /// All of them. Linear.
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
        /// What the live peers count for, see PeerSlots.
        std::uint32_t m_peers = 0;
        RecentDispatches m_recent;
        InFlightHistory m_history;
        UpstreamMeasurements m_measures;
    };

    void recountAll();
    void noteEnd(Upstream &upstream, AttemptEnd end, TimePoint now);
    bool isUsable(const Upstream &upstream, TimePoint now) const;
    bool hasSlot(const Upstream &upstream, TimePoint now) const;
    bool hasLocalSlot(const Upstream &upstream, TimePoint now) const;
    bool hasForeignSlot(const Upstream &upstream, TimePoint now) const;
    bool isFree(const Upstream &upstream, TimePoint now) const;
    std::uint32_t availableSlots(const Upstream &upstream, TimePoint now) const;
    std::uint32_t foreignAllowance(const UpstreamReport &state) const;
    Candidate candidate(const Upstream &upstream, TimePoint now) const;

    AdmissionLocation m_place;
    AdmissionSettings m_settings;
    PeerSlots m_peers;
    OutlierDetector m_outlier;
    std::map<UpstreamId, Upstream> m_upstreams;
};

} // namespace gypsumdale
