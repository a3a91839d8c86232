#include "fleet_world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm> // any_of, max
#include <map> // map
#include <ostream> // ostream
#include <set> // set
#include <string> // string

using namespace gypsumdale;
using namespace gypsumdale::test;

namespace {

enum class Step {
    Run,
    Cut,
    CutOneWay,
    Heal,
    Pause,
    Resume,
    Restart,
    Lose,
    Delay,
    Notice,
    ZoneNotice,
    ReadList,
    StaleList,
    StopRunner,
    StartRunner
};
constexpr int stepCount = 15;
/// Maximum number of actions in one trial.
constexpr int longestStory = 40;

struct Action
{
    Step m_step = Step::Run;
    int m_first = 0;
    int m_second = 0;
    int m_tenths = 0;
};

std::ostream &operator<<(std::ostream &stream, const Action &action)
{
    return stream << "{" << static_cast<int>(action.m_step) << "," << action.m_first << ","
                  << action.m_second << "," << action.m_tenths << "}";
}

rc::Gen<Action> anyAction()
{
    // The size also limits numbers: with less than the full size the later steps would never be
    // drawn.
    constexpr int fullSize = 100;
    return rc::gen::resize(
            fullSize,
            rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, stepCount), rc::gen::inRange(0, 60),
                                        rc::gen::inRange(0, 60), rc::gen::inRange(1, 60)),
                         [](const std::tuple<int, int, int, int> &parts) {
                             const auto &[step, first, second, tenths] = parts;
                             return Action{static_cast<Step>(step), first, second, tenths};
                         }));
}

/// Oracle: derives from the actual state of the network what each node could have known, and checks
/// each node's view against it after every step of the clock.
class Oracle
{
public:
    explicit Oracle(FleetWorld &world)
        : m_world(world)
    {}

    /// A notice for a zone doesn't apply to VMs that exist 30 s after its deadline: a node that
    /// first receives it then must not count new VMs as leaving.
    void noticed(const NodeId &node, const UpstreamId &upstream, const std::string &notice,
                 bool isByZone)
    {
        const TimePoint until = isByZone ? m_world.now() + seconds(50) : TimePoint::max();
        m_notices[upstream].try_emplace(notice, Notice{until, {}});
        m_closed[upstream].insert(node);
    }

    bool isBinding(const UpstreamId &upstream)
    {
        const auto notices = m_notices.find(upstream);
        return notices == m_notices.end()
               || std::any_of(notices->second.begin(), notices->second.end(),
                              [this](const auto &entry) {
                                  return m_world.now() < entry.second.m_bindsUntil;
                              });
    }

    void restarted(const NodeId &node)
    {
        // A new process knows only what it receives from now on.
        for (auto &[upstream, nodes] : m_closed)
            nodes.erase(node);
        for (auto &[upstream, notices] : m_notices) {
            for (auto &[id, notice] : notices)
                notice.m_knownSince.erase(node);
        }
        for (auto *times : {&m_connected, &m_contact}) {
            for (auto &[pair, since] : *times) {
                if (pair.first == node || pair.second == node)
                    since = Duration::zero();
            }
        }
        m_seenDead.erase(node);
        m_changesRead[node] = 0;
        m_world.m_nodes.at(node).m_nodeChanges.clear();
    }

    void check()
    {
        for (auto &[name, node] : m_world.m_nodes) {
            for (auto &[other, peer] : m_world.m_nodes)
                follow(name, node, other, peer);
        }
        for (auto &[name, node] : m_world.m_nodes) {
            checkNodeChanges(name, node);
            if (!node.m_isPaused)
                checkNotices(name, node);
        }
    }

private:
    /// Records how long the pair has been able to communicate, in time in which the first of them
    /// ran.
    void follow(const NodeId &name, const FleetWorld::Node &node, const NodeId &other,
                const FleetWorld::Node &peer)
    {
        Duration &since = m_connected[{name, other}];
        const bool isCut = m_world.isCut(name, other) || m_world.isCut(other, name);
        if (isCut || peer.m_isPaused || m_world.m_loss > 0)
            since = Duration::zero();
        else if (!node.m_isPaused)
            since += milliseconds(50);
        Duration &contact = m_contact[{name, other}];
        contact = since == Duration::zero() || node.m_isPaused ? Duration::zero()
                                                               : contact + milliseconds(50);
    }

    void checkNodeChanges(const NodeId &name, const FleetWorld::Node &node)
    {
        std::size_t &read = m_changesRead[name];
        for (; read < node.m_nodeChanges.size(); ++read) {
            const NodeStateChanged &change = node.m_nodeChanges[read];
            Incarnation &deadAt = m_seenDead[name][change.m_node];
            if (change.m_state == NodeState::Dead) {
                deadAt = std::max(deadAt, change.m_incarnation);
                // Guards against a node that is falsely counted as dead: the pair could communicate
                // all along, measured by this node's own running time.
                RC_ASSERT((m_connected[{name, change.m_node}] < milliseconds(2400)));
                RC_ASSERT(isMissedByAnother(name, change.m_node));
            } else {
                RC_ASSERT(deadAt == 0 || change.m_incarnation > deadAt);
            }
        }
    }

    /// Requires a second witness: another node of the data centre that could not communicate with
    /// the subject recently either.
    bool isMissedByAnother(const NodeId &observer, const NodeId &subject)
    {
        const auto &dataCentre = m_world.m_nodes.at(subject).m_identity.m_dataCentre;
        for (const auto &[name, node] : m_world.m_nodes) {
            const bool isThird = name != observer && name != subject;
            if (isThird && node.m_identity.m_dataCentre == dataCentre
                && m_connected[{name, subject}] < milliseconds(2400))
                return true;
        }
        return false;
    }

    /// What one notice means for an upstream. A node that knows only of another notice can't
    /// announce this one: a notice that is no longer binding is not forwarded as one that is.
    struct Notice
    {
        TimePoint m_bindsUntil{};
        std::map<NodeId, TimePoint> m_knownSince;
    };

    void checkNotices(const NodeId &name, FleetWorld::Node &node)
    {
        std::set<std::string> known;
        for (const LeavingNotice &notice : node.m_exchange->upstreams().notices())
            known.insert(notice.m_id);
        for (auto &[upstream, notices] : m_notices) {
            const UpstreamView *view = node.m_exchange->upstreams().find(upstream);
            if (!view)
                continue;
            for (auto &[id, notice] : notices) {
                if (known.contains(id))
                    notice.m_knownSince.emplace(name, m_world.now());
            }
            if (!view->isOpen()) {
                m_closed[upstream].insert(name);
                continue;
            }
            // Once an upstream is leaving on a node, it must never be open again there.
            RC_ASSERT(!m_closed[upstream].contains(name));
            for (const auto &[id, notice] : notices) {
                if (m_world.now() >= notice.m_bindsUntil)
                    continue;
                const Duration contact = longestContact(name, node, notice.m_knownSince);
                if (contact >= seconds(6))
                    RC_LOG() << name.text() << " was not told of " << upstream.text() << ": "
                             << view->m_reason << "\n";
                RC_ASSERT(contact < seconds(6));
            }
        }
    }

    /// Returns the longest time in which this node could have received it from one that knew.
    Duration longestContact(const NodeId &name, const FleetWorld::Node &node,
                            const std::map<NodeId, TimePoint> &told)
    {
        Duration longest{};
        for (const auto &[teller, since] : told) {
            const FleetWorld::Node &peer = m_world.m_nodes.at(teller);
            if (peer.m_identity.m_dataCentre == node.m_identity.m_dataCentre)
                longest = std::max(longest,
                                   std::min(m_contact[{name, teller}], m_world.now() - since));
        }
        return longest;
    }

    FleetWorld &m_world;
    std::map<std::pair<NodeId, NodeId>, Duration> m_connected;
    /// The same in elapsed time, and only while both ran.
    std::map<std::pair<NodeId, NodeId>, Duration> m_contact;
    std::map<NodeId, std::map<NodeId, Incarnation>> m_seenDead;
    std::map<NodeId, std::size_t> m_changesRead;
    /// By the notice's id.
    std::map<UpstreamId, std::map<std::string, Notice>> m_notices;
    /// Nodes that count an upstream as leaving.
    std::map<UpstreamId, std::set<NodeId>> m_closed;
};

class Trial
{
public:
    explicit Trial(std::uint64_t seed)
        : m_world(seed)
        , m_oracle(m_world)
    {
        for (const char *name : {"banos-1", "banos-2", "banos-3", "banos-4"})
            m_world.addNode(name, "banos");
        for (const char *name : {"centro-1", "centro-2"})
            m_world.addNode(name, "el-centro");
        for (const char *name : {"r-1", "r-2", "r-3", "r-4"})
            m_world.addRunner(name, "banos");
        m_world.addRunner("s-1", "el-centro");
        m_stale = m_world.list();
        m_world.readLists();
        run(seconds(3));
    }

    void apply(const Action &action)
    {
        auto &first = *std::next(m_world.m_nodes.begin(), action.m_first % 6);
        auto &second = *std::next(m_world.m_nodes.begin(), action.m_second % 6);
        auto &runner = *std::next(m_world.m_runners.begin(), action.m_first % 5);
        switch (action.m_step) {
        case Step::Run:
            break;
        case Step::Cut:
            m_world.cut(first.first, second.first);
            break;
        case Step::CutOneWay:
            m_world.cutOneWay(first.first, second.first);
            break;
        case Step::Heal:
            m_world.heal();
            break;
        case Step::Pause:
            m_world.pause(first.second);
            break;
        case Step::Resume:
            resume(first.second);
            break;
        case Step::Restart:
            restart(first.second);
            break;
        case Step::Lose:
            m_world.m_loss = action.m_second % 2 == 0 ? 0.2 : 0;
            break;
        case Step::Delay:
            m_world.m_longestDelay = milliseconds(1 + action.m_second);
            break;
        case Step::Notice:
            notice(first.second, runner.second.m_declaration.m_vm);
            break;
        case Step::ZoneNotice:
            // Rare, as it ends most of what else can be observed.
            if (action.m_second < 10)
                notice(first.second, VmId());
            break;
        case Step::ReadList:
            readList(first.second, m_world.list());
            break;
        case Step::StaleList:
            readList(first.second, m_stale);
            break;
        case Step::StopRunner:
            runner.second.m_isUp = false;
            break;
        case Step::StartRunner:
            runner.second.m_isUp = true;
            ++runner.second.m_incarnation;
            break;
        }
        run(milliseconds(100 * action.m_tenths));
    }

    /// After all faults have ended, all nodes see each other and the same upstreams.
    void settle()
    {
        m_world.heal();
        m_world.m_loss = 0;
        m_world.m_longestDelay = milliseconds(5);
        for (auto &[name, node] : m_world.m_nodes)
            resume(node);
        for (auto &[name, runner] : m_world.m_runners)
            runner.m_isUp = true;
        run(seconds(40));
        const auto &reference = m_world.m_nodes.begin()->second.m_exchange->upstreams();
        for (auto &[name, node] : m_world.m_nodes) {
            const Membership &membership = node.m_exchange->membership();
            for (const NodeView &view : membership.nodes()) {
                RC_LOG() << name.text() << " holds " << view.m_identity.m_node.text() << " for "
                         << enumName(nodeStateNames, view.m_state) << ": " << view.m_reason << "\n";
                RC_ASSERT(view.m_state == NodeState::Alive);
            }
            RC_ASSERT(membership.nodes().size() == 5U);
            RC_ASSERT(node.m_exchange->upstreams().noticesDigest() == reference.noticesDigest());
            for (const auto &[upstream, runner] : m_world.m_runners) {
                const UpstreamView *view = node.m_exchange->upstreams().find(upstream);
                // A VM that returns long after its zone was reclaimed is outside the contract.
                if (!m_oracle.isBinding(upstream))
                    continue;
                RC_ASSERT(view->isOpen() == reference.find(upstream)->isOpen());
                const bool isOwn =
                        runner.m_declaration.m_dataCentre == node.m_identity.m_dataCentre;
                if (isOwn && view->isOpen())
                    RC_ASSERT(view->m_state == UpstreamState::Live);
            }
        }
    }

private:
    void run(Duration duration)
    {
        m_world.run(duration, [this] { m_oracle.check(); });
    }

    void resume(FleetWorld::Node &node)
    {
        if (node.m_isPaused)
            m_world.resume(node);
    }

    void restart(FleetWorld::Node &node)
    {
        m_world.start(node);
        m_oracle.restarted(node.m_identity.m_node);
        readList(node, m_world.list());
    }

    void readList(FleetWorld::Node &node, const std::vector<ListedUpstream> &list)
    {
        if (!node.m_isPaused)
            m_world.readList(node, list);
    }

    void notice(FleetWorld::Node &node, const VmId &vm)
    {
        if (node.m_isPaused)
            return;
        const DataCentreId zone = node.m_identity.m_dataCentre;
        const LeavingNotice notice = reclaimNotice(vm, zone, m_world.wall() + 20000, ++m_sequence);
        m_world.notice(node, notice);
        for (const auto &[upstream, runner] : m_world.m_runners) {
            const bool isMeant = vm.isEmpty() ? runner.m_declaration.m_dataCentre == zone
                                              : runner.m_declaration.m_vm == vm;
            if (isMeant)
                m_oracle.noticed(node.m_identity.m_node, upstream, notice.m_id, vm.isEmpty());
        }
    }

    FleetWorld m_world;
    Oracle m_oracle;
    std::vector<ListedUpstream> m_stale;
    std::int64_t m_sequence = 0;
};

} // namespace

// Failure guarded against: work is sent to an upstream although the node could have known that it
// is leaving, or a job is taken over from a node that works. Nodes are cut off in one direction or
// both, paused and restarted, and lose messages, while notices arrive at any of them and the list
// lags.
TEST_CASE("Views follow the truth of the network, and converge when it heals")
{
    const bool holds = rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto actions = *rc::gen::resize(longestStory,
                                              rc::gen::container<std::vector<Action>>(anyAction()));
        Trial trial(seed);
        for (const Action &action : actions)
            trial.apply(action);
        trial.settle();
    });
    CHECK(holds);
}
