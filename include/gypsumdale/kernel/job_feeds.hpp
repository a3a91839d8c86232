#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/kernel/job_feed.hpp>

#include <map> // map
#include <memory> // shared_ptr, weak_ptr
#include <vector> // vector

namespace gypsumdale {

/// Feeds of the callers that follow jobs. A feed that its caller has released or lost is dropped at
/// the job's next event.
class JobFeeds
{
public:
    std::shared_ptr<JobFeed> subscribe(const JobId &job);

    /// Sends an event to all callers that follow the job; closes their feeds after the last event.
    /// Complexity: linear in the number of feeds.
    void tell(const JobId &job, const FeedEvent &event, bool isLast);

private:
    std::map<JobId, std::vector<std::weak_ptr<JobFeed>>> m_feeds;
};

} // namespace gypsumdale
