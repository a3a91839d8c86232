#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/runtime/http_client.hpp>
#include <gypsumdale/serving/crash_elements.hpp>
#include <gypsumdale/serving/crash_quarantine.hpp>
#include <gypsumdale/serving/crash_suspects.hpp>

#include <cstddef> // size_t
#include <deque> // deque
#include <functional> // function
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <utility> // move, pair
#include <vector> // vector

namespace gypsumdale {

/// A run that broke off, or a connection that was refused. Its upstream may have ended.
struct BrokenRun
{
    UpstreamProcess m_process;
    ServiceId m_service;
    Endpoint m_endpoint;
    RequestId m_request;
    AccountId m_account;
    std::string m_route;
    TimePoint m_brokenAt{};
    /// What may be the cause. Empty for a refused connection, and for a run that had delivered
    /// something.
    SuspectRun m_suspect;
};

/// What the traffic thread knows of elements that may be the cause of an upstream's end, and of its
/// service.
struct CrashKnowledge
{
    /// Those with which a run has delivered something lately.
    CrashElements m_proven;
    /// This VM reaches no upstream of the service.
    bool m_isCutOff = false;
};

/// Requests that crash their upstreams, as known to one VM's traffic thread: which ones are
/// rejected, and which have to wait until it is known whether their upstream has ended.
class EntryCrashes
{
public:
    explicit EntryCrashes(const Clock &clock)
        : m_clock(clock)
    {}

    /// Passes a broken run to the control thread. Must not wait.
    using Report = std::function<void(const BrokenRun &)>;
    /// Passes on that a run has delivered something although it was suspected. Must not wait.
    using Proven = std::function<void(const ServiceId &, const CrashElements &)>;
    void connect(Report report, Proven proven)
    {
        m_report = std::move(report);
        m_proven = std::move(proven);
    }

    /// Reports a run that broke off, and counts it as being judged.
    void recordBroken(const BrokenRun &run);
    /// Ends the judgement of a request's broken run.
    void endJudgement(const RequestId &request);
    /// Returns whether a request's next run has to wait: an upstream may just have ended under it.
    bool mustWait(const RequestId &request) const { return m_judged.contains(request); }

    /// Replaces the elements that may be the cause of ends, and those that were found to be.
    void set(CrashElements suspected, std::vector<QuarantineEntry> entries);

    /// Returns whether a request may have to be rejected, so that its elements are needed.
    bool hasQuarantine() const { return !m_entries.empty(); }
    /// Returns for how long a request is rejected at least, or nothing if it isn't. Complexity:
    /// linear in the entries.
    std::optional<Duration> rejectedFor(const ServiceId &service,
                                        const CrashElements &elements) const;
    /// Takes the one trial that a rejected request may make at a time. Returns whether it may.
    /// Complexity: linear in the entries.
    bool takeTrial(const ServiceId &service, const CrashElements &elements);

    /// Records that a run has delivered something, which proves that none of its elements crashes
    /// its upstreams.
    void recordProof(const ServiceId &service, const CrashElements &elements);
    /// Returns the elements with which a run has delivered something lately. Complexity: n log n.
    CrashElements provenOf(const ServiceId &service, const CrashElements &elements) const;

private:
    using ProofKey = std::pair<ServiceId, CrashElement>;

    std::vector<const QuarantineEntry *> entriesFor(const ServiceId &service,
                                                    const CrashElements &elements) const;
    void dropOldProofs();

    const Clock &m_clock;
    Report m_report;
    Proven m_proven;
    /// Number of broken runs that are being judged, by request.
    std::map<RequestId, int> m_judged;
    CrashElements m_suspected;
    std::vector<QuarantineEntry> m_entries;
    /// When the last trial of an entry began.
    std::map<CrashElements, TimePoint> m_trials;
    std::map<ProofKey, TimePoint> m_proofs;
    /// The same, the oldest first. An element stands here once for each time it was renewed.
    std::deque<std::pair<TimePoint, ProofKey>> m_proofOrder;
};

} // namespace gypsumdale
