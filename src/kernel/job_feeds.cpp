#include <gypsumdale/kernel/job_feeds.hpp>

namespace gypsumdale {

std::shared_ptr<JobFeed> JobFeeds::subscribe(const JobId &job)
{
    auto feed = std::make_shared<JobFeed>();
    m_feeds[job].push_back(feed);
    return feed;
}

void JobFeeds::tell(const JobId &job, const FeedEvent &event, bool isLast)
{
    const auto found = m_feeds.find(job);
    if (found == m_feeds.end())
        return;
    std::erase_if(found->second, [&](const std::weak_ptr<JobFeed> &entry) {
        const auto feed = entry.lock();
        if (!feed || feed->isClosed())
            return true;
        feed->push(event);
        if (isLast)
            feed->close();
        return isLast;
    });
    if (found->second.empty())
        m_feeds.erase(found);
}

} // namespace gypsumdale
