#include <observe/detail/event_ring.hpp>

#include <algorithm> // copy_n, max, min
#include <utility> // piecewise_construct

namespace gypsumdale::detail {

namespace {

/// Maximum number of bytes of an index entry: its node and its subject's text.
constexpr std::size_t indexNodeBytes = 96;
constexpr std::size_t indexEntryBytes = indexNodeBytes + maxDecisionSubjectBytes + 1;

/// Buckets of the hash table, one pointer each. Their number is the next prime that the standard
/// library provides.
constexpr std::size_t bucketsPerEntry = 2;
constexpr std::size_t smallestTableBytes = 512;

} // namespace

void *CountingResource::do_allocate(std::size_t bytes, std::size_t alignment)
{
    m_bytes += bytes;
    return std::pmr::new_delete_resource()->allocate(bytes, alignment);
}

void CountingResource::do_deallocate(void *memory, std::size_t bytes, std::size_t alignment)
{
    m_bytes -= bytes;
    std::pmr::new_delete_resource()->deallocate(memory, bytes, alignment);
}

bool CountingResource::do_is_equal(const std::pmr::memory_resource &other) const noexcept
{
    return this == &other;
}

EventRing::EventRing(std::size_t limit)
    : m_limit(std::max<std::size_t>(limit, 1))
    , m_index(&m_memory)
    , m_slots(&m_memory)
{
    // Reserves all memory in advance: a table or vector that grows holds its old and its new
    // storage for a moment, which would exceed the bound.
    m_index.reserve(m_limit);
    m_slots.reserve(m_limit);
}

std::size_t EventRing::memoryBound(std::size_t limit)
{
    const std::size_t perEvent = sizeof(Slot) + indexEntryBytes + bucketsPerEntry * sizeof(void *);
    return smallestTableBytes + std::max<std::size_t>(limit, 1) * perEvent;
}

void EventRing::record(std::string_view subject, WallMillis at, Decision what, DecisionReason why,
                       std::string_view detail)
{
    const SlotIndex index = takeSlot();
    Slot &slot = m_slots[index];
    slot.m_at = at;
    slot.m_what = what;
    slot.m_why = why;
    const std::size_t kept = std::min(detail.size(), maxDecisionDetailBytes);
    slot.m_detailBytes = static_cast<std::uint8_t>(kept);
    std::copy_n(detail.begin(), kept, slot.m_detail.begin());
    append(entryOf(subject), index);
}

EventRing::SlotIndex EventRing::takeSlot()
{
    if (m_slots.size() < m_limit) {
        m_slots.emplace_back();
        return static_cast<SlotIndex>(m_slots.size() - 1);
    }
    const SlotIndex index = m_oldest;
    m_oldest = static_cast<SlotIndex>((m_oldest + 1) % m_limit);
    unchain(m_slots[index]);
    return index;
}

void EventRing::unchain(const Slot &slot)
{
    Chain &chain = slot.m_entry->second;
    chain.m_first = slot.m_next;
    if (chain.m_first == noSlot)
        m_index.erase(m_index.find(slot.m_entry->first));
}

EventRing::Index::value_type &EventRing::entryOf(std::string_view subject)
{
    const auto found = m_index.find(subject);
    if (found != m_index.end())
        return *found;
    return *m_index.emplace(subject, Chain()).first;
}

void EventRing::append(Index::value_type &entry, SlotIndex index)
{
    m_slots[index].m_entry = &entry;
    m_slots[index].m_next = noSlot;
    Chain &chain = entry.second;
    if (chain.m_first == noSlot)
        chain.m_first = index;
    else
        m_slots[chain.m_last].m_next = index;
    chain.m_last = index;
}

std::vector<DecisionEvent> EventRing::history(std::string_view subject, const NodeId &node) const
{
    std::vector<DecisionEvent> result;
    const auto found = m_index.find(subject);
    if (found == m_index.end())
        return result;
    for (SlotIndex index = found->second.m_first; index != noSlot; index = m_slots[index].m_next) {
        const Slot &slot = m_slots[index];
        result.push_back({slot.m_at, node, slot.m_what, slot.m_why,
                          std::string(slot.m_detail.data(), slot.m_detailBytes)});
    }
    return result;
}

} // namespace gypsumdale::detail
