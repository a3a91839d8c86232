#include <gypsumdale/jobs/answer_assembler.hpp>
#include <gypsumdale/jobs/sse_parser.hpp>

#include <catch2/catch.hpp>

#include <string> // string
#include <utility> // move
#include <vector> // vector

using namespace gypsumdale;

namespace {

TokenEvent token(std::string_view attempt, std::int64_t index, std::string_view text,
                 std::string_view finish = {})
{
    return {attempt, index, text, finish};
}

std::string chunk(std::string_view content, std::string_view finish = "null")
{
    return "{\"id\":\"a/1\",\"object\":\"chat.completion.chunk\",\"token_index\":7,\"choices\":[{"
           "\"index\":0,\"delta\":{\"content\":\""
           + std::string(content) + "\"},\"finish_reason\":" + std::string(finish) + "}]}";
}

std::vector<std::string> parsed(const std::string &body, std::size_t pieceSize)
{
    std::vector<std::string> events;
    SseParser parser;
    for (std::size_t at = 0; at < body.size(); at += pieceSize) {
        const auto fed = parser.feed(std::string_view(body).substr(at, pieceSize),
                                     [&events](std::string_view data) -> Result<Done> {
                                         events.emplace_back(data);
                                         return Done{};
                                     });
        REQUIRE(succeeded(fed));
    }
    CHECK(parser.isBetweenEvents());
    return events;
}

} // namespace

TEST_CASE("an answer is put together", "[jobs]")
{
    AnswerAssembler assembler;
    assembler.beginAttempt("a");
    REQUIRE(assembler.addEvent(token("a", 0, "M8 ")) == EventVerdict::Taken);
    REQUIRE(assembler.addEvent(token("a", 1, "x 40")) == EventVerdict::Taken);

    SECTION("it is whole with a finish reason and the end marker")
    {
        CHECK(assembler.addEvent(token("a", 2, "", "stop")) == EventVerdict::Taken);
        CHECK_FALSE(assembler.hasCompleteAnswer());
        CHECK(assembler.receiveEndMarker("a") == EventVerdict::Taken);
        CHECK(assembler.hasCompleteAnswer());
        CHECK(succeeded(assembler.attemptResult()));
        CHECK(assembler.answer().text() == "M8 x 40");
        CHECK(assembler.answer().tokens() == 2);
    }

    SECTION("a truncated answer is never whole")
    {
        // The runner dies in the middle of an answer, and a proxy closes its connection in good
        // order. Without the check for finish reason and end marker, the caller would get half the
        // answer as complete.
        CHECK(errorOf(assembler.attemptResult()).m_id == ErrorId::AnswerTruncated);
        assembler.receiveEndMarker("a");
        CHECK_FALSE(assembler.hasCompleteAnswer());
        CHECK(errorOf(assembler.attemptResult()).m_id == ErrorId::AnswerTruncated);
    }

    SECTION("events of another attempt, doubled ones and late ones are dropped and counted")
    {
        // A request is resumed on another runner; then the last events of the first runner arrive
        // late on a reused connection. They would add text of another answer, or old text, to this
        // one.
        assembler.beginAttempt("b");
        CHECK(assembler.addEvent(token("a", 2, "stranger")) == EventVerdict::OtherAttempt);
        CHECK(assembler.receiveEndMarker("a") == EventVerdict::OtherAttempt);
        CHECK(assembler.addEvent(token("b", 1, "x 50")) == EventVerdict::Duplicate);
        CHECK(assembler.addEvent(token("b", 2, " zinc", "stop")) == EventVerdict::Taken);
        CHECK(assembler.addEvent(token("b", 3, "more")) == EventVerdict::AfterFinish);
        assembler.receiveEndMarker("b");
        CHECK(assembler.hasCompleteAnswer());
        CHECK(assembler.answer().text() == "M8 x 40 zinc");
        CHECK(assembler.counters().m_otherAttempt == 2);
        CHECK(assembler.counters().m_duplicates == 1);
        CHECK(assembler.counters().m_afterFinish == 1);
        CHECK(assembler.counters().m_taken == 3);
    }

    SECTION("a gap fails the attempt for good, and the next one resumes before it")
    {
        CHECK(assembler.addEvent(token("a", 3, "lost one")) == EventVerdict::Gap);
        CHECK(assembler.addEvent(token("a", 2, "too late")) == EventVerdict::Gap);
        CHECK(errorOf(assembler.attemptResult()).m_id == ErrorId::AnswerTruncated);
        assembler.beginAttempt("b");
        CHECK(assembler.addEvent(token("b", 2, "!", "stop")) == EventVerdict::Taken);
        assembler.receiveEndMarker("b");
        CHECK(assembler.hasCompleteAnswer());
    }
}

TEST_CASE("token offsets survive the wire", "[jobs]")
{
    AnswerText answer;
    answer.append("Grüße");
    answer.append("");
    answer.append(std::string(300, 'x'));
    const auto decoded = AnswerText::decode(answer.text(), answer.encodedLengths());
    REQUIRE(succeeded(decoded));
    CHECK(valueOf(decoded) == answer);
    CHECK(answer.textFrom(1) == std::string(300, 'x'));
    CHECK(answer.token(0) == "Grüße");
    CHECK(answer.from(1).tokens() == 2);
    for (const std::string lengths : {"", "\x05", "\xff\xff\xff\xff\xff\xff", "\x80"}) {
        CAPTURE(lengths.size());
        CHECK_FALSE(succeeded(AnswerText::decode(answer.text(), lengths)));
    }
}

TEST_CASE("a body is cut into events wherever its pieces end", "[jobs]")
{
    const std::string body = "\xef\xbb\xbf: hello\r\ndata: Grüße\r\n\r\nevent: x\ndata:two\n"
                             "data: lines\n\ndata: {\"ü\":1}\r\rdata\n\n";
    const std::vector<std::string> expected{"Grüße", "two\nlines", "{\"ü\":1}", ""};
    for (std::size_t size = 1; size <= body.size(); ++size) {
        CAPTURE(size);
        CHECK(parsed(body, size) == expected);
    }

    SECTION("an endless line is refused")
    {
        SseParser parser(100);
        const auto ignore = [](std::string_view) -> Result<Done> {
            return Done{};
        };
        REQUIRE(succeeded(parser.feed(std::string(90, 'x'), ignore)));
        CHECK(errorOf(parser.feed(std::string(20, 'x'), ignore)).m_id == ErrorId::RequestTooLarge);
        CHECK_FALSE(succeeded(parser.feed("\n", ignore)));
    }

    SECTION("an event of endless lines is refused")
    {
        SseParser parser(100);
        const auto ignore = [](std::string_view) -> Result<Done> {
            return Done{};
        };
        const std::string line = "data: " + std::string(60, 'x') + "\n";
        REQUIRE(succeeded(parser.feed(line, ignore)));
        CHECK(errorOf(parser.feed(line, ignore)).m_id == ErrorId::RequestTooLarge);
    }
}

TEST_CASE("engine events are read", "[jobs]")
{
    EngineEventReader reader;
    std::string data;
    // The views of the event are valid as long as its data.
    const auto read = [&reader, &data](std::string text) {
        data = std::move(text);
        const auto event = reader.read(data);
        REQUIRE(succeeded(event));
        return std::get<TokenEvent>(valueOf(event));
    };

    SECTION("in the known shape")
    {
        const TokenEvent event = read(chunk("a \\\"b\\\" \\n\\\\", "\"stop\""));
        CHECK(event.m_attempt == "a/1");
        CHECK(event.m_index == 7);
        CHECK(event.m_text == "a \"b\" \n\\");
        CHECK(event.m_finishReason == "stop");
        CHECK(std::holds_alternative<EndMarker>(valueOf(reader.read("[DONE]"))));
    }

    SECTION("in any order of the members, with the model")
    {
        const TokenEvent event =
                read(R"({"choices":[{"delta":{"content":" a"},"finish_reason":null,"index":0}],)"
                     R"("id":"a/1","model":"m","object":"chat.completion.chunk","token_index":7})");
        CHECK(event.m_attempt == "a/1");
        CHECK(event.m_index == 7);
        CHECK(event.m_text == " a");
        CHECK(event.m_finishReason.empty());
    }

    SECTION("in any other shape, with the same result")
    {
        // Of two members with the same name, the last one counts, as in every JSON parser.
        CHECK(read(R"({"id":"a","id":"b","token_index":1,"choices":[{"delta":{}}]})").m_attempt
              == "b");
        CHECK(read(R"({"id":"a","token_index":1,"choices":[{"delta":{}}],"usage":{}})").m_index
              == 1);
        CHECK(read(chunk("Grüße")).m_text == "Grüße");
        CHECK(read(chunk("\\u00fc\\ud83d\\ude00")).m_text == "ü😀");
        std::string spaced = chunk("plain");
        spaced.insert(1, " ");
        CHECK(read(spaced).m_text == "plain");
        CHECK(read(R"({"token_index":2,"choices":[{"delta":{"role":"x"}}],"id":"b"})").m_index
              == 2);
    }

    SECTION("malformed ones are refused")
    {
        const std::vector<std::string> malformed{
                "",
                "{",
                "null",
                "[1]",
                R"({"error":{"message":"out of memory"}})",
                chunk("\xff"),
                chunk("cut \xc3"),
                chunk("\t"),
                chunk("x") + "}",
                R"({"id":"a","token_index":-1,"choices":[{"delta":{}}]})",
                R"({"id":"a","token_index":1e3,"choices":[{"delta":{}}]})",
                R"({"id":"a","token_index":01,"choices":[{"delta":{}}]})",
                R"({"id":"a","token_index":18446744073709551615,"choices":[{"delta":{}}]})",
                R"({"id":7,"token_index":1,"choices":[{"delta":{}}]})",
                R"({"id":"a","token_index":1,"choices":[]})",
                R"({"id":"a","token_index":1,"choices":[{"delta":{}},{"delta":{}}]})",
                R"({"id":"a","token_index":1,"choices":[{"delta":{}}],})",
                R"({"id":"a","token_index":1.5,"choices":[{"delta":{}}]})",
                R"({"id":"a","token_index":1,"choices":[{"index":0}]})",
        };
        for (const std::string &text : malformed) {
            CAPTURE(text);
            const auto event = reader.read(text);
            REQUIRE_FALSE(succeeded(event));
            CHECK(errorOf(event).m_id == ErrorId::UpstreamFailed);
        }
    }
}
