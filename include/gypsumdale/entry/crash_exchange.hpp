#pragma once

#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_crashes.hpp>
#include <gypsumdale/entry/peer_table.hpp>
#include <gypsumdale/serving/crash_quarantine.hpp>
#include <gypsumdale/serving/crash_suspects.hpp>

#include <cstddef> // size_t
#include <functional> // function
#include <map> // map
#include <set> // set
#include <string> // string
#include <string_view> // string_view
#include <utility> // move
#include <vector> // vector

namespace gypsumdale::entrywire {
class EndAnswer;
class EndReport;
class EntryExchange;
class ProofQuestion;
} // namespace gypsumdale::entrywire

namespace gypsumdale {

/// Finds out which upstreams have ended under which requests, together with the peers, and tells
/// them which requests are to be rejected. Used on the control thread.
///
/// Where runs broke off, this VM tries a connection to their upstream. If that is refused, it tells
/// its peers, who try one as well, as only this VM's path may be cut, and say what they know of the
/// requests that were under way.
class CrashExchange
{
public:
    /// Number of VMs that are told of an end in a large fleet. They follow from the service, so
    /// that all its ends are known to the same ones.
    static constexpr std::size_t toldVms = 6;

    CrashExchange(EntryContext &context, const PeerTable &table)
        : m_context(context)
        , m_table(table)
    {}

    /// Called when requests are to be rejected, or no longer.
    using QuarantineChanged = std::function<void(const std::vector<QuarantineEntry> &)>;
    void onQuarantineChanged(QuarantineChanged changed)
    {
        m_quarantineChanged = std::move(changed);
    }

    /// Takes a run that broke off. Doesn't wait.
    void report(const BrokenRun &run);

    /// Takes the elements of a run that has delivered something although some were suspected. May
    /// suspend the calling fiber.
    void recordProof(const ServiceId &service, const CrashElements &elements);

    /// Answers a peer's report of an end. May suspend the calling fiber.
    entrywire::EntryExchange answerReport(const entrywire::EndReport &report);

    /// Answers which elements have been proved harmless here.
    entrywire::EntryExchange answerQuestion(const entrywire::ProofQuestion &question);

    /// Takes over what a peer rejects. `peer` is its name, empty if it isn't known.
    void merge(const std::vector<QuarantineEntry> &told, const std::string &peer);

    /// Returns what is rejected, or was.
    std::vector<QuarantineEntry> entries() const { return m_quarantine.entries(); }

    /// Ends the entry with an id, by hand, at all VMs. Returns whether there is one.
    bool lift(std::string_view id);

    /// Drops what is old, and settles which VM may try what is due. To be called regularly.
    void update();

private:
    /// Runs of one upstream's process that broke off, until they are judged.
    using BrokenRuns = std::vector<BrokenRun>;
    /// What is known of an end.
    struct Finding
    {
        bool m_isConfirmed = false;
        bool m_isDenied = false;
        /// No peer answered, though there may be some.
        bool m_isAlone = false;
        CrashKnowledge m_knowledge;
        UpstreamEnd m_end;

        bool isEnd() const
        {
            return !m_isDenied && (m_isConfirmed || (m_isAlone && !m_knowledge.m_isCutOff));
        }
    };

    void judge(const UpstreamProcess &process);
    void judgeEnd(const BrokenRuns &runs);
    void askAboutEnd(const BrokenRun &run, Finding &finding);
    void take(const entrywire::EndAnswer &answer, Finding &finding);
    void tellEnd(const UpstreamEnd &end);
    void tellQuarantine();
    std::vector<KnownPeerPointer> toldPeers(const ServiceId &service) const;
    void logRuns(const BrokenRuns &runs);
    void renewExpired(const UpstreamEnd &end, bool isAlone);
    void findCauses(const ServiceId &service, bool isAlone);
    CrashElements provenAnywhere(const ServiceId &service, const CrashElements &elements);
    void quarantine(const ServiceId &service, const CrashElements &elements, bool isAlone);
    bool isKnownDead(const BrokenRun &run);
    CrashKnowledge ownKnowledge(const ServiceId &service, const CrashElements &elements);
    int findingOn(const UpstreamEnd &end, const std::string &address) const;
    void publish();

    EntryContext &m_context;
    const PeerTable &m_table;
    std::map<UpstreamProcess, BrokenRuns> m_broken;
    /// When a refused connection to a process was last judged.
    std::map<UpstreamProcess, TimePoint> m_refusedAt;
    CrashSuspects m_suspects;
    CrashQuarantine m_quarantine;
    /// Services whose ends are being looked at.
    std::set<ServiceId> m_examined;
    QuarantineChanged m_quarantineChanged;
};

} // namespace gypsumdale
