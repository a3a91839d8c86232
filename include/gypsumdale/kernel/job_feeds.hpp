#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/kernel/job_feed.hpp>

#include <map> // map
#include <memory> // shared_ptr, weak_ptr
#include <vector> // vector

namespace gypsumdale {

/// The callers that follow jobs. A feed that its caller let go, or lost, is forgotten when the job
/// next has something to tell.
class JobFeeds
{
public:
    std::shared_ptr<JobFeed> subscribe(const JobId &job);

    /// Tells all who follow the job, and with the last event closes their feeds. Linear in them.
    void tell(const JobId &job, const FeedEvent &event, bool isLast);

private:
    std::map<JobId, std::vector<std::weak_ptr<JobFeed>>> m_feeds;
};

} // namespace gypsumdale
