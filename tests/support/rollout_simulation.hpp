#pragma once

#include <gypsumdale/serving/canary_judge.hpp>
#include <gypsumdale/serving/reported_evidence.hpp>
#include <gypsumdale/serving/rollout_plan.hpp>
#include <gypsumdale/serving/version_gate.hpp>

#include <algorithm> // max, min, sort
#include <cmath> // exp
#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <optional> // optional
#include <random> // mt19937_64, uniform_real_distribution
#include <set> // set
#include <string> // string, to_string
#include <vector> // vector

/// A fleet that rolls out one version: many VMs, one of which decides, with answers that are
/// counted late, messages that are lost, and VMs that are killed or cut off.
namespace gypsumdale::test {

/// How the new version is bad.
enum class VersionFault { None, Errors, Slow, OneRoute, Late, UnderLoad };

struct RolloutPlay
{
    std::size_t m_vms = 6;
    /// Requests a second over the fleet.
    double m_rate = 60;
    std::size_t m_upstreams = 7;
    Duration m_duration = std::chrono::seconds(14);
    VersionFault m_fault = VersionFault::None;
    /// Fraction of the bad version's answers that are bad.
    double m_badShare = 0.32;
    /// When a late fault begins, after the upstreams' start.
    Duration m_lateAfter = std::chrono::seconds(3);
    /// Fraction of all versions' answers that are errors of the request.
    double m_baseErrors = 0.02;
    CanaryTest m_test = SequentialTest{};
    bool m_hasKills = false;
    bool m_hasLeaderKills = false;
    bool m_hasCuts = false;
    bool m_hasStoreOutage = false;
    bool m_losesAllVms = false;
    bool m_hasGreyUpstreams = false;
};

struct RolloutOutcome
{
    std::int64_t m_requests = 0;
    std::int64_t m_exposed = 0;
    std::int64_t m_badAnswers = 0;
    /// Requests that were placed on the new version too long after its fiftieth bad answer.
    std::int64_t m_exposedTooLate = 0;
    /// What the store holds at the end of the time.
    std::optional<RolloutStage> m_recorded;
    RolloutReason m_reason = RolloutReason::Begun;
    std::int64_t allowed() const { return m_requests / 10 + 50; }
};

class RolloutSimulation
{
public:
    RolloutSimulation(const RolloutPlay &play, std::uint64_t seed)
        : m_play(play)
        , m_random(seed)
        , m_vms(play.m_vms)
    {
        for (std::size_t number = 0; number < play.m_upstreams; ++number) {
            addUpstream("old" + std::to_string(number), oldVersion());
            addUpstream("new" + std::to_string(number), newVersion());
        }
        const bool isGrey = play.m_hasGreyUpstreams;
        m_greyOld = isGrey ? "old" + std::to_string(draw(play.m_upstreams)) : "";
        m_greyNew = isGrey ? "new" + std::to_string(draw(play.m_upstreams)) : "";
        m_outageAt = isGrey || !play.m_hasStoreOutage ? Duration::max() : randomTime(0.1, 0.5);
        m_allLostAt = play.m_losesAllVms ? randomTime(0.2, 0.5) : Duration::max();
        m_leaderLostAt = play.m_hasLeaderKills ? randomTime(0.1, 0.4) : Duration::max();
        for (Vm &vm : m_vms)
            start(vm, Duration::zero());
    }

    RolloutOutcome run()
    {
        electAt(std::chrono::milliseconds(100));
        for (m_since = Duration::zero(); m_since < m_play.m_duration; m_since += tick)
            step();
        return m_outcome;
    }

private:
    static constexpr Duration tick = std::chrono::milliseconds(50);
    static constexpr Duration takeoverTime = std::chrono::milliseconds(3500);
    static constexpr Duration askInterval = std::chrono::milliseconds(400);
    static constexpr Duration leaseTerm = std::chrono::milliseconds(1224);
    static constexpr Duration restartTime = std::chrono::milliseconds(1200);
    static constexpr Duration rollbackDelay = std::chrono::seconds(5);
    static constexpr Duration outageTime = std::chrono::milliseconds(3000);
    static constexpr double killsPerVmSecond = 0.01;
    static constexpr double greyErrors = 0.45;
    static constexpr double storedStep = 5;

    struct Vm
    {
        bool m_isUp = true;
        Duration m_upAt{};
        Duration m_cutUntil{};
        Duration m_askedAt{};
        std::int64_t m_incarnation = 0;
        VersionGate m_gate;
        CanaryEvidence m_counted;
        CanaryEvidence m_ownKnown;
        CanaryJudge m_ownJudge;
        bool m_isDistrusting = false;
    };
    struct Answer
    {
        Duration m_at{};
        std::size_t m_vm = 0;
        std::int64_t m_incarnation = 0;
        EvidenceKey m_key;
        bool m_isError = false;
        bool m_isFault = false;
        Duration m_time{};
    };
    struct Leader
    {
        std::size_t m_vm = 0;
        std::int64_t m_incarnation = 0;
        RolloutPlan m_plan;
        CanaryJudge m_judge;
        double m_earlierExcess = 0;
        ReportedEvidence m_reported{};
    };

    static ServiceId service() { return ServiceId("llm"); }
    static SoftwareVersion oldVersion() { return SoftwareVersion("v1"); }
    static SoftwareVersion newVersion() { return SoftwareVersion("v2"); }

    TimePoint now() const { return TimePoint(std::chrono::hours(1)) + m_since; }
    double uniform() { return std::uniform_real_distribution<double>()(m_random); }
    std::size_t draw(std::size_t below) { return static_cast<std::size_t>(m_random() % below); }
    Duration randomTime(double least, double most)
    {
        const double part = least + (most - least) * uniform();
        return std::chrono::duration_cast<Duration>(part * m_play.m_duration);
    }

    void addUpstream(const std::string &id, const SoftwareVersion &version)
    {
        UpstreamRecord record;
        record.m_id = UpstreamId(id);
        record.m_service = service();
        record.m_softwareVersion = version;
        m_upstreams.emplace(record.m_id, record);
    }

    void start(Vm &vm, Duration at)
    {
        const std::int64_t incarnation = vm.m_incarnation + 1;
        vm = Vm();
        vm.m_incarnation = incarnation;
        vm.m_upAt = at;
        vm.m_askedAt = at - std::chrono::duration_cast<Duration>(uniform() * askInterval);
        vm.m_ownJudge = CanaryJudge(m_play.m_test);
        vm.m_gate.setUpstreams(m_upstreams);
    }

    bool isUp(const Vm &vm) const { return m_since >= vm.m_upAt; }
    bool isStoreUp() const { return m_since < m_outageAt || m_since >= m_outageAt + outageTime; }

    void electAt(Duration at) { m_electionAt = at; }

    void step()
    {
        fail();
        elect();
        for (std::size_t number = 0; number < m_vms.size(); ++number)
            sendRequests(number);
        deliverAnswers();
        for (std::size_t number = 0; number < m_vms.size(); ++number)
            ask(number);
        decide();
    }

    void kill(std::size_t number)
    {
        start(m_vms[number], m_since + restartTime);
        if (m_leader && m_leader->m_vm == number)
            loseLeader();
    }

    void loseLeader()
    {
        m_leader.reset();
        electAt(m_since + takeoverTime);
    }

    void fail()
    {
        const double seconds = toSeconds(tick);
        for (std::size_t number = 0; number < m_vms.size(); ++number) {
            const bool isLeader = m_leader && m_leader->m_vm == number;
            if (m_play.m_hasKills && !isLeader && uniform() < killsPerVmSecond * seconds)
                kill(number);
            if (m_play.m_hasCuts && !isLeader && uniform() < 0.03 * seconds)
                m_vms[number].m_cutUntil = m_since + std::chrono::seconds(5);
        }
        if (m_leader && m_since >= m_leaderLostAt) {
            m_leaderLostAt = Duration::max();
            kill(m_leader->m_vm);
        }
        if (m_since >= m_allLostAt) {
            m_allLostAt = Duration::max();
            for (std::size_t number = 0; number < m_vms.size(); ++number)
                kill(number);
            electAt(m_since + takeoverTime);
        }
        if (m_leader && !isStoreUp())
            loseLeader();
    }

    void elect()
    {
        if (m_leader || m_since < m_electionAt || !isStoreUp() || m_isFinal)
            return;
        const std::size_t chosen = draw(m_vms.size());
        if (!isUp(m_vms[chosen]))
            return;
        const TimePoint begun = now();
        const TimePoint ordered(std::chrono::hours(1));
        m_leader.emplace(Leader{chosen, m_vms[chosen].m_incarnation,
                                RolloutPlan(ExposureBounds{}, m_play.m_duration, ordered, begun),
                                CanaryJudge(m_play.m_test), m_storedExcess});
    }

    double shownLoad(const std::set<UpstreamId> &upstreams) const
    {
        const double used = upstreams.empty() ? static_cast<double>(m_play.m_upstreams)
                                              : static_cast<double>(upstreams.size());
        return m_shareNow * static_cast<double>(m_play.m_upstreams) / used;
    }

    bool isFaulty(const std::string &route, double load) const
    {
        switch (m_play.m_fault) {
        case VersionFault::None:
            return false;
        case VersionFault::OneRoute:
            return route == "match";
        case VersionFault::Late:
            return m_since >= m_play.m_lateAfter;
        case VersionFault::UnderLoad:
            return load >= 0.9;
        case VersionFault::Errors:
        case VersionFault::Slow:
            break;
        }
        return true;
    }

    void sendRequests(std::size_t number)
    {
        Vm &vm = m_vms[number];
        if (!isUp(vm))
            return;
        double expected = m_play.m_rate * toSeconds(tick) / static_cast<double>(m_play.m_vms);
        for (; expected > 0; expected -= 1) {
            if (uniform() < expected)
                sendRequest(number);
        }
    }

    void sendRequest(std::size_t number)
    {
        Vm &vm = m_vms[number];
        ++m_outcome.m_requests;
        const VersionScope scope = vm.m_gate.scope(service(), uniform(), false, now());
        const std::string route = uniform() < 0.3 ? "draft" : "match";
        Answer answer;
        answer.m_vm = number;
        answer.m_incarnation = vm.m_incarnation;
        answer.m_key.m_route = route;
        double errors = m_play.m_baseErrors;
        double time = (route == "draft" ? 0.2 : 0.1) * (0.7 + 0.6 * uniform());
        if (scope.m_versions.contains(newVersion()))
            place(scope, answer, errors, time);
        else if ("old" + std::to_string(draw(m_play.m_upstreams)) == m_greyOld)
            errors = greyErrors;
        answer.m_isError = answer.m_isError || uniform() < errors;
        answer.m_time = fromSeconds(time);
        answer.m_at = m_since + answer.m_time;
        m_answers.push_back(answer);
    }

    void place(const VersionScope &scope, Answer &answer, double &errors, double &time)
    {
        ++m_outcome.m_exposed;
        if (m_fiftiethBadAt && m_since > *m_fiftiethBadAt + rollbackDelay)
            ++m_outcome.m_exposedTooLate;
        std::vector<UpstreamId> usable(scope.m_upstreams.begin(), scope.m_upstreams.end());
        if (usable.empty())
            usable.emplace_back("new" + std::to_string(draw(m_play.m_upstreams)));
        answer.m_key.m_upstream = usable[draw(usable.size())];
        if (answer.m_key.m_upstream.text() == m_greyNew)
            errors = greyErrors;
        time *= 1.5;
        if (!isFaulty(answer.m_key.m_route, shownLoad(scope.m_upstreams))
            || uniform() >= m_play.m_badShare)
            return;
        answer.m_isFault = true;
        if (m_play.m_fault == VersionFault::Slow)
            time *= 6;
        else
            answer.m_isError = true;
    }

    void deliverAnswers()
    {
        std::vector<Answer> later;
        for (const Answer &answer : m_answers) {
            if (answer.m_at > m_since) {
                later.push_back(answer);
                continue;
            }
            if (answer.m_isFault && ++m_outcome.m_badAnswers == 50)
                m_fiftiethBadAt = answer.m_at;
            Vm &vm = m_vms[answer.m_vm];
            if (vm.m_incarnation == answer.m_incarnation && vm.m_gate.isUndecided())
                vm.m_counted[answer.m_key].add(answer.m_isError, answer.m_time);
        }
        m_answers = std::move(later);
    }

    void judgeOwn(Vm &vm)
    {
        vm.m_ownJudge.add(evidenceSince(vm.m_ownKnown, vm.m_counted), now());
        vm.m_ownKnown = vm.m_counted;
        if (std::holds_alternative<CanaryBad>(vm.m_ownJudge.verdict(m_play.m_upstreams)))
            vm.m_gate.distrust(service());
    }

    void ask(std::size_t number)
    {
        Vm &vm = m_vms[number];
        if (!isUp(vm) || m_since < vm.m_askedAt + askInterval || vm.m_cutUntil > m_since)
            return;
        vm.m_askedAt = m_since;
        judgeOwn(vm);
        if (!m_leader || uniform() < 0.02)
            return;
        m_leader->m_judge.add(m_leader->m_reported.add(std::to_string(number), vm.m_incarnation,
                                                       vm.m_counted, now()),
                              now());
        tell(vm, now() + leaseTerm);
    }

    void tell(Vm &vm, TimePoint leasedUntil)
    {
        VersionAccess access;
        access.m_open = {oldVersion()};
        access.m_closed = {newVersion()};
        const RolloutObservation seen = observe();
        m_shareNow = m_leader->m_plan.share(seen);
        if (m_shareNow > 0 || m_leader->m_plan.isMeasuring())
            access.m_lease = ExposureLease{newVersion(), m_shareNow, canaries(seen), leasedUntil};
        vm.m_gate.setAccess({{service(), access}});
    }

    std::set<UpstreamId> canaries(const RolloutObservation &seen) const
    {
        std::set<UpstreamId> chosen;
        const std::size_t count =
                std::min(m_leader->m_plan.upstreamCount(seen), m_play.m_upstreams);
        const std::set<UpstreamId> suspects = m_leader->m_judge.suspects();
        for (std::size_t number = 0; number < m_play.m_upstreams; ++number) {
            const UpstreamId id("new" + std::to_string(number));
            if (chosen.size() < count && !suspects.contains(id))
                chosen.insert(id);
        }
        return chosen;
    }

    RolloutObservation observe() const
    {
        RolloutObservation seen;
        seen.m_now = now();
        seen.m_verdict = m_leader->m_judge.verdict(m_play.m_upstreams);
        seen.m_excessBadAnswers = m_leader->m_earlierExcess + m_leader->m_judge.excessBadAnswers();
        seen.m_targets = m_play.m_upstreams;
        seen.m_others = m_play.m_upstreams;
        seen.m_runningAtOthers =
                m_handoverAt && m_since > *m_handoverAt + std::chrono::seconds(2) ? 0 : 10;
        seen.m_requestRate = m_leader->m_reported.rate(now());
        seen.m_canaryAnswers = m_leader->m_judge.answers();
        return seen;
    }

    void decide()
    {
        if (!m_leader)
            return;
        const double excess = m_leader->m_earlierExcess + m_leader->m_judge.excessBadAnswers();
        if (excess >= m_storedExcess + storedStep)
            m_storedExcess = excess;
        const bool isChanged = m_leader->m_plan.advance(observe());
        if (m_leader->m_plan.stage() == RolloutStage::Handover && !m_handoverAt)
            m_handoverAt = m_since;
        if (isChanged) {
            // Leases are never extended by news, only cut short.
            for (Vm &vm : m_vms) {
                if (isUp(vm) && vm.m_cutUntil <= m_since && m_leader->m_plan.isDecided())
                    tell(vm, now() + leaseTerm);
            }
        }
        if (!m_leader->m_plan.isDecided() || !isStoreUp())
            return;
        m_outcome.m_recorded = m_leader->m_plan.stage();
        m_outcome.m_reason = m_leader->m_plan.reason();
        m_isFinal = true;
        if (m_outcome.m_recorded == RolloutStage::RolledBack)
            m_leader.reset();
    }

    RolloutPlay m_play;
    std::mt19937_64 m_random;
    std::map<UpstreamId, UpstreamRecord> m_upstreams;
    std::string m_greyOld;
    std::string m_greyNew;
    Duration m_outageAt{};
    Duration m_allLostAt{};
    Duration m_leaderLostAt{};
    Duration m_electionAt{};
    Duration m_since{};
    std::vector<Vm> m_vms;
    std::vector<Answer> m_answers;
    std::optional<Leader> m_leader;
    std::optional<Duration> m_fiftiethBadAt;
    std::optional<Duration> m_handoverAt;
    double m_storedExcess = 0;
    double m_shareNow = 0;
    bool m_isFinal = false;
    RolloutOutcome m_outcome;
};

} // namespace gypsumdale::test
