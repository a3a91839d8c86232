#include <gypsumdale/observe/decision_journal.hpp>

#include <observe/detail/event_ring.hpp>

#include <utility> // move

namespace gypsumdale {

struct DecisionJournal::State
{
    State(NodeId node, const JournalLimits &limits)
        : m_node(std::move(node))
        , m_requests(limits.m_requestEvents)
        , m_upstreams(limits.m_upstreamEvents)
    {}

    NodeId m_node;
    detail::EventRing m_requests;
    detail::EventRing m_upstreams;
    std::uint64_t m_refused = 0;
};

DecisionJournal::DecisionJournal(NodeId node, JournalLimits limits)
    : m_state(std::make_unique<State>(std::move(node), limits))
{}

DecisionJournal::~DecisionJournal() = default;
DecisionJournal::DecisionJournal(DecisionJournal &&) noexcept = default;
DecisionJournal &DecisionJournal::operator=(DecisionJournal &&) noexcept = default;

void DecisionJournal::record(WallMillis at, const RequestId &request, Decision what,
                             DecisionReason why, std::string_view detail)
{
    if (request.text().size() > maxDecisionSubjectBytes) {
        ++m_state->m_refused;
        return;
    }
    m_state->m_requests.record(request.text(), at, what, why, detail);
}

void DecisionJournal::record(WallMillis at, const UpstreamId &upstream, Decision what,
                             DecisionReason why, std::string_view detail)
{
    if (upstream.text().size() > maxDecisionSubjectBytes) {
        ++m_state->m_refused;
        return;
    }
    m_state->m_upstreams.record(upstream.text(), at, what, why, detail);
}

std::vector<DecisionEvent> DecisionJournal::history(const RequestId &request) const
{
    return m_state->m_requests.history(request.text(), m_state->m_node);
}

std::vector<DecisionEvent> DecisionJournal::history(const UpstreamId &upstream) const
{
    return m_state->m_upstreams.history(upstream.text(), m_state->m_node);
}

std::vector<DecisionEvent> DecisionJournal::history(DecisionSubject subject,
                                                    std::string_view id) const
{
    const bool isRequest = subject == DecisionSubject::Request;
    const detail::EventRing &ring = isRequest ? m_state->m_requests : m_state->m_upstreams;
    return ring.history(id, m_state->m_node);
}

std::size_t DecisionJournal::size() const
{
    return m_state->m_requests.size() + m_state->m_upstreams.size();
}

std::uint64_t DecisionJournal::refusedEvents() const
{
    return m_state->m_refused;
}

std::size_t DecisionJournal::memoryBytes() const
{
    return m_state->m_requests.memoryBytes() + m_state->m_upstreams.memoryBytes();
}

std::size_t journalMemoryBound(const JournalLimits &limits)
{
    return detail::EventRing::memoryBound(limits.m_requestEvents)
           + detail::EventRing::memoryBound(limits.m_upstreamEvents);
}

} // namespace gypsumdale
