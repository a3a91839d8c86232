#include <gypsumdale/fleet/summary_table.hpp>

#include <optional> // optional
#include <utility> // move

namespace gypsumdale {

namespace {

/// The list of nodes is sent rarely, and two nodes may send summaries in the same millisecond: it
/// is therefore compared by its own time, and accepted even from a summary that is superseded.
void applyNodeList(const DataCentreSummary &summary, bool isHeldStale, ReceivedSummary &held)
{
    const bool isOld = summary.m_madeAt <= held.m_nodesMadeAt && !isHeldStale;
    if (!summary.m_nodes || isOld)
        return;
    held.m_summary.m_nodes = summary.m_nodes;
    held.m_nodesMadeAt = summary.m_madeAt;
}

} // namespace

SummaryTable::SummaryTable(Duration maxAge)
    : m_maxAge(maxAge)
{}

bool SummaryTable::take(const DataCentreSummary &summary, SummarySource source, TimePoint now)
{
    ReceivedSummary &held = m_summaries[summary.m_dataCentre];
    // A sender whose clock is ahead must not suppress the summaries of others for longer than this.
    const bool isStale = now - held.m_receivedAt > m_maxAge;
    applyNodeList(summary, isStale, held);
    if (summary.m_madeAt <= held.m_summary.m_madeAt && !isStale)
        return false;
    std::optional<std::vector<NodeIdentity>> nodes = std::move(held.m_summary.m_nodes);
    held.m_summary = summary;
    held.m_summary.m_nodes = std::move(nodes);
    held.m_receivedAt = now;
    if (source == SummarySource::DescribedDataCentre)
        m_toForward.insert(summary.m_dataCentre);
    else
        m_toForward.erase(summary.m_dataCentre);
    return true;
}

bool SummaryTable::isReachable(const DataCentreId &dataCentre, TimePoint now) const
{
    const auto held = m_summaries.find(dataCentre);
    return held != m_summaries.end() && now - held->second.m_receivedAt < m_maxAge;
}

std::int64_t SummaryTable::nodesDigest(const DataCentreId &dataCentre) const
{
    const auto held = m_summaries.find(dataCentre);
    const bool hasList = held != m_summaries.end() && held->second.m_summary.m_nodes;
    return hasList ? digestOf(*held->second.m_summary.m_nodes) : 0;
}

std::vector<DataCentreSummary> SummaryTable::unsentFor(SentSummaries &sentToPeer) const
{
    std::vector<DataCentreSummary> unsent;
    for (const DataCentreId &dataCentre : m_toForward) {
        const ReceivedSummary &held = m_summaries.at(dataCentre);
        SentSummaryTimes &sent = sentToPeer[dataCentre];
        const bool isListNew = held.m_nodesMadeAt != sent.m_nodesMadeAt;
        if (held.m_summary.m_madeAt == sent.m_madeAt && !isListNew)
            continue;
        unsent.push_back(held.m_summary);
        if (!isListNew)
            unsent.back().m_nodes.reset();
        sent = {held.m_summary.m_madeAt, held.m_nodesMadeAt};
    }
    return unsent;
}

bool SummarySender::startIfDue(Duration interval, TimePoint now)
{
    const bool isFirst = m_lastSent == TimePoint();
    if (!isFirst && now - m_lastSent < interval)
        return false;
    m_lastSent = now;
    return true;
}

bool SummarySender::includesNodeList(std::int64_t digest, int summariesPerNodeList)
{
    ++m_summariesSinceNodeList;
    const bool isKnownRemotely = m_remoteNodesDigest == digest;
    if (isKnownRemotely && m_summariesSinceNodeList < summariesPerNodeList)
        return false;
    m_summariesSinceNodeList = 0;
    return true;
}

} // namespace gypsumdale
