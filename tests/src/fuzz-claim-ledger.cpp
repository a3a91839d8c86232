#include <gypsumdale/ledger/claim_ledger.hpp>

#include <support/claim_world.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque> // deque
#include <map> // map
#include <memory> // unique_ptr
#include <set> // set
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;
using testing::ClaimNode;

namespace {

constexpr std::size_t nodeCount = 3;
constexpr std::uint32_t keyCount = 4;
constexpr Duration retention = 2h;

/// Random numbers drawn from one generated integer, so that shrinking works on plain integers.
class Draw
{
public:
    explicit Draw(std::uint32_t value)
        : m_value(value)
    {}

    std::uint32_t below(std::uint32_t limit)
    {
        m_value = m_value * 1664525U + 1013904223U;
        return (m_value >> 8) % limit;
    }

private:
    std::uint32_t m_value;
};

/// The oracle: records what the services received and what results the callers got.
class Oracle
{
public:
    void requested(const ClaimRequest &request) { m_requests[request.m_attempt] = request; }

    void ran(const AttemptId &attempt, TimePoint now)
    {
        RC_ASSERT(m_saidNotRun.count(attempt) == 0U);
        RC_ASSERT(m_ran.insert(attempt).second);
        const std::string &key = m_requests.at(attempt).m_key;
        const auto last = m_lastRun.find(key);
        RC_ASSERT(last == m_lastRun.end() || now - last->second > retention);
        m_lastRun[key] = now;
    }

    void said(const AttemptId &attempt, const ClaimResult &result)
    {
        const ClaimRequest &own = m_requests.at(attempt);
        if (std::holds_alternative<NotRun>(result)) {
            RC_ASSERT(m_ran.count(attempt) == 0U);
            m_saidNotRun.insert(attempt);
        }
        if (const auto *done = std::get_if<AlreadyDone>(&result)) {
            RC_ASSERT(m_ran.count(done->m_attempt) == 1U);
            RC_ASSERT(m_requests.at(done->m_attempt).m_key == own.m_key);
            RC_ASSERT(m_requests.at(done->m_attempt).m_bodyDigest == own.m_bodyDigest);
        }
        if (const auto *granted = std::get_if<Granted>(&result))
            RC_ASSERT(granted->m_attempt == attempt);
    }

    std::size_t runs() const { return m_ran.size(); }

private:
    std::map<AttemptId, ClaimRequest> m_requests;
    std::map<std::string, TimePoint> m_lastRun;
    std::set<AttemptId> m_ran;
    std::set<AttemptId> m_saidNotRun;
};

struct InFlight
{
    ShardCommand m_command;
    std::optional<LogAnswer> m_answer;
};

struct Forward
{
    std::size_t m_from = 0;
    int m_fromLife = 0;
    ClaimTicket m_ticket = 0;
    ClaimRequest m_request;
    std::optional<ClaimResult> m_reply;
};

struct Node
{
    std::unique_ptr<ClaimNode> m_node;
    int m_life = 0;
    bool m_paused = false;
    std::deque<InFlight> m_inFlight;
    std::map<ClaimTicket, ClaimRequest> m_own;
    std::map<ClaimTicket, Forward> m_forPeers;
    std::deque<AttemptId> m_granted;
};

class World
{
public:
    World()
    {
        for (std::size_t index = 0; index < nodeCount; ++index)
            restart(index);
    }

    void step(std::uint32_t value)
    {
        Draw draw(value);
        const std::uint32_t what = draw.below(32);
        const std::size_t index = draw.below(nodeCount);
        Node &node = m_nodes[index];
        if (what == 0)
            restart(index);
        else if (what == 1)
            node.m_paused = !node.m_paused;
        else if (what < 4)
            elapse(draw);
        else if (what == 4)
            lateCreate(draw);
        else if (!node.m_paused)
            act(what, index, draw);
        collectAll();
    }

    /// Ends all faults and executes all commands.
    void heal()
    {
        for (Node &node : m_nodes)
            node.m_paused = false;
        for (int round = 0; round < 100; ++round) {
            m_now += 1s;
            for (std::size_t index = 0; index < nodeCount; ++index) {
                answerOldest(m_nodes[index]);
                while (issue(index))
                    answerOldest(m_nodes[index]);
            }
            collectAll();
        }
    }

    bool claimsAgain(std::size_t index)
    {
        ClaimNode &node = *m_nodes[index].m_node;
        const ClaimRequest request = node.request("m", "fresh", "body", m_now + 10s);
        m_oracle.requested(request);
        const ClaimTicket ticket = node.m_ledger.begin(request, moment(index));
        m_nodes[index].m_own[ticket] = request;
        heal();
        const auto result = node.result(ticket);
        return result && std::holds_alternative<Granted>(*result);
    }

    std::size_t runs() const { return m_oracle.runs(); }

private:
    Moment moment(std::size_t index) const
    {
        const auto millis =
                std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
        return {m_now, 1'000'000'000 + millis.count() + static_cast<WallMillis>(index) * 1000};
    }

    void restart(std::size_t index)
    {
        Node &node = m_nodes[index];
        for (InFlight &inFlight : node.m_inFlight)
            m_late.push_back(inFlight.m_command);
        const int life = node.m_life + 1;
        node = Node{};
        node.m_life = life;
        const std::string name = fmt::format("n{}", index);
        auto builder = ClaimLedgerBuilder(NodeId(name), fmt::format("{}#{}", name, life))
                               .shards(2)
                               .retention(retention)
                               .clockTolerance(5s)
                               .claimTimeout(5s)
                               .trimDelay(2min)
                               .endTrustDuration(30s)
                               .compactionThreshold(6)
                               .writeInterval(0ms)
                               .shardIdleTimeout(1min);
        node.m_node = std::make_unique<ClaimNode>(name, life, builder);
    }

    void elapse(Draw &draw)
    {
        static constexpr Duration steps[] = {10ms,  10ms, 50ms, 100ms, 300ms, 600ms, 600ms, 1s,
                                             600ms, 3s,   3s,   10s,   1min,  3min,  10min, 3h};
        m_now += steps[draw.below(std::size(steps))];
    }

    void lateCreate(Draw &draw)
    {
        if (m_late.empty())
            return;
        const std::size_t which = draw.below(static_cast<std::uint32_t>(m_late.size()));
        m_platform.perform(m_late[which]);
        m_late.erase(m_late.begin() + static_cast<std::ptrdiff_t>(which));
    }

    void act(std::uint32_t what, std::size_t index, Draw &draw)
    {
        Node &node = m_nodes[index];
        if (what < 8)
            submit(index, draw);
        else if (what < 10)
            forward(index, draw);
        else if (what < 12)
            deliver(index, draw);
        else if (what == 12)
            node.m_node->m_ledger.advance(moment(index));
        else if (what < 16)
            run(index, draw);
        else if (what < 22)
            issue(index);
        else if (what < 25)
            fault(node, draw);
        else
            pump(index, draw.below(6));
    }

    void pump(std::size_t index, std::uint32_t commands)
    {
        answerOldest(m_nodes[index]);
        for (std::uint32_t count = 0; count < commands && issue(index); ++count)
            answerOldest(m_nodes[index]);
    }

    ClaimRequest makeRequest(std::size_t index, Draw &draw)
    {
        const std::string key = fmt::format("key{}", draw.below(keyCount));
        const std::string body = draw.below(8) == 0 ? "other" : "body";
        const Duration claimTimeout = draw.below(2) == 0 ? Duration(2s) : Duration(2min);
        ClaimRequest request = m_nodes[index].m_node->request("m", key, body, m_now + claimTimeout);
        m_oracle.requested(request);
        return request;
    }

    void submit(std::size_t index, Draw &draw)
    {
        const ClaimRequest request = makeRequest(index, draw);
        Node &node = m_nodes[index];
        node.m_own[node.m_node->m_ledger.begin(request, moment(index))] = request;
    }

    void forward(std::size_t index, Draw &draw)
    {
        const ClaimRequest request = makeRequest(index, draw);
        Node &node = m_nodes[index];
        const ClaimTicket ticket = node.m_node->m_ledger.beginForwarded(request, moment(index));
        node.m_own[ticket] = request;
        m_forwards.push_back({index, node.m_life, ticket, request, std::nullopt});
    }

    /// Delivers the oldest message between nodes: a forwarded claim or its reply.
    void deliver(std::size_t index, Draw &draw)
    {
        if (m_forwards.empty())
            return;
        Forward message = m_forwards.front();
        m_forwards.pop_front();
        Node &sender = m_nodes[message.m_from];
        const bool isLost = draw.below(3) == 0;
        const bool senderLives = sender.m_life == message.m_fromLife && !sender.m_paused;
        if (isLost) {
            if (senderLives)
                sender.m_node->m_ledger.onForwardLost(message.m_ticket, moment(message.m_from));
            // The sender gave up, but the claim may still arrive.
            if (draw.below(2) == 0)
                m_forwards.push_back(message);
            return;
        }
        if (message.m_reply && senderLives)
            sender.m_node->m_ledger.onForwardResult(message.m_ticket, *message.m_reply,
                                                    moment(message.m_from));
        if (message.m_reply || index == message.m_from)
            return;
        Node &node = m_nodes[index];
        const NodeId peer(fmt::format("n{}", message.m_from));
        const ClaimTicket ticket =
                node.m_node->m_ledger.beginForPeer(message.m_request, peer, moment(index));
        node.m_forPeers[ticket] = message;
    }

    void run(std::size_t index, Draw &draw)
    {
        Node &node = m_nodes[index];
        if (node.m_granted.empty())
            return;
        const AttemptId attempt = node.m_granted.front();
        node.m_granted.pop_front();
        ClaimLedger &ledger = node.m_node->m_ledger;
        if (!ledger.start(attempt, moment(index)))
            return;
        RC_ASSERT(!ledger.start(attempt, moment(index)));
        const std::uint32_t how = draw.below(6);
        if (how != 0 && how != 1)
            m_oracle.ran(attempt, m_now);
        if (how == 0) {
            m_oracle.said(attempt, NotRun{});
            ledger.finish(attempt, Outcome::NotRun, {}, moment(index));
        } else if (how == 1 || how == 2) {
            ledger.finish(attempt, Outcome::Unknown, {}, moment(index));
        } else if (how == 3) {
            restart(index);
        } else {
            ledger.finish(attempt, Outcome::Done, {200, "text/plain", "ok"}, moment(index));
        }
    }

    bool issue(std::size_t index)
    {
        Node &node = m_nodes[index];
        auto command = node.m_node->m_ledger.next(moment(index));
        if (command)
            node.m_inFlight.push_back({std::move(*command), std::nullopt});
        return command.has_value();
    }

    void fault(Node &node, Draw &draw)
    {
        if (node.m_inFlight.empty())
            return;
        InFlight &oldest = node.m_inFlight.front();
        switch (draw.below(5)) {
        case 0: // it takes effect, but its answer is delayed
            if (!oldest.m_answer)
                oldest.m_answer = m_platform.perform(oldest.m_command);
            return;
        case 1: // it takes effect and the answer is lost
            if (!oldest.m_answer)
                m_platform.perform(oldest.m_command);
            oldest.m_answer = LogAnswerLost{};
            return;
        case 2: // it may take effect later
            if (!oldest.m_answer)
                m_late.push_back(oldest.m_command);
            oldest.m_answer = LogAnswerLost{};
            return;
        case 3: // outage
            oldest.m_answer = oldest.m_answer ? LogAnswer(LogAnswerLost{500ms})
                                              : LogAnswer(LogRefused{500ms});
            return;
        default: // it never takes effect
            oldest.m_answer = LogAnswerLost{100ms};
        }
    }

    void answerOldest(Node &node)
    {
        if (node.m_inFlight.empty())
            return;
        const InFlight oldest = node.m_inFlight.front();
        node.m_inFlight.pop_front();
        const std::size_t index = static_cast<std::size_t>(&node - m_nodes);
        const LogAnswer answer =
                oldest.m_answer ? *oldest.m_answer : m_platform.perform(oldest.m_command);
        node.m_node->m_ledger.onAnswer(oldest.m_command.m_shard, answer, moment(index));
    }

    void collectAll()
    {
        for (std::size_t index = 0; index < nodeCount; ++index) {
            if (!m_nodes[index].m_paused)
                collect(index);
        }
    }

    void collect(std::size_t index)
    {
        Node &node = m_nodes[index];
        for (const ClaimEvent &event : node.m_node->m_ledger.takeEvents()) {
            if (const auto *toForward = std::get_if<RecordToForward>(&event)) {
                Node &other = m_nodes[(index + 1) % nodeCount];
                RC_ASSERT(succeeded(other.m_node->m_ledger.appendForPeer(
                        toForward->m_shard, toForward->m_record, moment(index))));
            }
            if (const auto *decided = std::get_if<ClaimDecided>(&event))
                decidedAt(index, *decided);
        }
    }

    void decidedAt(std::size_t index, const ClaimDecided &decided)
    {
        Node &node = m_nodes[index];
        node.m_node->m_results[decided.m_ticket] = decided.m_result;
        const auto forPeer = node.m_forPeers.find(decided.m_ticket);
        if (forPeer != node.m_forPeers.end()) {
            forPeer->second.m_reply = decided.m_result;
            m_forwards.push_back(forPeer->second);
            node.m_forPeers.erase(forPeer);
            return;
        }
        const ClaimRequest &request = node.m_own.at(decided.m_ticket);
        m_oracle.said(request.m_attempt, decided.m_result);
        if (std::holds_alternative<Granted>(decided.m_result))
            node.m_granted.push_back(request.m_attempt);
    }

    Oracle m_oracle;
    testing::MemoryClaimPlatform m_platform;
    Node m_nodes[nodeCount];
    TimePoint m_now{1h};
    std::vector<ShardCommand> m_late;
    std::deque<Forward> m_forwards;
};

} // namespace

TEST_CASE("claims under faults in any order")
{
    constexpr std::uint32_t rounds = 80;
    constexpr int lengthening = 10;
    std::size_t runs = 0;
    for (std::uint32_t round = 0; round < rounds; ++round) {
        const bool holds = rc::check("a key runs at most once, and what is said stays true", [&] {
            const auto steps = *rc::gen::scale(
                    lengthening, rc::gen::container<std::vector<std::uint32_t>>(
                                         rc::gen::inRange<std::uint32_t>(0, 1U << 30U)));
            World world;
            for (const std::uint32_t value : steps)
                world.step(value ^ (round << 24U));
            world.heal();
            RC_ASSERT(world.claimsAgain(0));
            runs += world.runs();
        });
        REQUIRE(holds);
    }
    // Enough requests must succeed despite the faults to make the oracle meaningful.
    CHECK(runs > 1000);
}
