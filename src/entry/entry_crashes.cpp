#include <gypsumdale/entry/entry_crashes.hpp>

#include <algorithm> // all_of, any_of, max

namespace gypsumdale {

namespace {

/// Time for which a delivered answer proves that its elements don't crash their upstreams: the
/// upstreams' software may change.
constexpr Duration proofRetention = std::chrono::seconds(60);
/// A proof is renewed at most this often.
constexpr Duration proofRenewal = std::chrono::seconds(5);
constexpr std::size_t maxProofs = 20000;
/// Time after which a trial that told nothing may be made again.
constexpr Duration trialInterval = std::chrono::seconds(30);

} // namespace

void EntryCrashes::recordBroken(const BrokenRun &run)
{
    if (!m_report)
        return;
    ++m_judged[run.m_request];
    m_report(run);
}

void EntryCrashes::endJudgement(const RequestId &request)
{
    const auto found = m_judged.find(request);
    if (found != m_judged.end() && --found->second == 0)
        m_judged.erase(found);
}

void EntryCrashes::set(CrashElements suspected, std::vector<QuarantineEntry> entries)
{
    m_suspected = std::move(suspected);
    m_entries = std::move(entries);
    std::erase_if(m_trials, [this](const auto &trial) {
        return m_clock.now() - trial.second > trialInterval;
    });
}

std::vector<const QuarantineEntry *> EntryCrashes::entriesFor(const ServiceId &service,
                                                              const CrashElements &elements) const
{
    std::vector<const QuarantineEntry *> result;
    for (const QuarantineEntry &entry : m_entries) {
        if (!entry.m_isLifted && entry.m_service == service && holdsAll(elements, entry.m_elements))
            result.push_back(&entry);
    }
    return result;
}

std::optional<Duration> EntryCrashes::rejectedFor(const ServiceId &service,
                                                  const CrashElements &elements) const
{
    const std::vector<const QuarantineEntry *> entries = entriesFor(service, elements);
    if (entries.empty())
        return std::nullopt;
    Duration longest{};
    for (const QuarantineEntry *entry : entries)
        longest = std::max(longest, entry->m_until - m_clock.now());
    return longest;
}

bool EntryCrashes::takeTrial(const ServiceId &service, const CrashElements &elements)
{
    const std::vector<const QuarantineEntry *> entries = entriesFor(service, elements);
    const bool mayTry =
            std::all_of(entries.begin(), entries.end(), [this](const QuarantineEntry *entry) {
                return entry->m_isTrialHere && entry->m_until <= m_clock.now()
                       && !m_trials.contains(entry->m_elements);
            });
    if (!mayTry)
        return false;
    for (const QuarantineEntry *entry : entries)
        m_trials[entry->m_elements] = m_clock.now();
    return true;
}

void EntryCrashes::recordProof(const ServiceId &service, const CrashElements &elements)
{
    const TimePoint now = m_clock.now();
    for (const CrashElement &element : elements) {
        const ProofKey key{service, element};
        const auto [proof, isNew] = m_proofs.try_emplace(key, now);
        if (!isNew && now - proof->second < proofRenewal)
            continue;
        proof->second = now;
        m_proofOrder.emplace_back(now, key);
    }
    dropOldProofs();
    const bool isNews = !commonElements(elements, m_suspected).empty()
                        || !entriesFor(service, elements).empty();
    if (isNews && m_proven)
        m_proven(service, elements);
}

CrashElements EntryCrashes::provenOf(const ServiceId &service, const CrashElements &elements) const
{
    CrashElements proven;
    for (const CrashElement &element : elements) {
        const auto found = m_proofs.find({service, element});
        if (found != m_proofs.end() && m_clock.now() - found->second <= proofRetention)
            proven.insert(element);
    }
    return proven;
}

void EntryCrashes::dropOldProofs()
{
    while (m_proofOrder.size() > maxProofs
           || (!m_proofOrder.empty()
               && m_clock.now() - m_proofOrder.front().first > proofRetention)) {
        const auto &[at, key] = m_proofOrder.front();
        const auto found = m_proofs.find(key);
        if (found != m_proofs.end() && found->second == at)
            m_proofs.erase(found);
        m_proofOrder.pop_front();
    }
}

} // namespace gypsumdale
