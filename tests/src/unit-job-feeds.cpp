#include <gypsumdale/kernel/job_feeds.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;

namespace {

const JobId job("job-1");
const JobId other("job-2");

} // namespace

TEST_CASE("All callers of a job are told, and nobody else")
{
    JobFeeds feeds;
    const auto first = feeds.subscribe(job);
    const auto second = feeds.subscribe(job);
    const auto elsewhere = feeds.subscribe(other);
    feeds.tell(job, FeedAccepted{}, false);
    CHECK(std::holds_alternative<FeedAccepted>(first->next().value()));
    CHECK(std::holds_alternative<FeedAccepted>(second->next().value()));
    feeds.tell(other, FeedMoved{NodeId("node-2")}, true);
    CHECK(std::holds_alternative<FeedMoved>(elsewhere->next().value()));
}

TEST_CASE("The last event ends the feeds, and what comes after it reaches nobody")
{
    JobFeeds feeds;
    const auto feed = feeds.subscribe(job);
    feeds.tell(job, FeedEnded{JobState::Finished}, true);
    feeds.tell(job, FeedAccepted{}, false);
    CHECK(std::holds_alternative<FeedEnded>(feed->next().value()));
    CHECK_FALSE(feed->next());
}

TEST_CASE("A caller that went or lost its feed does not keep the others from being told")
{
    JobFeeds feeds;
    auto gone = feeds.subscribe(job);
    const auto closed = feeds.subscribe(job);
    const auto staying = feeds.subscribe(job);
    gone.reset();
    closed->close();
    feeds.tell(job, FeedAccepted{}, false);
    CHECK(std::holds_alternative<FeedAccepted>(staying->next().value()));
    CHECK_FALSE(closed->next());
}
