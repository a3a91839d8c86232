#pragma once

#include <gypsumdale/observe/decision.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <memory> // unique_ptr
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// Number of events that are kept. Requests and upstreams have a ring each, so that a burst of
/// requests does not evict the events of upstreams.
struct JournalLimits
{
    std::size_t m_requestEvents = 32768;
    std::size_t m_upstreamEvents = 8192;
};

/// Maximum length of a detail in bytes. Longer details are truncated.
constexpr std::size_t maxDecisionDetailBytes = 104;

/// Maximum length of a subject's id in bytes. An event whose subject has a longer id is not kept,
/// as a truncated id could mix the histories of two subjects.
constexpr std::size_t maxDecisionSubjectBytes = 96;

/// Journal of the latest decisions of this node and their reasons, for `gypsumctl explain`. Used
/// from the control thread only. Its memory is bounded by journalMemoryBound().
class DecisionJournal
{
public:
    explicit DecisionJournal(NodeId node, JournalLimits limits = {});
    ~DecisionJournal();
    DecisionJournal(DecisionJournal &&) noexcept;
    DecisionJournal &operator=(DecisionJournal &&) noexcept;

    /// Records an event of a request. If the ring is full, it replaces the oldest event of all
    /// requests. Complexity: constant on average.
    void record(WallMillis at, const RequestId &request, Decision what,
                DecisionReason why = DecisionReason::None, std::string_view detail = {});

    /// Records an event of an upstream.
    void record(WallMillis at, const UpstreamId &upstream, Decision what,
                DecisionReason why = DecisionReason::None, std::string_view detail = {});

    /// Returns the retained events of a subject, oldest first; none for an unknown subject.
    /// Complexity: linear in the number of its events.
    std::vector<DecisionEvent> history(const RequestId &request) const;
    std::vector<DecisionEvent> history(const UpstreamId &upstream) const;
    std::vector<DecisionEvent> history(DecisionSubject subject, std::string_view id) const;

    /// Returns the number of retained events.
    std::size_t size() const;

    /// Returns the number of events that were not recorded because the subject's id is too long.
    std::uint64_t refusedEvents() const;

    /// Returns the number of bytes in use, including the nodes of the index. Complexity: linear in
    /// the number of subjects.
    std::size_t memoryBytes() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Returns the maximum number of bytes that a journal with these limits uses.
std::size_t journalMemoryBound(const JournalLimits &limits);

} // namespace gypsumdale
