#include <gypsumdale/serving/event_splitter.hpp>

#include <algorithm> // min
#include <cstddef> // size_t
#include <string> // string
#include <utility> // move
#include <vector> // vector

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

using namespace gypsumdale;

namespace {

const std::string kilobyte(1024, 'a');
constexpr int kilobytesOfEvent = static_cast<int>(maxEventBytes / 1024);

} // namespace

// Guards against memory that grows with an event without an end.
TEST_CASE("an endless body without an event is too long for one")
{
    EventSplitter splitter;
    EventBoundary boundary;
    for (int piece = 0; piece < kilobytesOfEvent; ++piece) {
        CHECK(splitter.push(kilobyte).empty());
        boundary.push(kilobyte);
    }
    CHECK_FALSE(splitter.isTooLong());
    CHECK_FALSE(boundary.isTooLong());
    splitter.push("\n");
    boundary.push("\n");
    CHECK(splitter.isTooLong());
    CHECK(boundary.isTooLong());
    splitter.reset();
    CHECK_FALSE(splitter.isTooLong());
    CHECK_FALSE(splitter.hasPartial());
}

// Guards against a long stream of events being taken for one event.
TEST_CASE("a stream of events may be longer than one event")
{
    EventSplitter splitter;
    EventBoundary boundary;
    std::size_t events = 0;
    for (int piece = 0; piece < 2 * kilobytesOfEvent; ++piece) {
        for (const std::string &part : {kilobyte + "\n", std::string("\n")}) {
            events += splitter.push(part).size();
            boundary.push(part);
        }
        REQUIRE_FALSE(splitter.isTooLong());
        REQUIRE_FALSE(boundary.isTooLong());
    }
    CHECK(events == 2 * kilobytesOfEvent);
}

// Guards against events that depend on the pieces in which they arrive.
TEST_CASE("events are the same in whatever pieces they arrive")
{
    const std::string text =
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n\ndata: c\n\r\nid: 3\n\nda";
    EventSplitter whole;
    const std::vector<StreamEvent> expected = whole.push(text);
    REQUIRE(expected.size() == 6);
    pcg32 random(3);
    for (int round = 0; round < 200; ++round) {
        EventSplitter splitter;
        EventBoundary boundary;
        std::vector<StreamEvent> events;
        for (std::size_t at = 0; at < text.size();) {
            const std::size_t size = std::min<std::size_t>(1 + random(6), text.size() - at);
            const std::string piece = text.substr(at, size);
            for (StreamEvent &event : splitter.push(piece))
                events.push_back(std::move(event));
            boundary.push(piece);
            at += size;
        }
        REQUIRE(events.size() == expected.size());
        for (std::size_t index = 0; index < events.size(); ++index) {
            CHECK(events[index].m_bytes == expected[index].m_bytes);
            CHECK(events[index].m_id == expected[index].m_id);
        }
        CHECK(splitter.hasPartial());
        CHECK(boundary.isWithinEvent());
    }
}
