#include <gypsumdale/policy/admission.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <array> // array
#include <ostream> // ostream
#include <string> // string, to_string

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

constexpr int nodeCount = 3;
constexpr std::uint32_t memberLimit = 9;

enum class What { Submit, End, Cancel, Tokens, Advance, Heartbeat, Leave, Restart, Report };

struct Step
{
    What m_what = What::Submit;
    std::uint32_t m_node = 0;
    std::uint32_t m_number = 0;
};

std::ostream &operator<<(std::ostream &out, const Step &step)
{
    return out << '{' << static_cast<int>(step.m_what) << ',' << step.m_node << ',' << step.m_number
               << '}';
}

rc::Gen<Step> anyStep()
{
    const auto what = rc::gen::weightedElement<What>({{12, What::Submit},
                                                      {6, What::End},
                                                      {1, What::Cancel},
                                                      {2, What::Tokens},
                                                      {5, What::Advance},
                                                      {5, What::Heartbeat},
                                                      {1, What::Leave},
                                                      {1, What::Restart},
                                                      {2, What::Report}});
    return rc::gen::construct<Step>(what, rc::gen::inRange(0U, std::uint32_t{nodeCount}),
                                    rc::gen::inRange(0U, 1000U));
}

enum class Stage { Waiting, Running, Over };

/// Expected state of a request, tracked independently of the controllers.
struct Known
{
    std::uint32_t m_node = 0;
    Stage m_stage = Stage::Waiting;
    MemberId m_member;
    UpstreamId m_upstream;
    TimePoint m_firstTokenDeadline{};
};

/// Three entry VMs of a data centre, four upstreams, and the oracle.
class World
{
public:
    World()
    {
        for (int at = 0; at < nodeCount; ++at)
            m_nodes.push_back(makeNode(at));
        for (const auto &[name, slots] : {std::pair("a", 1), {"b", 4}, {"c", 10}, {"d", 16}}) {
            UpstreamReport report;
            report.m_upstream = UpstreamId(name);
            report.m_slots = static_cast<std::uint32_t>(slots);
            m_reports.push_back(report);
            update(m_reports.back());
        }
    }

    void run(const Step &step)
    {
        AdmissionController &node = m_nodes[step.m_node];
        switch (step.m_what) {
        case What::Submit:
            submit(step);
            break;
        case What::End:
            withRunning(step, [&](const RequestId &id) {
                const auto end = static_cast<AttemptEnd>(step.m_number % 4);
                m_known[id].m_stage = Stage::Over;
                apply(step.m_node, node.finishAttempt(id, end, m_now));
                RC_ASSERT(node.finishAttempt(id, end, m_now).empty());
            });
            break;
        case What::Cancel:
            for (auto &[id, known] : m_known) {
                if (known.m_node != step.m_node || known.m_stage != Stage::Waiting)
                    continue;
                RC_ASSERT(node.cancel(id));
                known.m_stage = Stage::Over;
                break;
            }
            break;
        case What::Tokens:
            withRunning(step, [&](const RequestId &id) {
                node.tokens(id, step.m_number % 50, m_now);
                if (step.m_number % 3 == 0)
                    node.usage(id, step.m_number, step.m_number % 100);
            });
            break;
        case What::Advance:
            m_now += std::chrono::milliseconds(step.m_number);
            break;
        case What::Heartbeat:
            heartbeat(step.m_node);
            break;
        case What::Leave:
            m_reports[step.m_number % m_reports.size()].m_isLeaving = true;
            update(m_reports[step.m_number % m_reports.size()]);
            break;
        case What::Restart:
            restart(m_reports[step.m_number % m_reports.size()]);
            break;
        case What::Report:
            reportLoad(m_reports[step.m_number % m_reports.size()], step.m_number);
            break;
        }
        for (std::uint32_t at = 0; at < nodeCount; ++at)
            apply(at, m_nodes[at].poll(m_now));
        check();
    }

private:
    static NodeId nodeName(int at) { return NodeId("node" + std::to_string(at)); }

    static AdmissionController makeNode(int at)
    {
        AdmissionSettings settings;
        settings.m_maxWaiting = 12;
        settings.m_maxWaitingPerMember = 8;
        AdmissionController node =
                AdmissionController::Builder().node(nodeName(at)).settings(settings).build();
        std::vector<NodeId> nodes;
        for (int peer = 0; peer < nodeCount; ++peer)
            nodes.push_back(nodeName(peer));
        node.setNodes(nodes);
        node.setMembers({{MemberId("m0"), 1.0, memberLimit}, {MemberId("m1"), 2.0, 0}});
        return node;
    }

    void submit(const Step &step)
    {
        WaitingRequest request;
        request.m_id = RequestId(std::to_string(m_known.size()));
        request.m_member = MemberId("m" + std::to_string(step.m_number % 3));
        request.m_priority = static_cast<int>(step.m_number % 2);
        request.m_arrivedAt = m_now;
        request.m_promptTokens = step.m_number;
        if (step.m_number % 5 != 0)
            request.m_firstTokenDeadline = m_now + std::chrono::milliseconds(step.m_number * 3);
        m_known[request.m_id] = Known{
                step.m_node, Stage::Waiting, request.m_member, {}, request.m_firstTokenDeadline};
        apply(step.m_node, m_nodes[step.m_node].submit(request, m_now));
        RC_ASSERT(m_known[request.m_id].m_stage == Stage::Waiting
                  || m_nodes[step.m_node].queue().waiting(request.m_member) <= 8U);
    }

    template <typename Action>
    void withRunning(const Step &step, Action action)
    {
        std::vector<RequestId> running;
        for (const auto &[id, known] : m_known) {
            if (known.m_node == step.m_node && known.m_stage == Stage::Running)
                running.push_back(id);
        }
        if (!running.empty())
            action(running[step.m_number % running.size()]);
    }

    void heartbeat(std::uint32_t from)
    {
        for (std::uint32_t at = 0; at < nodeCount; ++at) {
            if (at != from)
                m_nodes[at].mergePeer(nodeName(static_cast<int>(from)), 1, m_nodes[from].ownLoad(),
                                      m_now);
        }
    }

    void restart(UpstreamReport &report)
    {
        ++report.m_incarnation;
        report.m_isLeaving = false;
        update(report);
    }

    void reportLoad(UpstreamReport &report, std::uint32_t number)
    {
        report.m_running = number % (report.m_slots + 1);
        report.m_queued = number % 7;
        report.m_reportedAt = m_now;
        update(report);
    }

    void update(const UpstreamReport &report)
    {
        for (AdmissionController &node : m_nodes)
            node.updateUpstream(report, m_now);
    }

    void apply(std::uint32_t node, const AdmissionCommands &commands)
    {
        for (const AdmissionCommand &command : commands) {
            const auto *dispatch = std::get_if<Dispatch>(&command);
            const RequestId &id = dispatch != nullptr ? dispatch->m_request.m_id
                                                      : std::get<Refuse>(command).m_request;
            Known &known = m_known.at(id);
            // A request is dispatched or refused at most once, and only by its own node.
            RC_ASSERT(known.m_stage == Stage::Waiting);
            RC_ASSERT(known.m_node == node);
            known.m_stage = dispatch != nullptr ? Stage::Running : Stage::Over;
            if (dispatch == nullptr) {
                RC_ASSERT(std::get<Refuse>(command).m_retryAfter >= 200ms);
                continue;
            }
            known.m_upstream = dispatch->m_upstream;
            RC_ASSERT(known.m_firstTokenDeadline > m_now);
            for (const UpstreamReport &report : m_reports)
                RC_ASSERT(report.m_upstream != dispatch->m_upstream || !report.m_isLeaving);
        }
    }

    void check()
    {
        std::map<UpstreamId, std::uint32_t> inFlight;
        for (std::uint32_t at = 0; at < nodeCount; ++at) {
            std::size_t waiting = 0;
            std::size_t limited = 0;
            for (const auto &[id, known] : m_known) {
                if (known.m_node != at)
                    continue;
                waiting += known.m_stage == Stage::Waiting ? 1U : 0U;
                // Expired requests are dropped at once, so no queued request is past its deadline.
                RC_ASSERT(known.m_stage != Stage::Waiting || known.m_firstTokenDeadline > m_now);
                if (known.m_stage != Stage::Running)
                    continue;
                ++inFlight[known.m_upstream];
                limited += known.m_member == MemberId("m0") ? 1U : 0U;
            }
            RC_ASSERT(m_nodes[at].queue().waiting() == waiting);
            RC_ASSERT(waiting <= 12U);
            RC_ASSERT(limited <= memberLimit);
            checkCounters(at);
        }
        for (const UpstreamReport &report : m_reports)
            RC_ASSERT(inFlight[report.m_upstream]
                      <= report.m_slots
                                 + overshootBound(SlotShareSettings{}, report.m_slots, nodeCount));
    }

    void checkCounters(std::uint32_t node)
    {
        for (const auto &[member, tokens] : m_nodes[node].ownLoad().m_tokens) {
            std::uint64_t &before = m_counts[node][member];
            RC_ASSERT(tokens >= before);
            before = tokens;
        }
    }

    TimePoint m_now{1h};
    std::vector<AdmissionController> m_nodes;
    std::vector<UpstreamReport> m_reports;
    std::map<RequestId, Known> m_known;
    std::array<TokenCounts, nodeCount> m_counts;
};

} // namespace

TEST_CASE("admission keeps its promises in any order of events")
{
    rc::prop("on three entry VMs with late heartbeats", [] {
        const auto steps = *rc::gen::scale(3.0, rc::gen::container<std::vector<Step>>(anyStep()));
        World world;
        for (const Step &step : steps)
            world.run(step);
    });
}
