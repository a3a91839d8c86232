#include <gypsumdale/entry/crash_exchange.hpp>
#include <gypsumdale/entry/peer_wire.hpp>

#include <entry/peer_calls.hpp>
#include <entry/peer_ranking.hpp>

#include <entry_constants.h>

#include <algorithm> // any_of, min
#include <utility> // move

namespace gypsumdale {

namespace {

/// Time in which all runs of an upstream that ended break off.
constexpr Duration collectTime = std::chrono::milliseconds(15);
/// Time in which the reports of other VMs about the same end arrive.
constexpr Duration settleTime = std::chrono::milliseconds(30);
constexpr Duration connectTimeout = std::chrono::milliseconds(100);
/// Time between two judgements of one upstream's refused connections.
constexpr Duration refusalInterval = std::chrono::seconds(5);
/// Longest wait for all peers' answers, while a client may wait.
constexpr Duration inquiryTimeout = std::chrono::milliseconds(200);
/// Limit of upstreams that are judged at the same time.
constexpr std::size_t maxJudged = 32;

/// Event of the log where a message can't be sent to a peer.
constexpr LogEvent notSent("crash-news-not-sent");

PeerQuestion newQuestion()
{
    return {{}, inquiryTimeout, nullptr, notSent};
}

CrashElements elementsOf(const UpstreamEnd &end)
{
    CrashElements elements;
    for (const SuspectRun &run : end.m_runs)
        elements.insert(run.m_elements.begin(), run.m_elements.end());
    return elements;
}

/// Returns the end of the upstream at which some runs broke off.
template <typename Runs>
UpstreamEnd endOf(const Runs &runs)
{
    UpstreamEnd end;
    end.m_process = runs.front().m_process;
    end.m_service = runs.front().m_service;
    end.m_endedAt = runs.front().m_brokenAt;
    for (const auto &run : runs) {
        end.m_endedAt = std::min(end.m_endedAt, run.m_brokenAt);
        if (!run.m_suspect.m_elements.empty())
            end.m_runs.push_back(run.m_suspect);
    }
    return end;
}

} // namespace

void CrashExchange::report(const BrokenRun &run)
{
    const bool isNews = m_broken.contains(run.m_process) || !run.m_suspect.m_elements.empty()
                        || !isKnownDead(run);
    const bool hasRoom = m_broken.contains(run.m_process) || m_broken.size() < maxJudged;
    if (!hasRoom)
        m_context.m_metrics.add(Counter::UpstreamEndsUnjudged);
    if (!isNews || !hasRoom) {
        m_context.m_trafficLoop.spawn([this, request = run.m_request] {
            m_context.m_traffic.crashes().endJudgement(request);
        });
        return;
    }
    BrokenRuns &runs = m_broken[run.m_process];
    runs.push_back(run);
    if (runs.size() == 1)
        m_context.m_loop.spawn([this, process = run.m_process] { judge(process); });
}

/// Returns whether a refused connection, or the end of a run that had delivered something, says
/// nothing new.
bool CrashExchange::isKnownDead(const BrokenRun &run)
{
    const TimePoint now = m_context.now();
    std::erase_if(m_refusedAt,
                  [now](const auto &entry) { return now - entry.second > refusalInterval; });
    return m_suspects.isRecorded(run.m_process)
           || !m_refusedAt.try_emplace(run.m_process, now).second;
}

/// Judges the runs that broke off at one upstream at about the same time.
void CrashExchange::judge(const UpstreamProcess &process)
{
    sleepFiber(collectTime);
    const BrokenRuns runs = m_broken[process];
    if (HttpClient::tryConnect(runs.front().m_endpoint, connectTimeout) == ConnectOutcome::Refused)
        judgeEnd(runs);
    const BrokenRuns all = std::move(m_broken[process]);
    m_broken.erase(process);
    m_context.m_trafficLoop.spawn([this, all] {
        for (const BrokenRun &run : all)
            m_context.m_traffic.crashes().endJudgement(run.m_request);
    });
}

/// Judges the runs of an upstream that this VM can't connect to any more.
void CrashExchange::judgeEnd(const BrokenRuns &runs)
{
    Finding finding;
    finding.m_end = endOf(runs);
    const ServiceId service = finding.m_end.m_service;
    finding.m_knowledge = ownKnowledge(service, elementsOf(finding.m_end));
    removeElements(finding.m_end, finding.m_knowledge.m_proven);
    askAboutEnd(runs.front(), finding);
    const UpstreamEnd &end = finding.m_end;
    const bool isEnd = finding.isEnd();
    m_context.m_log.warning(
            "upstream-ended",
            {end.m_process.m_id,
             service,
             {LogField::Count, end.m_runs.size()},
             {LogField::Outcome, finding.m_isDenied ? "denied" : (isEnd ? "confirmed" : "unknown")},
             {LogField::AgeMillis, toMillis(m_context.now() - end.m_endedAt)}});
    if (!isEnd)
        return;
    m_context.m_metrics.add(Counter::UpstreamsEnded);
    m_suspects.record(end, m_context.now());
    m_suspects.clear(finding.m_knowledge.m_proven);
    if (!finding.m_isAlone)
        tellEnd(end);
    logRuns(runs);
    renewExpired(end, finding.m_isAlone);
    sleepFiber(settleTime);
    findCauses(service, finding.m_isAlone);
    publish();
}

void CrashExchange::logRuns(const BrokenRuns &runs)
{
    for (const BrokenRun &run : runs) {
        if (run.m_suspect.m_elements.empty())
            continue;
        m_context.m_log.info("run-ended-upstream",
                             {run.m_request,
                              run.m_account,
                              run.m_process.m_id,
                              {LogField::Route, run.m_route},
                              {LogField::State, run.m_suspect.m_hasBegun ? "begun" : "waiting"},
                              {LogField::Text, textOf(run.m_suspect.m_elements)}});
    }
}

/// Rejects again, for longer, what has ended an upstream in its trial.
void CrashExchange::renewExpired(const UpstreamEnd &end, bool isAlone)
{
    for (const CrashElements &cause : m_quarantine.causes(end.m_service)) {
        const bool isCause =
                std::any_of(end.m_runs.begin(), end.m_runs.end(), [&cause](const SuspectRun &run) {
                    return holdsAll(run.m_elements, cause);
                });
        if (isCause && m_quarantine.isExpired(end.m_service, cause, m_context.now()))
            quarantine(end.m_service, cause, isAlone);
    }
}

/// Looks for causes of a service's ends, until nothing more is found. What was proved harmless at
/// any VM is none.
void CrashExchange::findCauses(const ServiceId &service, bool isAlone)
{
    if (!m_examined.insert(service).second)
        return;
    while (const auto cause = m_suspects.findCause(service, m_quarantine.causes(service))) {
        const CrashElements proven = provenAnywhere(service, *cause);
        if (proven.empty())
            quarantine(service, *cause, isAlone);
        else
            m_suspects.clear(proven);
    }
    m_examined.erase(service);
}

CrashElements CrashExchange::provenAnywhere(const ServiceId &service, const CrashElements &elements)
{
    CrashElements proven = ownKnowledge(service, elements).m_proven;
    PeerQuestion question = newQuestion();
    question.m_message.__isset.proofQuestion = true;
    question.m_message.proofQuestion.serviceName = service.text();
    question.m_message.proofQuestion.elements = encodeElements(elements);
    const auto peers = m_table.respondingPeers(m_context.now());
    for (const auto &answer : askPeers(m_context, peers, question).m_answers)
        proven.merge(decodeElements(answer.proofAnswer.proven));
    return commonElements(proven, elements);
}

void CrashExchange::quarantine(const ServiceId &service, const CrashElements &elements,
                               bool isAlone)
{
    const QuarantineEntry entry = m_quarantine.add(service, elements, isAlone, m_context.now());
    if (const std::uint64_t dropped = m_quarantine.takeDropped())
        m_context.m_log.warning("quarantine-dropped", {{LogField::Count, dropped}});
    m_context.m_log.warning(
            "requests-quarantined",
            {service,
             {LogField::Text, textOf(elements)},
             {LogField::Count, m_suspects.endCount(elements)},
             {LogField::Attempt, entry.m_times},
             {LogField::State, entry.m_isLocal ? "here" : "everywhere"},
             {LogField::RetryAfterMillis, toMillis(entry.m_until - m_context.now())}});
    publish();
    tellQuarantine();
}

void CrashExchange::recordProof(const ServiceId &service, const CrashElements &elements)
{
    m_suspects.clear(elements);
    if (m_quarantine.lift(elements) > 0) {
        m_context.m_log.info(
                "quarantine-lifted",
                {service, {LogField::Text, textOf(elements)}, {LogField::Reason, "delivered"}});
        tellQuarantine();
    }
    findCauses(service, false);
    publish();
}

bool CrashExchange::lift(std::string_view id)
{
    const QuarantineEntry *entry = m_quarantine.liftById(id);
    if (entry == nullptr)
        return false;
    m_suspects.clear(entry->m_elements);
    m_context.m_log.warning("quarantine-lifted", {entry->m_service,
                                                  {LogField::Text, textOf(entry->m_elements)},
                                                  {LogField::Reason, "by-hand"}});
    publish();
    tellQuarantine();
    return true;
}

CrashKnowledge CrashExchange::ownKnowledge(const ServiceId &service, const CrashElements &elements)
{
    return m_context.m_trafficLoop.call(
            [&] { return m_context.m_traffic.crashKnowledge(service, elements); });
}

/// Returns the peers that are told of a service's ends.
std::vector<KnownPeerPointer> CrashExchange::toldPeers(const ServiceId &service) const
{
    if (m_table.pace(m_context.now()).isSpreadOut())
        return rankedPeers(m_context, m_table, service.text(), toldVms);
    return m_table.respondingPeers(m_context.now());
}

/// Asks peers whether an upstream has ended, and what they know of the requests that were under
/// way. A VM to which none answers is alone.
void CrashExchange::askAboutEnd(const BrokenRun &run, Finding &finding)
{
    const UpstreamEnd &end = finding.m_end;
    PeerQuestion question = newQuestion();
    question.m_message.__isset.endReport = true;
    question.m_message.endReport.upstreamEnd = encodeEnd(end, m_context.now());
    question.m_message.endReport.address =
            textOf({run.m_endpoint.m_address, run.m_endpoint.m_port});
    const auto answers = askPeers(m_context, toldPeers(end.m_service), question).m_answers;
    finding.m_isAlone = answers.empty();
    for (const entrywire::EntryExchange &answer : answers)
        take(answer.endAnswer, finding);
}

void CrashExchange::take(const entrywire::EndAnswer &answer, Finding &finding)
{
    finding.m_isConfirmed |= answer.finding == entrywire::g_entry_constants.END_CONFIRMED;
    finding.m_isDenied |= answer.finding == entrywire::g_entry_constants.END_DENIED;
    finding.m_knowledge.m_proven.merge(decodeElements(answer.proven));
    for (const auto &told : answer.ends) {
        const UpstreamEnd end = decodeEnd(told, m_context.now());
        if (end.m_process == finding.m_end.m_process)
            finding.m_end.m_runs.insert(finding.m_end.m_runs.end(), end.m_runs.begin(),
                                        end.m_runs.end());
        else
            m_suspects.record(end, m_context.now());
    }
}

/// Tells peers of an end that is confirmed.
void CrashExchange::tellEnd(const UpstreamEnd &end)
{
    entrywire::EntryExchange message;
    message.__isset.endReport = true;
    message.endReport.upstreamEnd = encodeEnd(end, m_context.now());
    message.endReport.isConfirmed = true;
    tellPeers(m_context, toldPeers(end.m_service), message, notSent);
}

void CrashExchange::tellQuarantine()
{
    entrywire::EntryExchange message;
    message.__isset.quarantine = true;
    message.quarantine = encodeQuarantine(m_quarantine.sharedEntries(), m_context.now());
    tellPeers(m_context, m_table.respondingPeers(m_context.now()), message, notSent);
}

entrywire::EntryExchange CrashExchange::answerReport(const entrywire::EndReport &report)
{
    const UpstreamEnd end = decodeEnd(report.upstreamEnd, m_context.now());
    if (report.isConfirmed) {
        m_suspects.record(end, m_context.now());
        m_context.m_loop.spawn([this, service = end.m_service] {
            sleepFiber(settleTime);
            findCauses(service, false);
            publish();
        });
        return entrywire::EntryExchange();
    }
    const CrashElements elements = elementsOf(end);
    entrywire::EntryExchange message;
    message.__isset.endAnswer = true;
    entrywire::EndAnswer &answer = message.endAnswer;
    answer.finding = findingOn(end, report.address);
    const CrashElements proven = ownKnowledge(end.m_service, elements).m_proven;
    m_suspects.clear(proven);
    answer.proven = encodeElements(proven);
    for (const UpstreamEnd &known : m_suspects.endsWith(elements))
        answer.ends.push_back(encodeEnd(known, m_context.now()));
    if (const auto own = m_broken.find(end.m_process); own != m_broken.end())
        answer.ends.push_back(encodeEnd(endOf(own->second), m_context.now()));
    return message;
}

/// Returns what this VM finds of an upstream's process that may have ended.
int CrashExchange::findingOn(const UpstreamEnd &end, const std::string &address) const
{
    const entrywire::entryConstants &findings = entrywire::g_entry_constants;
    if (m_suspects.isRecorded(end.m_process))
        return findings.END_CONFIRMED;
    switch (HttpClient::tryConnect(endpointOf(address), connectTimeout)) {
    case ConnectOutcome::Connected:
        return findings.END_DENIED;
    case ConnectOutcome::Refused:
        return findings.END_CONFIRMED;
    case ConnectOutcome::Unanswered:
        break;
    }
    return findings.END_UNKNOWN;
}

entrywire::EntryExchange CrashExchange::answerQuestion(const entrywire::ProofQuestion &question)
{
    const ServiceId service(question.serviceName);
    entrywire::EntryExchange message;
    message.__isset.proofAnswer = true;
    message.proofAnswer.proven =
            encodeElements(ownKnowledge(service, decodeElements(question.elements)).m_proven);
    return message;
}

void CrashExchange::merge(const std::vector<QuarantineEntry> &told, const std::string &peer)
{
    bool isNews = false;
    for (const QuarantineEntry &entry : told) {
        if (!m_quarantine.merge(entry, m_context.now()))
            continue;
        isNews = true;
        if (entry.m_isLifted)
            m_suspects.clear(entry.m_elements);
        m_context.m_log.warning(
                "quarantine-learned",
                {entry.m_service,
                 {LogField::Text, textOf(entry.m_elements)},
                 {LogField::Peer, peer},
                 {LogField::State, entry.m_isLifted ? "lifted" : "rejected"},
                 {LogField::RetryAfterMillis, toMillis(entry.m_until - m_context.now())}});
    }
    if (isNews)
        publish();
}

void CrashExchange::update()
{
    m_quarantine.expire(m_context.now());
    if (!m_quarantine.entries().empty())
        publish();
}

/// Passes what is suspected and rejected to the traffic thread, and what is rejected to whoever
/// tells the peers. What is due to be tried is tried by the VM that ranks first for it.
void CrashExchange::publish()
{
    std::vector<QuarantineEntry> entries = m_quarantine.entries();
    for (QuarantineEntry &entry : entries) {
        entry.m_isTrialHere = rankedPeers(m_context, m_table, textOf(entry.m_elements), 1).empty();
    }
    if (m_quarantineChanged)
        m_quarantineChanged(m_quarantine.sharedEntries());
    m_context.m_metrics.set(Gauge::QuarantinedRequests, static_cast<std::int64_t>(entries.size()));
    m_context.m_trafficLoop.spawn([this, suspected = m_suspects.elements(), entries] {
        m_context.m_traffic.crashes().set(suspected, entries);
    });
}

} // namespace gypsumdale
