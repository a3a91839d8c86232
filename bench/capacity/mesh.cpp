#include "bench/capacity/mesh.hpp"

#include "bench/capacity/measure.hpp"

#include <fmt/format.h>

#include <utility> // move

namespace gypsumdale::bench {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(50);
constexpr Duration settlingTime = std::chrono::seconds(30);
constexpr Duration measuredTime = std::chrono::seconds(60);
constexpr int slotsPerRunner = 16;

} // namespace

Mesh::Mesh(MeshSize size)
    : m_size(size)
{
    for (int number = 0; number < size.m_nodes; ++number)
        addNode(number);
    std::vector<ListedUpstream> listed;
    for (int number = 0; number < size.m_runners; ++number) {
        UpstreamDeclaration runner;
        runner.m_upstream = UpstreamId(fmt::format("runner-olten-a-{:05}", number));
        runner.m_service = ServiceId("gypsum-llm");
        runner.m_dataCentre = DataCentreId("olten-a");
        runner.m_vm = VmId(runner.m_upstream.text());
        runner.m_address = fmt::format("10.0.{}.{}", number / 250, number % 250);
        runner.m_port = 8000;
        listed.push_back({runner, false});
    }
    for (std::size_t number = 0; number < m_nodes.size(); ++number)
        handleCommands(number, m_nodes[number].m_exchange->onVmList({}, listed, m_now, wall()));
}

void Mesh::addNode(int number)
{
    Node node;
    node.m_identity.m_node = NodeId(fmt::format("olten-a-{}", number));
    node.m_identity.m_dataCentre = DataCentreId("olten-a");
    node.m_identity.m_region = RegionId("ch-mittelland");
    node.m_identity.m_address = fmt::format("10.1.0.{}", number);
    node.m_identity.m_port = 7000;
    node.m_identity.m_incarnation = wall();
    MembershipSettingsBuilder membership;
    membership.self(node.m_identity);
    for (const Node &other : m_nodes)
        membership.seed(other.m_identity);
    UpstreamTableSettingsBuilder upstreams;
    upstreams.self(node.m_identity.m_node, node.m_identity.m_dataCentre);
    node.m_exchange = std::make_unique<PeerExchange>(membership.build(), upstreams.build(), m_now);
    m_numbers[node.m_identity.m_node] = m_nodes.size();
    m_nodes.push_back(std::move(node));
}

WallMillis Mesh::wall() const
{
    const auto now = m_now.time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

MeshCost Mesh::measure()
{
    run(settlingTime);
    m_bytes = 0;
    m_heartbeats = 0;
    m_probes = 0;
    const Stopwatch watch;
    run(measuredTime);
    const double seconds = std::chrono::duration<double>(measuredTime).count();
    const double nodeSeconds = seconds * static_cast<double>(m_nodes.size());
    MeshCost cost;
    cost.m_microseconds = watch.nanos() / 1000 / nodeSeconds;
    cost.m_bytesSent = static_cast<double>(m_bytes) / nodeSeconds;
    cost.m_heartbeats = static_cast<double>(m_heartbeats) / nodeSeconds;
    cost.m_probes = static_cast<double>(m_probes) / nodeSeconds;
    return cost;
}

void Mesh::run(Duration duration)
{
    const TimePoint end = m_now + duration;
    while (m_now < end) {
        m_now += tickInterval;
        if (m_now.time_since_epoch() % std::chrono::seconds(1) == Duration::zero())
            serveMembers();
        for (std::size_t number = 0; number < m_nodes.size(); ++number)
            handleCommands(number, m_nodes[number].m_exchange->tick(m_now, wall()));
        deliver();
    }
}

void Mesh::serveMembers()
{
    ++m_tokens;
    for (Node &node : m_nodes) {
        for (int member = 0; member < m_size.m_members; ++member) {
            const MemberId id(fmt::format("member-{:04}", member));
            node.m_exchange->setOwnTokens(id, m_tokens * 100);
        }
    }
}

void Mesh::handleCommands(std::size_t from, ExchangeCommands &&commands)
{
    for (ExchangeCommand &command : commands) {
        if (auto *sending = std::get_if<SendToPeer>(&command)) {
            m_queue.push_back({from, std::move(*sending)});
        } else if (const auto *probe = std::get_if<ProbeUpstream>(&command)) {
            ++m_probes;
            const int running = static_cast<int>(m_random(slotsPerRunner));
            const UpstreamLoad load{1, slotsPerRunner, running, 0, 40000};
            handleCommands(from, m_nodes[from].m_exchange->onLoad(probe->m_upstream, load, m_now));
        }
    }
}

void Mesh::deliver()
{
    while (!m_queue.empty()) {
        const Sending sending = std::move(m_queue.front());
        m_queue.pop_front();
        deliverOne(sending);
    }
}

void Mesh::deliverOne(const Sending &sending)
{
    const Node &sender = m_nodes[sending.m_from];
    wire::PeerRequest request;
    request.sender = sender.m_identity.m_node.text();
    request.incarnation = sender.m_identity.m_incarnation;
    request.sentAtMillis = wall();
    request.body = sending.m_message.m_body;
    request.proof = wire::makeProof("credential of the peers", request);
    const std::string frame = wire::encodeRequest(request);
    m_bytes += frame.size();

    const std::size_t to = m_numbers.at(sending.m_message.m_to.m_node);
    PeerExchange &receiver = *m_nodes[to].m_exchange;
    const auto received = valueOf(wire::decodeRequest(frame));
    if (!received.body.__isset.heartbeat)
        return;
    ++m_heartbeats;
    sender.m_exchange->recordHeartbeatBytes(frame.size());
    auto answered = receiver.onHeartbeat(received.body.heartbeat, m_now, wall());
    handleCommands(to, std::move(answered.m_commands));
    wire::PeerReply reply;
    reply.sender = m_nodes[to].m_identity.m_node.text();
    reply.body = answered.m_reply;
    const std::string answer = wire::encodeReply(reply);
    m_bytes += answer.size();
    const auto decoded = valueOf(wire::decodeReply(answer));
    handleCommands(sending.m_from,
                   sender.m_exchange->onReply(decoded.body.heartbeat, m_now, wall()));
}

} // namespace gypsumdale::bench
