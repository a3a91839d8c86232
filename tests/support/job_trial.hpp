#pragma once

#include <support/job_world.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm> // all_of
#include <cstddef> // size_t
#include <ostream> // ostream
#include <string> // string
#include <vector> // vector

namespace gypsumdale::testing {

// The table is checked against these promises. A job that its caller was told is accepted ends with
// a complete answer for every caller that follows the epochs, after any mixture of announced
// reclaims, outages, pauses, wrong suspicions, lost, duplicated and reordered messages and dead
// runners.
//
// Unannounced deaths are covered as well once the log has the job. Before that, one loss is
// covered. Two losses of nodes since the offer, one of them unannounced (or with a notice too short
// for a hand-over), are not: a holder may die with its acknowledgement still on the way, and a
// successor before its own holder has acknowledged. A reclaim counts from its notice on.
//
// One complete answer for all callers is promised; what each caller reads is always the answer of
// one chain of generation.

enum class Act {
    Offer,
    Generate,
    GenerateAll,
    Step,
    Deliver,
    Duplicate,
    Drop,
    Flush,
    Read,
    Settle,
    PlatformDown,
    PlatformUp,
    NoticeVm,
    NoticeDataCentre,
    Crash,
    CrashWritten,
    Restart,
    Pause,
    Suspect,
    Resume,
    FailRunner,
    TruncateRunner,
    LeaveRunner,
    Poll,
    Pry,
    LoseReach,
    FindReach,
};

struct Operation
{
    Act m_act = Act::Step;
    int m_where = 0;
    int m_amount = 0;
};

inline std::ostream &operator<<(std::ostream &out, const Operation &operation)
{
    return out << static_cast<int>(operation.m_act) << ":" << operation.m_where << ":"
               << operation.m_amount;
}

class Trial
{
public:
    explicit Trial(const std::vector<std::string> &dataCentres)
        : m_world(dataCentres)
    {}

    void run(const Operation &operation)
    {
        const auto where = static_cast<std::size_t>(operation.m_where);
        const std::size_t node = where % m_world.nodes().size();
        switch (operation.m_act) {
        case Act::Offer:
            if (const auto job = m_world.offer(node, "member-" + std::to_string(where % 3))) {
                m_callers.push_back(JobWorld::Caller{*job, {}});
                m_callers.push_back(JobWorld::Caller{*job, {}});
            }
            break;
        case Act::Generate:
            m_world.generate(node, operation.m_amount);
            break;
        case Act::GenerateAll:
            m_world.generate(node, JobWorld::k_answerTokens);
            break;
        case Act::Step:
            m_world.step(std::chrono::milliseconds(100 * (1 + operation.m_amount)));
            break;
        case Act::Deliver:
            m_world.deliver(where);
            break;
        case Act::Duplicate:
            m_world.deliver(where, true);
            break;
        case Act::Drop:
            m_world.drop(where);
            break;
        case Act::Flush:
            m_world.flush(node, static_cast<std::size_t>(operation.m_amount));
            break;
        case Act::Read:
            m_world.read(node);
            break;
        case Act::Settle:
            m_world.settle(1 + operation.m_amount);
            break;
        case Act::Poll:
            if (!m_callers.empty())
                require(m_world.poll(m_callers[static_cast<std::size_t>(operation.m_amount * 7)
                                               % m_callers.size()],
                                     node));
            break;
        case Act::Pry:
            if (!m_world.jobs().empty())
                require(m_world.pry(static_cast<std::size_t>(operation.m_amount)
                                            % m_world.jobs().size(),
                                    node));
            break;
        default:
            fault(operation.m_act, node);
        }
    }

    void fault(Act act, std::size_t node)
    {
        switch (act) {
        case Act::PlatformDown:
        case Act::PlatformUp:
            m_world.setPlatform(act == Act::PlatformUp);
            break;
        case Act::LoseReach:
        case Act::FindReach:
            m_world.setReachable(node, act == Act::FindReach);
            break;
        case Act::NoticeVm:
            m_world.notice(node, ReclaimScope::OwnVm);
            break;
        case Act::NoticeDataCentre:
            m_world.noticeDataCentre(m_world.nodes()[node].m_dataCentre);
            break;
        case Act::Crash:
        case Act::CrashWritten:
            m_world.crash(node, act == Act::CrashWritten);
            break;
        case Act::Restart:
            if (!m_world.nodes()[node].isAlive())
                m_world.start(node);
            break;
        case Act::Pause:
            m_world.pause(node);
            break;
        case Act::Suspect:
            m_world.pause(node);
            m_world.suspect(node);
            break;
        case Act::Resume:
            m_world.resume(node);
            break;
        case Act::FailRunner:
            m_world.failAttempts(node);
            break;
        case Act::TruncateRunner:
            m_world.truncateAttempts(node);
            break;
        case Act::LeaveRunner:
            m_world.runnersLeave(node);
            break;
        default:
            break;
        }
    }

    /// Ends all faults; every promise must now be kept.
    void conclude()
    {
        m_world.setPlatform(true);
        for (std::size_t node = 0; node < m_world.nodes().size(); ++node) {
            m_world.setReachable(node, true);
            m_world.resume(node);
            if (!m_world.nodes()[node].isAlive())
                m_world.start(node);
        }
        for (int round = 0; round < 60 && !isDone(); ++round) {
            m_world.listLogs();
            m_world.settle(5);
            for (std::size_t node = 0; node < m_world.nodes().size(); ++node) {
                if (!m_world.nodes()[node].isAlive())
                    m_world.start(node);
                m_world.generate(node, 4);
            }
            m_world.settle(1);
            for (std::size_t index = 0; index < m_callers.size(); ++index)
                require(m_world.poll(m_callers[index], (index + static_cast<std::size_t>(round))
                                                               % m_world.nodes().size()));
        }
        for (const JobWorld::Caller &caller : m_callers) {
            const JobWorld::ModelJob &job = m_world.jobs()[caller.m_job];
            if (job.m_isAccepted && !job.isForfeited() && !caller.m_isWhole)
                RC_FAIL("an accepted job was lost: " + job.m_id.text());
        }
        for (std::size_t first = 0; first + 1 < m_callers.size(); first += 2) {
            const JobWorld::Caller &one = m_callers[first];
            const JobWorld::Caller &other = m_callers[first + 1];
            if (one.m_isWhole && other.m_isWhole && one.m_have.text() != other.m_have.text())
                RC_FAIL("two answers of one job were presented as whole");
        }
    }

    JobWorld &world() { return m_world; }
    const std::vector<JobWorld::Caller> &callers() const { return m_callers; }

private:
    bool isDone()
    {
        return std::all_of(m_callers.begin(), m_callers.end(), [this](const auto &caller) {
            return caller.m_isWhole || !m_world.jobs()[caller.m_job].m_isAccepted;
        });
    }

    static void require(const std::string &complaint)
    {
        if (!complaint.empty())
            RC_FAIL(complaint);
    }

    JobWorld m_world;
    std::vector<JobWorld::Caller> m_callers;
};

inline rc::Gen<Operation> operationsOf(const rc::Gen<Act> &acts)
{
    return rc::gen::build<Operation>(rc::gen::set(&Operation::m_act, acts),
                                     rc::gen::set(&Operation::m_where, rc::gen::inRange(0, 16)),
                                     rc::gen::set(&Operation::m_amount, rc::gen::inRange(0, 8)));
}

inline void checkFleet(const std::vector<std::string> &dataCentres, const rc::Gen<Act> &acts,
                       double lengthScale)
{
    const auto history = *rc::gen::scale(
            lengthScale, rc::gen::container<std::vector<Operation>>(operationsOf(acts)));
    Trial trial(dataCentres);
    for (const Operation &operation : history)
        trial.run(operation);
    trial.conclude();
}

/// Checks the promises against histories of many lengths, as rare combinations of faults need long
/// ones.
inline void checkJobs(const rc::Gen<Act> &acts)
{
    constexpr int lengths = 20;
    for (int length = 1; length <= lengths; ++length) {
        const double scale = 1 + 0.15 * length;
        const std::string suffix = ", length " + std::to_string(length);
        rc::prop("three nodes in three data centres" + suffix, [scale, &acts] {
            checkFleet({"a", "b", "c"}, acts, scale);
        });
        rc::prop("four nodes in two data centres" + suffix, [scale, &acts] {
            checkFleet({"a", "a", "b", "b"}, acts, scale);
        });
    }
}

} // namespace gypsumdale::testing
