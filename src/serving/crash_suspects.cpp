#include <gypsumdale/serving/crash_suspects.hpp>

#include <algorithm> // any_of, find, find_if, min, min_element, sort
#include <utility> // move

namespace gypsumdale {

namespace {

/// Time for which an end counts.
constexpr Duration retention = std::chrono::seconds(120);
constexpr std::size_t maxEnds = 256;
constexpr std::size_t maxRunsOfEnd = 64;
/// Ends within this time are one moment.
constexpr Duration sameMoment = std::chrono::milliseconds(20);
/// Time before the first end of a cause from which on other ends speak against it.
constexpr Duration quietBefore = std::chrono::seconds(2);

/// Number of ends that a part of a known cause explains beyond those of the whole, from which on it
/// is the cause.
constexpr std::size_t minEndsBeyond = 2;
/// Least expected number of caused ends from which a single request is the cause.
constexpr double minRequestWeight = 2;

/// Joins a report of an end with what is known of it.
void join(UpstreamEnd &known, const UpstreamEnd &end)
{
    known.m_endedAt = std::min(known.m_endedAt, end.m_endedAt);
    for (const SuspectRun &run : end.m_runs) {
        const auto same = std::find_if(
                known.m_runs.begin(), known.m_runs.end(),
                [&run](const SuspectRun &other) { return other.m_elements == run.m_elements; });
        if (same != known.m_runs.end())
            same->m_hasBegun |= run.m_hasBegun;
        else if (known.m_runs.size() < maxRunsOfEnd)
            known.m_runs.push_back(run);
    }
}

} // namespace

void removeElements(UpstreamEnd &end, const CrashElements &proven)
{
    for (SuspectRun &run : end.m_runs) {
        std::erase_if(run.m_elements,
                      [&proven](const CrashElement &element) { return proven.contains(element); });
    }
    std::erase_if(end.m_runs, [](const SuspectRun &run) { return run.m_elements.empty(); });
}

void CrashSuspects::record(const UpstreamEnd &end, TimePoint now)
{
    std::erase_if(m_ends,
                  [now](const auto &entry) { return now - entry.second.m_endedAt > retention; });
    const auto [entry, isNew] = m_ends.try_emplace(end.m_process, end);
    if (!isNew)
        join(entry->second, end);
    if (m_ends.size() <= maxEnds)
        return;
    const auto oldest =
            std::min_element(m_ends.begin(), m_ends.end(), [](const auto &left, const auto &right) {
                return left.second.m_endedAt < right.second.m_endedAt;
            });
    m_ends.erase(oldest);
}

void CrashSuspects::clear(const CrashElements &proven)
{
    for (auto &[process, end] : m_ends)
        removeElements(end, proven);
}

std::vector<UpstreamEnd> CrashSuspects::endsWith(const CrashElements &elements) const
{
    std::vector<UpstreamEnd> result;
    for (const auto &[process, end] : m_ends) {
        const bool isConcerned =
                std::any_of(end.m_runs.begin(), end.m_runs.end(), [&](const SuspectRun &run) {
                    return !commonElements(run.m_elements, elements).empty();
                });
        if (isConcerned)
            result.push_back(end);
    }
    return result;
}

CrashElements CrashSuspects::elements() const
{
    CrashElements result;
    for (const auto &[process, end] : m_ends) {
        for (const SuspectRun &run : end.m_runs)
            result.insert(run.m_elements.begin(), run.m_elements.end());
    }
    return result;
}

std::size_t CrashSuspects::endCount(const CrashElements &elements) const
{
    Ends ends;
    for (const auto &[process, end] : m_ends) {
        if (isExplained(end, elements))
            ends.push_back(&end);
    }
    return moments(ends);
}

/// Covers the ends by explanations, the one with the most ends first. What they leave open speaks
/// against them: some ends then have another cause, and what was at some of the others may have
/// been there by chance.
std::optional<CrashElements> CrashSuspects::findCause(const ServiceId &service,
                                                      const std::vector<CrashElements> &known) const
{
    Ends open = endsOf(service);
    if (auto cause = narrowed(open, known))
        return cause;
    std::erase_if(open, [&known](const UpstreamEnd *end) {
        return std::any_of(known.begin(), known.end(),
                           [end](const CrashElements &cause) { return isExplained(*end, cause); });
    });
    std::vector<Explanation> found;
    while (auto best = bestExplanation(open)) {
        std::erase_if(open, [&best](const UpstreamEnd *end) {
            return isExplained(*end, best->m_elements);
        });
        found.push_back(std::move(*best));
    }
    for (const Explanation &explanation : found) {
        Ends unexplained = open;
        const TimePoint from = explanation.m_ends.front()->m_endedAt - quietBefore;
        std::erase_if(unexplained,
                      [from](const UpstreamEnd *end) { return end->m_endedAt < from; });
        const std::size_t required = requiredEnds(explanation, moments(unexplained));
        if (!explanation.m_hasRival && explanation.m_count >= required)
            return explanation.m_elements;
    }
    return std::nullopt;
}

/// Returns the number of ends from which an explanation is found to be the cause. One request may
/// be at several ends by chance, as its attempts follow each other to upstreams that are about to
/// end.
std::size_t CrashSuspects::requiredEnds(const Explanation &explanation, std::size_t unexplained)
{
    const bool isChance =
            holdsWholeRequest(explanation.m_elements) && explanation.m_weight < minRequestWeight;
    if (isChance || explanation.m_begunCount < minEnds)
        return manyEnds;
    return std::min(manyEnds, minEnds + unexplained);
}

/// Returns a part of a known cause that alone explains more ends than the whole: there are runs
/// that hold only this part of it, or the rest was proved harmless.
std::optional<CrashElements> CrashSuspects::narrowed(const Ends &ends,
                                                     const std::vector<CrashElements> &known) const
{
    for (const CrashElements &cause : known) {
        for (const CrashElement &element : cause) {
            const CrashElements common = commonOf(element, ends);
            const bool isPart = !common.empty() && common != cause && holdsAll(cause, common);
            const bool isKnown = std::find(known.begin(), known.end(), common) != known.end();
            if (!isPart || isKnown)
                continue;
            const Explanation explanation = explanationOf(element, ends);
            Ends beyond = explanation.m_ends;
            std::erase_if(beyond,
                          [&cause](const UpstreamEnd *end) { return isExplained(*end, cause); });
            if (explanation.m_count >= minEnds && moments(beyond) >= minEndsBeyond)
                return common;
        }
    }
    return std::nullopt;
}

/// Returns the runs at an end that may be its cause: those whose answer had begun, if there are
/// any.
std::vector<const SuspectRun *> CrashSuspects::suspectsOf(const UpstreamEnd &end)
{
    const bool hasBegun = std::any_of(end.m_runs.begin(), end.m_runs.end(),
                                      [](const SuspectRun &run) { return run.m_hasBegun; });
    std::vector<const SuspectRun *> suspects;
    for (const SuspectRun &run : end.m_runs) {
        if (run.m_hasBegun == hasBegun)
            suspects.push_back(&run);
    }
    return suspects;
}

bool CrashSuspects::isExplained(const UpstreamEnd &end, const CrashElements &cause)
{
    const std::vector<const SuspectRun *> suspects = suspectsOf(end);
    return std::any_of(suspects.begin(), suspects.end(), [&cause](const SuspectRun *run) {
        return holdsAll(run->m_elements, cause);
    });
}

/// Returns the explanation with the most ends, or nothing if none has enough.
std::optional<CrashSuspects::Explanation> CrashSuspects::bestExplanation(const Ends &open)
{
    std::map<CrashElement, Ends> endsByElement;
    for (const UpstreamEnd *end : open) {
        CrashElements here;
        for (const SuspectRun *run : suspectsOf(*end))
            here.insert(run->m_elements.begin(), run->m_elements.end());
        for (const CrashElement &element : here)
            endsByElement[element].push_back(end);
    }
    std::optional<Explanation> best;
    for (const auto &[element, ends] : endsByElement) {
        const std::size_t count = moments(ends);
        if (count < minEnds || (best && count < best->m_count))
            continue;
        if (!best || count > best->m_count) {
            best = explanationOf(element, open);
            continue;
        }
        const bool isRival = ends == best->m_ends && !best->m_elements.contains(element);
        best->m_hasRival |= isRival;
    }
    return best;
}

CrashSuspects::Explanation CrashSuspects::explanationOf(const CrashElement &element,
                                                        const Ends &ends)
{
    Explanation explanation;
    explanation.m_elements = commonOf(element, ends);
    for (const UpstreamEnd *end : ends) {
        if (isExplained(*end, {element}))
            explanation.m_ends.push_back(end);
    }
    explanation.m_count = moments(explanation.m_ends);
    Ends begun = explanation.m_ends;
    std::erase_if(begun,
                  [](const UpstreamEnd *end) { return !suspectsOf(*end).front()->m_hasBegun; });
    explanation.m_begunCount = moments(begun);
    for (const UpstreamEnd *end : explanation.m_ends)
        explanation.m_weight += 1.0 / static_cast<double>(suspectsOf(*end).size());
    return explanation;
}

/// Returns the elements that all suspected runs with an element have in common.
CrashElements CrashSuspects::commonOf(const CrashElement &element, const Ends &ends)
{
    std::optional<CrashElements> common;
    for (const UpstreamEnd *end : ends) {
        for (const SuspectRun *run : suspectsOf(*end)) {
            if (!run->m_elements.contains(element))
                continue;
            common = common ? commonElements(*common, run->m_elements) : run->m_elements;
        }
    }
    return common.value_or(CrashElements());
}

/// Returns a service's ends, the oldest first.
CrashSuspects::Ends CrashSuspects::endsOf(const ServiceId &service) const
{
    Ends ends;
    for (const auto &[process, end] : m_ends) {
        if (end.m_service == service)
            ends.push_back(&end);
    }
    std::sort(ends.begin(), ends.end(), [](const UpstreamEnd *left, const UpstreamEnd *right) {
        return left->m_endedAt < right->m_endedAt;
    });
    return ends;
}

/// Returns the number of different moments of ends.
std::size_t CrashSuspects::moments(const Ends &ends)
{
    std::vector<TimePoint> times;
    for (const UpstreamEnd *end : ends)
        times.push_back(end->m_endedAt);
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    TimePoint last{};
    for (const TimePoint time : times) {
        if (count == 0 || time - last >= sameMoment)
            ++count;
        last = time;
    }
    return count;
}

} // namespace gypsumdale
