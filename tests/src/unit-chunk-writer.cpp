#include <gypsumdale/kernel/chunk_writer.hpp>

#include <nlohmann/json.hpp>

#include <string> // string

#include <catch2/catch.hpp>

using namespace gypsumdale;

namespace {

constexpr std::string_view dataField = "data: ";

/// Returns the document of a token's event, which has one data line.
nlohmann::json eventOf(std::string_view token)
{
    const ChunkWriter writer("node.r1", ServiceId("gypsum-llm"));
    std::string buffer;
    writer.appendToken(buffer, 7, token);
    REQUIRE(buffer.starts_with(dataField));
    REQUIRE(buffer.ends_with("\n\n"));
    const std::string data = buffer.substr(dataField.size(), buffer.size() - dataField.size() - 2);
    REQUIRE(data.find('\n') == std::string::npos);
    return nlohmann::json::parse(data);
}

} // namespace

TEST_CASE("A token's event carries the token unchanged", "[chunk-writer]")
{
    const std::string token =
            GENERATE(as<std::string>(), " bolts", "", " \"M8\"", " C:\\parts", "\n\n", "\t",
                     " M\xc3\xbcnchen", "\x7f", " a\x01z", std::string(" a\0z", 4));
    const nlohmann::json event = eventOf(token);
    CHECK(event["id"] == "node.r1");
    CHECK(event["model"] == "gypsum-llm");
    CHECK(event["token_index"] == 7);
    CHECK(event["choices"][0]["index"] == 0);
    CHECK(event["choices"][0]["delta"]["content"] == token);
    CHECK(event["choices"][0]["finish_reason"].is_null());
}

// An engine may split a multi-byte character between two tokens, each half of which is invalid
// UTF-8. Sent unchanged, the event is rejected by the caller's JSON parser, and the caller loses
// the stream.
TEST_CASE("Bytes that are no UTF-8 are replaced", "[chunk-writer]")
{
    CHECK(eventOf(" M\xc3")["choices"][0]["delta"]["content"] == " M\xef\xbf\xbd");
}

TEST_CASE("A token's event names the caller's position", "[chunk-writer]")
{
    const ChunkWriter writer("job-1", ServiceId("gypsum-llm"));
    AnswerPosition position;
    std::string buffer;
    writer.appendToken(buffer, 0, " a", position);
    CHECK(buffer.starts_with("id: " + toText(position) + "\ndata: {"));
}
