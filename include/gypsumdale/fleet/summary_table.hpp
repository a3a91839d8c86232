#pragma once

#include <gypsumdale/fleet/data_centre_summary.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <set> // set
#include <vector> // vector

namespace gypsumdale {

/// Origin of a received summary.
enum class SummarySource {
    /// From a node of the data centre that it describes: this node has to forward it.
    DescribedDataCentre,
    /// From a node of the own data centre.
    OwnDataCentre,
};

/// Creation times of the summary and the list of nodes that were sent to a peer.
struct SentSummaryTimes
{
    WallMillis m_madeAt = 0;
    WallMillis m_nodesMadeAt = 0;
};

/// Summaries that were last sent to one peer, by data centre.
using SentSummaries = std::map<DataCentreId, SentSummaryTimes>;

/// The latest summary of each other data centre, and which of them this node forwards.
class SummaryTable
{
public:
    /// A data centre without a summary for longer than `maxAge` is unreachable.
    explicit SummaryTable(Duration maxAge);

    /// Returns false if the summary is superseded. Its list of nodes may be used nevertheless.
    bool take(const DataCentreSummary &summary, SummarySource source, TimePoint now);

    const std::map<DataCentreId, ReceivedSummary> &all() const { return m_summaries; }
    /// Returns the summary of a data centre; one must be present.
    const DataCentreSummary &of(const DataCentreId &dataCentre) const
    {
        return m_summaries.at(dataCentre).m_summary;
    }
    /// Returns whether a recent summary of the data centre is present.
    bool isReachable(const DataCentreId &dataCentre, TimePoint now) const;
    /// Returns the digest over the list of nodes of a data centre; 0 if there is none.
    std::int64_t nodesDigest(const DataCentreId &dataCentre) const;

    /// Returns the summaries that a peer of the own data centre was not sent yet, and records them
    /// as sent. Lists of nodes are included only where they are new. Complexity: linear in the
    /// number of data centres.
    std::vector<DataCentreSummary> unsentFor(SentSummaries &sentToPeer) const;

private:
    Duration m_maxAge;
    std::map<DataCentreId, ReceivedSummary> m_summaries;
    /// Data centres whose summary was received from one of their own nodes.
    std::set<DataCentreId> m_toForward;
};

/// Schedule of the own summaries that are sent to one other data centre.
class SummarySender
{
public:
    /// Returns whether the next summary is due, and if so starts the interval of the one after it.
    bool startIfDue(Duration interval, TimePoint now);
    /// Returns the number of failed exchanges, which determines the target node in the other data
    /// centre.
    std::size_t failures() const { return m_failures; }
    void fail() { ++m_failures; }
    /// Sets the digest of the own data centre's list that the other one reported to have.
    void setRemoteNodesDigest(std::int64_t digest) { m_remoteNodesDigest = digest; }
    /// Counts a summary. Returns whether it includes the list of nodes, as the other data centre
    /// has a different one or none was sent in so many summaries.
    bool includesNodeList(std::int64_t digest, int summariesPerNodeList);

private:
    TimePoint m_lastSent;
    std::size_t m_failures = 0;
    int m_summariesSinceNodeList = 0;
    std::int64_t m_remoteNodesDigest = 0;
};

} // namespace gypsumdale
