#include <platform/json_text.hpp>
#include <platform/upstream_codec.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <cstdint> // uint32_t
#include <string> // string
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::platform;

namespace {

const std::string goodEntry =
        R"({"service":"s","address":"10.0.0.9:8080","zone":"a","slots":8,)"
        R"("state":"ready","spot":true,"leaves_ms":2500,"born":1790000000000})";

/// Returns a text with some bytes replaced, removed, repeated or inserted. Each change encodes its
/// kind, position and value.
std::string changed(std::string text, const std::vector<std::uint32_t> &changes)
{
    for (const std::uint32_t change : changes) {
        if (text.empty())
            return text;
        const std::size_t at = (change >> 8U) % text.size();
        switch (change % 4) {
        case 0:
            text[at] = static_cast<char>(change >> 24U);
            break;
        case 1:
            text.erase(at, 1 + (change >> 24U) % 4);
            break;
        case 2:
            text.insert(at, std::string((change >> 24U) % 8, text[at]));
            break;
        default:
            text.insert(at, fmt::format("{}", change));
        }
    }
    return text;
}

} // namespace

// Whatever one writer puts into its entry, the decoded fields must be safe to connect to and to
// forward, and the other entries must still be decoded.
TEST_CASE("entries that are nearly right")
{
    const bool holds = rc::check([](const std::vector<std::uint32_t> &changes) {
        const std::string text = changed(goodEntry, changes);
        const UpstreamList list = decodeUpstreams({9, {{"i-1", 4, goodEntry}, {"i-2", 5, text}}});
        RC_ASSERT(list.m_upstreams.contains(UpstreamId("i-1")));
        RC_ASSERT(list.m_upstreams.size() + list.m_unusable.size() == 2U);
        for (const auto &[id, record] : list.m_upstreams) {
            RC_ASSERT(record.m_port > 0);
            RC_ASSERT(record.m_slots > 0);
            RC_ASSERT(record.m_startedAt >= 0);
            RC_ASSERT(!record.m_service.isEmpty());
        }
        const auto passedOn = decodeUpstreamText(encodeUpstreams(list.m_upstreams)).value();
        RC_ASSERT(passedOn.size() == list.m_upstreams.size());
    });
    CHECK(holds);
}

// The same within the store's answer, where the bytes are part of a string.
TEST_CASE("an answer of the store with bytes that can't be read")
{
    const bool holds = rc::check([](const std::vector<std::uint8_t> &bytes) {
        std::string text;
        for (const std::uint8_t byte : bytes) {
            const bool endsString = byte == '"' || byte == '\\';
            text += endsString ? ' ' : static_cast<char>(byte);
        }
        const Json json = parseTolerant(R"({"items":[{"spec":")" + text + R"("},7]})").m_json;
        RC_ASSERT(json.is_object());
        RC_ASSERT(json["items"][1] == 7);
        RC_ASSERT(!json.dump().empty());
    });
    CHECK(holds);
}
