#pragma once

#include <gypsumdale/fleet/peer_exchange.hpp>

#include <pcg_random.hpp>

#include <cstdint> // uint64_t
#include <deque> // deque
#include <map> // map
#include <memory> // unique_ptr
#include <vector> // vector

namespace gypsumdale::bench {

/// The size of a mesh.
struct MeshSize
{
    int m_nodes = 4;
    int m_runners = 0;
    int m_members = 0;
};

/// Cost of one node per second of its own clock.
struct MeshCost
{
    double m_microseconds = 0;
    double m_bytesSent = 0;
    double m_heartbeats = 0;
    double m_probes = 0;
    double m_memory = 0;
};

/// All nodes of a data centre in one process. Each message is encoded and decoded; none is delayed
/// or lost. Each probe reports a different load, and the tokens of each member grow on every node
/// each second.
class Mesh
{
public:
    explicit Mesh(MeshSize size);

    /// Runs the mesh until it is stable, then measures it and returns the mean cost of a node.
    MeshCost measure();

private:
    struct Node
    {
        NodeIdentity m_identity;
        std::unique_ptr<PeerExchange> m_exchange;
    };
    struct Sending
    {
        std::size_t m_from = 0;
        SendToPeer m_message;
    };

    void addNode(int number);
    void run(Duration duration);
    void serveMembers();
    void handleCommands(std::size_t from, ExchangeCommands &&commands);
    void deliver();
    void deliverOne(const Sending &sending);
    WallMillis wall() const;

    MeshSize m_size;
    std::vector<Node> m_nodes;
    std::map<NodeId, std::size_t> m_numbers;
    std::deque<Sending> m_queue;
    TimePoint m_now = TimePoint() + std::chrono::seconds(1000);
    std::int64_t m_tokens = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_heartbeats = 0;
    std::uint64_t m_probes = 0;
    pcg32 m_random{7};
};

} // namespace gypsumdale::bench
