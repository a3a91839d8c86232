#include <gypsumdale/ledger/platform_log.hpp>

#include <support/memory_log_platform.hpp>

#include <catch2/catch.hpp>

#include <algorithm> // count_if

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

struct Node
{
    explicit Node(const std::string &writer)
        : m_log(PlatformLogBuilder(writer).writeInterval(0ms).endTrustDuration(1min).build())
    {}

    /// Executes commands until none is left, and collects the events.
    void settle(testing::MemoryLogPlatform &platform, Moment moment)
    {
        while (const auto command = m_log.next(moment))
            answer(platform.perform(*command), moment);
    }

    void answer(const LogAnswer &answer, Moment moment)
    {
        m_log.onAnswer(answer, moment);
        for (const PlatformLogEvent &event : m_log.takeEvents()) {
            m_events.push_back(event);
            if (const auto *applied = std::get_if<RecordApplied>(&event))
                m_records += applied->m_record;
        }
    }

    template <typename Event>
    std::size_t count() const
    {
        return std::count_if(m_events.begin(), m_events.end(), [](const PlatformLogEvent &event) {
            return std::holds_alternative<Event>(event);
        });
    }

    PlatformLog m_log;
    std::vector<PlatformLogEvent> m_events;
    std::string m_records;
};

/// Advances a log to the point at which its create is about to be executed.
CreateSegment nextCreate(Node &node, testing::MemoryLogPlatform &platform, Moment moment)
{
    while (const auto command = node.m_log.next(moment)) {
        if (const auto *create = std::get_if<CreateSegment>(&*command))
            return *create;
        node.answer(platform.perform(*command), moment);
    }
    FAIL("no create came");
    return {};
}

Moment after(Duration elapsed)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
    return {TimePoint(1h + elapsed), 1'000'000'000 + millis.count()};
}

} // namespace

TEST_CASE("platform log")
{
    testing::MemoryLogPlatform platform;
    Node a("a-1");
    Node b("b-1");
    const Moment start = after(0s);

    SECTION("records that wait together share one segment, and every reader gets their order")
    {
        for (const char *record : {"x", "y", "z"})
            REQUIRE(succeeded(a.m_log.append(record)));
        a.settle(platform, start);
        CHECK(platform.m_segments.size() == 1);
        CHECK(a.m_records == "xyz");
        b.m_log.refresh();
        b.settle(platform, start);
        CHECK(b.m_records == "xyz");
        CHECK(b.count<LogCaughtUp>() == 1);
        CHECK(b.m_log.state(start.m_now) == LogState::UpToDate);
    }

    SECTION("a loser of a race reads what it missed and writes behind it")
    {
        // Two writers are about to create the same number. The create of the slower one finds the
        // segment of the other; its records must be appended after that segment, neither replacing
        // it nor getting lost.
        REQUIRE(succeeded(a.m_log.append("x")));
        REQUIRE(succeeded(b.m_log.append("y")));
        const CreateSegment late = nextCreate(b, platform, start);
        a.settle(platform, start);
        b.answer(platform.perform(late), start);
        b.settle(platform, start);
        CHECK(b.m_records == "xy");
        CHECK(platform.m_segments.size() == 2);
    }

    SECTION("a create whose answer is lost")
    {
        REQUIRE(succeeded(a.m_log.append("x")));
        const CreateSegment create = nextCreate(a, platform, start);

        SECTION("took effect: the object read back holds the writer's own batch")
        {
            platform.perform(create);
            a.answer(LogAnswerLost{}, start);
            a.settle(platform, start);
        }
        SECTION("did not: it is created again")
        {
            a.answer(LogAnswerLost{}, start);
            a.settle(platform, start);
        }
        SECTION("takes effect between reading back and the second create")
        {
            // The first create is delayed in the network while the object is read as missing, and
            // arrives just before the second one. Only the same number and body make them one.
            a.answer(LogAnswerLost{}, start);
            const CreateSegment again = nextCreate(a, platform, start);
            CHECK(again.m_number == create.m_number);
            CHECK(again.m_body == create.m_body);
            platform.perform(create);
            a.answer(platform.perform(again), start);
            a.settle(platform, start);
        }
        CHECK(platform.m_segments.size() == 1);
        CHECK(a.m_records == "x");
        CHECK(a.count<RecordApplied>() == 1);
    }

    SECTION("abandoning a record")
    {
        const LogTicket ticket = valueOf(a.m_log.append("x"));

        SECTION("that was never sent is certain")
        {
            CHECK(a.m_log.abandon(ticket) == AbandonResult::NotWritten);
            a.settle(platform, start);
            CHECK(platform.m_segments.empty());
        }
        SECTION("that is under way is not, until another's segment has its number")
        {
            const CreateSegment create = nextCreate(a, platform, start);
            CHECK(a.m_log.abandon(ticket) == AbandonResult::MayBeWritten);
            a.answer(LogAnswerLost{}, start);
            REQUIRE(succeeded(b.m_log.append("y")));
            b.settle(platform, start);
            a.settle(platform, start);
            CHECK(a.m_records == "y");
            CHECK(a.count<RecordDropped>() == 1);
            CHECK(std::holds_alternative<SegmentConflict>(platform.perform(create)));
        }
        SECTION("that was certainly refused is certain again")
        {
            nextCreate(a, platform, start);
            a.answer(LogRefused{1s}, start);
            CHECK(a.m_log.remainingBackoff(start.m_now) == 1s);
            CHECK(a.m_log.abandon(ticket) == AbandonResult::NotWritten);
        }
    }

    SECTION("a corrupt segment stops the log until it is mended")
    {
        REQUIRE(succeeded(a.m_log.append("x")));
        a.settle(platform, start);
        const std::string whole = platform.m_segments[1];
        platform.m_segments[1].back() ^= 1;
        platform.m_segments[1][3] ^= 1;
        REQUIRE(succeeded(b.m_log.append("y")));
        b.settle(platform, start);
        b.settle(platform, after(11s));
        CHECK(b.m_log.state(after(11s).m_now) == LogState::Corrupt);
        CHECK(b.count<LogCorrupt>() == 1);
        CHECK(platform.m_segments.size() == 1);
        platform.m_segments[1] = whole;
        b.settle(platform, after(22s));
        CHECK(b.m_records == "xy");
    }

    SECTION("trimming goes from the front and leaves the last segment")
    {
        for (const char *record : {"x", "y", "z"}) {
            REQUIRE(succeeded(a.m_log.append(record)));
            a.settle(platform, start);
        }
        a.m_log.trimBefore(4);
        a.settle(platform, start);
        CHECK(platform.m_segments.size() == 1);
        REQUIRE(succeeded(b.m_log.append("b")));
        b.settle(platform, start);
        CHECK(b.m_records == "zb");
        CHECK(b.m_log.nextNumber() == 5);
    }

    SECTION("a writer that slept until its number was trimmed does not write there")
    {
        // A VM is suspended with its create ready. Meanwhile others append and trim. The number is
        // free when the VM resumes; a record there would precede all later ones.
        REQUIRE(succeeded(a.m_log.append("x")));
        a.settle(platform, start);
        b.m_log.refresh();
        b.settle(platform, start);
        REQUIRE(succeeded(b.m_log.append("old")));
        const Moment woken = after(2h);

        SECTION("before it asked for the command: it lists first")
        {
            for (const char *record : {"y", "z"}) {
                REQUIRE(succeeded(a.m_log.append(record)));
                a.settle(platform, start);
            }
            a.m_log.trimBefore(3);
            a.settle(platform, start);
            b.settle(platform, woken);
            CHECK(b.count<LogGap>() == 1);
            CHECK(b.m_records == "xzold");
            CHECK(platform.m_segments.count(2) == 0);
        }
        SECTION("with the command in hand: it finds its segment out of place and withdraws it")
        {
            const CreateSegment create = nextCreate(b, platform, start);
            const std::size_t trimmed = GENERATE(3u, 4u);
            for (const char *record : {"y", "z", "w"}) {
                REQUIRE(succeeded(a.m_log.append(record)));
                a.settle(platform, start);
            }
            a.m_log.trimBefore(trimmed);
            a.settle(platform, start);
            b.answer(platform.perform(create), woken);
            CHECK(b.m_records == "x");
            b.settle(platform, woken);
            CHECK(b.m_records == (trimmed == 3 ? "xzwold" : "xwold"));
            CHECK(platform.m_segments.count(2) == 0);
        }
    }

    SECTION("limits")
    {
        Node small("s-1");
        small.m_log = PlatformLogBuilder("s-1")
                              .maxRecordBytes(8)
                              .maxSegmentBytes(10)
                              .maxWaitingBytes(20)
                              .writeInterval(100ms)
                              .build();
        CHECK(errorOf(small.m_log.append("123456789")).m_id == ErrorId::RequestTooLarge);
        CHECK(succeeded(small.m_log.append("11111111")));
        CHECK(succeeded(small.m_log.append("22222222")));
        CHECK(errorOf(small.m_log.append("33333333")).m_id == ErrorId::QueueFull);
        small.settle(platform, start);
        CHECK(platform.m_segments.size() == 1);
        CHECK(small.m_log.nextWake() == start.m_now + 100ms);
        small.settle(platform, after(100ms));
        CHECK(platform.m_segments.size() == 2);
    }

    SECTION("names sort as numbers do")
    {
        CHECK(segmentName(12) == "000000000012");
        CHECK(segmentNumberIn("0003/000000000012") == 12);
        CHECK_FALSE(segmentNumberIn("0003/00000000001x").has_value());
        CHECK_FALSE(segmentNumberIn("").has_value());
    }
}
