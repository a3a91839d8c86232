#include <platform/json_text.hpp>
#include <platform/upstream_codec.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <string> // string

using namespace gypsumdale;
using namespace gypsumdale::platform;

namespace {

/// Returns an entry as an upstream writes it, with one field replaced or added.
std::string entryWith(const std::string &field, const Json &value)
{
    Json json = {{"service", "s"},
                 {"address", "10.0.0.9:8080"},
                 {"zone", "a"},
                 {"slots", 128},
                 {"state", "ready"},
                 {"spot", false},
                 {"born", 1'790'000'000'000}};
    json[field] = value;
    return json.dump();
}

std::string entryWithout(const std::string &field)
{
    Json json = Json::parse(entryWith("version", "v1"));
    json.erase(field);
    return json.dump();
}

bool isUsable(const std::string &text)
{
    return succeeded(decodeUpstream({"i-1", 4, text}));
}

} // namespace

// Another process writes to the place where upstreams register, by mistake or because it is a newer
// kind of upstream. Requests sent to the address in such an entry reached nothing, or an upstream
// that was no longer ready.
TEST_CASE("an entry that is not an upstream's own word names no upstream to use")
{
    REQUIRE(isUsable(entryWith("sequence", 4)));
    CHECK(isUsable(entryWithout("born")));
    CHECK(isUsable(entryWithout("spot")));
    for (const char *field : {"service", "address", "zone", "slots", "state"}) {
        INFO(field);
        CHECK_FALSE(isUsable(entryWithout(field)));
        CHECK_FALSE(isUsable(entryWith(field, nullptr)));
        CHECK_FALSE(isUsable(entryWith(field, Json::object())));
        CHECK_FALSE(isUsable(entryWith(field, Json::array({1}))));
        CHECK_FALSE(isUsable(entryWith(field, "")));
        CHECK_FALSE(isUsable(entryWith(field, true)));
    }
    for (const char *address : {"10.0.0.9", "10.0.0.9:", ":80", "10.0.0.9:0", "10.0.0.9:70000",
                                "10.0.0.9:80x", "10.0.0.9:-1", "10.0.0.300:80", "host:80"})
        CHECK_FALSE(isUsable(entryWith("address", address)));
    for (const char *state : {"starting", "Ready", "gone", "ready "})
        CHECK_FALSE(isUsable(entryWith("state", state)));
    for (const Json &slots : {Json(0), Json(-1), Json(1.5), Json(4'000'000'000), Json(1e300),
                              Json(18'446'744'073'709'551'615ULL), Json("8")})
        CHECK_FALSE(isUsable(entryWith("slots", slots)));
    for (const Json &started : {Json(0), Json(-5), Json(1.5), Json("1790000000000"), Json(true),
                                Json(18'446'744'073'709'551'615ULL)})
        CHECK_FALSE(isUsable(entryWith("born", started)));
    for (const Json &leaves : {Json(-1), Json(1e300), Json("2500"), Json::array()})
        CHECK_FALSE(isUsable(entryWith("leaves_ms", leaves)));
    CHECK_FALSE(isUsable(entryWith("spot", "yes")));
    for (const char *text : {"null", "[]", "7", "\"text\"", "{", ""})
        CHECK_FALSE(isUsable(text));
    CHECK_FALSE(succeeded(decodeUpstream({"", 4, entryWith("sequence", 4)})));
}

TEST_CASE("an upstream's start survives the way to a peer")
{
    const auto record = decodeUpstream({"i-1", 4, entryWith("sequence", 4)});
    REQUIRE(succeeded(record));
    CHECK(valueOf(record).m_startedAt == 1'790'000'000'000);
    const auto list =
            decodeUpstreamText(encodeUpstreams({{UpstreamId("i-1"), valueOf(record)}})).value();
    CHECK(list.at(UpstreamId("i-1")).m_startedAt == 1'790'000'000'000);
}

TEST_CASE("one bad entry of a list harms none of the others")
{
    const std::string good = entryWith("sequence", 4);
    const UpstreamList list =
            decodeUpstreams({9, {{"i-1", 4, good}, {"i-2", 5, "[]"}, {"i-3", 6, good}}});
    CHECK(list.m_upstreams.size() == 2);
    CHECK(list.m_unusable == std::set<UpstreamId>{UpstreamId("i-2")});

    const auto changes = decodeChanges({10, {{{"i-1", 7, "7"}, false}, {{"i-4", 8, good}, false}}});
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].m_kind == UpstreamChangeKind::Unusable);
    CHECK(changes[1].m_kind == UpstreamChangeKind::Present);
}

// One entry contains bytes that are not UTF-8. The parser refused the whole list because of them,
// and a VM that started then knew no upstream at all.
TEST_CASE("text that can't be read costs only its own string")
{
    const auto textIn = [](const std::string &bytes) {
        return fmt::format(R"([{{"a":"{}","b":"\u00e9"}},{{"c":1}}])", bytes);
    };
    for (const char *bytes :
         {"\xff\xfe", "\xc3", "\xed\xa0\x80", "\xf5\x80\x80\x80", "\xe0\x80\x80", "\x01",
          R"(\ud800)", R"(\udc00x)", R"(\ud800\u0041)"}) {
        const Json json = parseTolerant(textIn(bytes)).m_json;
        REQUIRE(json.is_array());
        CHECK(json[0]["b"] == "\xc3\xa9");
        CHECK(json[1]["c"] == 1);
        CHECK_NOTHROW(json.dump());
    }
    CHECK(parseTolerant(textIn(R"(\ud83d\ude00)")).m_json[0]["a"] == "\xf0\x9f\x98\x80");
    CHECK(parseTolerant(textIn(R"(\"\\)")).m_json[0]["a"] == "\"\\");
    CHECK(parseTolerant("[1").m_json.is_discarded());
}

// Guards against a list that is refused as a whole because of a number in one entry.
TEST_CASE("a number that is too large costs only its own value")
{
    for (const char *number : {"1e400", "-1E+400", "1.5e99999", "123456789e1234567"}) {
        const std::string text =
                fmt::format(R"([{{"a":{},"b":[{}, 2]}},{{"c":"1e400","d":1e30}}])", number, number);
        const Json json = parseTolerant(text).m_json;
        REQUIRE(json.is_array());
        CHECK_FALSE(json[0]["a"].is_number());
        CHECK_FALSE(json[0]["a"].is_null());
        CHECK(json[0]["b"][1] == 2);
        CHECK(json[1]["c"] == "1e400");
        CHECK(json[1]["d"] == 1e30);
    }
    // A number of many digits, and one that is too small, can be read.
    CHECK(parseTolerant("[" + std::string(300, '9') + ",1e-400]").m_json.is_array());
    CHECK(parseTolerant("[" + std::string(400, '9') + "]").m_json.is_array());
    CHECK(parseTolerant("[1e400").m_json.is_discarded());
    CHECK(parseTolerant("[1e400x]").m_json.is_discarded());
}

TEST_CASE("a whole number out of range counts as missing")
{
    const Json json = Json::parse(R"({"a":1e300,"b":-1e300,"c":18446744073709551615,"d":12.9})");
    CHECK(integerOf(json, "a", 7) == 7);
    CHECK(integerOf(json, "b", 7) == 7);
    CHECK(integerOf(json, "c", 7) == 7);
    CHECK(integerOf(json, "d", 7) == 12);
}

// One entry contains a megabyte of brackets. Serializing it for the feed overflowed the fiber's
// stack, and every VM of the fleet crashed whenever it read the list.
TEST_CASE("what is nested too deep is dropped")
{
    const std::size_t depth = 200'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const Json json = parseTolerant(R"({"a":)" + nested + R"(,"b":"[[["})").m_json;
    REQUIRE(json.is_object());
    CHECK(json["b"] == "[[[");
    CHECK(json.dump().size() < 200);
}
