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

/// Memory resource that counts the allocated bytes, so that a memory bound can be tested.
class CountingResource : public std::pmr::memory_resource
{
public:
    std::size_t bytes() const { return m_bytes; }

private:
    void *do_allocate(std::size_t bytes, std::size_t alignment) override;
    void do_deallocate(void *memory, std::size_t bytes, std::size_t alignment) override;
    bool do_is_equal(const std::pmr::memory_resource &other) const noexcept override;

    std::size_t m_bytes = 0;
};

/// Ring buffer of the latest events of one kind of subject. The slots of a subject are linked from
/// the oldest to the newest, so that its history is found without a search. The slot that is
/// overwritten next holds the oldest event of all and is therefore the first in its subject's
/// chain.
class EventRing
{
public:
    explicit EventRing(std::size_t limit);
    EventRing(const EventRing &) = delete;
    EventRing &operator=(const EventRing &) = delete;

    /// Records an event, replacing the oldest one if the ring is full. Complexity: constant on
    /// average.
    void record(std::string_view subject, WallMillis at, Decision what, DecisionReason why,
                std::string_view detail);

    /// Returns the events of a subject, oldest first. Complexity: linear in their number.
    std::vector<DecisionEvent> history(std::string_view subject, const NodeId &node) const;

    std::size_t size() const { return m_slots.size(); }
    std::size_t memoryBytes() const { return m_memory.bytes(); }

    /// Returns the maximum number of bytes that a ring with this limit uses.
    static std::size_t memoryBound(std::size_t limit);

private:
    using SlotIndex = std::uint32_t;
    static constexpr SlotIndex noSlot = UINT32_MAX;

    struct Chain
    {
        SlotIndex m_first = noSlot;
        SlotIndex m_last = noSlot;
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
        /// Index entry to whose chain this slot belongs. Entries of the map do not move.
        Index::value_type *m_entry = nullptr;
        WallMillis m_at = 0;
        SlotIndex m_next = noSlot;
        Decision m_what = Decision::Received;
        DecisionReason m_why = DecisionReason::None;
        std::uint8_t m_detailBytes = 0;
        std::array<char, maxDecisionDetailBytes> m_detail{};
    };

    SlotIndex takeSlot();
    void unchain(const Slot &slot);
    Index::value_type &entryOf(std::string_view subject);
    void append(Index::value_type &entry, SlotIndex index);

    std::size_t m_limit;
    SlotIndex m_oldest = 0;
    CountingResource m_memory;
    Index m_index;
    std::pmr::vector<Slot> m_slots;
};

} // namespace gypsumdale::detail
