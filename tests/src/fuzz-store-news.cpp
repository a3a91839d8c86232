#include <gypsumdale/serving/follower_state.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array> // array
#include <cstdint> // int64_t, uint32_t
#include <deque> // deque
#include <map> // map
#include <string> // to_string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t readerCount = 2;
constexpr std::uint32_t upstreamCount = 6;
constexpr Duration heartbeat = 1200ms;
/// A list without a confirmation for this long may be missing entries of upstreams that are
/// running.
constexpr Duration longUnconfirmed = 2 * heartbeat;
/// For this long after that, the list may hold entries that were removed.
constexpr Duration keptFor = 2s;

/// A list of upstreams with all its changes, as stored. The port of an upstream represents what it
/// wrote last.
class Store
{
public:
    void change(const UpstreamId &id, bool isRemoved)
    {
        if (isRemoved && !m_now.contains(id))
            return;
        UpstreamChange change;
        if (isRemoved)
            change.m_kind = UpstreamChangeKind::Removed;
        change.m_record.m_id = id;
        change.m_record.m_port = static_cast<std::uint16_t>(m_changes.size() + 1);
        m_changes.push_back(change);
        if (isRemoved)
            m_now.erase(id);
        else
            m_now[id] = change.m_record;
        m_states.push_back(m_now);
    }

    std::int64_t revision() const { return static_cast<std::int64_t>(m_changes.size()) + 1; }
    const std::map<UpstreamId, UpstreamRecord> &at(std::int64_t revision) const
    {
        return m_states.at(static_cast<std::size_t>(revision - 1));
    }

    /// Applies some of the missing changes to a list, or the full list if it has none.
    void read(UpstreamFeed &feed, std::size_t most, TimePoint now) const
    {
        if (!feed.isKnown()) {
            feed.replaceAll({revision(), m_now, {}}, now);
            return;
        }
        std::vector<UpstreamChange> changes;
        auto next = static_cast<std::size_t>(feed.revision() - 1);
        for (; next < m_changes.size() && changes.size() < most; ++next)
            changes.push_back(m_changes[next]);
        feed.apply(changes, static_cast<std::int64_t>(next) + 1, now);
    }

private:
    std::vector<UpstreamChange> m_changes;
    std::map<UpstreamId, UpstreamRecord> m_now;
    std::vector<std::map<UpstreamId, UpstreamRecord>> m_states{{}};
};

/// A VM that reads the store, with its state about the follower.
struct Reader
{
    UpstreamFeed m_feed{heartbeat};
    FollowerState m_follower;
};

struct Message
{
    std::size_t m_reader = 0;
    int m_life = 0;
    UpstreamListUpdate m_news;
};

class World
{
public:
    explicit World(bool hasOutages)
        : m_hasOutages(hasOutages)
    {}

    void step(std::uint32_t value)
    {
        m_now += std::chrono::milliseconds(value % 200);
        const TimePoint confirmedAt = m_follower.confirmedAt();
        const std::size_t reader = (value >> 8U) % readerCount;
        const std::uint32_t amount = (value >> 12U) % 4;
        const UpstreamId id(std::to_string((value >> 16U) % upstreamCount));
        switch ((value >> 20U) % 16) {
        case 0:
        case 1:
        case 2:
            m_store.change(id, amount == 0);
            break;
        case 3:
        case 4:
        case 5:
            read(m_readers[reader], amount);
            break;
        case 6:
        case 7:
        case 8:
            tell(reader);
            break;
        case 9:
        case 10:
        case 11:
            deliver(amount, true);
            break;
        case 12:
            deliver(amount, false);
            break;
        case 13:
            m_store.read(m_follower, amount, m_now);
            break;
        case 14:
            disturb(reader, amount);
            break;
        default:
            if (!m_messages.empty())
                m_messages.pop_front();
            break;
        }
        if (m_follower.confirmedAt() - confirmedAt >= longUnconfirmed)
            m_mayKeepUntil = m_now + keptFor;
        m_follower.expire(m_now);
        check();
    }

    /// All messages arrive again.
    void heal()
    {
        m_messages.clear();
        for (int round = 0; round < 8; ++round) {
            m_now += 1s;
            for (std::size_t reader = 0; reader < readerCount; ++reader) {
                read(m_readers[reader], 1000);
                tell(reader);
                deliver(0, true);
            }
            m_follower.expire(m_now);
        }
        RC_ASSERT(m_follower.revision() == m_store.revision());
        RC_ASSERT(holds(m_store.at(m_store.revision()), true));
    }

private:
    void read(Reader &reader, std::size_t most)
    {
        m_store.read(reader.m_feed, most, m_now);
        reader.m_feed.expire(m_now);
    }

    void tell(std::size_t index)
    {
        Reader &reader = m_readers[index];
        if (!reader.m_feed.isKnown())
            return;
        m_messages.push_back(
                {index, m_lives[index], reader.m_follower.updateFor(reader.m_feed, m_now)});
    }

    /// Delivers one of the messages under way. Without an answer it stays under way, like a
    /// duplicate.
    void deliver(std::size_t which, bool isAnswered)
    {
        if (m_messages.empty())
            return;
        const auto at = m_messages.begin() + static_cast<std::ptrdiff_t>(which % m_messages.size());
        const Message message = *at;
        const auto taking = m_follower.take(message.m_news, m_now, m_now);
        if (!isAnswered)
            return;
        m_messages.erase(at);
        if (m_lives[message.m_reader] != message.m_life)
            return;
        FollowerState &state = m_readers[message.m_reader].m_follower;
        if (taking == UpstreamFeed::ApplyResult::ChangesMissing)
            state.onMissingChanges();
        else
            state.onApplied(message.m_news);
    }

    void disturb(std::size_t reader, std::uint32_t how)
    {
        if (how == 0) {
            m_follower = UpstreamFeed(heartbeat);
        } else if (how == 1) {
            m_readers[reader] = Reader();
            ++m_lives[reader];
        } else if (m_hasOutages) {
            m_readers[reader].m_feed.onStoreUnavailable();
        }
    }

    /// Failed reads are no reason to retain entries that the store removed; a missing confirmation
    /// is.
    void check()
    {
        const bool isExact = !m_hasOutages || m_now > m_mayKeepUntil;
        if (m_follower.isKnown())
            RC_ASSERT(holds(m_store.at(m_follower.revision()), isExact));
    }

    /// Returns whether the follower has this list. After outages it may hold more entries for a
    /// while.
    bool holds(const std::map<UpstreamId, UpstreamRecord> &truth, bool isExact) const
    {
        const auto &held = m_follower.upstreams();
        for (const auto &[id, record] : truth) {
            const auto found = held.find(id);
            if (found == held.end() || found->second.m_port != record.m_port)
                return false;
        }
        return !isExact || held.size() == truth.size();
    }

    bool m_hasOutages;
    Store m_store;
    std::array<Reader, readerCount> m_readers;
    std::array<int, readerCount> m_lives{};
    UpstreamFeed m_follower{heartbeat};
    std::deque<Message> m_messages;
    TimePoint m_now{1h};
    TimePoint m_mayKeepUntil{};
};

void checkWorlds(bool hasOutages)
{
    // Many rounds, as a follower that restarts and gets its update from the reader that is behind
    // the other is rare.
    constexpr std::uint32_t rounds = 6;
    constexpr int lengthening = 10;
    for (std::uint32_t round = 0; round < rounds; ++round) {
        REQUIRE(rc::check([hasOutages, round] {
            const auto steps =
                    *rc::gen::scale(lengthening, rc::gen::container<std::vector<std::uint32_t>>(
                                                         rc::gen::arbitrary<std::uint32_t>()));
            World world(hasOutages);
            for (const std::uint32_t value : steps)
                world.step(value ^ (round * 0x9e3779b9U));
            world.heal();
        }));
    }
}

} // namespace

// An engine's leaving notice reaches an entry VM through one of two readers while messages are
// lost, duplicated and reordered, readers and follower restart, and each has read a different part
// of the store's changes. Guards against entries that reappear or were never removed: their engine
// would receive requests after it has left.
TEST_CASE("a follower's list is the store's at its revision")
{
    checkWorlds(false);
}

// Reads fail from time to time while the store stays available and engines leave. Guards against
// entries that a reader or the follower retained although the store was never unavailable: their
// engines received requests after they had left.
TEST_CASE("a follower's list is the store's in the end after outages of the store")
{
    checkWorlds(true);
}
