#include <gypsumdale/entry/peer_wire.hpp>

#include <entry_types.h>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstddef> // size_t
#include <iterator> // next

using namespace gypsumdale;

TEST_CASE("the speeds of upstreams in a digest")
{
    constexpr std::size_t count = 57;
    ObservedSpeeds speeds;
    for (std::size_t upstream = 0; upstream < count; ++upstream)
        speeds[UpstreamId(fmt::format("e{}", upstream))] = {77, 98000, 16};

    SECTION("are a few in rotation")
    {
        ObservedSpeeds received;
        for (std::size_t first = 0; first < count + 4; first += 4) {
            entrywire::EntryDigest digest;
            fillSpeeds(speeds, first, digest);
            CHECK(digest.speeds.size() == 4);
            received.merge(decodeReport(digest, 0).m_speeds);
        }
        CHECK(received == speeds);
    }
    SECTION("are each included once where there are fewer")
    {
        const ObservedSpeeds few(speeds.begin(), std::next(speeds.begin(), 3));
        entrywire::EntryDigest digest;
        fillSpeeds(few, 5, digest);
        CHECK(digest.speeds.size() == 3);
        CHECK(decodeReport(digest, 0).m_speeds == few);
    }
    SECTION("use no byte where there are none")
    {
        entrywire::EntryDigest digest;
        fillSpeeds({}, 5, digest);
        CHECK_FALSE(digest.__isset.speeds);
        CHECK(decodeReport(digest, 0).m_speeds.empty());
    }
}
