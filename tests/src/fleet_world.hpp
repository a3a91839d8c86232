#pragma once

#include <gypsumdale/fleet/peer_exchange.hpp>

#include <pcg_random.hpp>

#include <functional> // function
#include <map> // map
#include <memory> // unique_ptr
#include <set> // set
#include <string> // string
#include <utility> // pair
#include <variant> // get, holds_alternative
#include <vector> // vector

namespace gypsumdale::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Several nodes, their upstreams and the network between them, on a clock that the test advances.
class FleetWorld
{
public:
    struct Runner
    {
        UpstreamDeclaration m_declaration;
        bool m_isUp = true;
        Incarnation m_incarnation = 1;
    };

    struct Node
    {
        NodeIdentity m_identity;
        std::unique_ptr<PeerExchange> m_exchange;
        bool m_isPaused = false;
        std::vector<std::function<void()>> m_inbox;
        std::vector<NodeStateChanged> m_nodeChanges;
        std::vector<TokensReported> m_tokens;
    };

    explicit FleetWorld(std::uint64_t seed = 1)
        : m_random(seed)
    {}

    /// Adds a node with all earlier ones as seeds.
    Node &addNode(const std::string &name, const std::string &dataCentre)
    {
        NodeIdentity identity;
        identity.m_node = NodeId(name);
        identity.m_dataCentre = DataCentreId(dataCentre);
        identity.m_region = RegionId("azuay");
        identity.m_address = "127.0.0.1";
        identity.m_port = static_cast<std::uint16_t>(7000 + m_nodes.size());
        Node &node = m_nodes[identity.m_node];
        node.m_identity = identity;
        start(node);
        return node;
    }

    void addRunner(const std::string &name, const std::string &dataCentre)
    {
        UpstreamDeclaration declaration;
        declaration.m_upstream = UpstreamId(name);
        declaration.m_service = ServiceId("asistente");
        declaration.m_dataCentre = DataCentreId(dataCentre);
        declaration.m_vm = VmId(name);
        m_runners[declaration.m_upstream] = Runner{declaration};
    }

    /// Starts the process of a node, or restarts it if it ran.
    void start(Node &node)
    {
        node.m_identity.m_incarnation = std::max(node.m_identity.m_incarnation + 1, wall());
        MembershipSettingsBuilder membership;
        membership.self(node.m_identity);
        for (const auto &[name, other] : m_nodes) {
            if (name != node.m_identity.m_node)
                membership.seed(other.m_identity);
        }
        UpstreamTableSettingsBuilder upstreams;
        upstreams.self(node.m_identity.m_node, node.m_identity.m_dataCentre);
        node.m_exchange =
                std::make_unique<PeerExchange>(membership.build(), upstreams.build(), m_now);
        node.m_inbox.clear();
        node.m_isPaused = false;
    }

    Node &node(const std::string &name) { return m_nodes.at(NodeId(name)); }
    PeerExchange &exchange(const std::string &name) { return *node(name).m_exchange; }

    void cut(const NodeId &left, const NodeId &right)
    {
        m_cuts.insert({left, right});
        m_cuts.insert({right, left});
    }
    void cutOneWay(const NodeId &from, const NodeId &to) { m_cuts.insert({from, to}); }
    void heal() { m_cuts.clear(); }
    bool isCut(const NodeId &from, const NodeId &to) const { return m_cuts.contains({from, to}); }

    void pause(Node &node) { node.m_isPaused = true; }
    void resume(Node &node)
    {
        node.m_isPaused = false;
        for (const auto &deliver : std::exchange(node.m_inbox, {}))
            deliver();
    }

    /// Passes the cloud's list to a node: the current one, or the given one.
    void readList(Node &node, const std::vector<ListedUpstream> &list)
    {
        take(node, node.m_exchange->onVmList({}, list, m_now, wall()));
    }
    std::vector<ListedUpstream> list() const
    {
        std::vector<ListedUpstream> result;
        for (const auto &[name, runner] : m_runners)
            result.push_back({runner.m_declaration, false});
        return result;
    }
    void readLists()
    {
        for (auto &[name, node] : m_nodes)
            readList(node, list());
    }

    void notice(Node &node, const LeavingNotice &notice)
    {
        take(node, node.m_exchange->onNotice(notice, m_now, wall()));
    }

    /// Advances time in steps of 50 ms; calls the check, if any, after each step.
    void run(Duration duration, const std::function<void()> &check = {})
    {
        constexpr Duration step = milliseconds(50);
        for (const TimePoint end = m_now + duration; m_now < end;) {
            m_now += step;
            while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
                const auto deliver = std::move(m_queue.begin()->second);
                m_queue.erase(m_queue.begin());
                deliver();
            }
            for (auto &[name, node] : m_nodes) {
                if (!node.m_isPaused)
                    take(node, node.m_exchange->tick(m_now, wall()));
            }
            if (check)
                check();
        }
    }

    TimePoint now() const { return m_now; }
    WallMillis wall() const
    {
        return std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
    }

    std::map<NodeId, Node> m_nodes;
    std::map<UpstreamId, Runner> m_runners;
    double m_loss = 0;
    Duration m_longestDelay = milliseconds(5);
    std::size_t m_messages = 0;

private:
    bool isLost() { return static_cast<double>(m_random(1000)) < m_loss * 1000; }

    void later(std::function<void()> action)
    {
        const auto longest = static_cast<std::uint32_t>(m_longestDelay / milliseconds(1));
        m_queue.emplace(m_now + milliseconds(1 + m_random(longest)), std::move(action));
    }

    /// Delivers something to a node; while the node is paused it waits there.
    void carry(const NodeId &from, const NodeId &to, std::function<void(Node &)> deliver)
    {
        ++m_messages;
        if (isCut(from, to) || isLost())
            return;
        later([this, to, deliver = std::move(deliver)] {
            Node &node = m_nodes.at(to);
            if (node.m_isPaused)
                node.m_inbox.push_back([&node, deliver] { deliver(node); });
            else
                deliver(node);
        });
    }

    void send(Node &from, const SendToPeer &sending)
    {
        const NodeId to = sending.m_to.m_node;
        const NodeId sender = from.m_identity.m_node;
        wire::PeerRequest request;
        request.sender = sender.text();
        request.body = sending.m_body;
        const std::string frame = wire::encodeRequest(request);
        carry(sender, to, [this, frame](Node &node) { receive(node, frame); });
    }

    void receive(Node &node, const std::string &frame)
    {
        const auto request = valueOf(wire::decodeRequest(frame));
        const NodeId sender(request.sender);
        if (request.body.__isset.leavingNotices) {
            const auto &notices = request.body.leavingNotices;
            take(node, node.m_exchange->onNotices(notices, sender, m_now, wall()));
            return;
        }
        auto answered = node.m_exchange->onHeartbeat(request.body.heartbeat, m_now, wall());
        take(node, std::move(answered.m_commands));
        const wire::Heartbeat reply = answered.m_reply.heartbeat;
        carry(node.m_identity.m_node, sender, [this, reply](Node &asker) {
            take(asker, asker.m_exchange->onReply(reply, m_now, wall()));
        });
    }

    void probe(Node &node, const ProbeUpstream &probe)
    {
        const NodeId asker = node.m_identity.m_node;
        later([this, asker, upstream = probe.m_upstream] {
            Node &at = m_nodes.at(asker);
            const auto runner = m_runners.find(upstream);
            if (at.m_isPaused)
                return;
            if (runner == m_runners.end() || !runner->second.m_isUp) {
                take(at, at.m_exchange->onProbeFailed(upstream, "refused", m_now));
                return;
            }
            const UpstreamLoad load{runner->second.m_incarnation, 8, 1, 0, 0};
            take(at, at.m_exchange->onLoad(upstream, load, m_now));
        });
    }

    void take(Node &node, ExchangeCommands commands)
    {
        const auto visitor = Overloaded{
                [&](const SendToPeer &sending) { send(node, sending); },
                [&](const NodeStateChanged &change) { node.m_nodeChanges.push_back(change); },
                [&](const OwnIncarnationRaised &raised) {
                    node.m_identity.m_incarnation = raised.m_incarnation;
                },
                [&](const ProbeUpstream &asked) { probe(node, asked); },
                [&](const TokensReported &report) { node.m_tokens.push_back(report); },
                [](const auto &) {},
        };
        for (const ExchangeCommand &command : commands)
            std::visit(visitor, command);
    }

    TimePoint m_now = TimePoint() + seconds(100000);
    std::set<std::pair<NodeId, NodeId>> m_cuts;
    std::multimap<TimePoint, std::function<void()>> m_queue;
    pcg32 m_random;
};

} // namespace gypsumdale::test
