#pragma once

#include <gypsumdale/fleet/data_centre_summary.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <set> // set
#include <vector> // vector

namespace gypsumdale {

/// From whom a summary came.
enum class SummarySource {
    /// From a node of the data centre it is about: it is this node's to spread.
    DescribedDataCentre,
    /// From a node of the own data centre.
    OwnDataCentre,
};

/// When the summary, and the list of nodes, that were spread to a peer had been made.
struct SentSummaryTimes
{
    WallMillis m_madeAt = 0;
    WallMillis m_nodesMadeAt = 0;
};

/// What was last spread to one peer.
using SentSummaries = std::map<DataCentreId, SentSummaryTimes>;

/// The latest summary of each other data centre, and which of them this node spreads.
class SummaryTable
{
public:
    /// A data centre without a summary for longer than `freshFor` is not heard.
    explicit SummaryTable(Duration freshFor);

    /// Returns false if the summary is no news. Its list of nodes may be taken all the same.
    bool take(const DataCentreSummary &summary, SummarySource source, TimePoint now);

    const std::map<DataCentreId, ReceivedSummary> &all() const { return m_held; }
    /// Of a data centre whose summary was taken.
    const DataCentreSummary &of(const DataCentreId &dataCentre) const
    {
        return m_held.at(dataCentre).m_summary;
    }
    /// Tells whether the data centre is heard.
    bool isReachable(const DataCentreId &dataCentre, TimePoint now) const;
    /// Over the list of nodes held of a data centre; 0 if there is none.
    std::int64_t nodesDigest(const DataCentreId &dataCentre) const;

    /// What a peer of the own data centre was not told yet, noted as told. Lists of nodes go along
    /// only where they are new. Linear in the data centres.
    std::vector<DataCentreSummary> unsentFor(SentSummaries &told) const;

private:
    Duration m_freshFor;
    std::map<DataCentreId, ReceivedSummary> m_held;
    /// Those whose summary came here directly.
    std::set<DataCentreId> m_toSpread;
};

/// The own summaries on their way to one other data centre.
class SummarySender
{
public:
    /// Tells whether the next one is due, and begins the wait for the one after if so.
    bool startIfDue(Duration interval, TimePoint now);
    /// How many exchanges failed, which says whose turn it is over there.
    std::size_t failures() const { return m_failures; }
    void fail() { ++m_failures; }
    /// The digest of this data centre's list that the other one said to have.
    void setRemoteNodesDigest(std::int64_t digest) { m_heldThere = digest; }
    /// Counts a summary; tells whether the list of nodes goes along, as the other one has another
    /// or none was sent in so many summaries.
    bool includesNodeList(std::int64_t digest, int summariesPerNodeList);

private:
    TimePoint m_lastSent;
    std::size_t m_failures = 0;
    int m_sinceNodeList = 0;
    std::int64_t m_heldThere = 0;
};

} // namespace gypsumdale
