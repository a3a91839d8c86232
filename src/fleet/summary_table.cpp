#include <gypsumdale/fleet/summary_table.hpp>

#include <optional> // optional
#include <utility> // move

namespace gypsumdale {

namespace {

/// The list of nodes is sent rarely, and two nodes may send summaries in the same millisecond: it
/// is therefore compared by its own time, and accepted even from a summary that is superseded.
void takeNodeList(const DataCentreSummary &summary, bool isHeldStale, ReceivedSummary &held)
{
    const bool isOld = summary.m_madeAt <= held.m_nodesMadeAt && !isHeldStale;
    if (!summary.m_nodes || isOld)
        return;
    held.m_summary.m_nodes = summary.m_nodes;
    held.m_nodesMadeAt = summary.m_madeAt;
}

} // namespace

SummaryTable::SummaryTable(Duration freshFor)
    : m_freshFor(freshFor)
{}

bool SummaryTable::take(const DataCentreSummary &summary, SummarySource source, TimePoint now)
{
    ReceivedSummary &held = m_held[summary.m_dataCentre];
    // A sender whose clock is ahead must not suppress the summaries of others for longer than this.
    const bool isStale = now - held.m_receivedAt > m_freshFor;
    takeNodeList(summary, isStale, held);
    if (summary.m_madeAt <= held.m_summary.m_madeAt && !isStale)
        return false;
    std::optional<std::vector<NodeIdentity>> nodes = std::move(held.m_summary.m_nodes);
    held.m_summary = summary;
    held.m_summary.m_nodes = std::move(nodes);
    held.m_receivedAt = now;
    if (source == SummarySource::DescribedDataCentre)
        m_toSpread.insert(summary.m_dataCentre);
    else
        m_toSpread.erase(summary.m_dataCentre);
    return true;
}

bool SummaryTable::isReachable(const DataCentreId &dataCentre, TimePoint now) const
{
    const auto held = m_held.find(dataCentre);
    return held != m_held.end() && now - held->second.m_receivedAt < m_freshFor;
}

std::int64_t SummaryTable::nodesDigest(const DataCentreId &dataCentre) const
{
    const auto held = m_held.find(dataCentre);
    const bool hasList = held != m_held.end() && held->second.m_summary.m_nodes;
    return hasList ? digestOf(*held->second.m_summary.m_nodes) : 0;
}

std::vector<DataCentreSummary> SummaryTable::unsentFor(SentSummaries &told) const
{
    std::vector<DataCentreSummary> news;
    for (const DataCentreId &dataCentre : m_toSpread) {
        const ReceivedSummary &held = m_held.at(dataCentre);
        SentSummaryTimes &sent = told[dataCentre];
        const bool isListNew = held.m_nodesMadeAt != sent.m_nodesMadeAt;
        if (held.m_summary.m_madeAt == sent.m_madeAt && !isListNew)
            continue;
        news.push_back(held.m_summary);
        if (!isListNew)
            news.back().m_nodes.reset();
        sent = {held.m_summary.m_madeAt, held.m_nodesMadeAt};
    }
    return news;
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
    ++m_sinceNodeList;
    const bool isHeldThere = m_heldThere == digest;
    if (isHeldThere && m_sinceNodeList < summariesPerNodeList)
        return false;
    m_sinceNodeList = 0;
    return true;
}

} // namespace gypsumdale
