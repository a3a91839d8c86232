#pragma once

#include <gypsumdale/observe/decision.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <memory> // unique_ptr
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// How many events are kept. Requests and upstreams have a ring each, so that a rush of requests
/// does not wash out what happened to the upstreams.
struct JournalLimits
{
    std::size_t m_requestEvents = 32768;
    std::size_t m_upstreamEvents = 8192;
};

/// Longest detail in bytes; what exceeds it is cut.
constexpr std::size_t maxDecisionDetailBytes = 104;

/// Longest id of a subject in bytes; an event of a longer one is not kept, as a cut id could mix
/// the histories of two subjects.
constexpr std::size_t maxDecisionSubjectBytes = 96;

/// Remembers what this node decided and why, the latest events only, for `gypsumctl explain`.
/// Belongs to the control thread. All memory is bounded by journalMemoryBound().
class DecisionJournal
{
public:
    explicit DecisionJournal(NodeId node, JournalLimits limits = {});
    ~DecisionJournal();
    DecisionJournal(DecisionJournal &&) noexcept;
    DecisionJournal &operator=(DecisionJournal &&) noexcept;

    /// Keeps one event about a request, in place of the oldest event about any request when the
    /// ring is full. Constant on average.
    void record(WallMillis at, const RequestId &request, Decision what,
                DecisionReason why = DecisionReason::None, std::string_view detail = {});

    /// Keeps one event about an upstream.
    void record(WallMillis at, const UpstreamId &upstream, Decision what,
                DecisionReason why = DecisionReason::None, std::string_view detail = {});

    /// Returns the events still known about a subject, oldest first; none for an unknown one.
    /// Linear in its events.
    std::vector<DecisionEvent> history(const RequestId &request) const;
    std::vector<DecisionEvent> history(const UpstreamId &upstream) const;
    std::vector<DecisionEvent> history(DecisionSubject subject, std::string_view id) const;

    /// Returns the number of events kept now.
    std::size_t size() const;

    /// Returns the number of events that were not kept as their subject's id is too long.
    std::uint64_t refusedEvents() const;

    /// Returns the bytes in use now, the nodes of the index counted. Linear in the subjects.
    std::size_t memoryBytes() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Returns the most bytes a journal of these limits ever uses.
std::size_t journalMemoryBound(const JournalLimits &limits);

} // namespace gypsumdale
