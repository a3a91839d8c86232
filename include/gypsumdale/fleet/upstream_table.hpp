#pragma once

#include <gypsumdale/fleet/change_log.hpp>
#include <gypsumdale/fleet/data_centre_summary.hpp>
#include <gypsumdale/fleet/leaving_notice.hpp>
#include <gypsumdale/fleet/upstream_state.hpp>

#include <chrono> // milliseconds
#include <map> // map
#include <optional> // optional
#include <set> // set
#include <string> // string
#include <unordered_map> // unordered_map
#include <utility> // move
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// When a request may go to an upstream of another data centre.
enum class RemoteScope { Never, WhenGone, WhenFull };

inline constexpr NameTable<RemoteScope, 3> remoteScopeNames = {{
        {RemoteScope::Never, "never"},
        {RemoteScope::WhenGone, "when-gone"},
        {RemoteScope::WhenFull, "when-full"},
}};

/// How the table watches upstreams. Made by UpstreamTableSettingsBuilder.
struct UpstreamTableSettings
{
    NodeId m_self;
    DataCentreId m_dataCentre;
    /// How many nodes probe an upstream.
    std::size_t m_owners = 2;
    /// Up to so many nodes tell each other all their requests in flight; where there are more, each
    /// tells only the owners, who tell the sum.
    std::size_t m_fewNodes = 12;
    /// The shortest time between two probes of an upstream by one owner.
    Duration m_probeInterval = std::chrono::milliseconds(500);
    Duration m_longestProbeInterval = std::chrono::seconds(10);
    /// What probes may cost: the interval grows with the upstreams this node owns.
    double m_probesPerSecond = 10;
    /// Failed probes in a row after which an owner holds an upstream for suspect.
    int m_suspectAfterFailures = 2;
    /// How long this node avoids an upstream that failed one of its own requests.
    Duration m_failurePenalty = std::chrono::seconds(2);
    /// An owner tells of an upstream at least this often, changed or not.
    Duration m_shareInterval = std::chrono::seconds(5);
    /// Silence after which nobody's word on an upstream counts any more: it is suspect.
    Duration m_longestSilence = std::chrono::seconds(20);
    /// Silence after which a VM that the list no longer shows counts as gone.
    Duration m_goneAfter = std::chrono::seconds(3);
    /// How long the VM list may lag: a VM first seen so soon after its zone's notice is held back.
    Duration m_listLag = std::chrono::seconds(30);
    /// How long notices are kept after their deadline, to recognise late copies.
    Duration m_noticeRetention = std::chrono::minutes(10);
    RemoteScope m_remoteScope = RemoteScope::WhenFull;
    /// Summaries older than this are not routed by.
    Duration m_longestSummaryAge = std::chrono::seconds(10);
};

/// Builds UpstreamTableSettings; whatever is not set keeps its default.
class UpstreamTableSettingsBuilder
{
public:
    UpstreamTableSettingsBuilder &self(NodeId node, DataCentreId dataCentre)
    {
        m_settings.m_self = std::move(node);
        m_settings.m_dataCentre = std::move(dataCentre);
        return *this;
    }
    UpstreamTableSettingsBuilder &probeInterval(Duration interval)
    {
        m_settings.m_probeInterval = interval;
        return *this;
    }
    UpstreamTableSettingsBuilder &probesPerSecond(double probes)
    {
        m_settings.m_probesPerSecond = probes;
        return *this;
    }
    UpstreamTableSettingsBuilder &failurePenalty(Duration penalty)
    {
        m_settings.m_failurePenalty = penalty;
        return *this;
    }
    UpstreamTableSettingsBuilder &goneAfter(Duration silence)
    {
        m_settings.m_goneAfter = silence;
        return *this;
    }
    UpstreamTableSettingsBuilder &listLag(Duration lag)
    {
        m_settings.m_listLag = lag;
        return *this;
    }
    UpstreamTableSettingsBuilder &remoteScope(RemoteScope scope)
    {
        m_settings.m_remoteScope = scope;
        return *this;
    }
    UpstreamTableSettings build() const { return m_settings; }

private:
    UpstreamTableSettings m_settings;
};

/// Ask the upstream for its load; give the answer to onLoad or onProbeFailed.
struct ProbeUpstream
{
    UpstreamId m_upstream;
    std::string m_address;
    std::uint16_t m_port = 0;
};

/// A notice that is new here: tell every node of the own data centre at once, and, unless it came
/// from another data centre, two nodes of each other one.
struct SpreadNotice
{
    LeavingNotice m_notice;
    bool m_toOtherDataCentres = true;
};

/// For logs, the explain history, and whoever has requests or jobs there.
struct UpstreamStateChanged
{
    UpstreamId m_upstream;
    UpstreamState m_state = UpstreamState::Suspect;
    std::string m_reason;
    WallMillis m_deadline = 0;
};

using UpstreamCommand = std::variant<ProbeUpstream, SpreadNotice, UpstreamStateChanged>;
using UpstreamCommands = std::vector<UpstreamCommand>;

/// A VM of an upstream as the cloud's lagging list shows it.
struct ListedUpstream
{
    UpstreamDeclaration m_declaration;
    bool m_isLeaving = false;
};

/// An owner's compact word about an upstream.
struct UpstreamObservation
{
    std::int64_t m_key = 0;
    UpstreamState m_state = UpstreamState::Suspect;
    UpstreamLoad m_load;
    int m_totalInFlight = 0;
    Duration m_age{};
};

/// Observations and the version they lead up to.
struct ObservationBatch
{
    std::vector<UpstreamObservation> m_observations;
    std::int64_t m_upTo = 0;
};

/// Requests that one node has at an upstream.
struct InFlightReport
{
    std::int64_t m_key = 0;
    int m_count = 0;
};

/// From where a notice reached this node.
enum class NoticeSource { Here, OwnDataCentre, OtherDataCentre };

/// Stay in the own data centre.
struct RouteOwn
{};
/// Go to one of these, the one with the most to spare first.
struct RouteRemote
{
    std::vector<DataCentreId> m_dataCentres;
};
/// Nothing is left to route to; the text says why.
struct RouteNowhere
{
    std::string m_reason;
};
using RouteScope = std::variant<RouteOwn, RouteRemote, RouteNowhere>;

/// All upstreams this node knows, with their state and load. Two nodes of an upstream's data
/// centre, chosen by rendezvous hashing, probe it and tell the others what changed.
///
/// Leaving is sticky: a VM under a reclaim notice stays leaving until it is gone, whatever a
/// lagging list, a probe or another node says; an upstream that an operator drains stays so until
/// it comes back with a higher incarnation. An upstream that is leaving or gone is never among the
/// candidates.
class UpstreamTable
{
public:
    explicit UpstreamTable(UpstreamTableSettings settings);

    /// Replaces the upstreams that settings name. Linear.
    UpstreamCommands setStatic(const std::vector<UpstreamDeclaration> &declared, TimePoint now);

    /// Takes in the cloud's list. It lags: it adds VMs and says leaving, but a VM it shows live
    /// although a notice said otherwise stays leaving. A VM no longer shown is leaving, and gone
    /// once it is silent. Linear.
    UpstreamCommands onVmList(const std::vector<ListedUpstream> &listed, TimePoint now,
                              WallMillis wallNow);

    /// Takes in a notice, from the cloud, an operator or a peer; copies are ignored. Linear in the
    /// upstreams for a zone, logarithmic otherwise.
    UpstreamCommands onNotice(const LeavingNotice &notice, NoticeSource source, TimePoint now,
                              WallMillis wallNow);

    /// An operator's drain of the upstream in its present incarnation; nothing if it is unknown.
    UpstreamCommands drain(const UpstreamId &upstream, TimePoint now, WallMillis wallNow);

    /// Says which nodes share the duty of probing (Membership::dutyNodes). Cheap if unchanged;
    /// otherwise linear in nodes times upstreams.
    void setNodes(const std::vector<NodeId> &nodes);

    /// Moves on to `now`: probes that are due, and what ran out. Linear in upstreams, every 200 ms.
    UpstreamCommands tick(TimePoint now, WallMillis wallNow);

    UpstreamCommands onLoad(const UpstreamId &upstream, const UpstreamLoad &load, TimePoint now);
    UpstreamCommands onProbeFailed(const UpstreamId &upstream, const std::string &reason,
                                   TimePoint now);

    /// A request of this node could not reach the upstream or broke off there.
    UpstreamCommands onRequestFailed(const UpstreamId &upstream, const std::string &reason,
                                     TimePoint now);
    /// A request of this node got an answer. Ends the penalty of a failed one.
    UpstreamCommands onRequestSucceeded(const UpstreamId &upstream, TimePoint now);

    /// Sets the number of this node's requests at the upstream. Constant.
    void setInFlight(const UpstreamId &upstream, int count);

    /// What this node observed as an owner since a version, oldest first and at most `limit` of it.
    /// Linear in what is returned.
    ObservationBatch observationsSince(std::int64_t version, std::size_t limit,
                                       TimePoint now) const;
    /// This node's own requests at upstreams that changed since `version`: all of them among few
    /// nodes, else those that `owner` probes. Leads up to inFlightVersion(). Linear in the changes.
    std::vector<InFlightReport> inFlightFor(const NodeId &owner, std::int64_t version) const;
    std::int64_t inFlightVersion() const { return m_inFlightChanges.version(); }
    std::int64_t version() const { return m_changes.version(); }

    /// Takes in what a node of the own data centre observed. Logarithmic.
    UpstreamCommands onObservation(const NodeId &from, const UpstreamObservation &observation,
                                   TimePoint now);
    void onInFlight(const NodeId &from, const InFlightReport &report);
    /// Drops what a node reported of its requests, when it is dead or started anew. Linear.
    void forgetReports(const NodeId &node);

    /// The notices still kept, and a digest over their ids, with which peers find out that one of
    /// them missed some.
    std::vector<LeavingNotice> notices() const;
    std::int64_t noticesDigest() const { return m_noticesDigest; }

    const UpstreamView *find(const UpstreamId &upstream) const;
    std::vector<UpstreamView> views() const;

    /// Calls visit(const UpstreamView &) for each upstream of a service and data centre that may
    /// take new work. Linear in the upstreams of the service there, without copies.
    template <typename Visit>
    void forEachCandidate(const ServiceId &service, const DataCentreId &dataCentre,
                          Visit &&visit) const
    {
        const auto group = m_byService.find({service, dataCentre});
        if (group == m_byService.end())
            return;
        for (const UpstreamId &upstream : group->second) {
            const UpstreamView &view = m_entries.at(upstream).m_view;
            if (view.isOpen())
                visit(view);
        }
    }

    /// Copies of the candidates, live ones first, then by name.
    std::vector<UpstreamView> candidates(const ServiceId &service,
                                         const DataCentreId &dataCentre) const;

    /// Where a request for a service may go: the own data centre unless its upstreams are gone or,
    /// if the setting allows, full; then others by their summaries.
    RouteScope routeScope(const ServiceId &service,
                          const std::map<DataCentreId, ReceivedSummary> &summaries,
                          TimePoint now) const;

    /// The own data centre's capacity by service, for its summary. Linear.
    std::vector<ServiceCapacity> capacity() const;

    /// The nodes that probe an upstream.
    const std::vector<NodeId> &ownersOf(const UpstreamId &upstream) const;

private:
    struct Entry
    {
        UpstreamView m_view;
        std::int64_t m_key = 0;
        std::vector<NodeId> m_owners;
        bool m_isOwned = false;
        bool m_isStatic = false;
        bool m_isListed = false;
        /// The last list that did not show it, in a row; 0 while listed.
        int m_missedLists = 0;
        TimePoint m_nextProbe;
        int m_failedProbes = 0;
        /// When the upstream last answered, to this node or to an owner who said so.
        TimePoint m_lastAnswer;
        TimePoint m_penaltyUntil;
        std::set<NodeId> m_suspectedBy;
        /// The VM itself goes: no incarnation on it gets new work.
        bool m_isVmLeaving = false;
        /// The process goes: it stays leaving until a higher incarnation answers. 0 means the first
        /// incarnation to answer.
        std::optional<Incarnation> m_leavingIncarnation;
        /// Held back since it appeared right after its zone's notice; the clock's start if not.
        TimePoint m_heldUntil;
        UpstreamLoad m_sharedLoad;
        UpstreamState m_sharedState = UpstreamState::Gone;
        TimePoint m_sharedAt;
        TimePoint m_firstOwnerSpokeAt;
        std::unordered_map<NodeId, int> m_inFlightOf;
    };

    struct KeptNotice
    {
        LeavingNotice m_notice;
        TimePoint m_receivedAt;
        /// Until when a VM of the zone that shows up is held back.
        TimePoint m_heldUntil;
        TimePoint m_expiresAt;
    };

    using ServiceGroup = std::pair<ServiceId, DataCentreId>;

    Entry &insert(const UpstreamDeclaration &declaration, TimePoint now);
    void remove(const UpstreamId &upstream);
    void redeclare(Entry &entry, const UpstreamDeclaration &declaration);
    void takeMissing(bool isMassive, const std::set<UpstreamId> &listed, TimePoint now,
                     UpstreamCommands &commands);
    void chooseOwners(Entry &entry);
    void setState(Entry &entry, UpstreamState state, std::string reason, TimePoint now,
                  UpstreamCommands &commands);
    void setLeaving(Entry &entry, const LeavingNotice &notice, TimePoint now,
                    UpstreamCommands &commands);
    void applyKeptNotices(Entry &entry, TimePoint now, UpstreamCommands &commands);
    void applyNotice(const LeavingNotice &notice, TimePoint now, UpstreamCommands &commands);
    bool takeLoad(Entry &entry, const UpstreamLoad &load, TimePoint observedAt);
    void reviveIfRestarted(Entry &entry, TimePoint now, UpstreamCommands &commands);
    void reviveIfHeard(Entry &entry, TimePoint now, UpstreamCommands &commands);
    void shareIfDue(Entry &entry, TimePoint now);
    void share(Entry &entry, TimePoint now);
    void probeIfDue(Entry &entry, Duration interval, TimePoint now, UpstreamCommands &commands);
    void settle(Entry &entry, TimePoint now, WallMillis wallNow, UpstreamCommands &commands);
    void settleLeaving(Entry &entry, TimePoint now, WallMillis wallNow, UpstreamCommands &commands);
    void settleOpen(Entry &entry, TimePoint now, UpstreamCommands &commands);
    void forgetOld(TimePoint now);
    bool isSmall() const;
    Duration probeInterval() const;
    void sumInFlight(Entry &entry);
    Entry *entryOf(const UpstreamId &upstream);
    Entry *entryOf(std::int64_t key);
    bool isOwnDataCentre(const Entry &entry) const;

    UpstreamTableSettings m_settings;
    std::unordered_map<UpstreamId, Entry> m_entries;
    std::map<ServiceGroup, std::set<UpstreamId>> m_byService;
    std::unordered_map<std::int64_t, UpstreamId> m_byKey;
    std::map<std::string, KeptNotice> m_notices;
    /// Ids of notices that ran out, with the time to forget them: a peer that kept one longer must
    /// not bring it back.
    std::map<std::string, TimePoint> m_expiredNotices;
    std::int64_t m_noticesDigest = 0;
    std::vector<NodeId> m_nodes;
    std::size_t m_ownedCount = 0;
    TimePoint m_lastSweep;
    ChangeLog<std::int64_t> m_changes;
    ChangeLog<std::int64_t> m_inFlightChanges;
};

} // namespace gypsumdale
