#include <gypsumdale/ledger/record_queue.hpp>

#include <catch2/catch.hpp>

#include <string> // string
#include <vector> // vector

using namespace gypsumdale;

namespace {

constexpr RecordQueueLimits limits{4, 3, 6};

std::string batchOf(const RecordQueue &queue)
{
    std::string text;
    for (const QueuedRecord &record : queue.batch())
        text += record.m_record;
    return text;
}

} // namespace

TEST_CASE("a queue of records")
{
    RecordQueue queue(limits);

    SECTION("refuses what is too large, or too much, and keeps nothing of it")
    {
        CHECK(errorOf(queue.append("1234")).m_id == ErrorId::RequestTooLarge);
        CHECK_FALSE(queue.hasWaiting());
        CHECK(succeeded(queue.append("123")));
        CHECK(succeeded(queue.append("456")));
        CHECK(errorOf(queue.append("7")).m_id == ErrorId::QueueFull);
        queue.fillBatch();
        CHECK(succeeded(queue.append("7")));
    }

    SECTION("fills a batch in order up to its limit, with one record at least")
    {
        for (const char *record : {"12", "34", "5"})
            REQUIRE(succeeded(queue.append(record)));
        queue.fillBatch();
        CHECK(batchOf(queue) == "1234");
        CHECK(queue.takeBatch().size() == 2);
        queue.fillBatch();
        CHECK(batchOf(queue) == "5");
        CHECK_FALSE(queue.hasWaiting());
        RecordQueue narrow({1, 3, 6});
        REQUIRE(succeeded(narrow.append("123")));
        narrow.fillBatch();
        CHECK(batchOf(narrow) == "123");
    }

    SECTION("puts a batch back before what waits, without what was given up")
    {
        // Guards against a record that is reported as not written and written later.
        const LogTicket first = valueOf(queue.append("12"));
        const LogTicket second = valueOf(queue.append("34"));
        queue.fillBatch();
        const LogTicket third = valueOf(queue.append("56"));
        CHECK(queue.abandon(first) == AbandonResult::MayBeWritten);
        CHECK(queue.returnBatch() == std::vector{first});
        CHECK(queue.batch().empty());
        CHECK(queue.abandon(third) == AbandonResult::NotWritten);
        CHECK(succeeded(queue.append("78")));
        CHECK(succeeded(queue.append("90")));
        CHECK(errorOf(queue.append("x")).m_id == ErrorId::QueueFull);
        queue.fillBatch();
        CHECK(batchOf(queue) == "3478");
        CHECK(queue.batch().front().m_ticket == second);
    }

    SECTION("knows nothing of a record that has gone")
    {
        const LogTicket ticket = valueOf(queue.append("1"));
        queue.fillBatch();
        queue.takeBatch();
        CHECK(queue.abandon(ticket) == AbandonResult::MayBeWritten);
    }
}
