#pragma once

#include <gypsumdale/observe/decision_journal.hpp>

#include <array> // array
#include <cstdint> // uint32_t, uint8_t
#include <functional> // equal_to, hash
#include <memory_resource> // memory_resource
#include <string> // string
#include <string_view> // string_view
#include <unordered_map> // unordered_map
#include <vector> // vector

namespace gypsumdale::detail {

/// Counts the bytes that containers hold, so that a bound on memory can be tested.
class CountingResource : public std::pmr::memory_resource
{
public:
    std::size_t bytes() const { return m_bytes; }

private:
    void *do_allocate(std::size_t bytes, std::size_t alignment) override;
    void do_deallocate(void *place, std::size_t bytes, std::size_t alignment) override;
    bool do_is_equal(const std::pmr::memory_resource &other) const noexcept override;

    std::size_t m_bytes = 0;
};

/// The latest events of one kind of subject, in a ring of slots. The slots of one subject are
/// chained from its oldest to its newest, so that a history is found without a search. The slot
/// overwritten next is the oldest of all, hence the first of its subject's chain.
class EventRing
{
public:
    explicit EventRing(std::size_t limit);
    EventRing(const EventRing &) = delete;
    EventRing &operator=(const EventRing &) = delete;

    /// Constant on average.
    void record(std::string_view subject, WallMillis at, Decision what, DecisionReason why,
                std::string_view detail);

    /// Returns the events of a subject, oldest first. Linear in them.
    std::vector<DecisionEvent> history(std::string_view subject, const NodeId &node) const;

    std::size_t size() const { return m_slots.size(); }
    std::size_t memoryBytes() const { return m_memory.bytes(); }

    /// Returns the most bytes that a ring of this limit ever uses.
    static std::size_t memoryBound(std::size_t limit);

private:
    using Place = std::uint32_t;
    static constexpr Place noPlace = UINT32_MAX;

    struct Chain
    {
        Place m_first = noPlace;
        Place m_last = noPlace;
    };
    struct TextHash
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming)
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };
    using Index = std::pmr::unordered_map<std::pmr::string, Chain, TextHash, std::equal_to<>>;
    struct Slot
    {
        /// The index entry that this slot is chained to; entries of the map stay where they are.
        Index::value_type *m_entry = nullptr;
        WallMillis m_at = 0;
        Place m_next = noPlace;
        Decision m_what = Decision::Received;
        DecisionReason m_why = DecisionReason::None;
        std::uint8_t m_detailBytes = 0;
        std::array<char, maxDecisionDetailBytes> m_detail{};
    };

    Place takeSlot();
    void unchain(const Slot &slot);
    Index::value_type &entryOf(std::string_view subject);
    void append(Index::value_type &entry, Place place);

    std::size_t m_limit;
    Place m_oldest = 0;
    CountingResource m_memory;
    Index m_index;
    std::pmr::vector<Slot> m_slots;
};

} // namespace gypsumdale::detail
